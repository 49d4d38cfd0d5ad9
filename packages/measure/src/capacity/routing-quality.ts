/**
 * Queues and report traffic of a whole fleet whose entry hosts see all
 * upstreams, or only the part that their links show.
 */
import {createRandom} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {MessageType, TargetType} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {PriorityClass, ResourceKind} from '@siskinplank/resources';
import {createEventClock} from './event-clock';
import type {EventClock} from './event-clock';
import {LATER_SIZE, makeObject} from './fixtures';
import {ROUTING_UNITS, planCopies} from './routing-demand';
import type {RunSize} from './routing-demand';
import {
  TOKENS_PER_REQUEST,
  createHost,
  createSides,
  listCandidates,
  reportEverywhere,
} from './routing-fleet';
import type {ModelHost, ModelSide} from './routing-fleet';
import type {FigureSink} from './types';

/** Capacity over the mean load; single copies of models share it unevenly. */
const SPARE = 1.8;
const RUN_SECONDS = 40;
/** Seconds before the queues and bytes count. */
const WARM_UP_SECONDS = 20;
/** Parts of a second in which requests arrive and queues shrink. */
const STEPS_PER_SECOND = 20;
const PREFIXES_PER_SECOND = 14;

/** A fleet under load and what is counted on it. */
interface FleetRun {
  size: RunSize;
  clock: EventClock;
  random: Random;
  sides: ModelSide[];
  hosts: ModelHost[];
  /** Upstreams of each model. */
  places: number[][];
  /** Weight of each model in the demand. */
  weights: number[];
  /** Whether hosts get the reports of all sides instead of those linked. */
  hasFullView: boolean;
  /** Tokens that one side serves in a second. */
  servedPerSecond: number;
  /** Seconds that each counted request waits. */
  waits: number[];
  /** Longest queue over the mean one, at the worst second. */
  worstRatio: number;
  openedLinks: number;
}

function createRun(size: RunSize, hasFullView: boolean): FleetRun {
  const clock = createEventClock();
  const {places, weights} = planCopies(size);
  const objects = Array.from({length: size.upstreams}, (_, index) =>
    makeObject(ResourceKind.Upstream, index, LATER_SIZE),
  );
  const sides = createSides(size, places, clock);
  const hosts = Array.from({length: size.hosts}, (_, index) =>
    createHost(index, sides, objects, clock),
  );
  if (!hasFullView) for (const {links} of hosts) links.start();
  return {
    size,
    clock,
    random: createRandom(5),
    sides,
    hosts,
    places,
    weights,
    hasFullView,
    servedPerSecond:
      (size.requestsPerSecond * TOKENS_PER_REQUEST * SPARE) / size.upstreams,
    waits: [],
    worstRatio: 0,
    openedLinks: 0,
  };
}

function pickModel({weights, random}: FleetRun): number {
  const total = computeSum(weights);
  let left = random.getNext() * total;
  const found = weights.findIndex(weight => (left -= weight) < 0);
  return Math.max(0, found);
}

/** Sends a request for a random model from a random host. */
function sendRequest(run: FleetRun, nowMs: number, isCounted: boolean): void {
  const {hosts, sides, random, hasFullView, servedPerSecond} = run;
  const host = hosts[random.getInteger(hosts.length)];
  const model = pickModel(run);
  const target = {type: TargetType.Model as const, model: `model-${model}`};
  const candidates = listCandidates(host, sides, run.places[model], nowMs);
  if (!hasFullView) host.links.recordDemand(target, candidates, nowMs);
  const chosen = host.policy.selectUpstream(
    {
      target,
      estimatedTokens: TOKENS_PER_REQUEST,
      priority: PriorityClass.Awaited,
      deadlineMs: 10_000,
      prefixHashes: [],
      failureDomain: 'domain-0',
      region: host.region,
      excluded: new Set(),
    },
    candidates,
    nowMs,
  );
  if (chosen === undefined) return;
  const before = host.open.size;
  if (!hasFullView) void host.links.acquireLink(chosen.side, 1_000);
  run.openedLinks += host.open.size - before;
  const side = sides[Number(chosen.name.split('-')[1])];
  const link = host.open.get(`${chosen.side.host}:${chosen.side.port}`);
  link?.send({type: MessageType.RequestOpen} as Message);
  if (isCounted) run.waits.push(side.queuedTokens / servedPerSecond);
  side.queuedTokens += TOKENS_PER_REQUEST;
  const close = host.loads.openRequest(chosen.name, TOKENS_PER_REQUEST);
  run.clock.startTimer((1_000 * side.queuedTokens) / servedPerSecond, close);
}

