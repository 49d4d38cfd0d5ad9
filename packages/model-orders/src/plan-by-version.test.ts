import type {ModelSpec} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {filterReachable} from './planned-upstream';
import type {PlannedUpstream} from './planned-upstream';
import {
  BIG_MB,
  makeDemand,
  makeModels,
  makeUpstream,
  plan,
} from './testing/plan-input';

describe('planning of placement changes while two software versions serve', () => {
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

  // Guards against streams that can't go on though an upstream has room.
  it('loads a model at the version at which its streams wait', () => {
    const upstreams = [
      makeUpstream('a', ['hot', 'small'], NEW),
      makeUpstream('b', ['idle', 'rare'], OLD),
      makeUpstream('c', [], NEW),
    ];
    const demand = [
      makeDemand('hot', {
        requestsPerSecond: 1,
        averageOpen: 3,
        waitingCount: 11,
        waitingByVersion: new Map([['1', 11]]),
      }),
      makeDemand('idle', {requestsPerSecond: 0.1}),
    ];
    for (const isReleaseRunning of [false, true]) {
      expect(plan({upstreams, demand, isReleaseRunning})[0]).toMatchObject({
        upstream: 'b',
        load: 'hot',
      });
    }
    const arriving = {...upstreams[1], serving: new Set(['hot', 'idle'])};
    const planned = plan({upstreams: [upstreams[0], arriving], demand});
    expect(planned.filter(({load}) => load === 'hot')).toEqual([]);
  });

  // Guards against streams whose version has no upstream that takes an order.
  it('keeps the last upstream of a version that has room for its streams', () => {
    const upstreams = [
      makeUpstream('a', ['hot'], {
        ...OLD,
        openByModel: new Map([['hot', 5]]),
      }),
      makeUpstream('b', [], OLD),
      makeUpstream('c', ['idle'], NEW),
      makeUpstream('d', [], {...NEW, inMemory: new Set()}),
    ];
    const demand = [
      makeDemand('hot', {requestsPerSecond: 2, averageOpen: 5}),
      makeDemand('rare', {requestsPerSecond: 1, waitingCount: 3}),
      makeDemand('small', {requestsPerSecond: 1, waitingCount: 3}),
    ];
    const listTargets = (planned: readonly PlannedUpstream[]): string[] =>
      plan({upstreams: planned, demand})
        .filter(({load}) => load !== 'hot')
        .map(({upstream}) => upstream);
    expect(listTargets(upstreams)).not.toContain('b');
    const another = makeUpstream('e', [], OLD);
    expect(listTargets([...upstreams, another])).toHaveLength(2);
    const alike = upstreams.map(upstream => ({...upstream, ...OLD}));
    expect(listTargets(alike)).toContain('b');
  });

  // Guards against the last load that the store allows going to new requests.
  it('loads for streams that wait before it loads for other requests', () => {
    const changes = plan({
      upstreams: [makeUpstream('a', ['hot'], NEW), makeUpstream('b', [], OLD)],
      demand: [
        makeDemand('rare', {requestsPerSecond: 9, waitingCount: 20}),
        makeDemand('hot', {waitingByVersion: new Map([['1', 2]])}),
      ],
      storeLoadsLeft: 1,
    });
    expect(changes).toMatchObject([{upstream: 'b', load: 'hot'}]);
  });

  // Guards against streams that wait in vain since other loads took all that the
  // store allows.
  it('leaves a load from the store for streams while two versions serve', () => {
    const upstreams = [
      makeUpstream('a', ['hot'], NEW),
      makeUpstream('b', [], OLD),
      makeUpstream('c', [], NEW),
    ];
    const listLoads = (
      planned: readonly PlannedUpstream[],
      storeLoadsLeftForStreams: number,
      storeLoadMs = 1_200,
    ): string[] => {
      const models = makeModels({hot: BIG_MB, rare: BIG_MB});
      return plan({
        upstreams: planned,
        models: new Map(
          [...models].map(([name, model]) => [name, {...model, storeLoadMs}]),
        ),
        demand: [makeDemand('rare', {requestsPerSecond: 9, waitingCount: 20})],
        storeLoadsLeft: 1,
        storeLoadsLeftForStreams,
      }).map(({load}) => load);
    };
    expect(listLoads(upstreams, 1)).toEqual([]);
    expect(listLoads(upstreams, 2)).toEqual(['rare']);
    // Streams wait for no load that ends after their callers have left.
    expect(listLoads(upstreams, 1, 8_600)).toEqual(['rare']);
    const alike = upstreams.map(upstream => ({...upstream, ...OLD}));
    expect(listLoads(alike, 1)).toEqual(['rare']);
  });

  // Guards against streams lost with a model whose load takes longer than callers wait.
  it('adds a replica in a release if the model takes long to load', () => {
    const listTargets = (storeLoadMs: number): string[] => {
      const models = makeModels({hot: BIG_MB, idle: BIG_MB});
      const slow = {...(models.get('hot') as ModelSpec), storeLoadMs};
      return plan({
        models: new Map([...models, ['hot', slow]]),
        upstreams: [
          makeUpstream('a', ['hot'], NEW),
          makeUpstream('b', ['hot'], OLD),
          makeUpstream('c', ['idle'], OLD),
          makeUpstream('d', ['idle'], NEW),
        ],
        demand: [makeDemand('hot', {requestsPerSecond: 8, averageOpen: 15})],
        isReleaseRunning: true,
      }).map(({load}) => load);
    };
    expect(listTargets(1_200)).toEqual([]);
    expect(listTargets(4_000)).toEqual(['hot']);
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

  // Guards against requests for a model that no upstream holds and none may load.
  it('loads a lost model though each upstream is kept for streams', () => {
    const models = makeModels({one: BIG_MB, two: BIG_MB, lost: BIG_MB});
    const open = (model: string) => ({openByModel: new Map([[model, 1]])});
    for (const isReleaseRunning of [true, false]) {
      const changes = plan({
        isReleaseRunning,
        models,
        upstreams: [
          makeUpstream('a', ['one'], {...OLD, ...open('one')}),
          makeUpstream('b', ['two'], {...OLD, ...open('two')}),
          makeUpstream('c', ['one'], {...NEW, ...open('one')}),
          makeUpstream('d', ['two'], {...NEW, ...open('two')}),
        ],
        demand: [
          makeDemand('one', {requestsPerSecond: 1, averageOpen: 2}),
          makeDemand('two', {requestsPerSecond: 1, averageOpen: 2}),
          makeDemand('lost', {requestsPerSecond: 20, waitingCount: 30}),
        ],
      });
      expect(changes).toContainEqual(expect.objectContaining({load: 'lost'}));
    }
  });

  // Guards against a risk that is kept by the upstream that could end it.
  it('adds the second replica at a version on the upstream that is kept for it', () => {
    const changes = plan({
      models: makeModels({hot: BIG_MB}),
      upstreams: [
        makeUpstream('a', ['hot'], {
          ...OLD,
          openByModel: new Map([['hot', 20]]),
        }),
        makeUpstream('b', [], OLD),
        makeUpstream('c', ['hot'], {
          ...NEW,
          openByModel: new Map([['hot', 20]]),
        }),
        makeUpstream('d', [], NEW),
      ],
      demand: [makeDemand('hot', {requestsPerSecond: 10, averageOpen: 40})],
    });
    expect(changes.map(({load}) => load)).toContain('hot');
  });

  // Guards against loads at a leaving version that end after callers have left.
  it('plans no load for waiting streams that would end too late', () => {
    const models = makeModels({hot: BIG_MB});
    const slow = {...(models.get('hot') as ModelSpec), storeLoadMs: 8_600};
    const changes = plan({
      isReleaseRunning: true,
      models: new Map([['hot', slow]]),
      upstreams: [
        makeUpstream('a', [], OLD),
        makeUpstream('b', [], {...NEW, inMemory: new Set(['hot'])}),
      ],
      demand: [
        makeDemand('hot', {
          requestsPerSecond: 5,
          averageOpen: 10,
          waitingCount: 10,
          waitingByVersion: new Map([['1', 3]]),
        }),
      ],
    });
    expect(changes).toMatchObject([{upstream: 'b', load: 'hot'}]);
  });

  // Guards against streams that wait for the silence of an upstream that has ended.
  it('plans a load for waiting streams if the holder of their model answers no more', () => {
    const changes = plan({
      isReleaseRunning: true,
      models: makeModels({hot: BIG_MB}),
      upstreams: [
        makeUpstream('a', ['hot'], {...OLD, isAnswering: false}),
        makeUpstream('b', [], OLD),
        makeUpstream('c', ['hot'], NEW),
      ],
      demand: [makeDemand('hot', {waitingByVersion: new Map([['1', 3]])})],
    });
    expect(changes).toMatchObject([{upstream: 'b', load: 'hot'}]);
  });

  // Guards against a copy that is dropped before the streams that waited for it
  // are sent to it.
  it('evicts no model that streams wait for at the version', () => {
    const listChanges = (waiting: ReadonlyMap<string, number>): unknown[] =>
      plan({
        models: makeModels({hot: BIG_MB, rare: BIG_MB}),
        upstreams: [
          makeUpstream('a', ['hot'], {...OLD, capacityMb: BIG_MB}),
          makeUpstream('b', ['hot'], {...NEW, canTakeOrder: false}),
          makeUpstream('c', ['hot', 'rare'], {...NEW, canTakeOrder: false}),
        ],
        demand: [
          makeDemand('hot', {averageOpen: 2, waitingByVersion: waiting}),
          makeDemand('rare', {waitingByVersion: new Map([['1', 8]])}),
        ],
      });
    expect(listChanges(new Map([['1', 22]]))).toEqual([]);
    expect(listChanges(new Map())).toMatchObject([
      {upstream: 'a', load: 'rare', evict: ['hot']},
    ]);
  });

  // Guards against a further load per period for counts that are out of date.
  it('plans no load for waiting streams at a version that holds the model', () => {
    const changes = plan({
      isReleaseRunning: true,
      models: makeModels({hot: BIG_MB}),
      upstreams: [
        makeUpstream('a', ['hot'], OLD),
        makeUpstream('b', [], OLD),
        makeUpstream('c', ['hot'], NEW),
      ],
      demand: [makeDemand('hot', {waitingByVersion: new Map([['1', 3]])})],
    });
    expect(changes).toEqual([]);
  });
});
