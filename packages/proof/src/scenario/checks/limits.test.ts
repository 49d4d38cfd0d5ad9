import {describe, expect, it} from 'vitest';
import {findLargestExcess} from './limits';

const limit = {rateTokensPerSecond: 10, burstTokens: 100};

describe('findLargestExcess', () => {
  // Guards against a check that misses an excess inside a longer idle time,
  // or that counts a request for a window in which it was not admitted.
  it('finds the worst window and allows what may lie outside it', () => {
    const burst = {fromMs: 50_000, toMs: 51_000, tokens: 60};
    expect(findLargestExcess([burst], limit)).toBeUndefined();
    const quiet = {fromMs: 0, toMs: 10, tokens: 1};
    expect(findLargestExcess([quiet, burst, burst], limit)).toEqual({
      tokens: 120,
      allowed: 110,
      windowMs: 1_000,
    });
    const early = {fromMs: 40_000, toMs: 51_000, tokens: 60};
    expect(findLargestExcess([early, burst], limit)).toBeUndefined();
  });
});
