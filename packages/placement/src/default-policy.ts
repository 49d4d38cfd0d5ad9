/** The default placement policy. */
import type {Model, Placement, Upstream} from '@siskinplank/resources';
import {buildCurrentTarget, buildFleet, fillAdapters, isAllowed} from './fleet';
import type {Fleet, FleetTarget} from './fleet';
import {PLACEMENT_DEFAULTS} from './options';
import type {PlacementPolicyOptions} from './options';
import {createPlanningState} from './planning-state';
import type {PlanningState} from './planning-state';
import {createTransitionPlanner} from './transition';
import {PlacementPolicy} from './types';
import type {PlacementInput} from './types';
import {createDemandValue} from './value';
import type {DemandValue} from './value';

/** A model that needs a further replica. */
interface ReplicaNeed {
  model: Model;
  /** Demand that its replicas do not serve, in tokens per second. */
  unserved: number;
  /** Whether it has fewer replicas than its minimum. */
  isRequired: boolean;
  priority: number;
}

/** An upstream for a replica and the models to evict there. */
interface ReplicaSite {
  upstream: Upstream;
  evicted: readonly Model[];
  /** Value of the replica plus bonuses, minus load cost and eviction loss. */
  netValue: number;
}

/** Bonus that puts required replicas into unused failure domains first. */
const REQUIRED_SPREAD_BONUS = 1e12;

/** Multiple of the removal hold after which a waiting load is cancelled. */
const WAITING_LOAD_MAX_HOLDS = 4;

/**
 * Adds the replicas with the highest gain to the current placement instead of
 * computing a new one, so that a round is cheap and causes few model loads.
 */
export class DefaultPlacementPolicy extends PlacementPolicy {
  private readonly options: Required<PlacementPolicyOptions>;
  private readonly transitions;

  /** Models in the memory of each upstream, as reported. */
  private residents: ReadonlyMap<string, ReadonlySet<string>> = new Map();
  /** Decided loads that wait for memory or budget, with the decision times. */
  private readonly waitingLoads = new Map<string, Map<string, number>>();

  constructor(options: PlacementPolicyOptions = {}) {
    super();
    this.options = {...PLACEMENT_DEFAULTS, ...options};
    this.transitions = createTransitionPlanner(this.options.removalHoldMs);
  }

  override computePlacements(
    input: PlacementInput,
    nowMs: number,
  ): readonly Placement[] {
    const fleet = buildFleet(input);
    this.residents = new Map(
      (input.contents ?? []).map(({upstream, models}) => [
        upstream,
        new Set(models),
      ]),
    );
    const target = buildCurrentTarget(fleet, input);
    const state = createPlanningState(
      fleet,
      target,
      this.options.tokensPerAccelerator,
    );
    this.applyWaitingLoads(fleet, target, state, nowMs);
    const value = this.createValue(fleet, state);
    let decisions =
      Math.floor(input.modelLoadBudget) - this.countWaitingLoads();
    const needs = this.listNeeds(fleet, state, value);
    while (decisions > 0 && needs.length > 0) {
      const need = needs.pop();
      if (need === undefined) break;
      const site = this.findSite(fleet, state, value, need);
      if (site === undefined) continue;
      decisions -= 1;
      for (const evicted of site.evicted) {
        state.removeModel(site.upstream.name, evicted);
      }
      state.evictAdapters(site.upstream.name, need.model.memoryMiB);
      state.addModel(site.upstream.name, need.model);
      this.recordWaitingLoad(site.upstream.name, need.model.name, nowMs);
      const next = this.makeNeed(fleet, state, value, need.model);
      if (next === undefined) continue;
      needs.push(next);
      needs.sort((a, b) => a.priority - b.priority);
    }
    fillAdapters(fleet, target);
    return this.transitions.planStep(
      fleet,
      input,
      target,
      model =>
        value.computeValue(
          model.name,
          fleet.demand.get(model.name)?.tokensPerSecond ?? 0,
        ) + (model.minReplicas > 0 ? 1 : 0),
      nowMs,
    );
  }

  private createValue(fleet: Fleet, state: PlanningState): DemandValue {
    const served = new Map<string, number>();
    for (const model of fleet.demand.keys()) {
      served.set(model, state.computeServedDemand(model));
    }
    return createDemandValue(fleet, served, this.options.attainmentWeight);
  }

  /** Adds the loads of earlier rounds that no placement contains yet. */
  private applyWaitingLoads(
    fleet: Fleet,
    target: FleetTarget,
    state: PlanningState,
    nowMs: number,
  ): void {
    for (const [upstream, names] of this.waitingLoads) {
      const entry = target.get(upstream);
      for (const [name, decidedMs] of names) {
        const model = fleet.models.get(name);
        const isDone =
          entry === undefined || model === undefined || entry.models.has(name);
        const isExpired =
          nowMs - decidedMs >
          WAITING_LOAD_MAX_HOLDS * this.options.removalHoldMs;
        const fits =
          !isDone &&
          !isExpired &&
          state.getFreeMiB(upstream) >= model.memoryMiB;
        if (fits) state.addModel(upstream, model);
        else names.delete(name);
      }
      if (names.size === 0) this.waitingLoads.delete(upstream);
    }
  }

  private countWaitingLoads(): number {
    let count = 0;
    for (const names of this.waitingLoads.values()) count += names.size;
    return count;
  }

  private recordWaitingLoad(
    upstream: string,
    model: string,
    nowMs: number,
  ): void {
    const names = this.waitingLoads.get(upstream) ?? new Map<string, number>();
    this.waitingLoads.set(upstream, names);
    names.set(model, nowMs);
  }

