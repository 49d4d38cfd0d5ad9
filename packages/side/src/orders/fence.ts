/**
 * Raises the fencing token of an engine before orders of a new epoch are sent.
 * Until then the engine accepts delayed orders of a replaced predecessor, and
 * reports taken before then do not show what these orders load.
 */
import {makeSecureId} from '@siskinplank/foundation';
import type {Clock, Logger} from '@siskinplank/foundation';
import * as constants from '../constants';
import * as events from '../events';
import type {EngineStatus} from '../memory/types';
import {OrderAnswer} from './engine-client';
import type {EngineClient} from './engine-client';

/** State of raising the token of an epoch. */
export enum FenceState {
  /** The engine accepted the token, and `status` was taken after that. */
  Raised = 'raised',
  /** Not accepted yet, or no report confirms it yet. */
  Waiting = 'waiting',
  /** The engine has a newer token. */
  Stale = 'stale',
}

/** Fence of one engine. */
export interface Fence {
  /**
   * Raises the token to `epoch` and returns whether `status` confirms it. An
   * engine that does not check tokens gets the same order, because its reports
   * then show which of them were taken after the takeover.
   */
  raise(
    epoch: number,
    status: EngineStatus,
    checksFencing: boolean,
  ): Promise<FenceState>;
}

interface SentToken {
  epoch: number;
  checksFencing: boolean;
  /** Engine generation; a restarted engine has lost its token. */
  generation: string | number;
  orderId: string;
  sentMs: number;
  /** Engine clock of the latest report at the time of acceptance. */
  acceptedEngineMs: number | undefined;
  isConfirmed: boolean;
}

/** Creates the fence of the engine behind `client`. */
export function createFence(
  client: Pick<EngineClient, 'sendRole'>,
  clock: Clock,
  logger: Logger,
): Fence {
  let sent: SentToken | undefined;

  const isConfirmedBy = (token: SentToken, status: EngineStatus): boolean => {
    if (token.acceptedEngineMs === undefined) return false;
    const {orderId} = token;
    if (status.completedOrders?.some(item => item.orderId === orderId)) {
      return true;
    }
    const lagMs =
      constants.MAX_REPORT_LAG_MS + constants.ENGINE_CALL_TIMEOUT_MS;
    return status.reportedAtMs >= token.acceptedEngineMs + lagMs;
  };

  const send = async (
    epoch: number,
    status: EngineStatus,
    checksFencing: boolean,
    acceptedEngineMs: number | undefined,
  ): Promise<FenceState> => {
    const {generation, reportedAtMs, role} = status;
    const token: SentToken = {
      epoch,
      checksFencing,
      generation,
      orderId: makeSecureId(),
      sentMs: clock.getNowMs(),
      acceptedEngineMs,
      isConfirmed: false,
    };
    sent = token;
    const answer = await client.sendRole(token.orderId, role, epoch);
    if (answer === OrderAnswer.Fenced) return FenceState.Stale;
    if (answer === OrderAnswer.Accepted) {
      token.acceptedEngineMs ??= reportedAtMs;
    } else {
      logger.log(events.FENCE_FAILED, {epoch, answer});
    }
    return FenceState.Waiting;
  };

  return {
    raise: async (epoch, status, checksFencing) => {
      const isCurrent =
        sent?.epoch === epoch &&
        sent.checksFencing === checksFencing &&
        sent.generation === status.generation;
      if (sent === undefined || !isCurrent) {
        // Engines that do not check tokens need not accept one first.
        const knownMs = checksFencing ? undefined : status.reportedAtMs;
        return send(epoch, status, checksFencing, knownMs);
      }
      sent.isConfirmed ||= isConfirmedBy(sent, status);
      if (sent.isConfirmed) return FenceState.Raised;
      // The engine may have lost the order after accepting the token.
      if (clock.getNowMs() - sent.sentMs >= constants.ORDER_RESEND_MS) {
        return send(epoch, status, checksFencing, sent.acceptedEngineMs);
      }
      return FenceState.Waiting;
    },
  };
}
