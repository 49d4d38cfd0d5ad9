/** Ends the service of callers before the process stops. */
import type {Clock, TurnMonitor} from '@siskinplank/foundation';
import type {CallerListener} from './caller-listener';
import type {RequestHandler} from './request-handler';

/** What `drainCallers` needs. */
export interface CallerDrainOptions {
  callers: Pick<
    CallerListener,
    | 'close'
    | 'closeAllConnections'
    | 'countLingering'
    | 'endConnections'
    | 'readArrived'
  >;
  handler: Pick<RequestHandler, 'countOpen' | 'endOpen'>;
  clock: Clock;
  /** Time for the balancer to notice the stop; connections are accepted. */
  noticeMs: number;
  /** Time at which requests that are still open are ended. */
  stopAtMs: number;
}

const DRAIN_POLL_MS = 50;
/** Time for the last responses to be written, before the forced kill. */
const LAST_RESPONSES_MS = 200;
const LAST_RESPONSES_POLL_MS = 10;

/** When the stop that a signal asks for has to end. */
export interface StopPlan {
  /** Time from the signal until it was handled, at most. */
  lateMs: number;
  /** Time at which requests that are still open are ended. */
  endsAtMs: number;
}

/**
 * Plans a stop whose signal is handled at `nowMs`. The grace counts from the
 * signal, which may have come any time in a late turn of the event loop.
 */
export function planStop(
  turns: TurnMonitor,
  graceMs: number,
  nowMs: number,
): StopPlan {
  turns.observe(nowMs);
  const signalledAtMs = turns.getEarliestArrivalMs(nowMs);
  return {
    lateMs: Math.round(nowMs - signalledAtMs),
    endsAtMs: signalledAtMs + graceMs,
  };
}

/** Resolves when no request is open; false if some are at `stopAtMs`. */
async function waitForOpen(options: CallerDrainOptions): Promise<boolean> {
  const {callers, handler, clock, stopAtMs} = options;
  while (clock.getNowMs() < stopAtMs) {
    // Requests may have arrived that were not read yet.
    if (handler.countOpen() === 0) await callers.readArrived();
    if (handler.countOpen() === 0) return true;
    await clock.waitMs(DRAIN_POLL_MS);
  }
  return false;
}

/**
 * Serves callers until no request is open, and no longer than until `stopAtMs`.
 * Each request that was read gets a response, the last ones that of `endOpen`.
 * Returns when the callers have closed their connections, or soon after
 * `stopAtMs`.
 */
export async function drainCallers(options: CallerDrainOptions): Promise<void> {
  const {callers, handler, clock, noticeMs, stopAtMs} = options;
  const waitForNone = async (
    count: () => number,
    endsAtMs: number,
  ): Promise<void> => {
    while (count() > 0 && clock.getNowMs() < endsAtMs) {
      await clock.waitMs(LAST_RESPONSES_POLL_MS);
    }
  };
  const leftMs = Math.max(0, stopAtMs - clock.getNowMs());
  await clock.waitMs(Math.min(noticeMs, leftMs));
  const closed = callers.close();
  let endsAtMs = stopAtMs;
  if (!(await waitForOpen(options))) {
    await callers.readArrived();
    handler.endOpen();
    endsAtMs = clock.getNowMs() + LAST_RESPONSES_MS;
    await waitForNone(handler.countOpen, endsAtMs);
  }
  // In the turn of the last look, so that no request is read in between.
  callers.endConnections();
  await waitForNone(callers.countLingering, endsAtMs);
  callers.closeAllConnections();
  await closed;
}
