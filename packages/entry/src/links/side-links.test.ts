/** Standing links, links on demand and their release. */
import {createManualClock} from '@siskinplank/foundation';
import {MemberState, MessageType, ProcessRole} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import type {Upstream} from '@siskinplank/resources';
import {createLoadTable} from '@siskinplank/routing';
import {entrySettingsSchema} from '@siskinplank/settings';
import {describe, expect, it} from 'vitest';
import {createFakeNetwork} from '../testing/fake-network';
import {createFakeConfiguration, makeSideAddress} from '../testing/harness';
import {createSideLinks} from './side-links';
import {MAX_STANDING_LINKS, chooseStandingUpstreams} from './standing';

const SELF = {name: 'entry-1', region: 'a'};

function makeUpstream(index: number) {
  return {
    name: `engine-${index}`,
    type: 'engine',
    address: {host: '127.0.0.1', port: 1},
    side: makeSideAddress(index),
    failureDomain: `fd-${index % 7}`,
    region: index % 7 < 4 ? 'a' : 'b',
    memoryMiB: 1_000,
  };
}

function createSetup(count: number, members: readonly Member[] = []) {
  const clock = createManualClock(1_000);
  const network = createFakeNetwork({
    name: SELF.name,
    incarnation: '1',
    role: ProcessRole.Entry,
    failureDomain: 'fd-0',
    region: SELF.region,
    address: {host: '127.0.0.1', port: 1},
  });
  const configuration = createFakeConfiguration();
  const sides = Array.from({length: count}, (_, index) => {
    configuration.put(ResourceKind.Upstream, makeUpstream(index));
    return network.addSide(`side-${index}`, makeSideAddress(index), () => {});
  });
  const loads = createLoadTable();
  const links = createSideLinks({
    settings: entrySettingsSchema.parse({
      role: 'entry',
      process: {name: SELF.name, failureDomain: 'fd-0', region: SELF.region},
      link: {port: 1, clusterKeyFiles: ['unused']},
      platform: {host: '127.0.0.1', port: 1},
      caller: {port: 2},
      admin: {port: 3},
      keyHashSecretFile: 'unused',
    }),
    clock,
    network,
    configuration,
    membership: {
      start: () => undefined,
      stop: () => undefined,
      listMembers: () => members,
      getMember: () => undefined,
      setOwnState: () => undefined,
      subscribe: () => () => undefined,
    },
    loads,
  });
  links.start();
  const listLinked = (): string[] =>
    network.listLinks().map(link => link.peer.name);
  return {clock, network, configuration, sides, loads, links, listLinked};
}

describe('links to side processes', () => {
  // Guards against side processes that are linked to no entry host or to far
  // more than the mean, and against many changed links when one is added.
  it('chooses an evenly distributed, stable subset of the upstreams', () => {
    const upstreams = Array.from(
      {length: 920},
      (_, index) => makeUpstream(index) as unknown as Upstream,
    );
    const counts = new Map<string, number>();
    for (let host = 0; host < 410; host += 1) {
      const self = {name: `entry-${host}`, region: host % 7 < 4 ? 'a' : 'b'};
      const chosen = chooseStandingUpstreams(upstreams, self);
      expect(chosen).toHaveLength(MAX_STANDING_LINKS);
      for (const {name} of chosen) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    const mean = (410 * MAX_STANDING_LINKS) / 920;
    expect(counts.size).toBe(920);
    expect(Math.max(...counts.values())).toBeLessThan(2 * mean);
    expect(Math.min(...counts.values())).toBeGreaterThan(mean / 3);
    const before = chooseStandingUpstreams(upstreams.slice(0, 919), SELF);
    const after = new Set(chooseStandingUpstreams(upstreams, SELF));
    const moved = before.filter(upstream => !after.has(upstream));
    expect(moved.length).toBeLessThanOrEqual(1);
  });

  // Guards against partial links or fewer reports in small clusters.
  it('links all upstreams up to the limit and requests no other period', async () => {
    const {clock, sides, links, listLinked} = createSetup(17);
    expect(listLinked()).toHaveLength(17);
    expect(links.getLoadTargetChooser()).toBeUndefined();
    clock.runFor(300_000);
    await new Promise(resolve => setImmediate(resolve));
    expect(listLinked()).toHaveLength(17);
    expect(sides.flatMap(side => side.received)).toEqual([]);
  });

  // Guards against links to all of many upstreams, upstreams that cannot be
  // reached, and links that stay open after their use.
  it('opens further links on demand and closes them after their use', async () => {
    const {clock, sides, loads, links, listLinked} = createSetup(300);
    expect(listLinked()).toHaveLength(MAX_STANDING_LINKS);
    const linked = new Set(listLinked());
    const distantSides = sides
      .filter(side => !linked.has(side.name))
      .slice(0, 40);
    for (const side of distantSides) {
      expect(await links.acquireLink(side.address, 100)).toBeDefined();
    }
    await new Promise(resolve => setImmediate(resolve));
    const [subscribe] = distantSides[1].received;
    expect(subscribe).toMatchObject({type: MessageType.LoadSubscribe});
    const upstream = distantSides[0].name.replace('side', 'engine');
    const close = loads.openRequest(upstream, 10);
    clock.runFor(60_000);
    expect(listLinked()).toHaveLength(MAX_STANDING_LINKS + 40);
    clock.runFor(90_000);
    expect(listLinked().sort()).toEqual(
      [...linked, distantSides[0].name].sort(),
    );
    close();
    clock.runFor(10_000);
    expect(listLinked().sort()).toEqual([...linked].sort());
  });

  // Guards against placement decisions from reports of only some upstreams.
  it('links all upstreams while the full view is on', () => {
    const {clock, links, listLinked} = createSetup(300);
    links.setFullView(true);
    expect(listLinked()).toHaveLength(300);
    clock.runFor(300_000);
    expect(listLinked()).toHaveLength(300);
    links.setFullView(false);
    clock.runFor(10_000);
    expect(listLinked()).toHaveLength(MAX_STANDING_LINKS);
  });

  // Guards against closing a link that relays configuration and heartbeats.
  it('keeps a link that the relay tree uses', async () => {
    const standing = new Set(createSetup(300).listLinked());
    const index = [...Array(300).keys()].find(
      side => side % 7 === 0 && !standing.has(`side-${side}`),
    )!;
    const makeMember = (name: string, role: ProcessRole, port: number) => ({
      name,
      incarnation: '1',
      role,
      host: '127.0.0.1',
      port,
      failureDomain: 'fd-0',
      region: 'a',
      state: MemberState.Live,
      sequence: 1,
    });
    const address = makeSideAddress(index);
    // With two members in the failure domain, each is an uplink of the other.
    const {clock, links, listLinked} = createSetup(300, [
      makeMember(SELF.name, ProcessRole.Entry, 1),
      makeMember(`side-${index}`, ProcessRole.Side, address.port),
    ]);
    await links.acquireLink(address, 100);
    clock.runFor(300_000);
    expect(listLinked()).toContain(`side-${index}`);
  });

  // Guards against entry hosts that load an unplaced model on many upstreams.
  it('chooses the same load targets on every host', () => {
    const upstreams = Array.from(
      {length: 300},
      (_, index) => makeUpstream(index) as unknown as Upstream,
    );
    const first = createSetup(300).links.getLoadTargetChooser()!(
      'birch',
      upstreams,
    );
    const reversed = [...upstreams].reverse();
    const other = createSetup(300).links.getLoadTargetChooser()!(
      'birch',
      reversed,
    );
    expect(first.size).toBe(2);
    expect([...other].sort()).toEqual([...first].sort());
  });
});
