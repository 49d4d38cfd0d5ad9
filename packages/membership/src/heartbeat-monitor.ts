/**
 * Detects neighbours that send no heartbeats, unless this process itself was
 * frozen or cut off.
 */
import type {Logger} from '@siskinplank/foundation';
import {OBSERVATION_RESTARTED} from './events';

/** Tracks the last heartbeat of each neighbour in the relay tree. */
export interface HeartbeatMonitor {
  /** Counts all neighbours as seen now. */
  restart(nowMs: number): void;
  setNeighbours(names: ReadonlySet<string>, nowMs: number): void;
  recordHeartbeat(name: string, nowMs: number): void;
  /**
   * Lists neighbours without a heartbeat for longer than the suspicion time;
   * must be called once a heartbeat period. Empty after a freeze of this
   * process and when the heartbeats of all peers stopped at once, since the
   * fault is then more likely in this process.
   */
  listUnresponsive(nowMs: number, isPlatformAvailable: boolean): string[];
}

/**
 * Suspicion times without any heartbeat for which this process may take itself
 * for cut off while it reaches the platform. After that it suspects the peers.
 */
const MAX_ISOLATION_PERIODS = 3;

/** Creates a monitor without neighbours. */
export function createHeartbeatMonitor(options: {
  logger: Logger;
  settings: {heartbeatMs: number; suspectAfterMs: number};
}): HeartbeatMonitor {
  const {heartbeatMs, suspectAfterMs} = options.settings;
  /** Last heartbeat, or start of the observation, of each neighbour. */
  const lastSeenMs = new Map<string, number>();
  let lastCheckMs: number | undefined;
  let lastHeartbeatMs = 0;

  const restart = (nowMs: number): void => {
    for (const name of lastSeenMs.keys()) lastSeenMs.set(name, nowMs);
    lastCheckMs = nowMs;
  };

  return {
    restart: nowMs => {
      lastHeartbeatMs = nowMs;
      restart(nowMs);
    },
    setNeighbours: (names, nowMs) => {
      for (const name of lastSeenMs.keys()) {
        if (!names.has(name)) lastSeenMs.delete(name);
      }
      for (const name of names) {
        if (!lastSeenMs.has(name)) lastSeenMs.set(name, nowMs);
      }
    },
    recordHeartbeat: (name, nowMs) => {
      lastHeartbeatMs = nowMs;
      if (lastSeenMs.has(name)) lastSeenMs.set(name, nowMs);
    },
    listUnresponsive: (nowMs, isPlatformAvailable) => {
      const gapMs = nowMs - (lastCheckMs ?? nowMs);
      lastCheckMs = nowMs;
      if (gapMs > heartbeatMs + suspectAfterMs / 2) {
        options.logger.log(OBSERVATION_RESTARTED, {gapMs: Math.round(gapMs)});
        lastHeartbeatMs = nowMs;
        restart(nowMs);
        return [];
      }
      const silent = [...lastSeenMs]
        .filter(([, sinceMs]) => nowMs - sinceMs > suspectAfterMs)
        .map(([name]) => name);
      const unheardMs = nowMs - lastHeartbeatMs;
      const hasLostAll = lastSeenMs.size > 1 && unheardMs > suspectAfterMs;
      const isCutOff =
        !isPlatformAvailable ||
        unheardMs <= suspectAfterMs * MAX_ISOLATION_PERIODS;
      if (!hasLostAll || !isCutOff) return silent;
      if (silent.length > 0) {
        options.logger.log(OBSERVATION_RESTARTED, {
          unheardMs: Math.round(unheardMs),
        });
        restart(nowMs);
      }
      return [];
    },
  };
}
