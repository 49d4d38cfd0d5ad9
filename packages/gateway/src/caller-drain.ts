/** Ends the service of callers before the process stops. */
import type {Clock} from '@siskinplank/foundation';
import type {CallerListener} from './caller-listener';
import type {RequestHandler} from './request-handler';

/** What `drainCallers` needs. */
export interface CallerDrainOptions {
  callers: Pick<
    CallerListener,
    'close' | 'closeAllConnections' | 'readArrived'
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

/** Answers the requests that are open, or have arrived, at `stopAtMs`. */
async function endOpen(options: CallerDrainOptions): Promise<void> {
  const {callers, handler, clock} = options;
  await callers.readArrived();
  handler.endOpen();
  const endsAtMs = clock.getNowMs() + LAST_RESPONSES_MS;
  while (handler.countOpen() > 0 && clock.getNowMs() < endsAtMs) {
    await clock.waitMs(LAST_RESPONSES_POLL_MS);
  }
}

/**
 * Serves callers until no request is open, and no longer than until `stopAtMs`.
 * Each request that was read gets a response, the last ones that of `endOpen`.
 */
export async function drainCallers(options: CallerDrainOptions): Promise<void> {
  const {callers, clock, noticeMs} = options;
  await clock.waitMs(noticeMs);
  const closed = callers.close();
  // Requests that are read between the last look and the close would be cut.
  if (!(await waitForOpen(options))) await endOpen(options);
  callers.closeAllConnections();
  await closed;
}
