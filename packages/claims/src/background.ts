/** Background writes, retried with jittered backoff until they succeed. */
import type {Clock, Random} from '@siskinplank/foundation';

/** Whether a step has finished its work. */
export enum StepResult {
  Done = 'done',
  /** The platform was unavailable; the step is repeated after a wait. */
  Again = 'again',
}

/** Repeats steps until they are done. */
export interface BackgroundWork {
  /** Repeats `step` until it is done or the work is stopped. */
  run(step: () => Promise<StepResult>): void;
  /** Waits at most `timeoutMs` for all work; returns the unfinished count. */
  stop(timeoutMs: number): Promise<number>;
}

const INITIAL_WAIT_MS = 200;
const MAX_WAIT_MS = 10_000;

/** Creates an empty set of background work. */
export function createBackgroundWork(
  clock: Clock,
  random: Random,
): BackgroundWork {
  const tasks = new Set<Promise<void>>();
  let isStopped = false;

  const repeat = async (step: () => Promise<StepResult>): Promise<void> => {
    let meanMs = INITIAL_WAIT_MS;
    while (!isStopped) {
      // The jitter spreads the writes of many processes after an outage.
      await clock.waitMs(meanMs * (0.5 + random.getNext()));
      if (isStopped) return;
      if ((await step()) === StepResult.Done) return;
      meanMs = Math.min(meanMs * 2, MAX_WAIT_MS);
    }
  };

  return {
    run: step => {
      const task = repeat(step).finally(() => tasks.delete(task));
      tasks.add(task);
    },
    stop: async timeoutMs => {
      if (tasks.size > 0) {
        await Promise.race([
          Promise.allSettled([...tasks]),
          clock.waitMs(timeoutMs),
        ]);
      }
      isStopped = true;
      return tasks.size;
    },
  };
}
