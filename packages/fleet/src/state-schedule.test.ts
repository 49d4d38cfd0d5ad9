import {describe, expect, it} from 'vitest';
import {planStateSchedule} from './state-schedule';

describe('state schedule', () => {
  it.each([1, 2, 5, 8, 24, 48, 80])(
    'bounds the states that %i gateways send to each of them',
    count => {
      const {periodMs} = planStateSchedule(count);
      expect(((count - 1) * 1_000) / periodMs).toBeLessThanOrEqual(40);
      expect(periodMs).toBeGreaterThanOrEqual(200);
    },
  );

  it('keeps loads recent in very large fleets', () => {
    expect(planStateSchedule(410).periodMs).toBe(2_000);
  });
});
