import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  accrueAges,
  appendMark,
  computePeriods,
  findExpiredRevision,
} from './ages';
import type {AgeMark} from './ages';

describe('ages of revisions', () => {
  // Guards against an age above the true elapsed time, also with a clock that
  // runs 0.9% too fast, and against an unbounded number of marks.
  it('never exceed the true age', () => {
    const stepArbitrary = fc.integer({min: 0, max: 400_000});
    fc.assert(
      fc.property(
        fc.integer({min: 1_000, max: 2_592_000_000}),
        fc.array(stepArbitrary, {maxLength: 200}),
        (retentionMs, steps) => {
          const periods = computePeriods(retentionMs);
          let marks: AgeMark[] = [];
          let nowMs = 0;
          const reachedAtMs = [0];
          for (const elapsedMs of steps) {
            nowMs += elapsedMs;
            const revision = reachedAtMs.push(nowMs) - 1;
            marks = appendMark(
              accrueAges(marks, elapsedMs * 1.009, periods),
              revision,
              0,
              periods,
            );
            for (const mark of marks) {
              const trueAgeMs = nowMs - reachedAtMs[mark.revision];
              expect(mark.ageMs).toBeLessThanOrEqual(trueAgeMs);
            }
            expect(marks.length).toBeLessThanOrEqual(28);
            const expired = findExpiredRevision(marks, retentionMs);
            const expiredAgeMs = nowMs - reachedAtMs[expired];
            if (expired > 0) {
              expect(expiredAgeMs).toBeGreaterThanOrEqual(retentionMs);
            }
          }
        },
      ),
    );
  });
});
