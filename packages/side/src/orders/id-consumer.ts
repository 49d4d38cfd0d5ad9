/**
 * Uses up the order ids of a predecessor by sending a no-op order (setting the
 * role that the engine already has) under each id. An engine executes only the
 * first order under an id, whatever the others ask for. Once a report lists the
 * id as completed, an order of the predecessor under it is either visible in
 * that report or will never be executed.
 */
import type {Clock, Logger} from '@siskinplank/foundation';
import * as constants from '../constants';
import * as events from '../events';
import type {EngineStatus} from '../memory/types';
import {OrderAnswer} from './engine-client';
import type {EngineClient} from './engine-client';

/** Sends no-op orders under the ids of a predecessor to one engine. */
export interface IdConsumer {
  /**
   * Sends no-op orders under the ids that no report of this engine generation
   * has listed as completed; true when there are none. Acceptance is not
   * enough, because an accepted no-op order may be executed after a delayed
   * order of the predecessor under the same id.
   */
  ensureUsed(
    orderIds: readonly string[],
    status: EngineStatus,
    epoch: number,
  ): Promise<boolean>;
}

/** Creates the consumer of order ids for the engine behind `client`. */
export function createIdConsumer(
  client: Pick<EngineClient, 'sendRole'>,
  clock: Clock,
  logger: Logger,
): IdConsumer {
  /** Engine generation of `spent`; a restarted engine knows none of the ids. */
  let generation: string | number | undefined;
  const spent = new Set<string>();
  const sentMs = new Map<string, number>();

  return {
    ensureUsed: async (orderIds, status, epoch) => {
      if (status.generation !== generation) {
        generation = status.generation;
        spent.clear();
        sentMs.clear();
      }
      const wanted = new Set(orderIds);
      for (const {orderId} of status.completedOrders ?? []) {
        if (wanted.has(orderId)) spent.add(orderId);
      }
      const left = orderIds.filter(orderId => !spent.has(orderId));
      const nowMs = clock.getNowMs();
      const due = left.filter(
        orderId =>
          nowMs - (sentMs.get(orderId) ?? -Infinity) >=
          constants.ORDER_RESEND_MS,
      );
      const answers = await Promise.all(
        due.map(orderId => {
          sentMs.set(orderId, nowMs);
          return client.sendRole(orderId, status.role, epoch);
        }),
      );
      const failed = answers.find(answer => answer !== OrderAnswer.Accepted);
      if (failed !== undefined) {
        logger.log(events.FENCE_FAILED, {epoch, answer: failed});
      }
      return left.length === 0;
    },
  };
}
