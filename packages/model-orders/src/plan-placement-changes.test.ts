import type {ModelSpec} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import type {ModelDemand} from './demand-tracker';
import {filterReachable, planPlacementChanges} from './plan-placement-changes';
import type {PlanInput, PlannedUpstream} from './plan-placement-changes';

const BIG_MB = 34_300;
const SMALL_MB = 16_100;

function makeModels(
  sizes: Readonly<Record<string, number>>,
): Map<string, ModelSpec> {
  return new Map(
    Object.entries(sizes).map(([name, weightsMb]) => [
      name,
      {
        name,
        weightsMb,
        storeLoadMs: 1_200,
        diskLoadMs: 1_000,
        memoryLoadMs: 600,
        adapterCount: 0,
        adapterMb: 0,
      },
    ]),
  );
}

function makeUpstream(
  id: string,
  models: readonly string[],
  changes: Partial<PlannedUpstream> = {},
): PlannedUpstream {
  return {
    id,
    softwareVersion: '1',
    capacityMb: 83_000,
    models: new Set(models),
    serving: new Set(models),
    openByModel: new Map(),
    inMemory: new Set(),
    onDisk: new Set(),
    canTakeOrder: true,
    ...changes,
  };
}

function makeDemand(
  model: string,
  changes: Partial<ModelDemand> = {},
): ModelDemand {
  return {
    model,
    requestsPerSecond: 0,
    averageOpen: 0,
    waitingCount: 0,
    oldestWaitMs: 0,
    ...changes,
  };
}

const MODELS = makeModels({
  hot: BIG_MB,
  idle: BIG_MB,
  rare: BIG_MB,
  small: SMALL_MB,
});

function plan(
  changes: Partial<PlanInput>,
): ReturnType<typeof planPlacementChanges> {
  return planPlacementChanges({
    upstreams: [],
    models: MODELS,
    demand: [],
    openPerCopy: 8,
    lastVersions: new Map(),
    storeLoadsLeft: 3,
    isReleaseRunning: false,
    ...changes,
  });
}

