/**
 * Delay of a change through two relay trees on a modelled network: the tree of
 * the failure domain given in settings, and a tree whose parents are chosen by
 * measured latency from a small sample of peers in rings of doubling latency.
 */
import {createRandom} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {
  TREE_DEGREE,
  WATCHER_COUNT,
  computeParentRanks,
  rankMembers,
} from '@siskinplank/membership';
import type {Member} from '@siskinplank/messages';
import {LATER_SIZE, makeMembers} from './fixtures';
import type {FigureSink} from './types';

/** Assumed; the brief gives only the delay between failure domains. */
const LOCAL_MS = 0.2;
const REGION_MS = 15;
/** Reading, decoding and applying a delta, then writing to the children. */
const STEP_MS = 0.3;
const PLATFORM_MS = 2;
const PEERS_PER_RING = 8;
const SAMPLES = 64;
const FIRST_RING_MS = 0.5;
/** Mean of the exponential noise of one probe. */
const NOISE_MS = 0.3;
const PROBE_BYTES = 2 * 60;
const PROBE_PERIOD_S = 10;
const RUNS = 20;

/** Parent of each process by index; watchers have none. */
interface Tree {
  parents: Array<number | undefined>;
  isWatcher: boolean[];
}

function getDelayMs(from: Member, to: Member): number {
  if (from.failureDomain === to.failureDomain) return LOCAL_MS;
  if (from.region !== to.region) return REGION_MS;
  const sum =
    Number(from.failureDomain.at(-1)) + Number(to.failureDomain.at(-1));
  return sum % 2 === 0 ? 1 : 1.5;
}

function buildDomainTree(members: readonly Member[]): Tree {
  const indexes = new Map(members.map(({name}, index) => [name, index]));
  const parents = members.map((): number | undefined => undefined);
  const isWatcher = members.map(() => false);
  const domains = new Set(members.map(({failureDomain}) => failureDomain));
  for (const domain of domains) {
    const group = members.filter(member => member.failureDomain === domain);
    const ranked = rankMembers(group, 'relay-tree');
    ranked.forEach(({name}, rank) => {
      const index = indexes.get(name) ?? 0;
      if (rank < WATCHER_COUNT) isWatcher[index] = true;
      else {
        const [parent] = computeParentRanks(rank);
        parents[index] = indexes.get(ranked[parent].name);
      }
    });
  }
  return {parents, isWatcher};
}

/** Peers that a process keeps, a few for each ring of doubling latency. */
function sampleRings(
  members: readonly Member[],
  own: number,
  candidates: readonly number[],
  random: Random,
): Array<{index: number; probedMs: number}> {
  const rings = new Map<number, number>();
  const kept: Array<{index: number; probedMs: number}> = [];
  for (let sample = 0; sample < SAMPLES; sample += 1) {
    const index = candidates[random.getInteger(candidates.length)];
    if (index === own) continue;
    const noiseMs = -NOISE_MS * Math.log(1 - random.getNext());
    const probedMs = getDelayMs(members[own], members[index]) + noiseMs;
    const ring = Math.max(0, Math.ceil(Math.log2(probedMs / FIRST_RING_MS)));
    const count = rings.get(ring) ?? 0;
    if (count >= PEERS_PER_RING) continue;
    rings.set(ring, count + 1);
    kept.push({index, probedMs});
  }
  return kept.sort((a, b) => a.probedMs - b.probedMs);
}

function buildRingTree(members: readonly Member[], random: Random): Tree {
  const order = rankMembers(members, 'relay-rings').map(({name}) => name);
  const indexes = new Map(members.map(({name}, index) => [name, index]));
  const watcherCount = 14;
  const parents = members.map((): number | undefined => undefined);
  const isWatcher = members.map(() => false);
  const childCounts = members.map(() => 0);
  const joined: number[] = [];
  for (const [rank, name] of order.entries()) {
    const index = indexes.get(name) ?? 0;
    if (rank < watcherCount) isWatcher[index] = true;
    else {
      const free = joined.filter(other => childCounts[other] < TREE_DEGREE);
      const [best] = sampleRings(members, index, free, random);
      const parent = best?.index ?? free[0];
      parents[index] = parent;
      childCounts[parent] += 1;
    }
    joined.push(index);
  }
  return {parents, isWatcher};
}

/** Delay and hops from the platform to each process. */
function measureTree(members: readonly Member[], tree: Tree) {
  const known = new Map<
    number,
    {delayMs: number; hops: number; crossings: number}
  >();
  const resolve = (
    index: number,
  ): {delayMs: number; hops: number; crossings: number} => {
    const found = known.get(index);
    if (found !== undefined) return found;
    const parent = tree.parents[index];
    const above =
      parent === undefined
        ? {delayMs: PLATFORM_MS, hops: 0, crossings: 0}
        : resolve(parent);
    const isCrossing =
      parent !== undefined &&
      members[parent].failureDomain !== members[index].failureDomain;
    const linkMs =
      parent === undefined ? 0 : getDelayMs(members[parent], members[index]);
    const result = {
      delayMs: above.delayMs + linkMs + STEP_MS,
      hops: above.hops + (parent === undefined ? 0 : 1),
      crossings: above.crossings + (isCrossing ? 1 : 0),
    };
    known.set(index, result);
    return result;
  };
  const results = members.map((_, index) => resolve(index));
  const delays = results.map(({delayMs}) => delayMs).sort((a, b) => a - b);
  const lost = members[0].failureDomain;
  const isCut = (index: number): boolean => {
    const parent = tree.parents[index];
    if (parent === undefined) return false;
    return members[parent].failureDomain === lost || isCut(parent);
  };
  const cut = members.filter(
    (member, index) => member.failureDomain !== lost && isCut(index),
  );
  return {
    medianMs: delays[Math.floor(delays.length / 2)],
    mostMs: delays[delays.length - 1],
    mostHops: Math.max(...results.map(({hops}) => hops)),
    crossings:
      results.reduce((sum, {crossings}) => sum + crossings, 0) / results.length,
    cutElsewhere: cut.length,
  };
}

const UNITS: Record<keyof ReturnType<typeof measureTree>, string> = {
  medianMs: 'ms',
  mostMs: 'ms',
  mostHops: 'hops',
  crossings: 'domain borders on the way',
  cutElsewhere: 'processes of other domains cut by the loss of one',
};

/** Compares both trees and the cost of probes. */
export function measureRelayDelay(sink: FigureSink): void {
  for (const share of [0.02, 0.25, 1]) {
    const members = makeMembers(
      Math.round(LATER_SIZE.entries * share),
      Math.round(LATER_SIZE.upstreams * share),
    );
    const size = `processes=${members.length}`;
    const add = (
      tree: string,
      results: Array<ReturnType<typeof measureTree>>,
    ) => {
      for (const [name, unit] of Object.entries(UNITS)) {
        const key = name as keyof typeof UNITS;
        const value =
          results.reduce((sum, result) => sum + result[key], 0) /
          results.length;
        sink.add({group: 'relay', name: `${name}, ${tree}`, size, value, unit});
      }
    };
    add('tree of the domain', [measureTree(members, buildDomainTree(members))]);
    const random = createRandom(23);
    add(
      'latency rings',
      Array.from({length: RUNS}, () =>
        measureTree(members, buildRingTree(members, random)),
      ),
    );
  }
  sink.add({
    group: 'relay',
    name: 'probes of latency rings',
    size: `samples=${SAMPLES} each ${PROBE_PERIOD_S} s`,
    value: (SAMPLES * PROBE_BYTES) / PROBE_PERIOD_S,
    unit: 'B/s',
  });
}
