import {createRandom} from '@siskinplank/foundation';
import {UpstreamState} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {DispatchPolicyName, createDispatchPolicy} from './policies';
import type {DispatchRequest} from './policies';
import {createUpstreamTable} from './upstream-table';
import type {UpstreamTable} from './upstream-table';

function makeUpstream(id: string, changes: Partial<Upstream> = {}): Upstream {
  return {
    id,
    service: 'llm',
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'a',
    softwareVersion: '',
    slots: 48,
    state: UpstreamState.Ready,
    startedAtMs: 1,
    models: [{name: 'm', version: 1, adapters: []}],
    orderSequence: 0,
    remainingMs: undefined,
    ...changes,
  };
}

const REQUEST: DispatchRequest = {
  model: 'm',
  adapter: undefined,
  promptTokens: 1_000,
  triedUpstreamIds: new Set(),
  failureDomain: 'a',
};

function choose(
  table: UpstreamTable,
  name: DispatchPolicyName,
  changes: Partial<DispatchRequest> = {},
  nowMs = 1_000,
): string | undefined {
  const policy = createDispatchPolicy(name, createRandom(1));
  return policy.chooseUpstream(
    {...REQUEST, ...changes},
    table.listServiceUpstreams('llm'),
    nowMs,
  )?.entry.upstream.id;
}

const LATENCY = DispatchPolicyName.EstimatedLatency;

describe('dispatch policies', () => {
  // The load: prompts of some thousand tokens come together; the one that has
  // to be read last waits for all of them.
  it('avoids an upstream with many prompt tokens to read', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.open('u1', 'm', 4_000, 4_200);
    for (let count = 0; count < 5; count += 1) {
      table.open('u2', 'm', 100, 150).markPromptProcessed();
    }
    expect(choose(table, DispatchPolicyName.LeastOutstanding)).toBe('u1');
    expect(choose(table, LATENCY)).toBe('u2');
  });

  it('counts what other gateways have open', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.setPeerLoad('gateway-b', {u1: {m: [10, 9_000, 20_000]}});
    expect(choose(table, LATENCY)).toBe('u2');
    table.removePeer('gateway-b');
    table.open('u2', 'm', 2_000, 2_000);
    expect(choose(table, LATENCY)).toBe('u1');
  });

  it('uses only upstreams that hold the model and were not tried', () => {
    const table = createUpstreamTable();
    table.setUpstreams([
      makeUpstream('u1', {models: []}),
      makeUpstream('u2'),
      makeUpstream('u3'),
    ]);
    expect(choose(table, LATENCY, {triedUpstreamIds: new Set(['u2'])})).toBe(
      'u3',
    );
    const tried = new Set(['u2', 'u3']);
    expect(choose(table, LATENCY, {triedUpstreamIds: tried})).toBeUndefined();
  });

  it('takes no upstream for a missing adapter while it loads a model', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1')]);
    expect(choose(table, LATENCY, {adapter: 'a1'})).toBe('u1');
    table.setModelState('u1', 1, {
      models: new Map([['m', new Set(['a2'])]]),
      arriving: {model: 'n', expectedAtMs: undefined},
    });
    expect(choose(table, LATENCY, {adapter: 'a1'})).toBeUndefined();
    expect(choose(table, LATENCY, {adapter: 'a2'})).toBe('u1');
  });

  // The load: one upstream fails or answers slowly while its health is good.
  it.each([
    [
      'broke answers',
      (table: UpstreamTable) => table.recordFault('u1', 1, 900),
    ],
    [
      'broke answers of others',
      (table: UpstreamTable) => table.setPeerFaults('b', {u1: 2}, 900),
    ],
    [
      'took no connection',
      (table: UpstreamTable) => table.recordUnreachable('u1', 900),
    ],
    [
      'makes long pauses',
      (table: UpstreamTable) => {
        table.getEntry('u1')?.progress.recordPause('m', 400, 900);
        table.getEntry('u2')?.progress.recordPause('m', 40, 900);
      },
    ],
  ])('avoids an upstream that %s', (_name, harm) => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.open('u2', 'm', 1_000, 1_100);
    expect(choose(table, LATENCY)).toBe('u1');
    harm(table);
    expect(choose(table, LATENCY)).toBe('u2');
    // With little time between, it comes back.
    expect(choose(table, LATENCY, {}, 60_000)).toBe('u1');
  });

  it('avoids an upstream that is silent on all its streams', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.open('u2', 'm', 1_000, 1_100);
    const progress = table.getEntry('u1')?.progress;
    progress?.addStream(-2_000);
    expect(choose(table, LATENCY)).toBe('u2');
    progress?.removeStream();
    expect(choose(table, LATENCY)).toBe('u1');
  });

  it('does not empty a service whose upstreams all fail', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.recordFault('u1', 5, 900);
    table.recordFault('u2', 5, 900);
    expect(choose(table, LATENCY)).toBeDefined();
  });

  it('forgets what was open at an upstream that started again', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1')]);
    const open = table.open('u1', 'm', 1_000, 1_000);
    table.setUpstreams([makeUpstream('u1', {startedAtMs: 2})]);
    open.end();
    expect(table.getEntry('u1')?.open.requests).toBe(0);
  });
});
