import type {UpstreamTable} from '@siskinplank/dispatch';
import {
  DispatchPolicyName,
  createDispatchPolicy,
  createUpstreamTable,
} from '@siskinplank/dispatch';
import {createManualClock, createRandom} from '@siskinplank/foundation';
import type {Logger, ManualClock} from '@siskinplank/foundation';
import {UpstreamState} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {createDispatcher} from './dispatcher';
import type {Dispatcher} from './dispatcher';
import type {RefusalCode} from './refusals';
import {createUpstreamBackoffs} from './upstream-backoffs';
import type {UpstreamBackoffs} from './upstream-backoffs';
import {createUpstreamLimits} from './upstream-limits';
import type {UpstreamLimits} from './upstream-limits';

const SERVICE = 'llm';
const MODEL = 'm';
/** Requests wait for an upstream up to 0.85 of 2 s. */
const LONGEST_WAIT_MS = 1_700;
/** Load time from the weight store. */
const LOAD_MS = 1_200;

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};

/**
 * Upstreams whose ids begin with `new` have a newer software version, and those
 * with `empty` in their ids no model.
 */
function makeUpstream(id: string): Upstream {
  return {
    id,
    service: SERVICE,
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'a',
    softwareVersion: id.startsWith('new') ? '2' : '1',
    slots: 8,
    state: UpstreamState.Ready,
    startedAtMs: 1,
    models: id.includes('empty')
      ? []
      : [{name: MODEL, version: 1, adapters: []}],
    orderSequence: 0,
    remainingMs: undefined,
  };
}

interface Refused {
  code: RefusalCode;
  retryAfterMs: number | undefined;
}

interface Bench {
  backoffs: UpstreamBackoffs;
  clock: ManualClock;
  dispatcher: Dispatcher;
  limits: UpstreamLimits;
  table: UpstreamTable;
  /** Upstreams that requests got, in order. */
  chosen: string[];
  refused: Refused[];
  acquire(
    tried?: readonly string[],
    deadlineMs?: number,
    softwareVersion?: string,
    needsActive?: boolean,
  ): void;
}

/** @param storeLoadMs undefined if no upstream can load the model. */
function createBench(ids: readonly string[], storeLoadMs?: number): Bench {
  const clock = createManualClock();
  const table = createUpstreamTable();
  table.setUpstreams(ids.map(makeUpstream));
  const backoffs = createUpstreamBackoffs(SILENT_LOGGER);
  const limits = createUpstreamLimits({
    ownName: 'gateway-1',
    upstreams: table,
    clock,
    logger: SILENT_LOGGER,
    onNeed: () => undefined,
    onNews: () => undefined,
  });
  limits.setMembers(['gateway-1'], 1);
  const dispatcher = createDispatcher({
    table,
    policy: createDispatchPolicy(
      DispatchPolicyName.EstimatedLatency,
      createRandom(1),
    ),
    limits,
    backoffs,
    failureDomain: 'a',
    clock,
    getStoreLoadMs: () => storeLoadMs,
    loadAdapter: () => Promise.resolve(undefined),
    onWaiting: () => undefined,
  });
  const chosen: string[] = [];
  const refused: Refused[] = [];
  return {
    backoffs,
    clock,
    dispatcher,
    limits,
    table,
    chosen,
    refused,
    acquire: (
      tried = [],
      deadlineMs = 8_000,
      softwareVersion,
      needsActive = false,
    ) =>
      void dispatcher.acquire({
        service: SERVICE,
        model: MODEL,
        adapter: undefined,
        promptTokens: 10,
        isResumable: false,
        triedUpstreamIds: new Set(tried),
        arrivedAtMs: clock.getNowMs(),
        deadlineAtMs: clock.getNowMs() + deadlineMs,
        targetLatencyMs: 500,
        targetPauseMs: undefined,
        softwareVersion,
        needsActive,
        getLastStartAtMs: () => undefined,
        onUpstream: ({upstream}) => chosen.push(upstream.id),
        onRefused: (retryAfterMs, code) => refused.push({retryAfterMs, code}),
      }),
  };
}

