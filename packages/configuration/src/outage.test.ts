import {FreshnessState} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import {describe, expect, it} from 'vitest';
import {
  BOUND_MS,
  SETTINGS,
  createCluster,
  hasKey,
  makeKey,
} from './testing/fake-cluster';
import type {Node} from './testing/fake-cluster';

const {Confirmed, Isolated, PlatformDown} = FreshnessState;

type Cluster = ReturnType<typeof createCluster>;

async function startWithKey(
  count: number,
  domainCount: number,
  regionCount = 1,
) {
  const cluster = createCluster(count, domainCount, regionCount);
  cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
  const nodes = await cluster.startAll();
  await cluster.runFor(6_000);
  return {cluster, nodes};
}

/** Cuts nodes off from the platform and from all other nodes. */
function split(cluster: Cluster, inside: readonly Node[]): void {
  const names = new Set(inside.map(({member}) => member.name));
  cluster.hub.canReach = (left, right) => names.has(left) === names.has(right);
  for (const {store} of inside) store.isCut = true;
}

function resetReach(cluster: Cluster, nodes: readonly Node[]): void {
  cluster.hub.canReach = () => true;
  for (const {store} of nodes) store.isCut = false;
}

/** Freshness states of the nodes during `durationMs`, sampled every 100 ms. */
async function collectStates(
  cluster: Cluster,
  nodes: readonly Node[],
  durationMs: number,
): Promise<FreshnessState[]> {
  const states = new Set<FreshnessState>();
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    await cluster.runFor(100);
    for (const node of nodes) states.add(cluster.readState(node));
  }
  return [...states];
}

describe('outage of the platform', () => {
  // Guards against watchers that are cut off together and confirm each other's
  // outage reports, while keys are withdrawn in the rest of the system.
  it.each([
    {part: 'a failure domain of two', domains: 2, regions: 1, field: 'd1'},
    {part: 'a failure domain of three', domains: 3, regions: 1, field: 'd2'},
    {part: 'a region with most domains', domains: 3, regions: 2, field: 'r0'},
    {part: 'a region with few domains', domains: 3, regions: 2, field: 'r1'},
  ])('is not detected in $part that is cut off', async sample => {
    const {domains, regions, field} = sample;
    const {cluster, nodes} = await startWithKey(24, domains, regions);
    const inside = nodes.filter(({member}) =>
      [member.failureDomain, member.region].includes(field),
    );
    const outside = nodes.filter(node => !inside.includes(node));
    split(cluster, inside);
    const {version} = cluster.platform.putDirectly(
      ResourceKind.ApiKey,
      'k',
      makeKey('k', 5),
    );
    await cluster.runFor(BOUND_MS);
    expect(await collectStates(cluster, inside, 40_000)).toEqual([Isolated]);
    expect(outside.every(node => hasKey(node, version))).toBe(true);
    expect(outside.map(cluster.readState)).not.toContain(Isolated);
    resetReach(cluster, nodes);
    const tookMs = await cluster.measureUntil(
      () =>
        nodes.every(
          node =>
            hasKey(node, version) && cluster.readState(node) === Confirmed,
        ),
      20_000,
    );
    expect(tookMs).toBeLessThan(10_000);
  });

  // Guards against reports that expire before they reach the lowest level of
  // the trees.
  it('is detected by every process while none reaches the platform', async () => {
    const {cluster, nodes} = await startWithKey(60, 3);
    cluster.platform.isDown = true;
    await cluster.runFor(10_000);
    expect(await collectStates(cluster, nodes, 30_000)).toEqual([PlatformDown]);
    cluster.platform.isDown = false;
    await cluster.runFor(10_000);
    expect(new Set(nodes.map(cluster.readState))).toEqual(new Set([Confirmed]));
  });

  it('is detected although one host of each domain and one domain are down', async () => {
    const {cluster, nodes} = await startWithKey(30, 3);
    const down = nodes.filter(
      ({member}, index) => index < 3 || member.failureDomain === 'd2',
    );
    for (const node of down) {
      await node.replica.stop();
      await node.network.stop();
    }
    cluster.platform.isDown = true;
    // Stopped members stay in the view, so some children have only one parent.
    await cluster.runFor(12_000);
    const up = nodes.filter(node => !down.includes(node));
    expect(await collectStates(cluster, up, 20_000)).toEqual([PlatformDown]);
  });

  // Guards against a domain that was shut down and prevents the detection of
  // outages for ever.
  it('drops a domain without live processes after the grace time', async () => {
    const {cluster, nodes} = await startWithKey(16, 2);
    const stopped = nodes.filter(({member}) => member.failureDomain === 'd1');
    const remaining = nodes.filter(node => !stopped.includes(node));
    for (const node of stopped) {
      await node.replica.stop();
      await node.network.stop();
    }
    cluster.removeMembers(stopped);
    await cluster.runFor(SETTINGS.outageGraceMs + 2_000);
    expect(remaining.map(cluster.readState)).not.toContain(Isolated);
    cluster.platform.isDown = true;
    await cluster.runFor(10_000);
    expect(await collectStates(cluster, remaining, 10_000)).toEqual([
      PlatformDown,
    ]);
  });

  // Guards against a process that takes the domains on its side of a partition
  // for the whole system, once the others have left its view.
  it('still requires a domain that left the view during a partition', async () => {
    const {cluster, nodes} = await startWithKey(16, 2);
    const inside = nodes.filter(({member}) => member.failureDomain === 'd1');
    split(cluster, inside);
    cluster.removeMembers(nodes.filter(node => !inside.includes(node)));
    await cluster.runFor(BOUND_MS);
    expect(
      await collectStates(cluster, inside, SETTINGS.outageGraceMs),
    ).toEqual([Isolated]);
  });

  // Guards against a process that starts during a partition, whose view has
  // never included the domains on the other side.
  it('is not detected by a process that starts during a partition', async () => {
    const cluster = createCluster(16, 2);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = cluster.members.map(cluster.createNode);
    const late = nodes[15];
    for (const node of nodes) if (node !== late) await cluster.startNode(node);
    await cluster.runFor(6_000);
    const inside = nodes.filter(({member}) => member.failureDomain === 'd1');
    split(cluster, inside);
    await cluster.runFor(12_000);
    cluster.removeMembers(nodes.filter(node => !inside.includes(node)));
    await cluster.startNode(late);
    const tookMs = await cluster.measureUntil(() => hasKey(late, 1), 10_000);
    expect(tookMs).toBeLessThan(BOUND_MS);
    expect(await collectStates(cluster, [late], 20_000)).toEqual([Isolated]);
  });

  it('is detected by a process that starts during it', async () => {
    const cluster = createCluster(16, 2);
    cluster.platform.putDirectly(ResourceKind.ApiKey, 'k', makeKey('k'));
    const nodes = cluster.members.map(cluster.createNode);
    const late = nodes[15];
    for (const node of nodes) if (node !== late) await cluster.startNode(node);
    await cluster.runFor(6_000);
    cluster.platform.isDown = true;
    await cluster.runFor(12_000);
    await cluster.startNode(late);
    const tookMs = await cluster.measureUntil(
      () => cluster.readState(late) === PlatformDown,
      10_000,
    );
    expect(tookMs).toBeLessThan(BOUND_MS);
  });

  it('is not detected by one process alone', async () => {
    const {cluster, nodes} = await startWithKey(1, 1);
    cluster.platform.isDown = true;
    await cluster.runFor(BOUND_MS);
    expect(await collectStates(cluster, nodes, 10_000)).toEqual([Isolated]);
  });
});
