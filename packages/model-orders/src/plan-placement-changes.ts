/**
 * Plans which model to load on which upstream and which models to evict for it.
 * Reacts to demand that shifts between models, to upstreams that crash or join
 * without models, and to requests for models that no upstream holds.
 */
import type {ModelSpec} from '@siskinplank/serving';
import type {ModelDemand} from './demand-tracker';
import {createKeptUpstreams} from './kept-upstreams';
import {
  RESUME_WAIT_MS,
  estimateLoadMs,
  hasSeveralVersions,
} from './planned-upstream';
import type {PlannedUpstream} from './planned-upstream';
import {createReplicaVersions} from './replica-versions';
import {LoadRefusal} from './unplaced-models';
import type {UnplacedModel} from './unplaced-models';
import {listWaitingStreams} from './waiting-streams';

/** Input of `planPlacementChanges`. */
export interface PlanInput {
  upstreams: readonly PlannedUpstream[];
  models: ReadonlyMap<string, ModelSpec>;
  demand: readonly ModelDemand[];
  /** Open requests that one replica of a model serves without slowing down. */
  openPerCopy: number;
  /** Software version of the last replica of each model that was ever held. */
  lastVersions: ReadonlyMap<string, string>;
  /** Loads from the weight store that may begin now. */
  storeLoadsLeft: number;
  /** The same for streams that can go on at one software version only. */
  storeLoadsLeftForStreams: number;
  /** Whether upstreams may be replaced by ones of another version now. */
  isReleaseRunning: boolean;
}

/** One model to load on an upstream after the evictions. */
export interface PlacementChange {
  upstream: string;
  load: string;
  evict: readonly string[];
  /** Whether the weights come from the weight store. */
  isStoreLoad: boolean;
  /**
   * Net benefit, in requests: those that are served in time over the horizon
   * thanks to the change, less its cost.
   */
  gain: number;
}

/** Result of `planPlacementChanges`. */
export interface PlacementPlan {
  /** In descending order of their benefit, at most one for each upstream. */
  changes: PlacementChange[];
  unplaced: UnplacedModel[];
}

/**
 * Time over which a change must pay off, in seconds: about the time in which
 * demand shifts to other models.
 */
const HORIZON_SECONDS = 8;
/**
 * Time for which two software versions serve side by side, in seconds: a release
 * that stops halfway is looked at for a minute or more.
 */
const VERSIONS_HORIZON_SECONDS = 60;
/** Cost of a load from the weight store, in requests. */
const LOAD_COST = 0.7;
/** Demand assumed for models without requests, in requests per second. */
const MIN_REQUEST_RATE = 0.01;
/** Cost per second of load time, in requests: times 1 + waiting requests. */
const WAIT_COST = 1;
/** Replicas that a model may lack at once. */
const MAX_NEEDED_REPLICAS = 4;
/**
 * Loads from the weight store that are left for streams that can go on at one
 * software version only. Other loads can wait until the store allows the next.
 */
const STORE_LOADS_FOR_STREAMS = 1;
/** Time in which an upstream unloads a model without requests: 0.3 to 0.5 s. */
const EVICTION_SECONDS = 0.45;

/**
 * Losses per upstream and second in deployments: crashes, shutdowns announced a
 * few seconds ahead, and replacements.
 */
const UPSTREAM_LOSSES_PER_SECOND = 1 / 80;

interface Candidate {
  upstream: PlannedUpstream;
  evict: string[];
  cost: number;
  /** Streams at risk after the change, and those that it leaves so, in requests. */
  riskCost: number;
  /** Streams that are no longer at risk, in requests. */
  riskGain: number;
  isStoreLoad: boolean;
}

/**
 * Estimates the requests per second that are delayed or not served with
 * `replicas` replicas of a model. When the only replica is lost, a reload takes
 * `recoverySeconds`.
 */
function computeDegradedRate(
  demand: ModelDemand | undefined,
  replicas: number,
  openPerCopy: number,
  recoverySeconds: number,
): number {
  const rate = Math.max(MIN_REQUEST_RATE, demand?.requestsPerSecond ?? 0);
  const waiting = demand?.waitingCount ?? 0;
  if (replicas <= 0) return rate + waiting;
  const openEach = ((demand?.averageOpen ?? 0) + waiting) / replicas;
  const excess = Math.min(1, Math.max(0, openEach / openPerCopy - 1));
  // After the only replica is lost, its requests wait until a load ends.
  const risk =
    replicas === 1 ? UPSTREAM_LOSSES_PER_SECOND * recoverySeconds : 0;
  return rate * (excess + risk);
}

