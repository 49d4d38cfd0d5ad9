/** Routing policies: exclusion, readiness tiers, prefix match and herding. */
import {describe, expect, it} from 'vitest';
import {createRandom} from '@siskinplank/foundation';
import {MemberState, MessageType, TargetType} from '@siskinplank/messages';
import type {LoadSummary} from '@siskinplank/messages';
import {
  PriorityClass,
  UpstreamState,
  UpstreamType,
} from '@siskinplank/resources';
import type {Upstream} from '@siskinplank/resources';
import {RoutingPolicyName, createRoutingPolicy} from './factory';
import {createLoadTable} from './load-table';
import {PREFIX_BLOCK_BYTES, hashPromptPrefixes} from './prefixes';
import type {RoutingCandidate, RoutingRequest} from './types';

const REQUEST_TOKENS = 200;

function makeUpstream(name: string): Upstream {
  return {
    name,
    type: UpstreamType.Engine,
    address: {host: '127.0.0.1', port: 1},
    side: {host: '127.0.0.1', port: 2},
    failureDomain: 'fd-1',
    region: 'default',
    accelerators: 1,
    memoryMiB: 1_000,
    checksFencing: true,
    maxConcurrency: 16,
    state: UpstreamState.Active,
  };
}

function makeLoad(
  upstream: string,
  change: Partial<LoadSummary> = {},
): LoadSummary {
  return {
    upstream,
    sequence: 1,
    state: MemberState.Live,
    queuedRequests: 0,
    queuedTokens: 0,
    running: 0,
    maxConcurrency: 16,
    freeMemoryMiB: 0,
    models: ['birch'],
    loadingModels: [],
    adapters: [],
    demand: {},
    cachedPrefixes: [],
    ...change,
  };
}

function makeCandidate(
  name: string,
  load: Partial<LoadSummary> = {},
  change: Partial<RoutingCandidate> = {},
): RoutingCandidate {
  return {
    upstream: makeUpstream(name),
    load: makeLoad(name, load),
    loadAgeMs: 0,
    memberState: MemberState.Live,
    openRequests: 0,
    openTokens: 0,
    isPlaced: false,
    ...change,
  };
}

function makeRequest(change: Partial<RoutingRequest> = {}): RoutingRequest {
  return {
    target: {type: TargetType.Model, model: 'birch'},
    estimatedTokens: REQUEST_TOKENS,
    priority: PriorityClass.Awaited,
    deadlineMs: 1_000,
    prefixHashes: [],
    failureDomain: 'fd-1',
    region: 'default',
    excluded: new Set(),
    ...change,
  };
}

/** Collects the choices of 200 calls, so that rare choices are included. */
function listChoices(
  name: RoutingPolicyName,
  request: RoutingRequest,
  candidates: readonly RoutingCandidate[],
): Set<string | undefined> {
  const policy = createRoutingPolicy(name, createRandom(5));
  const chosen = new Set<string | undefined>();
  for (let round = 0; round < 200; round += 1) {
    chosen.add(policy.selectUpstream(request, candidates, 0)?.name);
  }
  return chosen;
}

/**
 * Simulates entry hosts that choose by reports up to one second old. Returns
 * the longest queue reached, as a multiple of the mean queue at that time.
 */
