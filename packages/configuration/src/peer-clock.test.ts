import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createPeerClock} from './peer-clock';

describe('peer clock', () => {
  it('never estimates a send time that is too late', () => {
    // Guards against a confirmation that counts as fresh although it was
    // buffered during a freeze or a partition.
    const exchange = fc.record({
      fromLeft: fc.boolean(),
      pauseMs: fc.integer({min: 0, max: 3_000}),
      delayMs: fc.oneof(fc.nat(20), fc.nat(60_000)),
    });
    fc.assert(
      fc.property(
        fc.array(exchange, {maxLength: 40}),
        fc.integer({min: -1_000_000, max: 1_000_000}),
        (exchanges, offsetMs) => {
          const left = createPeerClock();
          const right = createPeerClock();
          let trueMs = 2_000_000;
          for (const {fromLeft, pauseMs, delayMs} of exchanges) {
            trueMs += pauseMs;
            const sentMs = trueMs;
            const read = (isLeft: boolean): number =>
              isLeft ? trueMs : trueMs + offsetMs;
            const sender = fromLeft ? left : right;
            const receiver = fromLeft ? right : left;
            const stamp = sender.makeStamp(read(fromLeft));
            trueMs += delayMs;
            const estimate = receiver.estimateSentMs(stamp, read(!fromLeft));
            const limit = fromLeft ? sentMs + offsetMs : sentMs;
            expect(estimate ?? -Infinity).toBeLessThanOrEqual(limit + 1e-6);
          }
        },
      ),
      {numRuns: 300},
    );
  });

  it('estimates the send time of any message within one round trip', () => {
    const left = createPeerClock();
    const right = createPeerClock();
    right.estimateSentMs(left.makeStamp(1_000), 51_002);
    left.estimateSentMs(right.makeStamp(51_002), 1_004);
    const estimate = left.estimateSentMs(right.makeStamp(52_002), 2_004);
    expect(estimate).toBeGreaterThan(1_990);
  });
});
