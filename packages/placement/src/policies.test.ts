/** Properties of the placement policies on a modelled fleet. */
import {createRandom} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {PlacementPolicyName} from './options';
import {createPlacementPolicy} from './policies';
import {
  createFleetModel,
  makeAdapter,
  makeModel,
  makeUpstream,
} from './testing/fleet-model';
import type {FleetModel} from './testing/fleet-model';

const ROUND_MS = 3_000;

function fillFleet(
  fleet: FleetModel,
  random: Random,
  upstreamCount: number,
  modelCount: number,
): void {
  for (let index = 0; index < upstreamCount; index += 1) {
    const memory = 40_000 + random.getInteger(3) * 20_000;
    fleet.upstreams.push(makeUpstream(`u${index}`, memory, `d${index % 3}`));
  }
  for (let index = 0; index < modelCount; index += 1) {
    const memory = 4_000 + random.getInteger(20_000);
    fleet.models.push(
      makeModel(`m${index}`, memory, random.getNext() < 0.2 ? 2 : 0),
    );
    fleet.adapters.push(
      makeAdapter(`a${index}`, `m${index}`, 50 + random.getInteger(500)),
    );
  }
}

function resetDemand(fleet: FleetModel, random: Random): void {
  fleet.demand = fleet.models.flatMap((model, index) => {
    const rate = 2 ** (random.getNext() * 9);
    return [
      {model: model.name, tokensPerSecond: rate},
      {model: model.name, adapter: `a${index}`, tokensPerSecond: rate / 4},
    ];
  });
}

const namesArbitrary = fc.constantFrom(...Object.values(PlacementPolicyName));

// Guards against loads into memory that an unload has not freed yet, against
// more loads in a round than the weight store sustains, and against required
// models that lose their last replica.
it('respects memory, the model load budget and required models', () => {
  fc.assert(
    fc.property(
      fc.integer(),
      namesArbitrary,
      fc.boolean(),
      fc.integer({min: 0, max: 9_000}),
      (seed, name, withReports, unloadMs) => {
        const random = createRandom(seed);
        const fleet = createFleetModel(unloadMs, withReports);
        fillFleet(fleet, random, 2 + random.getInteger(6), 30);
        const policy = createPlacementPolicy(name);
        const placedOnce = new Set<string>();
        for (let round = 0; round < 60; round += 1) {
          if (round % 6 === 0) resetDemand(fleet, random);
          if (random.getNext() < 0.05) {
            const index = random.getInteger(fleet.models.length);
            const version = String(round);
            fleet.models[index] = {...fleet.models[index], version};
          }
          const startedLoads = fleet.runRound(policy, round * ROUND_MS, 4);
          expect(startedLoads).toBeLessThanOrEqual(4);
          expect(fleet.maxOvercommitMiB).toBeLessThanOrEqual(0);
          for (const model of fleet.models) {
            if (model.minReplicas === 0 || model.version !== '1') continue;
            const count = fleet.countReplicas(model.name);
            if (count > 0) placedOnce.add(model.name);
            if (placedOnce.has(model.name)) expect(count).toBeGreaterThan(0);
          }
        }
      },
    ),
    {numRuns: 60},
  );
});

// Guards against model loads that follow noise in the demand.
it('loads no models for noise of 30%', () => {
  const random = createRandom(5);
  const fleet = createFleetModel(3_000, true);
  fillFleet(fleet, random, 8, 40);
  const base = fleet.models.map(() => 2 ** (random.getNext() * 8));
  const setDemand = (noise: number): void => {
    fleet.demand = fleet.models.map((model, index) => ({
      model: model.name,
      tokensPerSecond: base[index] * (1 + noise * (2 * random.getNext() - 1)),
    }));
  };
  const policy = createPlacementPolicy(PlacementPolicyName.Default);
  let round = 0;
  setDemand(0);
  for (; round < 200; round += 1) fleet.runRound(policy, round * ROUND_MS, 4);
  expect(fleet.loadCount).toBeGreaterThan(20);
  const before = fleet.loadCount;
  for (; round < 600; round += 1) {
    setDemand(0.3);
    fleet.runRound(policy, round * ROUND_MS, 4);
  }
  const noiseLoads = fleet.loadCount - before;
  const greedy = createPlacementPolicy(PlacementPolicyName.Greedy);
  const greedyBefore = fleet.loadCount;
  for (; round < 1_000; round += 1) {
    setDemand(0.3);
    fleet.runRound(greedy, round * ROUND_MS, 4);
  }
  console.log(
    `model loads under noise: default ${noiseLoads}, greedy ${fleet.loadCount - greedyBefore}`,
  );
  expect(noiseLoads).toBe(0);
});

