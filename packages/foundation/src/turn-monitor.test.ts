import {describe, expect, it} from 'vitest';
import {createTurnMonitor} from './turn-monitor';

describe('turn monitor', () => {
  it('dates input of a late turn back to the turn before', () => {
    const ends: Array<() => void> = [];
    const monitor = createTurnMonitor({
      usualGapMs: 150,
      scheduleTurnEnd: callback => ends.push(callback),
    });
    const runTurn = (...timesMs: number[]): number[] => {
      const arrivals = timesMs.map(nowMs => {
        monitor.observe(nowMs);
        return monitor.getEarliestArrivalMs(nowMs);
      });
      for (const end of ends.splice(0)) end();
      return arrivals;
    };
    expect(runTurn(0)).toEqual([0]);
    expect(runTurn(100, 110)).toEqual([100, 110]);
    // All input of the late turn is dated back, not only the first.
    expect(runTurn(900, 950)).toEqual([100, 100]);
    expect(runTurn(1_000)).toEqual([1_000]);
  });
});
