import {createRandom} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {FaultKind} from './history';
import {SoakPlan, planFaults} from './plan';
import type {PlannedFault} from './plan';

const SEED = 7;
const CALM_MS = 14_500;

function plan(kind: SoakPlan, lengthMs: number): PlannedFault[] {
  return planFaults(createRandom(SEED), {
    plan: kind,
    gatewayCount: 4,
    upstreamCount: 6,
    lengthMs,
    calmMs: CALM_MS,
  });
}

describe('planFaults', () => {
  it('draws the same faults from the same seed', () => {
    for (const kind of Object.values(SoakPlan)) {
      expect(plan(kind, 40_000)).toEqual(plan(kind, 40_000));
    }
  });

  it('starts no fault in the calm at the end of a short soak', () => {
    for (const kind of Object.values(SoakPlan)) {
      const startsMs = plan(kind, 24_000).map(({atMs}) => atMs);
      expect(Math.max(...startsMs)).toBeLessThanOrEqual(24_000 - CALM_MS);
    }
  });

  it('draws series of stops, also of a pair of one failure domain', () => {
    const series = plan(SoakPlan.Stops, 240_000).filter(
      ({kind}) => kind === FaultKind.GatewayStopSeries,
    );
    const isPair = series.some(
      ({target, atMs}, index) =>
        index > 0 &&
        Math.abs(target - series[index - 1].target) === 3 &&
        atMs - series[index - 1].atMs <= 1_000,
    );
    expect(isPair).toBe(true);
    expect(series.some(({stops = []}) => stops.length > 1)).toBe(true);
  });
});
