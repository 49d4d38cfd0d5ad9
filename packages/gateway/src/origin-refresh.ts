/**
 * Reads again what the store knows of the origins of streams, for requests that
 * resume a stream without a record. A gateway that was cut off or paused does
 * not know that it has missed a second software version; an answer to a call
 * that was sent after the request arrived shows each one that served before.
 */
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock, Timer} from '@siskinplank/foundation';

/** How a read ended. */
export enum OriginRead {
  /** All that served when it was sent is known. */
  Complete = 'complete',
  /** It was applied, but versions that served may be missing in it. */
  Partial = 'partial',
  /** A call failed. */
  Failed = 'failed',
}

/** What `createOriginRefresh` needs. */
export interface OriginRefreshOptions {
  clock: Clock;
  /** Delay after a failed read while nothing was read yet. */
  retryDelayMs: number;
  /** Least time between two reads for requests. */
  getPeriodMs(): number;
  /** Reads and applies. */
  read(): Promise<OriginRead>;
}

/** Reads at the start and on request. */
export interface OriginRefresh {
  /** Reads until the first read has succeeded. */
  start(): void;
  stop(): void;
  /** Whether a read has succeeded. */
  isLoaded(): boolean;
  /** When the latest complete read was sent. */
  getCompleteSentAtMs(): number;
  /**
   * Reads, and calls back when a read has ended that was sent at `sinceMs` or
   * later and has not failed, or 0.5 s after `sinceMs`. Returns false if that
   * is past, or if the store has left the reads before unanswered.
   */
  awaitRead(sinceMs: number, nowMs: number, onEnd: () => void): boolean;
}

/** A quarter of the least time for which callers wait for the next event. */
const MAX_READ_WAIT_MS = 500;
/** One may fail by a connection that was closed while it was idle. */
const MAX_FAILED_READS = 2;

/** Creates a refresh that reads nothing before `start`. */
export function createOriginRefresh(
  options: OriginRefreshOptions,
): OriginRefresh {
  const {clock} = options;
  let isStopped = false;
  let isReading = false;
  /** Whether the read in progress has taken too long. */
  let isSilent = false;
  let isLoaded = false;
  /** Reads that failed since the last other one. */
  let failedCount = 0;
  let sentAtMs = -Infinity;
  let endedSentAtMs = -Infinity;
  let completeSentAtMs = -Infinity;
  let timer: Timer | undefined;
  /** Requests that wait, with the time since which a read has to be sent. */
  const waiting = new Map<() => void, number>();

  const readNow = async (): Promise<void> => {
    isReading = true;
    sentAtMs = clock.getNowMs();
    const silenceTimer = startWaitTimer(clock, MAX_READ_WAIT_MS, () => {
      isSilent = true;
    });
    const read = await options.read();
    silenceTimer.cancel();
    isSilent = false;
    isReading = false;
    failedCount = read === OriginRead.Failed ? failedCount + 1 : 0;
    if (read !== OriginRead.Failed) {
      isLoaded = true;
      endedSentAtMs = sentAtMs;
    }
    if (read === OriginRead.Complete) completeSentAtMs = sentAtMs;
    for (const [end, sinceMs] of [...waiting]) {
      if (sinceMs <= endedSentAtMs || failedCount >= MAX_FAILED_READS) end();
    }
    schedule();
  };

  const schedule = (): void => {
    const isIdle = !isReading && timer === undefined;
    if (isStopped || !isIdle || (waiting.size === 0 && isLoaded)) return;
    startRead();
  };

  const startRead = (): void => {
    const periodMs = isLoaded ? options.getPeriodMs() : options.retryDelayMs;
    const delayMs = Math.max(0, sentAtMs + periodMs - clock.getNowMs());
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
    isLoaded: () => isLoaded,
    getCompleteSentAtMs: () => completeSentAtMs,
    awaitRead: (sinceMs, nowMs, onEnd) => {
      const leftMs = sinceMs + MAX_READ_WAIT_MS - nowMs;
      if (isStopped || leftMs <= 0 || endedSentAtMs >= sinceMs) return false;
      if (isSilent || failedCount >= MAX_FAILED_READS) {
        // Notices when the store answers again.
        if (!isReading && timer === undefined) startRead();
        return false;
      }
      const end = (): void => {
        if (!waiting.delete(end)) return;
        waitTimer.cancel();
        onEnd();
      };
      const waitTimer = startWaitTimer(clock, leftMs, end);
      waiting.set(end, sinceMs);
      schedule();
      return true;
    },
  };
}
