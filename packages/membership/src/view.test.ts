import {
  LogLevel,
  createLogger,
  createManualClock,
  createMetrics,
  createRandom,
} from '@siskinplank/foundation';
import type {Clock} from '@siskinplank/foundation';
import {MemberState, ProcessRole} from '@siskinplank/messages';
import {ListedHostState} from '@siskinplank/platform-client';
import type {ListedHost} from '@siskinplank/platform-client';
import type {NetworkAddress} from '@siskinplank/resources';
import {LinkCloseReason} from '@siskinplank/transport';
import {describe, expect, it} from 'vitest';
import {
  MemoryHub,
  MemoryNetwork,
  MemoryPlatform,
  MemoryStore,
} from '@siskinplank/testing';
import {OBSERVATION_RESTARTED} from './events';
import {createMembershipView} from './index';
import type {MembershipView} from './index';

const SETTINGS = {
  heartbeatMs: 1_000,
  suspectAfterMs: 4_000,
  hostListPeriodMs: 2_000,
};

interface Node {
  name: string;
  view: MembershipView;
  network: MemoryNetwork;
  store: MemoryStore;
  /** While true, none of the process's timers run. */
  setFrozen: (isFrozen: boolean) => void;
}

function createCluster(count: number, domainCount = 2) {
  const clock = createManualClock(1_000);
  const hub = new MemoryHub(clock);
  const platform = new MemoryPlatform();
  const events: number[] = [];
  const logger = createLogger({
    level: LogLevel.Debug,
    write: line => events.push((JSON.parse(line) as {event: number}).event),
    getWallMs: clock.getWallMs,
  });
  const makeHost = (index: number): ListedHost => ({
    name: `p${index}`,
    role: 'side',
    address: '10.0.0.1',
    port: 1000 + index,
    failureDomain: `d${index % domainCount}`,
    region: 'r',
    state: ListedHostState.Live,
  });
  platform.hosts = Array.from({length: count}, (_, index) => makeHost(index));

  const startNode = async (
    index: number,
    incarnation = 'a',
    seeds?: NetworkAddress[],
  ): Promise<Node> => {
    const host = makeHost(index);
    let isFrozen = false;
    const ownClock: Clock = {
      ...clock,
      startInterval: (periodMs, callback) =>
        clock.startInterval(periodMs, () => {
          if (!isFrozen) callback();
        }),
    };
    const identity = {
      name: host.name,
      incarnation,
      role: ProcessRole.Side,
      failureDomain: host.failureDomain,
      region: host.region,
      address: {host: host.address, port: host.port},
    };
    const network = new MemoryNetwork(hub, identity);
    const store = new MemoryStore(platform, clock);
    const view = createMembershipView({
      store,
      network,
      clock: ownClock,
      random: createRandom(index),
      logger,
      metrics: createMetrics(),
      settings: SETTINGS,
      identity,
      seeds,
    });
    await network.start();
    view.start();
    const setFrozen = (next: boolean): void => {
      isFrozen = next;
    };
    return {name: host.name, view, network, store, setFrozen};
  };
  const startAll = (): Promise<Node[]> =>
    Promise.all(platform.hosts.map((_, index) => startNode(index)));
  const stopNode = async (node: Node): Promise<void> => {
    node.view.stop();
    await node.network.stop();
  };
  const runFor = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      clock.runFor(50);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  const measureUntil = async (
    condition: () => boolean,
    limitMs: number,
  ): Promise<number> => {
    const startMs = clock.getNowMs();
    while (!condition() && clock.getNowMs() - startMs < limitMs) {
      await runFor(50);
    }
    return clock.getNowMs() - startMs;
  };
  const countLive = (node: Node): number =>
    node.view
      .listMembers(clock.getNowMs())
      .filter(member => member.state === MemberState.Live && member.incarnation)
      .length;
  return {
    clock,
    hub,
    platform,
    events,
    startNode,
    startAll,
    stopNode,
    runFor,
    measureUntil,
    countLive,
  };
}

const makeIndexes = (count: number): number[] =>
  Array.from({length: count}, (_, index) => index);

