/** Waits with a time limit. */
import type {Clock} from '@siskinplank/foundation';

/** Resolves when `work` is done, and at `endsAtMs` at the latest. */
export function waitAtMostUntil(
  work: Promise<unknown>,
  endsAtMs: number,
  clock: Clock,
): Promise<void> {
  return new Promise(resolve => {
    const end = (): void => {
      timer.cancel();
      resolve();
    };
    const leftMs = Math.max(0, endsAtMs - clock.getNowMs());
    const timer = clock.startTimer(leftMs, resolve);
    void work.then(end);
  });
}
