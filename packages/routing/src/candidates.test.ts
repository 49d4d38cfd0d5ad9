/** Candidate lists built from configuration, membership and load reports. */
import {describe, expect, it} from 'vitest';
import type {ConfigurationView} from '@siskinplank/configuration';
import type {MembershipView} from '@siskinplank/membership';
import {
  FreshnessState,
  MemberState,
  ProcessRole,
  TargetType,
} from '@siskinplank/messages';
import type {LoadSummary, Member, RequestTarget} from '@siskinplank/messages';
import {ResourceKind, parseResource} from '@siskinplank/resources';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';
import {buildCandidates} from './candidates';
import {createLoadTable} from './load-table';

const BIRCH: RequestTarget = {type: TargetType.Model, model: 'birch'};

function createView(
  values: ReadonlyArray<[ConfigurationKind, Record<string, unknown>]>,
): ConfigurationView {
  const objects = values.map(([kind, value]) => ({
    kind,
    name: String(value['name']),
    version: 1,
    value: parseResource(kind, value).unsafeCoerce(),
  }));
  const listObjects = <K extends ConfigurationKind>(kind: K) =>
    objects.filter(object => object.kind === kind) as unknown as Array<
      StoredObject<K>
    >;
  return {
    getRevision: () => 1,
    getFreshness: () => ({state: FreshnessState.Confirmed, ageMs: 0}),
    getObject: (kind, name) =>
      listObjects(kind).find(object => object.name === name),
    listObjects,
    subscribe: () => () => undefined,
  };
}

function createMembership(states: readonly MemberState[]): MembershipView {
  const members = states.map((state, index): Member => ({
    name: `side-${index}`,
    incarnation: '1',
    role: ProcessRole.Side,
    host: '127.0.0.1',
    port: 100 + index,
    failureDomain: 'fd-1',
    region: 'default',
    state,
    sequence: 1,
  }));
  return {
    start: () => undefined,
    stop: () => undefined,
    listMembers: () => members,
    getMember: () => undefined,
    setOwnState: () => undefined,
    subscribe: () => () => undefined,
  };
}

function makeUpstream(
  index: number,
  change: Record<string, unknown> = {},
): [ConfigurationKind, Record<string, unknown>] {
  return [
    ResourceKind.Upstream,
    {
      name: `u${index}`,
      type: 'engine',
      address: {host: '127.0.0.1', port: 1},
      side: {host: '127.0.0.1', port: 100 + index},
      failureDomain: 'fd-1',
      memoryMiB: 100,
      ...change,
    },
  ];
}

describe('buildCandidates', () => {
  // Guards against requests to upstreams without enough memory for the model,
  // upstreams that the model is not allowed on, and upstreams that are leaving
  // according to the configuration, the membership or a load report.
  it('lists only upstreams that can and may serve the model', () => {
    const configuration = createView([
      [
        ResourceKind.Model,
        {
          name: 'birch',
          memoryMiB: 80,
          upstreams: ['u0', 'u1', 'u2', 'u3', 'u4', 'u5'],
        },
      ],
      [ResourceKind.Adapter, {name: 'lv', model: 'birch', memoryMiB: 30}],
      [
        ResourceKind.Placement,
        {
          name: 'u0',
          epoch: 1,
          models: [{name: 'birch', version: '1'}],
          adapters: [],
        },
      ],
      makeUpstream(0),
      makeUpstream(1, {memoryMiB: 70}),
      makeUpstream(2, {state: 'leaving'}),
      makeUpstream(3),
      makeUpstream(4),
      makeUpstream(5, {type: 'service'}),
      makeUpstream(6),
    ]);
    const loads = createLoadTable();
    loads.recordReport(
      {upstream: 'u4', sequence: 1, state: MemberState.Leaving} as LoadSummary,
      0,
    );
    const {Live, Leaving} = MemberState;
    const membership = createMembership([Live, Live, Live, Leaving, Live]);
    const sources = {configuration, membership, loads};
    const found = buildCandidates(BIRCH, sources, 0);
    expect(found.map(candidate => candidate.upstream.name)).toEqual(['u0']);
    expect(found[0].isPlaced).toBe(true);
    const withAdapter = {...BIRCH, adapter: 'lv'};
    expect(buildCandidates(withAdapter, sources, 0)).toEqual([]);
    const unknown = {...BIRCH, model: 'oak'};
    expect(buildCandidates(unknown, sources, 0)).toEqual([]);
  });

  // Guards against upstreams without a report that count as live, or that are
  // left out and so cannot be used as the last resort.
  it('marks upstreams without a recent report as suspect', () => {
    const configuration = createView([
      [ResourceKind.Model, {name: 'birch', memoryMiB: 80}],
      makeUpstream(0),
      makeUpstream(1),
    ]);
    const membership = createMembership([MemberState.Suspect]);
    const sources = {configuration, membership, loads: createLoadTable()};
    const states = buildCandidates(BIRCH, sources, 0).map(
      candidate => candidate.memberState,
    );
    expect(states).toEqual([MemberState.Suspect, MemberState.Suspect]);
  });

  // Guards against load targets that override a placement, and against an
  // unplaced model that each host loads on another upstream.
  it('marks the load targets of a model that has no placement', () => {
    const base: Parameters<typeof createView>[0] = [
      [ResourceKind.Model, {name: 'birch', memoryMiB: 80}],
      makeUpstream(0),
      makeUpstream(1),
    ];
    const placement = {name: 'u0', epoch: 1, adapters: []};
    const models = [{name: 'birch', version: '1'}];
    const listPlaced = (values: typeof base) =>
      buildCandidates(
        BIRCH,
        {
          configuration: createView(values),
          membership: createMembership([MemberState.Live, MemberState.Live]),
          loads: createLoadTable(),
          chooseLoadTargets: (_model, [, second]) => new Set([second.name]),
        },
        0,
      ).flatMap(({isPlaced, upstream}) => (isPlaced ? [upstream.name] : []));
    expect(listPlaced(base)).toEqual(['u1']);
    expect(
      listPlaced([...base, [ResourceKind.Placement, {...placement, models}]]),
    ).toEqual(['u0']);
  });
});
