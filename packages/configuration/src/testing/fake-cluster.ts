/** Replicas with a fixed member list on an in-memory network, for tests. */
import {
  LogLevel,
  createLogger,
  createManualClock,
  createMetrics,
  createRandom,
} from '@siskinplank/foundation';
import {computeTreePosition} from '@siskinplank/membership';
import {MemberState, ProcessRole} from '@siskinplank/messages';
import type {FreshnessState, Member} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import type {ApiKey} from '@siskinplank/resources';
import {
  MemoryHub,
  MemoryNetwork,
  MemoryPlatform,
  MemoryStore,
} from '@siskinplank/testing';
import {createConfigurationReplica} from '../index';
import type {ConfigurationReplica} from '../index';

export const SETTINGS = {
  freshnessMs: 5_000,
  outageGraceMs: 60_000,
  digestPeriodMs: 2_000,
  watchWaitMs: 1e4,
};
/** Required longest time until a change or a withdrawn key takes effect. */
export const BOUND_MS = 7_000;
export const makeKey = (name: string, withdrawnAtMs?: number): ApiKey => ({
  name,
  account: 'account',
  secretHash: '0'.repeat(64),
  createdAtMs: 0,
  ...(withdrawnAtMs === undefined ? {} : {withdrawnAtMs}),
});

export interface Node {
  member: Member;
  store: MemoryStore;
  network: MemoryNetwork;
  replica: ConfigurationReplica;
}

/**
 * Creates a cluster that is not started. Members are assigned to the domains in
 * turn, and domains to the regions.
 */
export function createCluster(count: number, domainCount = 2, regionCount = 1) {
  const clock = createManualClock(1_000);
  const hub = new MemoryHub(clock);
  const platform = new MemoryPlatform();
  const events: number[] = [];
  const handlers = new Set<() => void>();
  const members: Member[] = Array.from({length: count}, (_, index) => ({
    name: `p${index}`,
    incarnation: `i${index}`,
    role: ProcessRole.Entry,
    host: '10.0.0.1',
    port: 1000 + index,
    failureDomain: `d${index % domainCount}`,
    region: `r${(index % domainCount) % regionCount}`,
    state: MemberState.Live,
    sequence: 1,
  }));
  const logger = createLogger({
    level: LogLevel.Debug,
    write: line => events.push((JSON.parse(line) as {event: number}).event),
    getWallMs: clock.getWallMs,
  });
  const createNode = (member: Member): Node => {
    const {host, port} = member;
    const identity = {...member, address: {host, port}};
    const network = new MemoryNetwork(hub, identity);
    const store = new MemoryStore(platform, clock);
    const replica = createConfigurationReplica({
      store,
      network,
      membership: {
        start: () => undefined,
        stop: () => undefined,
        listMembers: () => members,
        getMember: name => members.find(found => found.name === name),
        setOwnState: () => undefined,
        subscribe: handler => {
          handlers.add(handler);
          return () => void handlers.delete(handler);
        },
      },
      clock,
      random: createRandom(port),
      logger,
      metrics: createMetrics(),
      settings: SETTINGS,
      identity,
    });
    return {member, store, network, replica};
  };
  const startNode = async (node: Node): Promise<Node> => {
    await node.network.start();
    node.replica.start();
    return node;
  };
  const runFor = async (durationMs: number, stepMs = 20): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      clock.runFor(stepMs);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  /** Time until `condition` holds, at most `limitMs`. */
  const measureUntil = async (
    condition: () => boolean,
    limitMs: number,
  ): Promise<number> => {
    const startMs = clock.getNowMs();
    while (!condition() && clock.getNowMs() - startMs < limitMs) {
      await runFor(20);
    }
    return clock.getNowMs() - startMs;
  };
  const isWatcher = (node: Node): boolean =>
    computeTreePosition(members, node.member).isWatcher;
  const readState = (node: Node): FreshnessState =>
    node.replica.getFreshness(clock.getNowMs()).state;
  /** Removes members from every view, as after a long heartbeat loss. */
  const removeMembers = (removedNodes: readonly Node[]): void => {
    for (const {member} of removedNodes)
      members.splice(members.indexOf(member), 1);
    for (const handler of [...handlers]) handler();
  };
  const startAll = async (): Promise<Node[]> => {
    const nodes = members.map(createNode);
    for (const node of nodes) await startNode(node);
    return nodes;
  };
  return {
    clock,
    hub,
    platform,
    events,
    members,
    createNode,
    startNode,
    startAll,
    runFor,
    measureUntil,
    isWatcher,
    readState,
    removeMembers,
  };
}

export const hasKey = (node: Node, version: number): boolean =>
  (node.replica.getObject(ResourceKind.ApiKey, 'k')?.version ?? 0) >= version;
