import {planStateSchedule} from '@siskinplank/fleet';
import {createRandom} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {planUpstreamBatchMs} from './upstream-batches';

describe('batches of changed upstreams', () => {
  it.each([1, 4, 24, 68, 300])(
    'leave 2 s for a leaving upstream to be known to all of %i gateways',
    gatewayCount => {
      const random = createRandom(gatewayCount);
      const batchMs = planUpstreamBatchMs(gatewayCount);
      const {earlyPeriodMs} = planStateSchedule(gatewayCount);
      for (let round = 0; round < 200; round += 1) {
        const readAfterMs = Array.from(
          {length: gatewayCount},
          () => random.getNext() * batchMs,
        );
        const firstMs = Math.min(...readAfterMs);
        const tellsAll = gatewayCount === 1 ? 0 : earlyPeriodMs;
        const knownMs = Math.min(firstMs + tellsAll, Math.max(...readAfterMs));
        expect(knownMs).toBeLessThan(2_000);
      }
    },
  );

  it('cost a large fleet at most one call a second and gateway', () => {
    const changesPerSecond = 20;
    for (const gatewayCount of [24, 68, 300]) {
      const periodMs =
        planUpstreamBatchMs(gatewayCount) + 1_000 / changesPerSecond;
      expect(1_000 / periodMs).toBeLessThan(1);
    }
  });
});
