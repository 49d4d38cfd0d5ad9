/** Notices pauses of the process and late turns of its event loop. */
import {createPauseDetector, createTurnMonitor} from '@siskinplank/foundation';
import type {Clock, Logger, TurnMonitor} from '@siskinplank/foundation';
import {EVENT_LOOP_LATE, PROCESS_PAUSED} from './events';

/** What `createProcessWatch` needs. */
export interface ProcessWatchOptions {
  /** Period of the lateness checks. */
  periodMs: number;
  /** Later turns are logged. */
  loggedLatenessMs: number;
  /** Drift between the clocks stays below this from one check to the next. */
  pauseToleranceMs: number;
  clock: Clock;
  logger: Logger;
  recordLateness(lateMs: number): void;
  /** Load that is logged with a late turn. */
  describeLoad(nowMs: number): Record<string, number>;
  /** Called when the process was paused or the wall clock jumped. */
  onPause(nowMs: number): void;
}

/** Watch over one process. */
export interface ProcessWatch {
  turns: TurnMonitor;
  /** To be called once in each period. */
  checkLateness(): void;
  checkPause(): void;
}

/** Creates the watch. */
export function createProcessWatch(options: ProcessWatchOptions): ProcessWatch {
  const {periodMs, clock, logger} = options;
  const pauseDetector = createPauseDetector(options.pauseToleranceMs);
  const turns = createTurnMonitor({usualGapMs: periodMs * 1.5});
  return {
    turns,
    checkLateness: () => {
      const nowMs = clock.getNowMs();
      turns.observe(nowMs);
      const lateMs = Math.max(0, turns.takeLongestGapMs() - periodMs);
      options.recordLateness(lateMs);
      if (lateMs < options.loggedLatenessMs) return;
      logger.log(EVENT_LOOP_LATE, {
        lateMs: Math.round(lateMs),
        ...options.describeLoad(nowMs),
      });
    },
    checkPause: () => {
      const nowMs = clock.getNowMs();
      const missedMs = pauseDetector.observe(nowMs, clock.getWallMs());
      if (missedMs === 0) return;
      logger.log(PROCESS_PAUSED, {missedMs: Math.round(missedMs)});
      options.onPause(nowMs);
    },
  };
}