describe('membership view', () => {
  it('discovers all processes while only watchers read the list', async () => {
    const cluster = createCluster(40);
    const nodes = await cluster.startAll();
    const tookMs = await cluster.measureUntil(
      () => nodes.every(node => cluster.countLive(node) === 40),
      20_000,
    );
    expect(tookMs).toBeLessThan(10_000);
    await cluster.runFor(5_000);
    const callsBefore = cluster.platform.calls.length;
    const bytesBefore = cluster.hub.sentBytes;
    await cluster.runFor(10_000);
    // 2 failure domains with 2 watchers each; each watcher reads every 2 s.
    expect(cluster.platform.calls.length - callsBefore).toBeLessThanOrEqual(24);
    const bytesPerSecond = (cluster.hub.sentBytes - bytesBefore) / 10 / 40;
    expect(bytesPerSecond).toBeLessThan(22_000);
  });

  it('suspects a stopped member on all processes, then removes it', async () => {
    const cluster = createCluster(20);
    const nodes = await cluster.startAll();
    await cluster.runFor(10_000);
    const [stopped, ...others] = nodes;
    await cluster.stopNode(stopped);
    const tookMs = await cluster.measureUntil(
      () =>
        others.every(
          node =>
            node.view.getMember(stopped.name)?.state === MemberState.Suspect,
        ),
      20_000,
    );
    expect(tookMs).toBeLessThan(8_000);
    expect(others.every(node => cluster.countLive(node) === 19)).toBe(true);
    cluster.platform.hosts = cluster.platform.hosts.filter(
      host => host.name !== stopped.name,
    );
    const removedMs = await cluster.measureUntil(
      () =>
        others.every(node => node.view.getMember(stopped.name) === undefined),
      400_000,
    );
    expect(removedMs).toBeLessThan(400_000);
  });

  it('propagates the leaving state within 1 s and keeps it', async () => {
    const cluster = createCluster(20);
    const nodes = await cluster.startAll();
    await cluster.runFor(10_000);
    nodes[3].view.setOwnState(MemberState.Leaving);
    nodes[3].view.setOwnState(MemberState.Live);
    const isLeaving = (node: Node): boolean =>
      node.view.getMember('p3')?.state === MemberState.Leaving;
    const tookMs = await cluster.measureUntil(
      () => nodes.every(isLeaving),
      10_000,
    );
    expect(tookMs).toBeLessThan(1_000);
    await cluster.runFor(15_000);
    expect(nodes.every(isLeaving)).toBe(true);
    await cluster.stopNode(nodes[3]);
    await cluster.startNode(3, 'b');
    const rest = nodes.filter(node => node !== nodes[3]);
    const backMs = await cluster.measureUntil(
      () => rest.every(node => cluster.countLive(node) === 20),
      20_000,
    );
    expect(backMs).toBeLessThan(10_000);
  });

  it('suspects no member after its own freeze or when cut off', async () => {
    // Guards against a resumed process that suspects all members: it would
    // empty its routing table and send the suspicions to its peers.
    const cluster = createCluster(12, 1);
    const nodes = await cluster.startAll();
    await cluster.runFor(10_000);
    const [frozen] = nodes;
    frozen.setFrozen(true);
    const reach = cluster.hub.canReach;
    await cluster.runFor(3_000);
    cluster.hub.canReach = () => false;
    await cluster.runFor(20_000);
    cluster.hub.canReach = reach;
    frozen.setFrozen(false);
    await cluster.runFor(1_500);
    expect(cluster.countLive(frozen)).toBe(12);
    for (const node of nodes) {
      node.store.isCut = true;
    }
    cluster.hub.canReach = (left, right) =>
      left !== frozen.name && right !== frozen.name;
    await cluster.runFor(30_000);
    expect(cluster.countLive(frozen)).toBe(12);
    expect(cluster.events).toContain(OBSERVATION_RESTARTED.id);
  });

  it('rejoins both sides after a partition has ended', async () => {
    // Suspect members are outside the tree, so that without probes no process
    // would contact them again.
    const cluster = createCluster(12);
    const nodes = await cluster.startAll();
    await cluster.runFor(10_000);
    const isOdd = (name: string): boolean => Number(name.slice(1)) % 2 === 1;
    cluster.hub.canReach = (left, right) => isOdd(left) === isOdd(right);
    await cluster.runFor(60_000);
    cluster.hub.canReach = () => true;
    const tookMs = await cluster.measureUntil(
      () => nodes.every(node => cluster.countLive(node) === 12),
      60_000,
    );
    expect(tookMs).toBeLessThan(30_000);
  });

  it('sends all incarnations to a process that starts late', async () => {
    // The host list has no incarnations, and digests carry only changes, so
    // that a new process needs a full copy.
    const cluster = createCluster(30, 1);
    const early = makeIndexes(29);
    await Promise.all(early.map(index => cluster.startNode(index)));
    await cluster.runFor(15_000);
    const late = await cluster.startNode(29);
    const tookMs = await cluster.measureUntil(
      () => cluster.countLive(late) === 30,
      20_000,
    );
    expect(tookMs).toBeLessThan(3_000);
  });

  it('starts from seeds while the platform is down', async () => {
    const cluster = createCluster(8, 1);
    const early = await Promise.all(
      [0, 1, 2, 3, 4].map(index => cluster.startNode(index)),
    );
    await cluster.runFor(10_000);
    cluster.platform.isDown = true;
    const late = await cluster.startNode(7, 'a', [
      {host: '10.0.0.1', port: 1002},
    ]);
    const tookMs = await cluster.measureUntil(
      () => [...early, late].every(node => cluster.countLive(node) === 6),
      20_000,
    );
    expect(tookMs).toBeLessThan(5_000);
  });

  it('ignores a heartbeat that names another process', async () => {
    // Otherwise a process could report another one as leaving.
    const cluster = createCluster(3, 1);
    const nodes = await cluster.startAll();
    await cluster.runFor(8_000);
    const [target, sender, observer] = nodes;
    const member = target.view.getMember(target.name);
    const link = sender.network.getLink({host: '10.0.0.1', port: 1002});
    expect(member && link).toBeDefined();
    if (!member || !link) return;
    const {MessageType} = await import('@siskinplank/messages');
    link.send({
      type: MessageType.Heartbeat,
      member: {...member, state: MemberState.Leaving},
    });
    await cluster.runFor(200);
    const seen = observer.view.getMember(target.name);
    expect(seen?.state).toBe(MemberState.Live);
    link.close(LinkCloseReason.Local);
  });
});
