import {createRandom} from '@siskinplank/foundation';
import {CallKind} from '@siskinplank/platform-stand-ins';
import {describe, expect, it} from 'vitest';
import {pickRequest, pickVariant} from './deployment';
import type {DeploymentVariant} from './deployment';
import {FaultKind} from './history';
import {SoakPlan} from './plan';
import type {PlannedFault} from './plan';
import {planDeployment} from './plan-deployment';

const SEED = 7;
const LENGTH_MS = 240_000;
const CALM_MS = 14_500;
const ALL: DeploymentVariant = {
  hasQuota: true,
  hasKills: true,
  hasMoves: true,
  hasReleases: true,
  hasSilences: true,
  hasCommonMaxima: false,
};

function plan(variant: DeploymentVariant = ALL): PlannedFault[] {
  return planDeployment(createRandom(SEED), variant, {
    plan: SoakPlan.Deployment,
    gatewayCount: 4,
    upstreamCount: 22,
    lengthMs: LENGTH_MS,
    calmMs: CALM_MS,
  });
}

describe('planDeployment', () => {
  it('draws the same faults from the same seed', () => {
    expect(plan()).toEqual(plan());
  });

  it('stops each gateway in a series, at first 2 to 4 s after most starts', () => {
    const series = plan().filter(
      ({kind}) => kind === FaultKind.GatewayStopSeries,
    );
    expect(series.map(({target}) => target)).toEqual([0, 1, 2, 3]);
    for (const {stops = []} of series) {
      expect(stops.length).toBeGreaterThan(10);
      const soon = stops.filter(({afterStartMs}) => afterStartMs <= 4_000);
      expect(soon.length).toBeGreaterThan(stops.length / 2);
      expect(stops.every(({afterStartMs}) => afterStartMs >= 2_000)).toBe(true);
    }
  });

  it('starts no fault in the calm at the end', () => {
    const startsMs = plan().map(({atMs}) => atMs);
    expect(Math.max(...startsMs)).toBeLessThanOrEqual(LENGTH_MS - CALM_MS);
  });

  it('draws kills, moves, releases and silences only where the seed has them', () => {
    const hasAny = (variant: DeploymentVariant): boolean[] => {
      const faults = plan(variant);
      const stops = faults.flatMap(fault => fault.stops ?? []);
      const kinds = new Set(faults.map(({kind}) => kind));
      return [
        stops.some(({isKill}) => isKill),
        stops.some(({isMove}) => isMove),
        kinds.has(FaultKind.UpstreamDrain),
        kinds.has(FaultKind.UpstreamSilent),
      ];
    };
    const calm = {
      ...ALL,
      hasKills: false,
      hasMoves: false,
      hasReleases: false,
      hasSilences: false,
    };
    expect(hasAny(ALL)).toEqual([true, true, true, true]);
    expect(hasAny(calm)).toEqual([false, false, false, false]);
  });

  it('draws different variants from different seeds', () => {
    const variants = Array.from({length: 20}, (_, seed) =>
      JSON.stringify(pickVariant(createRandom(seed))),
    );
    expect(new Set(variants).size).toBeGreaterThan(5);
  });
});

describe('pickRequest', () => {
  const random = createRandom(SEED);
  const drawn = Array.from({length: 4_000}, (_, index) =>
    pickRequest(random, String(index), false),
  );

  it('spreads the lengths of long streams like those of the deployment', () => {
    const counts = drawn
      .filter(({route}) => route === 'dedication-draft')
      .map(({attemptId}) => Number(/-(\d+)-events$/.exec(attemptId)?.[1]));
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    expect(Math.max(...counts)).toBe(185);
    expect(mean).toBeGreaterThan(50);
    expect(mean).toBeLessThan(60);
  });

  it('names a maximum of at least the tokens of the stream', () => {
    for (const {kind, attemptId, outputTokens} of drawn) {
      if (kind !== CallKind.Stream) continue;
      const count = Number(/-(\d+)-events$/.exec(attemptId)?.[1]);
      expect(outputTokens).toBeGreaterThanOrEqual(count * 3);
    }
  });
});
