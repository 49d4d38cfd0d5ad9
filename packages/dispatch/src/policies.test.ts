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
  isResumable: false,
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

const ESTIMATED_LATENCY = DispatchPolicyName.EstimatedLatency;

describe('dispatch policies', () => {
  // Prompts are processed one after another, so a request queued behind several
  // thousand prompt tokens waits for all of them.
  it('avoids an upstream with many pending prompt tokens', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.open('u1', 'm', 4_000, 4_200);
    for (let count = 0; count < 5; count += 1) {
      table.open('u2', 'm', 100, 150).markPromptProcessed();
    }
    expect(choose(table, DispatchPolicyName.LeastOutstanding)).toBe('u1');
    expect(choose(table, ESTIMATED_LATENCY)).toBe('u2');
  });

  it('counts the open requests of other gateways', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.setPeerLoad('gateway-b', {u1: {m: [10, 9_000, 20_000]}});
    expect(choose(table, ESTIMATED_LATENCY)).toBe('u2');
    table.removePeer('gateway-b');
    table.open('u2', 'm', 2_000, 2_000);
    expect(choose(table, ESTIMATED_LATENCY)).toBe('u1');
  });

  it('uses only untried upstreams where the model is resident', () => {
    const table = createUpstreamTable();
    table.setUpstreams([
      makeUpstream('u1', {models: []}),
      makeUpstream('u2'),
      makeUpstream('u3'),
    ]);
    expect(
      choose(table, ESTIMATED_LATENCY, {triedUpstreamIds: new Set(['u2'])}),
    ).toBe('u3');
    const tried = new Set(['u2', 'u3']);
    expect(
      choose(table, ESTIMATED_LATENCY, {triedUpstreamIds: tried}),
    ).toBeUndefined();
  });

  it('skips an upstream that lacks the adapter while it loads a model', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1')]);
    expect(choose(table, ESTIMATED_LATENCY, {adapter: 'a1'})).toBe('u1');
    table.setModelState('u1', 1, {
      models: new Map([['m', new Set(['a2'])]]),
      arriving: {model: 'n', expectedAtMs: undefined},
      warmLoadMs: new Map(),
      receivedAtMs: 0,
    });
    expect(choose(table, ESTIMATED_LATENCY, {adapter: 'a1'})).toBeUndefined();
    expect(choose(table, ESTIMATED_LATENCY, {adapter: 'a2'})).toBe('u1');
  });

  // An upstream can fail or slow down while its health check still succeeds.
  it.each([
    [
      'broke off responses',
      (table: UpstreamTable) => table.recordFault('u1', 1, 900),
    ],
    [
      'broke off responses to other gateways',
      (table: UpstreamTable) => table.setPeerFaults('b', {u1: 2}, 900),
    ],
    [
      'refused a connection',
      (table: UpstreamTable) => table.recordUnreachable('u1', 900),
    ],
    [
      'makes long pauses between events',
      (table: UpstreamTable) => {
        table.getEntry('u1')?.progress.recordPause('m', 400, 900);
        table.getEntry('u2')?.progress.recordPause('m', 40, 900);
      },
    ],
  ])('avoids an upstream that %s', (_name, degrade) => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.open('u2', 'm', 1_000, 1_100);
    expect(choose(table, ESTIMATED_LATENCY)).toBe('u1');
    degrade(table);
    expect(choose(table, ESTIMATED_LATENCY)).toBe('u2');
    // The penalty has decayed after a minute.
    expect(choose(table, ESTIMATED_LATENCY, {}, 60_000)).toBe('u1');
  });

  describe('while two software versions have the model', () => {
    const setLoadedVersions = (
      versions: readonly string[],
      openAtOthers: number,
    ): UpstreamTable => {
      const table = createUpstreamTable();
      const [first, ...others] = versions.map((softwareVersion, index) =>
        makeUpstream(`u${index + 1}`, {softwareVersion}),
      );
      table.setUpstreams([first, ...others]);
      for (const {id} of others) {
        for (let count = 0; count < openAtOthers; count += 1) {
          table.open(id, 'm', 0, 50).markPromptProcessed();
        }
      }
      return table;
    };

    // Guards against streams that have nowhere to go on when their upstream ends.
    it('begins a resumable stream where another upstream has its version', () => {
      const table = setLoadedVersions(['2', '1', '1'], 4);
      const chosen = choose(table, ESTIMATED_LATENCY, {isResumable: true});
      expect(['u2', 'u3']).toContain(chosen);
    });

    // Guards against streams that begin at a version whose last upstreams leave.
    it('begins a resumable stream at the version that has more upstreams', () => {
      const table = createUpstreamTable();
      const empty = {softwareVersion: '2', models: []};
      table.setUpstreams([
        makeUpstream('u1', {softwareVersion: '1'}),
        makeUpstream('u2', {softwareVersion: '2'}),
        ...['u3', 'u4', 'u5'].map(id => makeUpstream(id, empty)),
      ]);
      for (let count = 0; count < 4; count += 1) {
        table.open('u2', 'm', 0, 50).markPromptProcessed();
      }
      expect(choose(table, ESTIMATED_LATENCY, {isResumable: true})).toBe('u2');
    });

    // Guards against a version that has no room since each model serves a few streams.
    it('begins a resumable stream at the version that joined last', () => {
      const table = createUpstreamTable();
      table.setUpstreams([
        makeUpstream('u1', {softwareVersion: '1'}),
        makeUpstream('u2', {softwareVersion: '2', startedAtMs: 2}),
      ]);
      table.open('u2', 'm', 0, 50).markPromptProcessed();
      table.open('u2', 'm', 0, 50).markPromptProcessed();
      expect(choose(table, ESTIMATED_LATENCY, {isResumable: true})).toBe('u2');
    });

    it('chooses by the load alone for a request that cannot go on', () => {
      const table = setLoadedVersions(['2', '1', '1'], 4);
      expect(choose(table, ESTIMATED_LATENCY)).toBe('u1');
    });

    it('begins a resumable stream at the only upstream of a version if the others are busy', () => {
      const table = setLoadedVersions(['2', '1', '1'], 12);
      expect(choose(table, ESTIMATED_LATENCY, {isResumable: true})).toBe('u1');
    });

    it('does not count an upstream that refuses connections', () => {
      const table = setLoadedVersions(['2', '1', '1'], 4);
      table.recordUnreachable('u3', 900);
      expect(choose(table, ESTIMATED_LATENCY, {isResumable: true})).toBe('u1');
    });

    it('chooses by the load alone where each version has one upstream', () => {
      const table = setLoadedVersions(['2', '1'], 4);
      expect(choose(table, ESTIMATED_LATENCY, {isResumable: true})).toBe('u1');
    });

    it('chooses by the load alone where all have one version', () => {
      const table = setLoadedVersions(['1', '1', '1'], 4);
      expect(choose(table, ESTIMATED_LATENCY, {isResumable: true})).toBe('u1');
    });
  });

  it('avoids an upstream whose streams have all stalled', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.open('u2', 'm', 1_000, 1_100);
    const progress = table.getEntry('u1')?.progress;
    progress?.addStream(-2_000);
    expect(choose(table, ESTIMATED_LATENCY)).toBe('u2');
    progress?.removeStream();
    expect(choose(table, ESTIMATED_LATENCY)).toBe('u1');
  });

  it('still chooses an upstream when all of them fail', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1'), makeUpstream('u2')]);
    table.recordFault('u1', 5, 900);
    table.recordFault('u2', 5, 900);
    expect(choose(table, ESTIMATED_LATENCY)).toBeDefined();
  });

  it('drops the open requests of an upstream that restarted', () => {
    const table = createUpstreamTable();
    table.setUpstreams([makeUpstream('u1')]);
    const open = table.open('u1', 'm', 1_000, 1_000);
    table.setUpstreams([makeUpstream('u1', {startedAtMs: 2})]);
    open.end();
    expect(table.getEntry('u1')?.open.requests).toBe(0);
  });
});
