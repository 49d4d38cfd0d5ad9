/** Jittered exponential backoff. */
import type {Random} from '@siskinplank/foundation';

/**
 * Computes the delay in milliseconds after `failures` failed attempts. It
 * doubles up to `maxMs`; a random part of up to half is subtracted so that
 * processes do not reconnect to a restarted peer all at the same time.
 */
export function computeBackoffMs(
  failures: number,
  baseMs: number,
  maxMs: number,
  random: Random,
): number {
  const fullMs = Math.min(maxMs, baseMs * 2 ** Math.min(failures, 30));
  return fullMs / 2 + (random.getNext() * fullMs) / 2;
}
