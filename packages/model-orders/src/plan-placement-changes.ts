/**
 * Plans which model to load where, and what has to go for it. Answers demand
 * that moves between models, upstreams that crash or appear empty, and rare
 * models that are asked for at once.
 */
import type {ModelSpec} from '@siskinplank/serving';
import type {ModelDemand} from './demand-tracker';

/** An upstream as the planner sees it. */
export interface PlannedUpstream {
  id: string;
  /** Room for weights, in MB, without what adapters need. */
  capacityMb: number;
  /** Models that take room: present, on their way in or out. */
  models: ReadonlySet<string>;
  /** Models that can serve or will soon. */
  serving: ReadonlySet<string>;
  /** Requests open here, by model. */
  openByModel: ReadonlyMap<string, number>;
  /** Weights that need no load from the weight store. */
  inMemory: ReadonlySet<string>;
  onDisk: ReadonlySet<string>;
  /** Whether it can take an order now. */
  canTakeOrder: boolean;
}

/** What a plan is made from. */
export interface PlanInput {
  upstreams: readonly PlannedUpstream[];
  models: ReadonlyMap<string, ModelSpec>;
  demand: readonly ModelDemand[];
  /** Open requests that one copy serves without getting slow. */
  openPerCopy: number;
  /** Loads from the weight store that may begin now. */
  storeLoadsLeft: number;
}

/** One model to load, after others were removed. */
export interface PlacementChange {
  upstream: string;
  load: string;
  evict: readonly string[];
  /** Whether the weights come from the weight store. */
  isStoreLoad: boolean;
  /** Requests served better over the horizon, less what the move costs. */
  gain: number;
}

/** Time over which a move must pay, in seconds: demand moves in about that. */
const HORIZON_SECONDS = 8;
/** Requests that one load must be worth: the price of a load in that unit. */
const LOAD_COST = 0.7;
/** Demand assumed for models that nobody has asked for, a second. */
const LATENT_RATE = 0.01;
/** Cost of waiting for a load, in requests a second for each waiting one. */
const WAIT_COST = 1;
/** Time that an upstream takes to drop a model that nothing uses: 0.3 to 0.5 s. */
const EVICTION_SECONDS = 0.45;

/**
 * Upstreams lost each second for each upstream: crashes, notices of some
 * seconds and replacements on the days of the deployments.
 */
const LOSSES_PER_SECOND = 1 / 80;

interface Candidate {
  upstream: PlannedUpstream;
  evict: string[];
  cost: number;
  isStoreLoad: boolean;
}

/** Requests a second that go badly with `copies` copies of a model. */
function computeHarm(
  demand: ModelDemand | undefined,
  copies: number,
  openPerCopy: number,
  recoverySeconds: number,
): number {
  const rate = Math.max(LATENT_RATE, demand?.requestsPerSecond ?? 0);
  const waiting = demand?.waitingCount ?? 0;
  if (copies <= 0) return rate + waiting;
  const openEach = ((demand?.averageOpen ?? 0) + waiting) / copies;
  const excess = Math.min(1, Math.max(0, openEach / openPerCopy - 1));
  // The loss of the only copy leaves its requests unserved until a load ends.
  const risk = copies === 1 ? LOSSES_PER_SECOND * recoverySeconds : 0;
  return rate * (excess + risk);
}

function estimateLoadMs(upstream: PlannedUpstream, model: ModelSpec): number {
  if (upstream.inMemory.has(model.name)) return model.memoryLoadMs;
  if (upstream.onDisk.has(model.name)) return model.diskLoadMs;
  return model.storeLoadMs;
}

