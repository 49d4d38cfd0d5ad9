import fc from 'fast-check';
import {
  LogLevel,
  createLogger,
  createManualClock,
  createMetrics,
  createRandom,
} from '@siskinplank/foundation';
import {createMembershipView} from '@siskinplank/membership';
import {FreshnessState, ProcessRole} from '@siskinplank/messages';
import {ListedHostState} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import {describe, expect, it} from 'vitest';
import {
  MemoryHub,
  MemoryNetwork,
  MemoryPlatform,
  MemoryStore,
} from '@siskinplank/testing';
import {createConfigurationReplica} from './index';

const COUNT = 14;
const KIND = ResourceKind.Placement;
const BOUND_MS = 7_000;
const logger = createLogger({
  level: LogLevel.Error,
  write: () => undefined,
  getWallMs: () => 0,
});

/** Replicas over real membership views on one in-memory network. */
function createCluster(seed: number) {
  const clock = createManualClock(1_000);
  const hub = new MemoryHub(clock);
  const platform = new MemoryPlatform();
  const indexes = Array.from({length: COUNT}, (_, index) => index);
  platform.hosts = indexes.map(index => ({
    name: `p${index}`,
    role: 'side',
    address: '10.0.0.1',
    port: 1000 + index,
    failureDomain: `d${index % 2}`,
    region: 'r',
    state: ListedHostState.Live,
  }));
  const nodes = platform.hosts.map((host, index) => {
    const identity = {
      name: host.name,
      incarnation: 'a',
      role: ProcessRole.Side,
      failureDomain: host.failureDomain,
      region: host.region,
      address: {host: host.address, port: host.port},
    };
    const common = {
      store: new MemoryStore(platform, clock),
      network: new MemoryNetwork(hub, identity),
      clock,
      random: createRandom(seed + index),
      logger,
      metrics: createMetrics(),
      identity,
    };
    const membership = createMembershipView({
      ...common,
      settings: {
        heartbeatMs: 1_000,
        suspectAfterMs: 4_000,
        hostListPeriodMs: 2_000,
      },
    });
    const replica = createConfigurationReplica({
      ...common,
      membership,
      settings: {
        freshnessMs: 5_000,
        outageGraceMs: 600_000,
        digestPeriodMs: 2_000,
        watchWaitMs: 10_000,
      },
    });
    return {...common, name: host.name, membership, replica, isUp: true};
  });
  const start = async (): Promise<void> => {
    for (const node of nodes) {
      await node.network.start();
      node.membership.start();
      node.replica.start();
    }
  };
  const runFor = async (
    durationMs: number,
    onStep: () => void = () => undefined,
  ): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      clock.runFor(50);
      await new Promise(resolve => setImmediate(resolve));
      onStep();
    }
  };
  return {clock, hub, platform, nodes, start, runFor};
}

enum Fault {
  Kill = 'kill',
  CutStore = 'cut-store',
  CutLinks = 'cut-links',
  PlatformDown = 'platform-down',
}

describe('configuration over membership', () => {
  it('applies changes within the bound and never reverts under faults', async () => {
    // Several processes, watchers included, fail at the same time. Once the
    // faults end, each running process has all changes within the bound. No
    // process is confirmed without the changes made before its confirmation.
    const fault = fc.record({
      type: fc.constantFrom(...Object.values(Fault)),
      node: fc.nat(COUNT - 1),
      forMs: fc.integer({min: 500, max: 12_000}),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(fault, {maxLength: 5}),
        fc.nat(1_000_000),
        async (faults, seed) => {
          const cluster = createCluster(seed);
          const {clock, hub, platform, nodes} = cluster;
          const cutOff = new Set<string>();
          hub.canReach = (left, right) =>
            !cutOff.has(left) && !cutOff.has(right);
          const writtenAt = new Map<number, number>();
          const lastRevision = new Map<string, number>();
          const put = (): void => {
            if (platform.isDown) return;
            const name = `u${writtenAt.size % 3}`;
            const value = {
              name,
              epoch: writtenAt.size,
              models: [],
              adapters: [],
            };
            const {version} = platform.putDirectly(KIND, name, value);
            writtenAt.set(version, clock.getNowMs());
          };
          const check = (): void => {
            const nowMs = clock.getNowMs();
            const violations: string[] = [];
            for (const {name, replica, isUp} of nodes) {
              if (!isUp) continue;
              const revision = replica.getRevision();
              if (revision < (lastRevision.get(name) ?? 0)) {
                violations.push(`${name} reverted to revision ${revision}`);
              }
              lastRevision.set(name, revision);
              const {state, ageMs} = replica.getFreshness(nowMs);
              if (state !== FreshnessState.Confirmed) continue;
              for (const [version, atMs] of writtenAt) {
                if (atMs >= nowMs - ageMs || revision >= version) continue;
                violations.push(
                  `${name} is confirmed without version ${version}`,
                );
              }
            }
            // Thousands of expectations are slow, so one is made for each step.
            if (violations.length > 0) expect(violations).toEqual([]);
          };
          put();
          await cluster.start();
          await cluster.runFor(10_000, check);
          for (const {type, node, forMs} of faults) {
            const target = nodes[node];
            if (type === Fault.Kill) {
              target.isUp = false;
              target.membership.stop();
              await target.replica.stop();
              await target.network.stop();
            }
            if (type === Fault.CutStore) target.store.isCut = true;
            if (type === Fault.CutLinks) cutOff.add(target.name);
            if (type === Fault.PlatformDown) platform.isDown = true;
            put();
            await cluster.runFor(forMs, check);
            platform.isDown = false;
          }
          for (const node of nodes) node.store.isCut = false;
          cutOff.clear();
          put();
          await cluster.runFor(BOUND_MS, check);
          for (const node of nodes) {
            if (!node.isUp) continue;
            expect(node.replica.getRevision()).toBe(platform.revision);
          }
        },
      ),
      {numRuns: 25},
    );
  });
});
