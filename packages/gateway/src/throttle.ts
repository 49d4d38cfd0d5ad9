/** Limits how often an action runs, without losing the last request for it. */
import type {Clock, Timer} from '@siskinplank/foundation';

/** Runs an action some time after it was requested. */
export interface Throttle {
  request(): void;
  stop(): void;
}

/** When a throttled action runs. */
export interface ThrottleOptions {
  clock: Clock;
  /** Delay of the action, in which further requests have no effect. */
  delayMs: number;
  /** Least time between two runs. */
  periodMs: number;
  run(nowMs: number): void;
}

/** Creates a throttle without requests. */
export function createThrottle(options: ThrottleOptions): Throttle {
  const {clock, delayMs, periodMs} = options;
  let timer: Timer | undefined;
  let ranAtMs = -Infinity;
  return {
    request: () => {
      if (timer !== undefined) return;
      const waitMs = Math.max(delayMs, ranAtMs + periodMs - clock.getNowMs());
      timer = clock.startTimer(waitMs, () => {
        timer = undefined;
        ranAtMs = clock.getNowMs();
        options.run(ranAtMs);
      });
    },
    stop: () => timer?.cancel(),
  };
}