describe('dispatcher before upstreams that want nothing for a time', () => {
  it('chooses other upstreams', () => {
    const {acquire, backoffs, chosen} = createBench(['u1', 'u2']);
    backoffs.record('u1/1', 5_000, 0);
    for (let count = 0; count < 10; count += 1) acquire();
    expect(new Set(chosen)).toEqual(new Set(['u2']));
    expect(chosen).toHaveLength(10);
  });

  it('lets requests wait when the time ends soon enough', () => {
    const {acquire, backoffs, chosen, clock, refused} = createBench(['u1']);
    backoffs.record('u1/1', LONGEST_WAIT_MS, 0);
    acquire();
    clock.runFor(LONGEST_WAIT_MS - 1);
    expect([chosen, refused]).toEqual([[], []]);
    clock.runFor(100);
    expect(chosen).toEqual(['u1']);
  });

  it('refuses requests at once with the time that is left', () => {
    const {acquire, backoffs, clock, refused} = createBench(['u1', 'u2']);
    backoffs.record('u1/1', 9_000, 0);
    backoffs.record('u2/1', 5_000, 0);
    clock.runFor(1_000);
    acquire();
    expect(refused).toEqual([{retryAfterMs: 4_000, code: 'upstream-backoff'}]);
  });

  it('does not wait for a load where the request was sent to all upstreams', () => {
    const {acquire, refused} = createBench(['u1'], LOAD_MS);
    acquire(['u1']);
    expect(refused).toHaveLength(1);
  });

  it('keeps to a limit that the upstream named besides', () => {
    const {acquire, backoffs, chosen, clock, limits} = createBench(['u1']);
    limits.observeResponse(makeUpstream('u1'), 1, 0, false);
    backoffs.record('u1/1', 1_000, 0);
    for (let count = 0; count < 20; count += 1) acquire();
    clock.runFor(999);
    expect(chosen).toEqual([]);
    clock.runFor(200);
    expect(chosen.length).toBeGreaterThan(0);
    expect(chosen.length).toBeLessThan(5);
  });

  // After a pause of the process, a search is tried again before the timer of
  // its deadline runs.
  it('chooses none for a request whose deadline has passed', () => {
    const {acquire, chosen, refused} = createBench(['u1']);
    acquire([], 0);
    expect(chosen).toEqual([]);
    expect(refused).toHaveLength(1);
  });

  it('tells when all upstreams with the model want requests again', () => {
    const {backoffs, dispatcher} = createBench(['u1', 'u2']);
    const estimate = (model: string): number | undefined =>
      dispatcher.estimateBackoffMs({
        service: SERVICE,
        model,
        softwareVersion: undefined,
      });
    backoffs.record('u1/1', 3_000, 0);
    expect(estimate(MODEL)).toBeUndefined();
    backoffs.record('u2/1', 2_000, 0);
    expect(estimate(MODEL)).toBe(2_000);
    expect(estimate('other')).toBeUndefined();
  });
});