async function runSecond(run: FleetRun, second: number): Promise<void> {
  const {size, clock, sides, hosts, servedPerSecond} = run;
  const isCounted = second >= WARM_UP_SECONDS;
  if (run.hasFullView) {
    reportEverywhere(hosts, sides, second, clock.getNowMs());
  }
  if (second === WARM_UP_SECONDS) {
    for (const host of hosts) host.receivedBytes = 0;
    for (const side of sides) side.sentBytes = 0;
  }
  for (let step = 0; step < STEPS_PER_SECOND; step += 1) {
    const nowMs = clock.getNowMs();
    for (let n = 0; n < size.requestsPerSecond / STEPS_PER_SECOND; n += 1) {
      sendRequest(run, nowMs, isCounted);
    }
    for (const side of sides) {
      const left = side.queuedTokens - servedPerSecond / STEPS_PER_SECOND;
      side.queuedTokens = Math.max(0, left);
    }
    await clock.runFor(1_000 / STEPS_PER_SECOND);
  }
  for (const side of sides) side.prefixCount += PREFIXES_PER_SECOND;
  if (!isCounted) return;
  const queues = sides.map(side => side.queuedTokens);
  const ratio = Math.max(...queues) / Math.max(1, computeMean(queues));
  run.worstRatio = Math.max(run.worstRatio, ratio);
}

/** Figures of a run; their units are in `ROUTING_UNITS`. */
function summarizeRun(run: FleetRun): Record<string, number> {
  const {size, hosts, sides, waits} = run;
  waits.sort((a, b) => a - b);
  const seconds = RUN_SECONDS - WARM_UP_SECONDS;
  const linksOfSides = sides.map(side => side.links.size);
  const hostBytes = hosts.map(host => host.receivedBytes / seconds);
  const sideBytes = sides.map(side => side.sentBytes / seconds);
  return {
    meanWaitMs: 1_000 * computeMean(waits),
    p95WaitMs: 1_000 * waits[Math.floor(waits.length * 0.95)],
    p99WaitMs: 1_000 * waits[Math.floor(waits.length * 0.99)],
    worstRatio: run.worstRatio,
    linksOfHost: computeMean(hosts.map(host => host.open.size)),
    linksOfSide: computeMean(linksOfSides),
    mostLinksOfSide: Math.max(...linksOfSides),
    opensOfHost: run.openedLinks / size.hosts / RUN_SECONDS,
    hostBytes: computeMean(hostBytes),
    mostHostBytes: Math.max(...hostBytes),
    sideBytes: computeMean(sideBytes),
    mostSideBytes: Math.max(...sideBytes),
  };
}

function computeSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function computeMean(values: readonly number[]): number {
  return computeSum(values) / values.length;
}

/** Runs the fleet and returns its figures. */
async function runFleet(
  size: RunSize,
  hasFullView: boolean,
): Promise<Record<string, number>> {
  const run = createRun(size, hasFullView);
  for (let second = 0; second < RUN_SECONDS; second += 1) {
    await runSecond(run, second);
  }
  return summarizeRun(run);
}

/** Compares a whole view with the links that entry hosts keep. */
export async function measureRoutingQuality(sink: FigureSink): Promise<void> {
  const sizes: RunSize[] = [
    {hosts: 4, upstreams: 13, models: 30, requestsPerSecond: 40},
    {hosts: 100, upstreams: 225, models: 193, requestsPerSecond: 400},
    {
      hosts: LATER_SIZE.entries,
      upstreams: LATER_SIZE.upstreams,
      models: LATER_SIZE.models,
      requestsPerSecond: 1_600,
    },
  ];
  for (const size of sizes) {
    for (const hasFullView of [true, false]) {
      const result = await runFleet(size, hasFullView);
      const view = hasFullView ? 'all upstreams linked' : 'links as built';
      for (const [name, value] of Object.entries(result)) {
        sink.add({
          group: 'routing',
          name: `${name}, ${view}`,
          size: `hosts=${size.hosts} upstreams=${size.upstreams}`,
          value,
          unit: ROUTING_UNITS[name],
        });
      }
    }
  }
}
