/** Demand for models and the copies of each on a modelled fleet. */
import {createRandom} from '@siskinplank/foundation';

const MODELS_PER_UPSTREAM = 4;

/** Sizes of one run. */
export interface RunSize {
  hosts: number;
  upstreams: number;
  models: number;
  requestsPerSecond: number;
}

/** Weight of a model in the demand, by rank. */
const computeWeight = (rank: number): number => 1 / (rank + 10);

/** Assigns each model copies in proportion to its demand, at least one. */
export function planCopies(size: RunSize): {
  places: number[][];
  weights: number[];
} {
  const weights = Array.from({length: size.models}, (_, rank) =>
    computeWeight(rank),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const slots = size.upstreams * MODELS_PER_UPSTREAM - size.models;
  const random = createRandom(11);
  const free = Array.from({length: size.upstreams}, () => MODELS_PER_UPSTREAM);
  const places = weights.map(weight => {
    const copies = 1 + Math.floor((slots * weight) / total);
    const chosen = new Set<number>();
    for (let attempt = 0; attempt < 50 * copies; attempt += 1) {
      if (chosen.size === copies) break;
      const upstream = random.getInteger(size.upstreams);
      if (free[upstream] === 0 || chosen.has(upstream)) continue;
      free[upstream] -= 1;
      chosen.add(upstream);
    }
    if (chosen.size === 0) chosen.add(random.getInteger(size.upstreams));
    return [...chosen];
  });
  return {places, weights};
}

/** Units of the figures of a run, by name. */
export const ROUTING_UNITS: Readonly<Record<string, string>> = {
  meanWaitMs: 'ms',
  p95WaitMs: 'ms',
  p99WaitMs: 'ms',
  worstRatio: 'of the mean',
  linksOfHost: 'links',
  linksOfSide: 'links',
  mostLinksOfSide: 'links',
  opensOfHost: '/s',
  hostBytes: 'B/s',
  mostHostBytes: 'B/s',
  sideBytes: 'B/s',
  mostSideBytes: 'B/s',
};