function simulateHerd(name: RoutingPolicyName): number {
  const hosts = 50;
  const upstreams = Array.from({length: 20}, (_, i) => `engine-${i}`);
  const queued = new Map(upstreams.map(upstream => [upstream, 0]));
  const tables = Array.from({length: hosts}, () => createLoadTable());
  const policies = tables.map((_, index) =>
    createRoutingPolicy(name, createRandom(index)),
  );
  let worst = 0;
  for (let second = 1; second <= 30; second += 1) {
    for (const table of tables) {
      for (const [upstream, queuedTokens] of queued) {
        const load = {sequence: second, queuedTokens};
        table.recordReport(makeLoad(upstream, load), second * 1_000);
      }
    }
    const closers: Array<() => void> = [];
    for (let request = 0; request < 1_000; request += 1) {
      const host = request % hosts;
      const candidates = upstreams.map(upstream => ({
        ...makeCandidate(upstream),
        ...tables[host].getLoad(upstream, second * 1_000),
      }));
      const chosen = policies[host].selectUpstream(
        makeRequest(),
        candidates,
        second * 1_000,
      )!.name;
      queued.set(chosen, queued.get(chosen)! + REQUEST_TOKENS);
      closers.push(tables[host].openRequest(chosen, REQUEST_TOKENS));
    }
    const lengths = [...queued.values()];
    const mean = lengths.reduce((sum, value) => sum + value, 0) / 20;
    worst = Math.max(worst, Math.max(...lengths) / mean);
    closers.forEach(close => close());
    // Each upstream serves the mean number of arrivals, 50 requests per second.
    for (const [upstream, tokens] of queued) {
      queued.set(upstream, Math.max(0, tokens - 50 * REQUEST_TOKENS));
    }
  }
  return worst;
}

