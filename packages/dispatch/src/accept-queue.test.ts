import {describe, expect, it} from 'vitest';
import {computeBacklog} from './accept-queue';

describe('accept queue', () => {
  it.each([0.12, 0.243, 0.5, 1])(
    'holds less than callers wait for, with %d cores',
    cores => {
      const PATIENCE_MS = 1_000;
      const REQUEST_CPU_MS = 2.2;
      const REQUESTS_PER_CONNECTION = 3;
      const requests = computeBacklog(cores) * REQUESTS_PER_CONNECTION;
      const waitMs = (requests * REQUEST_CPU_MS) / cores;
      expect(waitMs).toBeLessThan(PATIENCE_MS);
      expect(waitMs).toBeGreaterThan(PATIENCE_MS / 2);
    },
  );

  it('has room for a few callers at once on the smallest hosts', () => {
    expect(computeBacklog(0.01)).toBe(16);
  });
});
