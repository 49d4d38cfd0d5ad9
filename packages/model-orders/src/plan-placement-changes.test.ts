import {describe, expect, it} from 'vitest';
import {
  BIG_MB,
  MODELS,
  makeDemand,
  makeModels,
  makeUpstream,
  plan,
} from './testing/plan-input';

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

  // Guards against replicas that are evicted by turns before they are used.
  it('does not evict an idle replica of a model that lacks several', () => {
    const models = makeModels({one: BIG_MB, two: BIG_MB});
    const changes = plan({
      models,
      upstreams: [
        makeUpstream('a', ['one'], {
          capacityMb: 40_000,
          openByModel: new Map([['one', 48]]),
        }),
        makeUpstream('b', ['two'], {
          capacityMb: 40_000,
          openByModel: new Map([['two', 48]]),
        }),
        makeUpstream('c', ['one'], {capacityMb: 40_000}),
      ],
      demand: ['one', 'two'].map(name =>
        makeDemand(name, {requestsPerSecond: 5, averageOpen: 48}),
      ),
    });
    expect(changes).toEqual([]);
  });
});
