/** Times the decision functions of an entry host at several sizes. */
import {createRandom} from '@siskinplank/foundation';
import {computeTreePosition, rankMembers} from '@siskinplank/membership';
import {ProcessRole, TargetType} from '@siskinplank/messages';
import {
  PlacementPolicyName,
  createDemandEstimator,
  createPlacementPolicy,
} from '@siskinplank/placement';
import type {DemandEstimate} from '@siskinplank/placement';
import {PriorityClass, ResourceKind} from '@siskinplank/resources';
import type {Adapter, Model, Placement, Upstream} from '@siskinplank/resources';
import {
  RoutingPolicyName,
  buildCandidates,
  createLoadTable,
  createRoutingPolicy,
  hashPromptPrefixes,
} from '@siskinplank/routing';
import {
  LATER_SIZE,
  createStaticConfiguration,
  createStaticMembership,
  listModelsOf,
  makeLoad,
  makeMembers,
  makeObject,
  makeObjects,
} from './fixtures';
import type {FleetSize} from './fixtures';
import {measureCall} from './timing';
import type {FigureSink} from './types';

const UPSTREAM_COUNTS = [100, 300, 600, 920];
const MODEL_COUNTS = [100, 300, 600, 790];
const PROCESS_COUNTS = [110, 330, 665, 1_330];
const ROUNDS = 40;
const MEMORY_UNIT_MIB = 4_000;

/** Resizes the fleet in the proportions of the later size. */
export function computeFleetSize(upstreams: number): FleetSize {
  const share = upstreams / LATER_SIZE.upstreams;
  return {
    ...LATER_SIZE,
    upstreams,
    models: Math.round(LATER_SIZE.models * share),
    entries: Math.max(1, Math.round(LATER_SIZE.entries * share)),
  };
}

/** Demand of all models that changes from round to round. */
function makeDemand(size: FleetSize, round: number): DemandEstimate[] {
  const random = createRandom(round + 1);
  return Array.from({length: size.models}, (_, index) => ({
    model: `model-${index}`,
    tokensPerSecond: 2 ** (random.getNext() * 10),
  }));
}

/** One placement round with demand that swings, as in an hour of change. */
function measurePlacement(sink: FigureSink): void {
  const medians: Array<{size: number; value: number}> = [];
  const worst: Array<{size: number; value: number}> = [];
  for (const upstreamCount of UPSTREAM_COUNTS) {
    const size = computeFleetSize(upstreamCount);
    const list = <T>(kind: ResourceKind.Model | ResourceKind.Upstream) =>
      Array.from(
        {length: kind === ResourceKind.Model ? size.models : size.upstreams},
        (_, index) => makeObject(kind, index, size).value as T,
      );
    const models = list<Model>(ResourceKind.Model).map((model, index) => ({
      ...model,
      memoryMiB: MEMORY_UNIT_MIB * (1 + (index % 8)),
    }));
    const upstreams = list<Upstream>(ResourceKind.Upstream);
    const adapters: Adapter[] = [];
    const placements = new Map<string, Placement>();
    const policy = createPlacementPolicy(PlacementPolicyName.Default);
    const times: number[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const input = {
        upstreams,
        models,
        adapters,
        current: [...placements.values()],
        demand: makeDemand(size, Math.floor(round / 10)),
        modelLoadBudget: 30,
      };
      const startNs = process.hrtime.bigint();
      const changed = policy.computePlacements(input, round * 3_000);
      times.push(Number(process.hrtime.bigint() - startNs) / 1_000);
      for (const placement of changed)
        placements.set(placement.name, placement);
    }
    times.sort((a, b) => a - b);
    medians.push({size: upstreamCount, value: times[ROUNDS / 2]});
    worst.push({size: upstreamCount, value: times[ROUNDS - 1]});
  }
  const group = 'decision';
  sink.addSeries(group, 'placement round, median', 'upstreams', medians, 'us');
  sink.addSeries(group, 'placement round, slowest', 'upstreams', worst, 'us');
}

function measureEstimator(sink: FigureSink): void {
  const points = MODEL_COUNTS.map(models => {
    const estimator = createDemandEstimator({});
    const demand = makeDemand({...LATER_SIZE, models}, 1);
    let nowMs = 0;
    const {medianUs} = measureCall(() => {
      nowMs += 1_000;
      estimator.recordSamples(demand, nowMs);
    });
    return {size: models, value: medianUs};
  });
  sink.addSeries('decision', 'demand sample', 'models', points, 'us');
}

/** Candidate building and choice, for a model that any engine may load. */
function measureRouting(sink: FigureSink): void {
  const build: Array<{size: number; value: number}> = [];
  const choose: Array<{size: number; value: number}> = [];
  for (const upstreams of UPSTREAM_COUNTS) {
    const size = computeFleetSize(upstreams);
    const configuration = createStaticConfiguration(makeObjects(size));
    const members = makeMembers(size.entries, size.upstreams);
    const membership = createStaticMembership(members);
    const loads = createLoadTable();
    for (let index = 0; index < upstreams; index += 1) {
      loads.recordReport(makeLoad(index, size, 256), 0);
    }
    const [model] = listModelsOf(0, size.models);
    const target = {type: TargetType.Model as const, model};
    const sources = {configuration, membership, loads};
    const candidates = buildCandidates(target, sources, 0);
    const policy = createRoutingPolicy(
      RoutingPolicyName.Default,
      createRandom(3),
    );
    const prompt = new Uint8Array(2_048).fill(65);
    const request = {
      target,
      estimatedTokens: 370,
      priority: PriorityClass.Awaited,
      deadlineMs: 10_000,
      prefixHashes: hashPromptPrefixes(model, prompt),
      failureDomain: 'domain-0',
      region: 'region-a',
      excluded: new Set<string>(),
    };
    build.push({
      size: upstreams,
      value: measureCall(() => buildCandidates(target, sources, 0)).medianUs,
    });
    choose.push({
      size: upstreams,
      value: measureCall(() => policy.selectUpstream(request, candidates, 0))
        .medianUs,
    });
  }
  const group = 'decision';
  sink.addSeries(group, 'candidate building', 'upstreams', build, 'us');
  sink.addSeries(group, 'routing choice', 'upstreams', choose, 'us');
}

/** Ranking of all members, as after each change of the membership. */
function measureMembership(sink: FigureSink): void {
  const position: Array<{size: number; value: number}> = [];
  const ranking: Array<{size: number; value: number}> = [];
  for (const count of PROCESS_COUNTS) {
    const entries = Math.round((count * LATER_SIZE.entries) / 1_330);
    const members = makeMembers(entries, count - entries);
    const self = members[0];
    position.push({
      size: count,
      value: measureCall(() => computeTreePosition(members, self)).medianUs,
    });
    const entryMembers = members.filter(({role}) => role === ProcessRole.Entry);
    ranking.push({
      size: entryMembers.length,
      value: measureCall(() => rankMembers(entryMembers, 'placement')).medianUs,
    });
  }
  const group = 'decision';
  sink.addSeries(group, 'relay tree position', 'processes', position, 'us');
  sink.addSeries(group, 'rendezvous ranking', 'entries', ranking, 'us');
}

/** Times all decisions of this file. */
export function measureEntryDecisions(sink: FigureSink): void {
  measurePlacement(sink);
  measureEstimator(sink);
  measureRouting(sink);
  measureMembership(sink);
}