describe('routing policies', () => {
  // Guards against requests to leaving, suspect or excluded upstreams.
  it('leaves out leaving, suspect and excluded upstreams', () => {
    const candidates = [
      makeCandidate('left', {}, {memberState: MemberState.Leaving}),
      makeCandidate('suspect', {}, {memberState: MemberState.Suspect}),
      makeCandidate('refused'),
      makeCandidate('live', {models: []}),
    ];
    candidates.push({
      ...makeCandidate('configured'),
      upstream: {...makeUpstream('configured'), state: UpstreamState.Leaving},
    });
    for (const name of Object.values(RoutingPolicyName)) {
      const request = makeRequest({excluded: new Set(['refused'])});
      expect([...listChoices(name, request, candidates)]).toEqual(['live']);
      const excluded = new Set(['refused', 'live']);
      const last = listChoices(name, makeRequest({excluded}), candidates);
      expect([...last]).toEqual(['suspect']);
      const none = listChoices(name, makeRequest(), candidates.slice(0, 1));
      expect([...none]).toEqual([undefined]);
    }
  });

  // Guards against needless loads of a model, and against a model that is not
  // loaded anywhere and gets no upstream.
  it('prefers loaded, then loading, then placed upstreams', () => {
    const tiers = [
      makeCandidate('loaded'),
      makeCandidate('loading', {models: [], loadingModels: ['birch']}),
      makeCandidate('placed', {models: []}, {isPlaced: true}),
      makeCandidate('loadable', {models: []}),
    ];
    for (let first = 0; first < tiers.length; first += 1) {
      const rest = tiers.slice(first);
      for (const name of Object.values(RoutingPolicyName)) {
        const chosen = listChoices(name, makeRequest(), rest);
        expect([...chosen]).toEqual([rest[0].upstream.name]);
      }
    }
  });

  // Guards against missed prefix caches, and against a cached prefix that sends
  // all requests to one overloaded upstream.
  it('prefers a cached prefix within the load bound', () => {
    const prompt = new Uint8Array(3 * PREFIX_BLOCK_BYTES).fill(65);
    const prefixHashes = hashPromptPrefixes('birch', prompt);
    expect(prefixHashes).toHaveLength(3);
    const cachedPrefixes = [prefixHashes[1]];
    const others = ['b', 'c', 'd'].map(name => makeCandidate(name));
    const request = makeRequest({prefixHashes});
    const choose = (load: Partial<LoadSummary>) =>
      listChoices(RoutingPolicyName.Default, request, [
        makeCandidate('cached', {cachedPrefixes, ...load}),
        ...others,
      ]);
    expect([...choose({})]).toEqual(['cached']);
    expect(choose({queuedTokens: 50_000})).not.toContain('cached');
  });

  // Guards against repeated prompts that go to another upstream each time while
  // the side process reports no prefixes, and against unbounded memory use.
  it('sends a prefix to the upstream that received it before', () => {
    const table = createLoadTable();
    const hashes = Array.from({length: 3_000}, (_, index) => `hash-${index}`);
    table.recordPrefixes('a', hashes);
    const {sentPrefixes} = table.getLoad('a', 0);
    expect(sentPrefixes.size).toBe(2_048);
    const request = makeRequest({prefixHashes: ['longer', 'hash-2999']});
    const chosen = listChoices(RoutingPolicyName.Default, request, [
      makeCandidate('b'),
      makeCandidate('a', {}, {sentPrefixes}),
      makeCandidate('c'),
    ]);
    expect([...chosen]).toEqual(['a']);
  });

  // Guards against requests that leave their region without need.
  it('stays in the region while it is within the load bound', () => {
    const far = makeCandidate('far');
    const otherRegion = {...far, upstream: {...far.upstream, region: 'other'}};
    const choose = (queuedTokens: number) =>
      listChoices(RoutingPolicyName.Default, makeRequest(), [
        makeCandidate('near', {queuedTokens}),
        otherRegion,
      ]);
    expect([...choose(100)]).toEqual(['near']);
    expect(choose(50_000)).not.toContain('near');
  });

  // Guards against equal prefixes with different hashes, and against changed
  // prefixes with the same hash.
  it('gives equal prefixes equal hashes', () => {
    const text = new TextEncoder().encode('brass '.repeat(200));
    const changed = Uint8Array.from(text);
    changed[PREFIX_BLOCK_BYTES + 1] ^= 1;
    const hashes = hashPromptPrefixes('birch', text);
    const others = hashPromptPrefixes('birch', changed);
    expect(others.at(-1)).toBe(hashes.at(-1));
    expect(others.at(-2)).not.toBe(hashes.at(-2));
    expect(hashPromptPrefixes('oak', text).at(-1)).not.toBe(hashes.at(-1));
  });

  // Guards against many hosts that send all requests of a second to the
  // upstream with the least load in the last reports.
  it('spreads requests although reports are one second old', () => {
    const herd = simulateHerd(RoutingPolicyName.LeastLoadedReport);
    const spread = simulateHerd(RoutingPolicyName.Default);
    expect(herd).toBeGreaterThan(5);
    expect(spread).toBeLessThan(2.5);
  });

  // Guards against a delayed report that replaces a newer one, and against
  // requests that are counted as open after their end.
  it('keeps the latest report and counts open requests', () => {
    const table = createLoadTable();
    table.recordReport(makeLoad('a', {sequence: 2, running: 2}), 1_000);
    table.recordReport(makeLoad('a', {sequence: 1, running: 1}), 1_100);
    const close = table.openRequest('a', 30);
    expect(table.getLoad('a', 1_500)).toMatchObject({
      load: {running: 2},
      loadAgeMs: 500,
      openRequests: 1,
      openTokens: 30,
    });
    close();
    close();
    expect(table.getLoad('a', 1_500)).toMatchObject({
      openRequests: 0,
      openTokens: 0,
    });
  });

  // Guards against an update that is applied to a newer report, to a report of
  // an earlier start of the side process, or without any report.
  it('applies updates only to an earlier report', () => {
    const table = createLoadTable();
    const update = {
      type: MessageType.LoadUpdate as const,
      upstream: 'a',
      sequence: 6,
      state: MemberState.Live,
      queuedRequests: 1,
      queuedTokens: 70,
      running: 2,
      freeMemoryMiB: 5,
    };
    expect(table.recordUpdate(update, 0)).toBe(false);
    const cachedPrefixes = ['x', 'y'];
    table.recordReport(makeLoad('a', {sequence: 5, cachedPrefixes}), 0);
    const changes = {addedPrefixes: ['z', 'x'], removedPrefixes: ['y']};
    expect(table.recordUpdate({...update, ...changes}, 900)).toBe(true);
    expect(table.getLoad('a', 1_000)).toMatchObject({
      load: {queuedTokens: 70, models: ['birch'], cachedPrefixes: ['z', 'x']},
      loadAgeMs: 100,
    });
    expect(table.recordUpdate({...update, sequence: 2}, 1_000)).toBe(false);
    table.removeReport('a');
    expect(table.recordUpdate({...update, sequence: 7}, 1_000)).toBe(false);
  });
});
