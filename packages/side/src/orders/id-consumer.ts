/**
 * Uses up order ids of a predecessor: gives a harmless order (the present
 * role) under each id. An engine treats all copies of one id as one order,
 * whatever they ask for, so once it lists the id as completed, no order of the
 * predecessor has an effect under it that the same report does not show.
 */
import type {Clock, Logger} from '@siskinplank/foundation';
import * as constants from '../constants';
import * as events from '../events';
import type {EngineStatus} from '../memory/types';
import {OrderAnswer} from './engine-client';
import type {EngineClient} from './engine-client';

/** Uses up order ids at one engine. */
export interface IdConsumer {
  /**
   * Gives orders under the ids that no report of this engine generation listed
   * as completed; true when there are none. Acceptance is not enough, since an
   * accepted order may start after a late one under the same id.
   */
  ensureUsed(
    orderIds: readonly string[],
    status: EngineStatus,
    epoch: number,
  ): Promise<boolean>;
}

/** Creates the spender for the engine behind `client`. */
export function createIdConsumer(
  client: Pick<EngineClient, 'sendRole'>,
  clock: Clock,
  logger: Logger,
): IdConsumer {
  /** A restarted engine has forgotten the ids. */
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