// Guards against a model that keeps one replica while its demand grows.
it('adds replicas with demand, in different failure domains', () => {
  const fleet = createFleetModel(0, true);
  for (let index = 0; index < 6; index += 1) {
    fleet.upstreams.push(makeUpstream(`u${index}`, 40_000, `d${index % 3}`));
  }
  fleet.models.push(makeModel('hot', 20_000), makeModel('kept', 10_000, 3));
  const policy = createPlacementPolicy(PlacementPolicyName.Default);
  fleet.demand = [{model: 'hot', tokensPerSecond: 100}];
  for (let round = 0; round < 10; round += 1) {
    fleet.runRound(policy, round * ROUND_MS, 4);
  }
  expect(fleet.countReplicas('hot')).toBe(1);
  fleet.demand = [{model: 'hot', tokensPerSecond: 1_000}];
  for (let round = 10; round < 20; round += 1) {
    fleet.runRound(policy, round * ROUND_MS, 4);
  }
  expect(fleet.countReplicas('hot')).toBeGreaterThanOrEqual(3);
  const domains = new Set(
    [...fleet.placements.values()]
      .filter(item => item.models.some(model => model.name === 'kept'))
      .map(item => fleet.upstreams.find(u => u.name === item.name))
      .map(upstream => upstream?.failureDomain),
  );
  expect(domains.size).toBe(3);
});

// Guards against models loaded on demand that block placement on their engine,
// and against loading a model elsewhere although an engine has it resident.
it('places models on engines that are full of unplaced models', () => {
  const models = [makeModel('a', 20_000), makeModel('b', 20_000)];
  const upstreams = ['u0', 'u1'].map(name => makeUpstream(name, 20_000, 'd0'));
  const placements = createPlacementPolicy(
    PlacementPolicyName.Default,
  ).computePlacements(
    {
      upstreams,
      models,
      adapters: [],
      current: [],
      demand: models.map(({name}) => ({model: name, tokensPerSecond: 100})),
      contents: [
        {upstream: 'u0', models: ['b'], adapters: []},
        {upstream: 'u1', models: ['a'], adapters: []},
      ],
      modelLoadBudget: 4,
    },
    0,
  );
  const placed = placements.map(item => [item.name, item.models[0]?.name]);
  expect(placed.sort()).toEqual([
    ['u0', 'b'],
    ['u1', 'a'],
  ]);
});

// Guards against rounds that block the entry process for too long.
it('plans for 790 models and 920 upstreams', () => {
  const random = createRandom(9);
  const fleet = createFleetModel(3_000, true);
  fillFleet(fleet, random, 920, 790);
  for (const upstream of fleet.upstreams) upstream.accelerators = 4;
  const policy = createPlacementPolicy(PlacementPolicyName.Default);
  const timings: number[] = [];
  for (let round = 0; round < 60; round += 1) {
    if (round % 10 === 0) resetDemand(fleet, random);
    const input = {
      upstreams: fleet.upstreams,
      models: fleet.models,
      adapters: fleet.adapters,
      current: [...fleet.placements.values()],
      demand: fleet.demand,
      modelLoadBudget: 60,
    };
    const startedNs = process.hrtime.bigint();
    const changed = policy.computePlacements(input, round * ROUND_MS);
    timings.push(Number(process.hrtime.bigint() - startedNs) / 1e6);
    for (const placement of changed) {
      fleet.placements.set(placement.name, placement);
    }
  }
  timings.sort((a, b) => a - b);
  const placed = fleet.models.filter(m => fleet.countReplicas(m.name) > 0);
  console.log(
    `round: median ${timings[30].toFixed(1)} ms, slowest ${timings[59].toFixed(1)} ms; ${placed.length} of 790 models placed`,
  );
  expect(timings[59]).toBeLessThan(5_000);
});
