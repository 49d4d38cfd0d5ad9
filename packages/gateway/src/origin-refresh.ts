/**
 * Reads again what the store knows of the origins of streams, for requests that
 * resume a stream without a record. A gateway that was cut off or paused does
 * not know that it has missed a second software version; an answer to a call
 * that was sent after the request arrived shows each one that served before.
 */
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock, Timer} from '@siskinplank/foundation';

/** What `createOriginRefresh` needs. */
export interface OriginRefreshOptions {
  clock: Clock;
  /** Delay after a failed read while nothing was read yet. */
  retryDelayMs: number;
  /** Least time between two reads for requests. */
  getPeriodMs(): number;
  /** Reads and applies; resolves to false if a call failed. */
  read(): Promise<boolean>;
}

/** Reads at the start and on request. */
export interface OriginRefresh {
  /** Reads until the first read has succeeded. */
  start(): void;
  stop(): void;
  /** Whether a read has succeeded. */
  isLoaded(): boolean;
  /** When the latest read was sent that has succeeded. */
  getConfirmedAtMs(): number;
  /**
   * Calls back when a read has ended that was sent at `sinceMs` or later, or
   * 0.5 s after `sinceMs`. Returns false if one has ended already, if that time
   * has passed, or if the store does not answer the last one.
   */
  request(sinceMs: number, nowMs: number, onEnd: () => void): boolean;
}

/** A quarter of the least time for which callers wait for the next event. */
const MAX_WAIT_MS = 500;

/** Creates a refresh that reads nothing before `start`. */
export function createOriginRefresh(
  options: OriginRefreshOptions,
): OriginRefresh {
  const {clock} = options;
  let isStopped = false;
  let confirmedAtMs = -Infinity;
  let endedSentAtMs = -Infinity;
  /** When the read in progress was sent. */
  let sentAtMs: number | undefined;
  let lastSentAtMs = -Infinity;
  let timer: Timer | undefined;
  const waiting = new Set<() => void>();

  const isLoaded = (): boolean => confirmedAtMs > -Infinity;

  const readNow = async (): Promise<void> => {
    const readSentAtMs = clock.getNowMs();
    sentAtMs = readSentAtMs;
    lastSentAtMs = readSentAtMs;
    const served = [...waiting];
    waiting.clear();
    const isRead = await options.read();
    sentAtMs = undefined;
    endedSentAtMs = readSentAtMs;
    if (isRead) confirmedAtMs = readSentAtMs;
    for (const end of served) end();
    schedule();
  };

  const schedule = (): void => {
    const isIdle = sentAtMs === undefined && timer === undefined;
    if (isStopped || !isIdle || (waiting.size === 0 && isLoaded())) return;
    const periodMs = isLoaded() ? options.getPeriodMs() : options.retryDelayMs;
    const delayMs = Math.max(0, lastSentAtMs + periodMs - clock.getNowMs());
    timer = clock.startTimer(delayMs, () => {
      timer = undefined;
      void readNow();
    });
  };

  return {
    start: () => void readNow(),
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
    isLoaded,
    getConfirmedAtMs: () => confirmedAtMs,
    request: (sinceMs, nowMs, onEnd) => {
      const isStoreSilent =
        sentAtMs !== undefined && nowMs - sentAtMs >= MAX_WAIT_MS;
      if (isStopped || isStoreSilent || endedSentAtMs >= sinceMs) return false;
      const leftMs = sinceMs + MAX_WAIT_MS - nowMs;
      if (leftMs <= 0) return false;
      let hasEnded = false;
      const end = (): void => {
        if (hasEnded) return;
        hasEnded = true;
        waiting.delete(end);
        waitTimer.cancel();
        onEnd();
      };
      const waitTimer = startWaitTimer(clock, leftMs, end);
      waiting.add(end);
      schedule();
      return true;
    },
  };
}
