import {FreshnessState} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import {describe, expect, it} from 'vitest';
import {PLATFORM_OLDER} from './events';
import {
  BOUND_MS,
  SETTINGS,
  createCluster,
  hasKey,
  makeKey,
} from './testing/fake-cluster';
import type {Node} from './testing/fake-cluster';

describe('configuration replica', () => {
  it('relays a change to every process by few calls to the platform', async () => {
    const cluster = createCluster(60);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = await cluster.startAll();
    await cluster.measureUntil(
      () => nodes.every(node => hasKey(node, 1)),
      BOUND_MS,
    );
    await cluster.runFor(8_000);
    const callsBefore = cluster.platform.calls.length;
    await cluster.runFor(10_000);
    // 4 watchers, each with one watch call per second, instead of 60 processes.
    const calls = cluster.platform.calls.length - callsBefore;
    expect(calls).toBeLessThanOrEqual(4 * 11);
    const nowMs = cluster.clock.getNowMs();
    for (const node of nodes) {
      expect(node.replica.getFreshness(nowMs).state).toBe(
        FreshnessState.Confirmed,
      );
    }
    const {version} = cluster.platform.putDirectly(
      ResourceKind.ApiKey,
      'k',
      makeKey('k', 5),
    );
    const tookMs = await cluster.measureUntil(
      () => nodes.every(node => hasKey(node, version)),
      BOUND_MS,
    );
    expect(tookMs).toBeLessThan(1_000);
  });

  it('delivers a change in time when all parents are down', async () => {
    // The view still includes watchers that are stopped or cut off.
    const cluster = createCluster(30, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = await cluster.startAll();
    await cluster.runFor(6_000);
    const watchers = nodes.filter(cluster.isWatcher);
    for (const node of watchers) {
      await node.replica.stop();
      await node.network.stop();
    }
    const others = nodes.filter(node => !watchers.includes(node));
    const {version} = cluster.platform.putDirectly(
      ResourceKind.ApiKey,
      'k',
      makeKey('k', 5),
    );
    const tookMs = await cluster.measureUntil(
      () => others.every(node => hasKey(node, version)),
      20_000,
    );
    expect(tookMs).toBeLessThan(BOUND_MS);
  });

  it('distinguishes an outage of the platform from isolation', async () => {
    // Unconfirmed keys are accepted only during an outage. An isolated process
    // that assumed an outage would accept a withdrawn key.
    const cluster = createCluster(20, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = await cluster.startAll();
    await cluster.runFor(6_000);
    const isolated = nodes[nodes.length - 1];
    isolated.store.isCut = true;
    cluster.hub.canReach = (left, right) =>
      left !== isolated.member.name && right !== isolated.member.name;
    await cluster.runFor(12_000);
    const readState = (node: Node): FreshnessState =>
      node.replica.getFreshness(cluster.clock.getNowMs()).state;
    expect(readState(isolated)).toBe(FreshnessState.Isolated);
    cluster.platform.isDown = true;
    await cluster.runFor(12_000);
    expect(readState(isolated)).toBe(FreshnessState.Isolated);
    for (const node of nodes) {
      if (node === isolated) continue;
      expect(readState(node)).toBe(FreshnessState.PlatformDown);
    }
    cluster.platform.isDown = false;
    isolated.store.isCut = false;
    cluster.hub.canReach = () => true;
    const tookMs = await cluster.measureUntil(
      () => nodes.every(node => readState(node) === FreshnessState.Confirmed),
      20_000,
    );
    expect(tookMs).toBeLessThan(10_000);
  });

  // Guards against a rack that is cut off as a whole. Its watchers report an
  // outage, and it would accept withdrawn keys for an unlimited time.
  it('accepts reports of an outage for a limited time only', async () => {
    const cluster = createCluster(12, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = await cluster.startAll();
    await cluster.runFor(6_000);
    for (const node of nodes) node.store.isCut = true;
    const readStates = () =>
      new Set(
        nodes.map(
          node => node.replica.getFreshness(cluster.clock.getNowMs()).state,
        ),
      );
    await cluster.runFor(SETTINGS.outageGraceMs - 10_000);
    expect([...readStates()]).toEqual([FreshnessState.PlatformDown]);
    await cluster.runFor(11_000);
    expect([...readStates()]).toEqual([FreshnessState.Isolated]);
    for (const node of nodes) node.store.isCut = false;
    await cluster.runFor(10_000);
    expect([...readStates()]).toEqual([FreshnessState.Confirmed]);
  });

  it('sends a full copy to a new process during an outage', async () => {
    const cluster = createCluster(12, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = cluster.members.map(cluster.createNode);
    const [late, ...early] = nodes;
    for (const node of early) await cluster.startNode(node);
    await cluster.runFor(6_000);
    cluster.platform.isDown = true;
    await cluster.runFor(4_000);
    await cluster.startNode(late);
    const tookMs = await cluster.measureUntil(() => hasKey(late, 1), 10_000);
    expect(tookMs).toBeLessThan(BOUND_MS);
  });

  it('pushes its own write without waiting for the watch', async () => {
    const cluster = createCluster(20, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = await cluster.startAll();
    await cluster.runFor(6_000);
    // The platform watches receive no changes, but the links are up.
    cluster.platform.isDown = true;
    const object = cluster.platform.putDirectly(
      ResourceKind.ApiKey,
      'k',
      makeKey('k', 5),
    );
    nodes[nodes.length - 1].replica.applyLocalWrite(object);
    const tookMs = await cluster.measureUntil(
      () => nodes.every(node => hasKey(node, object.version)),
      BOUND_MS,
    );
    expect(tookMs).toBeLessThan(500);
  });

  it('keeps its copy when the platform restores an older state', async () => {
    const cluster = createCluster(4, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'x', makeKey('x'));
    const {version} = cluster.platform.putDirectly(
      ResourceKind.ApiKey,
      'k',
      makeKey('k', 5),
    );
    const nodes = await cluster.startAll();
    await cluster.runFor(6_000);
    cluster.platform.revision = 1;
    cluster.platform.events.length = 0;
    cluster.platform.objects.clear();
    await cluster.runFor(8_000);
    for (const node of nodes) {
      expect(hasKey(node, version)).toBe(true);
      expect(node.replica.getRevision()).toBe(2);
      expect(
        node.replica.getFreshness(cluster.clock.getNowMs()).state,
      ).not.toBe(FreshnessState.Confirmed);
    }
    expect(cluster.events).toContain(PLATFORM_OLDER.id);
  });

  it('returns its true age at once after a freeze', async () => {
    const cluster = createCluster(1, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const [node] = await cluster.startAll();
    await cluster.runFor(3_000);
    const nowMs = cluster.clock.getNowMs();
    const {replica} = node;
    expect(replica.getFreshness(nowMs).state).toBe(FreshnessState.Confirmed);
    const thawed = replica.getFreshness(nowMs + 30_000);
    expect(thawed.state).toBe(FreshnessState.Isolated);
    expect(thawed.ageMs).toBeGreaterThanOrEqual(30_000);
  });

  it('lists the configuration again after its revision was compacted', async () => {
    const cluster = createCluster(1, 1);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const [node] = await cluster.startAll();
    await cluster.runFor(1_000);
    node.store.isCut = true;
    await cluster.runFor(2_000);
    cluster.platform.deleteDirectly(ResourceKind.ApiKey, 'k');
    cluster.platform.events.length = 0;
    cluster.platform.compactedTo = 2;
    node.store.isCut = false;
    const isReached = node.replica.waitForRevision(2, 10_000);
    await cluster.runFor(5_000);
    expect(await isReached).toBe(true);
    expect(hasKey(node, 1)).toBe(false);
  });

  // Guards against two processes that reply to each other's digests without
  // end. This began with the first digest on a link outside the tree, such as
  // one that carries requests.
  it('does not reply to replies on links outside the tree', async () => {
    const cluster = createCluster(40);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = cluster.members.map(cluster.createNode);
    for (const [index, node] of nodes.entries()) {
      for (const step of [1, 3, 7]) {
        const {host, port} = cluster.members[(index + step) % 40];
        node.network.connect({host, port});
      }
    }
    for (const node of nodes) await cluster.startNode(node);
    await cluster.runFor(5_000);
    expect(nodes.every(node => hasKey(node, 1))).toBe(true);
    const before = cluster.hub.sentMessages;
    await cluster.runFor(5_000);
    const rate = (cluster.hub.sentMessages - before) / 5 / 40;
    expect(rate).toBeLessThan(20);
  });
});