  private makeNeed(
    fleet: Fleet,
    state: PlanningState,
    value: DemandValue,
    model: Model,
  ): ReplicaNeed | undefined {
    const demand = fleet.demand.get(model.name)?.tokensPerSecond ?? 0;
    const replicas = state.getReplicas(model.name).size;
    const isRequired = replicas < model.minReplicas;
    const unserved = Math.max(
      0,
      demand - state.computeServedDemand(model.name),
    );
    if (!isRequired && unserved <= 0) return undefined;
    const gain = value.computeValue(model.name, unserved);
    // Required replicas come first, starting with models without any replica.
    const priority = isRequired ? 1e15 / (1 + replicas) + gain : gain;
    return {model, unserved, isRequired, priority};
  }

  /** Lists the needs in ascending priority. */
  private listNeeds(
    fleet: Fleet,
    state: PlanningState,
    value: DemandValue,
  ): ReplicaNeed[] {
    const needs: ReplicaNeed[] = [];
    for (const model of fleet.models.values()) {
      const need = this.makeNeed(fleet, state, value, model);
      if (need !== undefined) needs.push(need);
    }
    return needs.sort((a, b) => a.priority - b.priority);
  }

  /** Computes the value lost when the model is evicted from the upstream. */
  private computeLoss(
    fleet: Fleet,
    state: PlanningState,
    value: DemandValue,
    model: Model,
    upstream: string,
  ): number {
    const replicas = state.getReplicas(model.name);
    if (replicas.size <= model.minReplicas) return Infinity;
    const demand = fleet.demand.get(model.name)?.tokensPerSecond ?? 0;
    const replicaDemand = demand / replicas.size;
    let spare = 0;
    for (const other of replicas) {
      if (other !== upstream)
        spare += Math.max(0, state.getSpareCapacity(other));
    }
    return value.computeValue(model.name, Math.max(0, replicaDemand - spare));
  }

  /** Chooses the models to evict from the upstream so that the new one fits. */
  private chooseEvictions(
    fleet: Fleet,
    state: PlanningState,
    value: DemandValue,
    model: Model,
    upstream: Upstream,
  ): {evicted: Model[]; loss: number} | undefined {
    let missing =
      model.memoryMiB -
      state.getFreeMiB(upstream.name) -
      state.sumAdapterMemory(upstream.name);
    if (missing <= 0) return {evicted: [], loss: 0};
    const candidates = state
      .listModels(upstream.name)
      .filter(name => !this.waitingLoads.get(upstream.name)?.has(name))
      .map(name => fleet.models.get(name))
      .filter(found => found !== undefined)
      .map(found => ({
        found,
        loss: this.computeLoss(fleet, state, value, found, upstream.name),
      }))
      .filter(item => Number.isFinite(item.loss))
      .sort((a, b) => a.loss / a.found.memoryMiB - b.loss / b.found.memoryMiB);
    const evicted: Model[] = [];
    let loss = 0;
    for (const item of candidates) {
      if (missing <= 0) break;
      evicted.push(item.found);
      loss += item.loss;
      missing -= item.found.memoryMiB;
    }
    return missing <= 0 ? {evicted, loss} : undefined;
  }

  /**
   * Finds the best upstream for a replica. One that is not required must be
   * worth more than its load and the evictions.
   */
  private findSite(
    fleet: Fleet,
    state: PlanningState,
    value: DemandValue,
    need: ReplicaNeed,
  ): ReplicaSite | undefined {
    const {model} = need;
    const {options} = this;
    const replicas = state.getReplicas(model.name);
    const usedDomains = new Set<string>();
    for (const upstream of fleet.upstreams) {
      if (replicas.has(upstream.name)) usedDomains.add(upstream.failureDomain);
    }
    const loadSeconds = model.memoryMiB / options.loadMiBPerSecond;
    const servingSeconds = Math.max(0, options.horizonSeconds - loadSeconds);
    let best: ReplicaSite | undefined;
    for (const upstream of fleet.upstreams) {
      if (replicas.has(upstream.name) || !isAllowed(model, upstream)) continue;
      const spare = state.getSpareCapacity(upstream.name);
      const choice = this.chooseEvictions(fleet, state, value, model, upstream);
      if (choice === undefined) continue;
      // A first replica is served even on a busy upstream, by time sharing.
      const capacity =
        Math.max(1, upstream.accelerators) * options.tokensPerAccelerator;
      const usable =
        replicas.size === 0 ? Math.max(spare, capacity / 10) : spare;
      const gain = Math.min(need.unserved, usable);
      const hasMinGain =
        gain >= (replicas.size === 0 ? 0 : options.replicaFillRatio * capacity);
      const servingValue =
        value.computeValue(model.name, Math.max(0, gain)) * servingSeconds;
      // A model that was loaded on demand is resident, so it needs no load.
      const isResident = this.residents.get(upstream.name)?.has(model.name);
      const cost =
        (isResident ? 0 : options.modelLoadCostTokens) +
        choice.loss * options.evictionFactor * options.horizonSeconds;
      const isProfitable = hasMinGain && servingValue > cost;
      if (!need.isRequired && !isProfitable) continue;
      const tieBreak = spare / capacity;
      const isSpreading = !usedDomains.has(upstream.failureDomain);
      const requiredBonus =
        need.isRequired && isSpreading ? REQUIRED_SPREAD_BONUS : 0;
      const domainBonus = isSpreading ? options.modelLoadCostTokens : 0;
      const residentBonus = isResident ? 2 * options.modelLoadCostTokens : 0;
      const netValue =
        servingValue -
        cost +
        domainBonus +
        residentBonus +
        tieBreak +
        requiredBonus;
      if (best === undefined || netValue > best.netValue) {
        best = {upstream, evicted: choice.evicted, netValue: netValue};
      }
    }
    return best;
  }
}