/** Plans the most useful moves, at most one for each upstream. */
export function planPlacementChanges(input: PlanInput): PlacementChange[] {
  const {upstreams, models, openPerCopy} = input;
  const demandByModel = new Map(
    input.demand.map(demand => [demand.model, demand]),
  );
  const copies = new Map<string, number>();
  for (const {serving} of upstreams) {
    for (const model of serving) {
      copies.set(model, (copies.get(model) ?? 0) + 1);
    }
  }
  const used = new Set<string>();
  let storeLoadsLeft = input.storeLoadsLeft;

  /** Time to load a model again after its only copy is lost. */
  const recoverySeconds = new Map<string, number>();
  for (const model of models.values()) {
    let shortestMs = model.storeLoadMs;
    for (const upstream of upstreams) {
      if (upstream.serving.has(model.name)) continue;
      shortestMs = Math.min(shortestMs, estimateLoadMs(upstream, model));
    }
    recoverySeconds.set(model.name, shortestMs / 1_000);
  }

  const harm = (model: string, count: number): number =>
    computeHarm(
      demandByModel.get(model),
      count,
      openPerCopy,
      recoverySeconds.get(model) ?? 0,
    );

  const computeEvictionCost = (
    upstream: PlannedUpstream,
    model: string,
  ): number => {
    if (!upstream.serving.has(model)) return Infinity;
    if ((upstream.openByModel.get(model) ?? 0) > 0) return Infinity;
    const count = copies.get(model) ?? 1;
    return (harm(model, count - 1) - harm(model, count)) * HORIZON_SECONDS;
  };

  /** Models to remove so that `neededMb` fit, the cheapest ones. */
  const chooseVictims = (
    upstream: PlannedUpstream,
    neededMb: number,
    delayCost: number,
  ): {evict: string[]; cost: number} | undefined => {
    const getMb = (model: string): number =>
      models.get(model)?.weightsMb ?? upstream.capacityMb;
    let freeMb = upstream.capacityMb;
    for (const model of upstream.models) freeMb -= getMb(model);
    if (freeMb >= neededMb) return {evict: [], cost: 0};
    const options = [...upstream.serving]
      .map(model => ({
        model,
        cost: computeEvictionCost(upstream, model) + delayCost,
      }))
      .filter(({cost}) => cost < Infinity)
      .sort((left, right) => left.cost - right.cost);
    const single = options.find(({model}) => freeMb + getMb(model) >= neededMb);
    const evict: string[] = [];
    let cost = 0;
    for (const option of options) {
      if (freeMb >= neededMb) break;
      evict.push(option.model);
      freeMb += getMb(option.model);
      cost += option.cost;
    }
    const isEnough = freeMb >= neededMb;
    if (single !== undefined && (!isEnough || single.cost <= cost)) {
      return {evict: [single.model], cost: single.cost};
    }
    return isEnough ? {evict, cost} : undefined;
  };

  const considerUpstream = (
    upstream: PlannedUpstream,
    model: ModelSpec,
  ): Candidate | undefined => {
    if (!upstream.canTakeOrder || used.has(upstream.id)) return undefined;
    if (upstream.models.has(model.name)) return undefined;
    const isStoreLoad =
      !upstream.inMemory.has(model.name) && !upstream.onDisk.has(model.name);
    if (isStoreLoad && storeLoadsLeft < 1) return undefined;
    const waiting = demandByModel.get(model.name)?.waitingCount ?? 0;
    const costPerSecond = WAIT_COST * (1 + waiting);
    const victims = chooseVictims(
      upstream,
      model.weightsMb,
      EVICTION_SECONDS * costPerSecond,
    );
    if (victims === undefined) return undefined;
    const waitCost = (estimateLoadMs(upstream, model) / 1_000) * costPerSecond;
    let open = 0;
    for (const count of upstream.openByModel.values()) open += count;
    const crowdCost = (open / openPerCopy) * LOAD_COST;
    return {
      upstream,
      evict: victims.evict,
      isStoreLoad,
      cost: victims.cost + waitCost + crowdCost + (isStoreLoad ? LOAD_COST : 0),
    };
  };

  const planModel = (
    model: ModelSpec,
    gain: number,
  ): PlacementChange | undefined => {
    let best: Candidate | undefined;
    for (const upstream of upstreams) {
      const candidate = considerUpstream(upstream, model);
      if (candidate === undefined) continue;
      if (best === undefined || candidate.cost < best.cost) best = candidate;
    }
    if (best === undefined) return undefined;
    const isFree = best.evict.length === 0;
    const net = gain - best.cost;
    const isUrgent = (copies.get(model.name) ?? 0) === 0 && gain > 0;
    if (net <= 0 && !(isFree && isUrgent)) return undefined;
    used.add(best.upstream.id);
    if (best.isStoreLoad) storeLoadsLeft -= 1;
    for (const evicted of best.evict) {
      copies.set(evicted, (copies.get(evicted) ?? 1) - 1);
    }
    copies.set(model.name, (copies.get(model.name) ?? 0) + 1);
    return {
      upstream: best.upstream.id,
      load: model.name,
      evict: best.evict,
      isStoreLoad: best.isStoreLoad,
      gain: net,
    };
  };

  const wanted = [...models.values()]
    .map(model => {
      const count = copies.get(model.name) ?? 0;
      const gain =
        (harm(model.name, count) - harm(model.name, count + 1)) *
        HORIZON_SECONDS;
      return {model, gain};
    })
    .filter(({gain}) => gain > 0)
    .sort((left, right) => right.gain - left.gain);
  const moves: PlacementChange[] = [];
  for (const {model, gain} of wanted) {
    const move = planModel(model, gain);
    if (move !== undefined) moves.push(move);
  }
  return moves;
}
