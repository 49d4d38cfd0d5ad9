/**
 * Graceful shutdown of an entry process: a notice period in which requests are
 * still accepted, then a grace period for open requests, then the end.
 */
import type {Clock, Logger} from '@siskinplank/foundation';
import {RefusalCode} from '@siskinplank/resources';
import {
  ENTRY_DRAIN_ENDED,
  ENTRY_DRAIN_EXPIRED,
  ENTRY_DRAIN_STARTED,
} from '../events';
import {makeRefusal} from '../refusals';
import type {OpenRequests} from './open-requests';

/** Longest wait for aborted requests to end after the grace period. */
export const ABORT_WAIT_MS = 2_000;

/** Dependencies and durations of a drain. */
export interface DrainOptions {
  clock: Clock;
  logger: Logger;
  openRequests: OpenRequests;
  /** Notice period, in which new requests are still accepted. */
  noticeMs: number;
  /** Longest wait for open requests after the notice period. */
  graceMs: number;
  /** Announces the shutdown to the other processes. */
  announce: () => void;
  /** Finishes work that continues after the last request, such as claims. */
  finish: () => Promise<void>;
}

/** The phases of a shutdown. */
export interface Drain {
  /** Whether the shutdown has begun; requests may still be accepted. */
  isLeaving(): boolean;
  /** Whether new requests are refused. */
  isDraining(): boolean;
  /**
   * Runs the shutdown once and resolves at its end. Not counting `finish`, it
   * takes at most the notice period, the grace period and `ABORT_WAIT_MS`.
   */
  run(): Promise<void>;
  /** Refuses new requests at once and aborts the open ones. */
  force(): Promise<void>;
}

/** Creates a drain that has not begun. */
export function createDrain(options: DrainOptions): Drain {
  const {clock, logger, openRequests} = options;
  let isLeaving = false;
  let isDraining = false;
  let ended: Promise<void> | undefined;

  const waitIdle = (timeoutMs: number): Promise<boolean> =>
    new Promise(resolve => {
      const timer = clock.startTimer(timeoutMs, () => resolve(false));
      void openRequests.waitIdle().then(() => {
        timer.cancel();
        resolve(true);
      });
    });

  const endOpenRequests = async (): Promise<void> => {
    const reason = makeRefusal(
      RefusalCode.Draining,
      'This host is being shut down.',
    );
    openRequests.abortMatching(() => true, reason);
    await waitIdle(ABORT_WAIT_MS);
  };

  const runPhases = async (): Promise<void> => {
    isLeaving = true;
    logger.log(ENTRY_DRAIN_STARTED, {open: openRequests.count()});
    options.announce();
    if (options.noticeMs > 0) await clock.waitMs(options.noticeMs);
    isDraining = true;
    if (!(await waitIdle(options.graceMs))) {
      logger.log(ENTRY_DRAIN_EXPIRED, {open: openRequests.count()});
      await endOpenRequests();
    }
    await options.finish();
    logger.log(ENTRY_DRAIN_ENDED);
  };

  return {
    isLeaving: () => isLeaving,
    isDraining: () => isDraining,
    run: () => {
      ended ??= runPhases();
      return ended;
    },
    force: async () => {
      isLeaving = true;
      isDraining = true;
      await endOpenRequests();
    },
  };
}
