/** Decides which neighbours are silent, and when not to trust that decision. */
import type {Logger} from '@siskinplank/foundation';
import {OBSERVATION_RESTARTED} from './events';

/** Times the silence of the neighbours in the relay tree. */
export interface HeartbeatMonitor {
  /** Begins all observations anew. */
  restart(nowMs: number): void;
  setNeighbours(names: ReadonlySet<string>, nowMs: number): void;
  recordHeartbeat(name: string, nowMs: number): void;
  /**
   * Names that are silent for longer than the limit; called once a heartbeat
   * period. Empty after a freeze of this process, and when all peers fell
   * silent at once, since then this process is the likelier fault.
   */
  listUnresponsive(nowMs: number, isPlatformAvailable: boolean): string[];
}

/**
 * With the platform in reach, a process that hears no peer for this many
 * suspicion times is not cut off, so the peers are suspected after all.
 */
const ISOLATION_PERIODS = 3;

/** Creates an observer without neighbours. */
export function createHeartbeatMonitor(options: {
  logger: Logger;
  settings: {heartbeatMs: number; suspectAfterMs: number};
}): HeartbeatMonitor {
  const {heartbeatMs, suspectAfterMs} = options.settings;
  /** Start of the current silence of each neighbour. */
  const silentSince = new Map<string, number>();
  let lastCheckMs: number | undefined;
  let lastHeardMs = 0;

  const restart = (nowMs: number): void => {
    for (const name of silentSince.keys()) silentSince.set(name, nowMs);
    lastCheckMs = nowMs;
  };

  return {
    restart: nowMs => {
      lastHeardMs = nowMs;
      restart(nowMs);
    },
    setNeighbours: (names, nowMs) => {
      for (const name of silentSince.keys()) {
        if (!names.has(name)) silentSince.delete(name);
      }
      for (const name of names) {
        if (!silentSince.has(name)) silentSince.set(name, nowMs);
      }
    },
    recordHeartbeat: (name, nowMs) => {
      lastHeardMs = nowMs;
      if (silentSince.has(name)) silentSince.set(name, nowMs);
    },
    listUnresponsive: (nowMs, isPlatformAvailable) => {
      const gapMs = nowMs - (lastCheckMs ?? nowMs);
      lastCheckMs = nowMs;
      if (gapMs > heartbeatMs + suspectAfterMs / 2) {
        options.logger.log(OBSERVATION_RESTARTED, {gapMs: Math.round(gapMs)});
        lastHeardMs = nowMs;
        restart(nowMs);
        return [];
      }
      const silent = [...silentSince]
        .filter(([, sinceMs]) => nowMs - sinceMs > suspectAfterMs)
        .map(([name]) => name);
      const unheardMs = nowMs - lastHeardMs;
      const hasLostAll = silentSince.size > 1 && unheardMs > suspectAfterMs;
      const isCutOff =
        !isPlatformAvailable || unheardMs <= suspectAfterMs * ISOLATION_PERIODS;
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