/** Plans the changes that pay off. */
export function planPlacementChanges(input: PlanInput): PlacementPlan {
  const {upstreams, models, openPerCopy} = input;
  const demandByModel = new Map(
    input.demand.map(demand => [demand.model, demand]),
  );
  const replicaCounts = new Map<string, number>();
  for (const {serving} of upstreams) {
    for (const model of serving) {
      replicaCounts.set(model, (replicaCounts.get(model) ?? 0) + 1);
    }
  }
  const replicaVersions = createReplicaVersions(upstreams);
  const usedUpstreams = new Set<string>();
  let {storeLoadsLeft, storeLoadsLeftForStreams} = input;
  // Streams wait for no load that ends after their callers have left.
  const canEndInTime = [...models.values()].some(
    ({storeLoadMs}) => storeLoadMs <= RESUME_WAIT_MS,
  );
  if (canEndInTime && hasSeveralVersions(upstreams)) {
    const othersLeft = storeLoadsLeftForStreams - STORE_LOADS_FOR_STREAMS;
    storeLoadsLeft = Math.min(storeLoadsLeft, othersLeft);
  } else storeLoadsLeftForStreams = storeLoadsLeft;

  /** Time to reload a model after its only replica is lost, by model. */
  const recoverySeconds = new Map<string, number>();
  for (const model of models.values()) {
    let shortestMs = model.storeLoadMs;
    for (const upstream of upstreams) {
      if (upstream.serving.has(model.name)) continue;
      shortestMs = Math.min(shortestMs, estimateLoadMs(upstream, model));
    }
    recoverySeconds.set(model.name, shortestMs / 1_000);
  }

  const estimateDegradedRate = (model: string, count: number): number =>
    computeDegradedRate(
      demandByModel.get(model),
      count,
      openPerCopy,
      recoverySeconds.get(model) ?? 0,
    );

  /**
   * Whether streams are lost with the only replica at their version. A copy at a
   * version that is being replaced is soon lost as well, so that in a release
   * only models count that can't be loaded again while callers wait.
   */
  const isAtRisk = (model: string): boolean =>
    !input.isReleaseRunning ||
    (models.get(model)?.storeLoadMs ?? 0) > RESUME_WAIT_MS;

  /**
   * Estimates the streams that are lost while two versions serve, since their
   * upstream ends and no other one of its version has the model.
   */
  const estimateRiskCost = (
    model: string,
    change: number,
    softwareVersion: string,
  ): number => {
    if (!isAtRisk(model)) return 0;
    return (
      replicaVersions.computeLoneFraction(model, change, softwareVersion) *
      (demandByModel.get(model)?.averageOpen ?? 0) *
      UPSTREAM_LOSSES_PER_SECOND *
      VERSIONS_HORIZON_SECONDS
    );
  };

  /**
   * Estimates the streams that can't go on since the last replica was lost and
   * the next one is loaded at another version; none if a load at their version
   * would end too late.
   */
  const estimateReloadCost = (
    model: ModelSpec,
    {softwareVersion}: PlannedUpstream,
  ): number => {
    const lastVersion = input.lastVersions.get(model.name) ?? softwareVersion;
    const isLost = (replicaCounts.get(model.name) ?? 0) === 0;
    if (input.isReleaseRunning || !isLost) return 0;
    if (lastVersion === softwareVersion) return 0;
    const canGoOn = upstreams.some(
      upstream =>
        upstream.softwareVersion === lastVersion &&
        upstream.canTakeOrder &&
        estimateLoadMs(upstream, model) <= RESUME_WAIT_MS,
    );
    if (!canGoOn) return 0;
    const {averageOpen = 0, waitingCount = 0} =
      demandByModel.get(model.name) ?? {};
    return averageOpen + waitingCount;
  };

  /**
   * Estimates the gain of a further replica. The first of several replicas that
   * a model needs may change nothing by itself, so each counts for its part.
   */
  const estimateReplicaGain = (model: string, count: number): number => {
    const degradedRate = estimateDegradedRate(model, count);
    const gains = Array.from({length: MAX_NEEDED_REPLICAS}, (_, index) => {
      const added = index + 1;
      return (
        (degradedRate - estimateDegradedRate(model, count + added)) / added
      );
    });
    return Math.max(...gains) * HORIZON_SECONDS;
  };

  const computeEvictionCost = (
    upstream: PlannedUpstream,
    model: string,
  ): number => {
    if (!upstream.serving.has(model)) return Infinity;
    if ((upstream.openByModel.get(model) ?? 0) > 0) return Infinity;
    if (upstream.reserved.has(model)) return Infinity;
    // Streams that waited for a load have not been sent to it when it ends.
    const {waitingByVersion} = demandByModel.get(model) ?? {};
    if (waitingByVersion?.has(upstream.softwareVersion)) return Infinity;
    const count = replicaCounts.get(model) ?? 1;
    const degradedRate =
      estimateDegradedRate(model, count - 1) -
      estimateDegradedRate(model, count);
    const lostGain = Math.max(
      degradedRate * HORIZON_SECONDS,
      estimateReplicaGain(model, count - 1),
    );
    const riskCost =
      estimateRiskCost(model, -1, upstream.softwareVersion) -
      estimateRiskCost(model, 0, upstream.softwareVersion);
    return lostGain + Math.max(0, riskCost);
  };

  /**
   * Chooses the cheapest models to evict so that `neededMb` fit; undefined if
   * idle models do not use enough memory.
   */
  const chooseEvictions = (
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

  const isFree = ({canTakeOrder, id}: PlannedUpstream): boolean =>
    canTakeOrder && !usedUpstreams.has(id);

  const hasRoom = (
    upstream: PlannedUpstream,
    {name, weightsMb}: ModelSpec,
  ): boolean =>
    !upstream.models.has(name) &&
    chooseEvictions(upstream, weightsMb, 0) !== undefined;

  const isKept = createKeptUpstreams({
    upstreams,
    models: [...models.values()].filter(
      ({storeLoadMs}) => storeLoadMs <= RESUME_WAIT_MS,
    ),
    replicaVersions,
    isFree,
    hasRoom,
  });

  /** Whether an upstream that carries out another order has room. */
  const canAwaitOther = (model: ModelSpec): boolean =>
    upstreams.some(upstream => !isFree(upstream) && hasRoom(upstream, model));

  const scoreUpstream = (
    upstream: PlannedUpstream,
    model: ModelSpec,
    mayUseKept: boolean,
    isForStreams: boolean,
  ): Candidate | LoadRefusal => {
    if (!isFree(upstream)) return LoadRefusal.OtherOrder;
    // A second replica at the version ends the risk that it is kept for.
    const isSecond =
      isAtRisk(model.name) &&
      replicaVersions.getCount(model.name, upstream.softwareVersion) === 1;
    if (!mayUseKept && !isSecond && isKept(upstream))
      return LoadRefusal.KeptFree;
    const isStoreLoad =
      !upstream.inMemory.has(model.name) && !upstream.onDisk.has(model.name);
    const waiting = demandByModel.get(model.name)?.waitingCount ?? 0;
    const costPerSecond = WAIT_COST * (1 + waiting);
    const evictions = chooseEvictions(
      upstream,
      model.weightsMb,
      EVICTION_SECONDS * costPerSecond,
    );
    if (evictions === undefined) return LoadRefusal.NothingEvictable;
    const loadsLeft =
      isForStreams || isSecond ? storeLoadsLeftForStreams : storeLoadsLeft;
    if (isStoreLoad && loadsLeft < 1) return LoadRefusal.NoStoreLoad;
    const waitCost = (estimateLoadMs(upstream, model) / 1_000) * costPerSecond;
    let open = 0;
    for (const count of upstream.openByModel.values()) open += count;
    const openRequestCost = (open / openPerCopy) * LOAD_COST;
    const {softwareVersion} = upstream;
    const riskCost = estimateRiskCost(model.name, 1, softwareVersion);
    const riskGain =
      estimateRiskCost(model.name, 0, softwareVersion) - riskCost;
    return {
      upstream,
      evict: evictions.evict,
      riskCost: riskCost + estimateReloadCost(model, upstream),
      riskGain: Math.max(0, riskGain),
      isStoreLoad,
      cost:
        evictions.cost +
        waitCost +
        openRequestCost +
        (isStoreLoad ? LOAD_COST : 0),
    };
  };

  const unplaced: UnplacedModel[] = [];
  const noteUnplaced = (
    model: ModelSpec,
    gain: number,
    refusals: ReadonlyMap<PlannedUpstream, LoadRefusal>,
  ): void => {
    const byVersion = new Map<string, UnplacedModel>();
    for (const [upstream, refusal] of refusals) {
      const {softwareVersion} = upstream;
      const riskGain =
        estimateRiskCost(model.name, 0, softwareVersion) -
        estimateRiskCost(model.name, 1, softwareVersion);
      const known = byVersion.get(softwareVersion);
      const counts = new Map(known?.refusals);
      counts.set(refusal, (counts.get(refusal) ?? 0) + 1);
      byVersion.set(softwareVersion, {
        model: model.name,
        softwareVersion,
        gain,
        riskGain: Math.max(0, riskGain),
        shortestLoadMs: Math.min(
          known?.shortestLoadMs ?? Infinity,
          estimateLoadMs(upstream, model),
        ),
        refusals: counts,
      });
    }
    unplaced.push(...byVersion.values());
  };

  /** Plans a load, at one software version if streams wait for it there. */
  const planModel = (
    model: ModelSpec,
    gain: number,
    streamVersion?: string,
  ): PlacementChange | undefined => {
    const isLost = (replicaCounts.get(model.name) ?? 0) === 0;
    const isUrgent = gain > 0 && (isLost || streamVersion !== undefined);
    const isForStreams = streamVersion !== undefined;
    const refusals = new Map<PlannedUpstream, LoadRefusal>();
    const isWorthwhile = (
      {riskGain, cost, evict}: Candidate,
      isOrdinary: boolean,
    ): boolean =>
      gain + riskGain - cost > 0 ||
      (isUrgent && isOrdinary && evict.length === 0);
    const chooseBest = (mayUseKept: boolean): Candidate | undefined =>
      upstreams
        .filter(
          ({softwareVersion}) =>
            streamVersion === undefined || softwareVersion === streamVersion,
        )
        .filter(({models: held}) => !held.has(model.name))
        .map(upstream => {
          const scored = scoreUpstream(
            upstream,
            model,
            mayUseKept,
            isForStreams,
          );
          const isOrdinary = isForStreams || !mayUseKept;
          if (typeof scored !== 'string' && isWorthwhile(scored, isOrdinary))
            return scored;
          const refusal =
            typeof scored === 'string' ? scored : LoadRefusal.Cost;
          refusals.set(upstream, refusal);
          return undefined;
        })
        .filter(candidate => candidate !== undefined)
        .sort(
          (left, right) =>
            left.cost + left.riskCost - right.cost - right.riskCost,
        )
        .at(0);
    const best =
      chooseBest(isForStreams) ??
      (isLost && !isForStreams && !canAwaitOther(model)
        ? chooseBest(true)
        : undefined);
    if (best === undefined) {
      noteUnplaced(model, gain, refusals);
      return undefined;
    }
    usedUpstreams.add(best.upstream.id);
    if (best.isStoreLoad) {
      storeLoadsLeft -= 1;
      storeLoadsLeftForStreams -= 1;
    }
    const {softwareVersion} = best.upstream;
    for (const evicted of best.evict) {
      replicaCounts.set(evicted, (replicaCounts.get(evicted) ?? 1) - 1);
      replicaVersions.add(evicted, softwareVersion, -1);
    }
    replicaCounts.set(model.name, (replicaCounts.get(model.name) ?? 0) + 1);
    replicaVersions.add(model.name, softwareVersion, 1);
    return {
      upstream: best.upstream.id,
      load: model.name,
      evict: best.evict,
      isStoreLoad: best.isStoreLoad,
      gain: gain + best.riskGain - best.cost,
    };
  };

  const changes: PlacementChange[] = [];
  // Streams that wait can go on at no other version, so they come first.
  for (const {model, softwareVersion, count} of listWaitingStreams(input)) {
    const gain = count * HORIZON_SECONDS;
    const change = planModel(model, gain, softwareVersion);
    if (change !== undefined) changes.push(change);
  }
  const modelsByGain = [...models.values()]
    .map(model => {
      const count = replicaCounts.get(model.name) ?? 0;
      return {model, gain: estimateReplicaGain(model.name, count)};
    })
    .filter(
      ({model, gain}) =>
        gain > 0 ||
        (isAtRisk(model.name) && replicaVersions.hasLone(model.name)),
    )
    .sort((left, right) => right.gain - left.gain);
  for (const {model, gain} of modelsByGain) {
    const change = planModel(model, gain);
    if (change !== undefined) changes.push(change);
  }
  return {changes, unplaced};
}