describe('planning of placement changes', () => {
  // A rare model is requested while a formerly popular one without requests is
  // still resident.
  it('replaces a model without requests by one with waiting requests', () => {
    const changes = plan({
      upstreams: [
        makeUpstream('a', ['hot', 'idle']),
        makeUpstream('b', ['hot', 'small']),
      ],
      demand: [
        makeDemand('hot', {requestsPerSecond: 5, averageOpen: 10}),
        makeDemand('rare', {requestsPerSecond: 0.1, waitingCount: 1}),
      ],
    });
    expect(changes[0]).toMatchObject({
      upstream: 'a',
      load: 'rare',
      evict: ['idle'],
    });
  });

  it('never evicts a model with open requests', () => {
    const changes = plan({
      upstreams: [
        makeUpstream('a', ['hot', 'idle'], {
          openByModel: new Map([
            ['hot', 2],
            ['idle', 1],
          ]),
        }),
      ],
      demand: [makeDemand('rare', {requestsPerSecond: 1, waitingCount: 3})],
    });
    expect(changes).toEqual([]);
  });

  // One model gets most requests and its only replica is overloaded.
  it('adds a replica of an overloaded model where memory is free', () => {
    const changes = plan({
      upstreams: [
        makeUpstream('a', ['hot', 'idle']),
        makeUpstream('b', ['small']),
      ],
      demand: [makeDemand('hot', {requestsPerSecond: 10, averageOpen: 24})],
    });
    expect(changes).toContainEqual(
      expect.objectContaining({upstream: 'b', load: 'hot', evict: []}),
    );
  });

  // Guards against a model that gets no replica since it lacks several.
  it('adds a replica of a model that is overloaded several times over', () => {
    const changes = plan({
      upstreams: [
        makeUpstream('a', ['hot', 'idle']),
        makeUpstream('b', ['small']),
      ],
      demand: [makeDemand('hot', {requestsPerSecond: 10, averageOpen: 48})],
    });
    expect(changes).toContainEqual(
      expect.objectContaining({upstream: 'b', load: 'hot'}),
    );
  });

  it('plans no change when no requested model is overloaded', () => {
    const changes = plan({
      models: makeModels({hot: BIG_MB, idle: BIG_MB}),
      upstreams: [makeUpstream('a', ['hot', 'idle'])],
      demand: [makeDemand('hot', {requestsPerSecond: 2, averageOpen: 3})],
    });
    expect(changes).toEqual([]);
  });

  // Upstreams crash, and a load of the model from the store takes 8 s.
  it('adds a second replica of a model that takes long to load', () => {
    const upstreams = [
      makeUpstream('a', ['hot']),
      makeUpstream('b', ['small']),
    ];
    const demand = [makeDemand('hot', {requestsPerSecond: 12, averageOpen: 6})];
    const slow = [...MODELS].map(
      ([name, model]) => [name, {...model, storeLoadMs: 8_000}] as const,
    );
    expect(
      plan({upstreams, demand, models: new Map(slow)}).some(
        ({load}) => load === 'hot',
      ),
    ).toBe(true);
    // Weights on the disk of another upstream make recovery fast enough.
    const warm = [
      ...upstreams,
      {
        ...makeUpstream('c', []),
        onDisk: new Set(['hot']),
        canTakeOrder: false,
      },
    ];
    expect(
      plan({upstreams: warm, demand, models: new Map(slow)}).some(
        ({load}) => load === 'hot',
      ),
    ).toBe(false);
  });

  it('does not exceed the loads that the weight store allows', () => {
    const upstreams = ['a', 'b', 'c'].map(id => makeUpstream(id, []));
    const demand = ['hot', 'idle', 'rare'].map(model =>
      makeDemand(model, {requestsPerSecond: 1, waitingCount: 2}),
    );
    expect(plan({upstreams, demand, storeLoadsLeft: 1})).toHaveLength(1);
    const onDisk = new Set(['hot', 'idle', 'rare']);
    const warm = upstreams.map(upstream => ({...upstream, onDisk}));
    expect(plan({upstreams: warm, demand, storeLoadsLeft: 0})).toHaveLength(3);
  });

  it('prefers the upstream whose memory still has the weights', () => {
    const changes = plan({
      upstreams: [
        makeUpstream('a', []),
        makeUpstream('b', [], {inMemory: new Set(['rare'])}),
      ],
      demand: [makeDemand('rare', {requestsPerSecond: 1, waitingCount: 1})],
    });
    expect(changes[0]).toMatchObject({upstream: 'b', isStoreLoad: false});
  });

  describe('while two software versions serve', () => {
    const OLD = {softwareVersion: '1'};
    const NEW = {softwareVersion: '2'};
    const HOT_DEMAND = makeDemand('hot', {
      requestsPerSecond: 10,
      averageOpen: 24,
    });

    // Guards against streams that have nowhere to go on when their upstream ends.
    it('adds a replica at the version that has the other one', () => {
      const upstreams = [
        makeUpstream('a', ['hot', 'small'], NEW),
        makeUpstream('b', ['small'], OLD),
        makeUpstream('c', ['idle', 'rare'], NEW),
      ];
      const listTargets = (planned: readonly PlannedUpstream[]): string[] =>
        plan({upstreams: planned, demand: [HOT_DEMAND]})
          .filter(({load}) => load === 'hot')
          .map(({upstream}) => upstream);
      expect(listTargets(upstreams)).toEqual(['c']);
      // With one version, the upstream with free memory is the cheapest.
      const alike = upstreams.map(upstream => ({...upstream, ...OLD}));
      expect(listTargets(alike)).toEqual(['b']);
    });

    // Guards against loads on upstreams that a release is about to replace.
    it('chooses by cost alone during a release', () => {
      const changes = plan({
        upstreams: [
          makeUpstream('a', ['hot', 'small'], OLD),
          makeUpstream('b', ['small'], NEW),
          makeUpstream('c', ['idle', 'rare'], OLD),
        ],
        demand: [HOT_DEMAND],
        isReleaseRunning: true,
      });
      expect(changes).toContainEqual(
        expect.objectContaining({upstream: 'b', load: 'hot'}),
      );
    });

    it('adds a replica at another version rather than none', () => {
      const changes = plan({
        upstreams: [
          makeUpstream('a', ['hot', 'idle'], NEW),
          makeUpstream('b', ['small'], OLD),
        ],
        demand: [HOT_DEMAND],
      });
      expect(changes).toContainEqual(
        expect.objectContaining({upstream: 'b', load: 'hot'}),
      );
    });

    it('evicts a model that leaves no other replica alone', () => {
      const upstreams = [
        makeUpstream('a', ['hot', 'idle'], OLD),
        makeUpstream('b', ['hot', 'small'], {...OLD, canTakeOrder: false}),
        makeUpstream('c', ['idle', 'small'], {...NEW, canTakeOrder: false}),
      ];
      const demand = [
        makeDemand('hot', {requestsPerSecond: 1, averageOpen: 5}),
        makeDemand('idle', {requestsPerSecond: 1, averageOpen: 5}),
        makeDemand('rare', {requestsPerSecond: 1, waitingCount: 5}),
      ];
      expect(plan({upstreams, demand})[0]).toMatchObject({
        load: 'rare',
        evict: ['idle'],
      });
    });

    // Guards against streams that wait for their model at another version.
    it('loads a lost model at the version that held it', () => {
      const listTargets = (lastVersion: string): string[] =>
        plan({
          upstreams: [
            makeUpstream('a', ['small'], OLD),
            makeUpstream('b', ['small'], NEW),
          ],
          lastVersions: new Map([['hot', lastVersion]]),
          demand: [makeDemand('hot', {averageOpen: 4, waitingCount: 4})],
        })
          .filter(({load}) => load === 'hot')
          .map(({upstream}) => upstream);
      expect(listTargets('1')).toEqual(['a']);
      expect(listTargets('2')).toEqual(['b']);
    });

    // Guards against new requests that wait for a load that ends after callers left.
    it('loads a lost model where it is ready soonest if its streams have ended by then', () => {
      const models = makeModels({hot: BIG_MB});
      const slow = {...(models.get('hot') as ModelSpec), storeLoadMs: 8_600};
      const changes = plan({
        upstreams: [
          makeUpstream('a', [], OLD),
          makeUpstream('b', [], {...NEW, inMemory: new Set(['hot'])}),
        ],
        models: new Map([['hot', slow]]),
        lastVersions: new Map([['hot', '1']]),
        demand: [makeDemand('hot', {requestsPerSecond: 5, averageOpen: 10})],
      });
      expect(changes).toMatchObject([{upstream: 'b', load: 'hot'}]);
    });

    // Guards against the loss of all streams of a model with one upstream, though
    // its other replicas serve at another version.
    it('adds a replica beside the only one of a version for many streams', () => {
      const listChanges = (averageOpen: number): unknown[] =>
        plan({
          models: makeModels({hot: BIG_MB, idle: BIG_MB}),
          upstreams: [
            makeUpstream('a', ['hot'], NEW),
            makeUpstream('b', ['hot'], OLD),
            makeUpstream('c', ['idle'], OLD),
            makeUpstream('d', ['idle'], NEW),
          ],
          demand: [makeDemand('hot', {requestsPerSecond: 8, averageOpen})],
        });
      expect(listChanges(15)).toMatchObject([{load: 'hot'}]);
      expect(listChanges(3)).toEqual([]);
    });

    // Guards against streams that wait for the entry of a dead upstream to expire.
    it('counts the models of an upstream that refuses connections as lost', () => {
      const upstreams = [
        makeUpstream('a', ['hot'], NEW),
        makeUpstream('b', ['small'], OLD),
        makeUpstream('c', ['small'], NEW),
      ];
      const down = new Set(['a']);
      const reachable = filterReachable(upstreams, down);
      const changes = plan({
        upstreams: reachable,
        lastVersions: new Map([['hot', NEW.softwareVersion]]),
        demand: [{...HOT_DEMAND, waitingCount: 4}],
      });
      expect(changes).toContainEqual(
        expect.objectContaining({upstream: 'c', load: 'hot'}),
      );
      const alike = upstreams.map(upstream => ({...upstream, ...OLD}));
      expect(filterReachable(alike, down)).toEqual(alike);
    });

    it('adds no further replica where each version has two', () => {
      const changes = plan({
        models: makeModels({hot: BIG_MB, idle: BIG_MB}),
        upstreams: [
          makeUpstream('a', ['hot'], NEW),
          makeUpstream('b', ['hot'], OLD),
          makeUpstream('c', ['hot'], OLD),
          makeUpstream('d', ['hot'], NEW),
          makeUpstream('e', ['idle'], OLD),
          makeUpstream('f', ['idle'], NEW),
        ],
        demand: [makeDemand('hot', {requestsPerSecond: 8, averageOpen: 15})],
      });
      expect(changes).toEqual([]);
    });
  });
});