describe('dispatcher of requests that resume a stream', () => {
  it('chooses the version that began it, however busy', () => {
    const {acquire, chosen} = createBench(['new1', 'u1', 'u2']);
    for (let count = 0; count < 20; count += 1) acquire([], 8_000, '2');
    expect(new Set(chosen)).toEqual(new Set(['new1']));
  });

  it('refuses at once when no upstream has the version', () => {
    const {acquire, refused} = createBench(['u1', 'u2'], LOAD_MS);
    acquire([], 8_000, '2');
    expect(refused).toEqual([
      {retryAfterMs: undefined, code: 'version-not-served'},
    ]);
  });

  it('does not wait where an upstream of the version failed it', () => {
    const {acquire, refused} = createBench(
      ['new1', 'newempty1', 'u1'],
      LOAD_MS,
    );
    acquire(['new1'], 8_000, '2');
    expect(refused).toMatchObject([{code: 'no-upstream'}]);
  });

  // Guards against streams refused though an upstream of their version has room.
  it('waits for a load at the version while others have the model', () => {
    const {acquire, clock, chosen, dispatcher, refused, table} = createBench(
      ['newempty1', 'u1'],
      LOAD_MS,
    );
    acquire([], 8_000, '2');
    expect([chosen, refused]).toEqual([[], []]);
    const waiting = dispatcher.describeWaiting(0).get(MODEL);
    expect(waiting?.streamsByVersion).toEqual(new Map([['2', 1]]));
    const models = new Map([[MODEL, new Set<string>()]]);
    table.setModelState('newempty1', 1, {
      models,
      arriving: undefined,
      warmLoadMs: new Map(),
      receivedAtMs: 0,
    });
    clock.runFor(50);
    expect(chosen).toEqual(['newempty1']);
  });

  it('refuses at once when a load at the version takes too long', () => {
    const ids = ['newempty1', 'u1'];
    const {acquire, refused, table} = createBench(ids, LONGEST_WAIT_MS);
    acquire([], 8_000, '2');
    expect(refused).toMatchObject([{code: 'no-upstream'}]);
    table.setModelState('newempty1', 1, {
      models: new Map(),
      arriving: undefined,
      warmLoadMs: new Map([[MODEL, 600]]),
      receivedAtMs: 0,
    });
    acquire([], 8_000, '2');
    expect(refused).toHaveLength(1);
  });

  it('waits for a load of a model that no upstream holds any more', () => {
    const {acquire, refused} = createBench(['empty1', 'newempty1'], LOAD_MS);
    acquire([], 8_000, '2');
    expect(refused).toEqual([]);
  });

  // The order leader counts its models as lost while two versions serve.
  it('waits for a load when the only upstream with the model is down', () => {
    const {acquire, chosen, refused, table} = createBench(
      ['new1', 'newempty1', 'empty1'],
      LOAD_MS,
    );
    table.recordUnreachable('new1', 0);
    acquire(['new1'], 8_000, '2');
    expect([chosen, refused]).toEqual([[], []]);
  });

  it('waits only for upstreams of the version that want requests again', () => {
    const {acquire, backoffs, chosen, clock} = createBench(['new1', 'u1']);
    backoffs.record('new1/1', 1_000, 0);
    acquire([], 8_000, '2');
    expect(chosen).toEqual([]);
    clock.runFor(1_100);
    expect(chosen).toEqual(['new1']);
  });
});

describe('dispatcher before upstreams that pause', () => {
  const stall = ({table, clock}: Bench, id: string): void => {
    table.getEntry(id)?.progress.addStream(clock.getNowMs());
  };
  const STALL_MS = 1_500;

  // Its request would wait there as well, and spend a retry on it.
  it('sends no failover to an upstream whose streams have stalled', () => {
    const bench = createBench(['u1', 'u2', 'u3'], LOAD_MS);
    stall(bench, 'u1');
    stall(bench, 'u2');
    bench.clock.runFor(STALL_MS);
    bench.acquire(['u1'], 8_000, undefined, true);
    expect(bench.chosen).toEqual(['u3']);
    stall(bench, 'u3');
    bench.clock.runFor(STALL_MS);
    bench.acquire(['u1'], 8_000, undefined, true);
    expect(bench.chosen).toEqual(['u3']);
    expect(bench.refused).toHaveLength(1);
    bench.acquire(['u1']);
    expect(bench.chosen).toHaveLength(2);
  });

  // An upstream that paused before has the faults of the requests that left it.
  it('sends a failover to an active upstream with many faults', () => {
    const bench = createBench(['u1', 'u2', 'u3'], LOAD_MS);
    stall(bench, 'u1');
    stall(bench, 'u2');
    bench.clock.runFor(STALL_MS);
    bench.table.recordFault('u3', 6, bench.clock.getNowMs());
    bench.acquire(['u1'], 8_000, undefined, true);
    expect(bench.refused).toEqual([]);
    expect(bench.chosen).toEqual(['u3']);
  });
});
