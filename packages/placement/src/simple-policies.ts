/** Simple policies that the default policy is compared with. */
import type {Model, Placement} from '@siskinplank/resources';
import {buildFleet, fillAdapters, isAllowed} from './fleet';
import type {Fleet, FleetTarget} from './fleet';
import {PLACEMENT_DEFAULTS} from './options';
import type {PlacementPolicyOptions} from './options';
import {createTransitionPlanner} from './transition';
import type {TransitionPlanner} from './transition';
import {PlacementPolicy} from './types';
import type {PlacementInput} from './types';

/**
 * Packs models in order of demand: one replica each, then further replicas of
 * the same order until demand is covered or no upstream has room.
 */
function computePackedTarget(
  fleet: Fleet,
  tokensPerAccelerator: number,
): FleetTarget {
  const target: FleetTarget = new Map();
  const free = new Map<string, number>();
  const load = new Map<string, number>();
  for (const upstream of fleet.upstreams) {
    target.set(upstream.name, {models: new Set(), adapters: new Set()});
    free.set(upstream.name, upstream.memoryMiB);
    load.set(upstream.name, 0);
  }
  const getDemand = (model: Model): number =>
    fleet.demand.get(model.name)?.tokensPerSecond ?? 0;
  const replicas = new Map<string, number>();
  const addReplica = (model: Model): boolean => {
    let best: string | undefined;
    for (const upstream of fleet.upstreams) {
      const {name} = upstream;
      if (target.get(name)?.models.has(model.name)) continue;
      if (!isAllowed(model, upstream)) continue;
      if ((free.get(name) ?? 0) < model.memoryMiB) continue;
      const isBetter =
        best === undefined || (load.get(name) ?? 0) < (load.get(best) ?? 0);
      if (isBetter) best = name;
    }
    if (best === undefined) return false;
    target.get(best)?.models.add(model.name);
    free.set(best, (free.get(best) ?? 0) - model.memoryMiB);
    const count = (replicas.get(model.name) ?? 0) + 1;
    replicas.set(model.name, count);
    load.set(best, (load.get(best) ?? 0) + getDemand(model) / count);
    return true;
  };
  const byDemand = [...fleet.models.values()].sort(
    (a, b) =>
      Math.sign(b.minReplicas) - Math.sign(a.minReplicas) ||
      getDemand(b) - getDemand(a),
  );
  for (const model of byDemand) {
    if (getDemand(model) > 0 || model.minReplicas > 0) addReplica(model);
  }
  for (const model of byDemand) {
    const wanted = Math.max(
      model.minReplicas,
      Math.ceil(getDemand(model) / tokensPerAccelerator),
    );
    while ((replicas.get(model.name) ?? 0) < wanted) {
      if (!addReplica(model)) break;
    }
  }
  fillAdapters(fleet, target);
  return target;
}

abstract class TargetPolicy extends PlacementPolicy {
  protected readonly options: Required<PlacementPolicyOptions>;
  private readonly transitions: TransitionPlanner;

  constructor(options: PlacementPolicyOptions = {}) {
    super();
    this.options = {...PLACEMENT_DEFAULTS, ...options};
    this.transitions = createTransitionPlanner(this.options.removalHoldMs);
  }

  protected abstract computeTarget(fleet: Fleet): FleetTarget;

  override computePlacements(
    input: PlacementInput,
    nowMs: number,
  ): readonly Placement[] {
    const fleet = buildFleet(input);
    return this.transitions.planStep(
      fleet,
      input,
      this.computeTarget(fleet),
      model => fleet.demand.get(model.name)?.tokensPerSecond ?? 0,
      nowMs,
    );
  }
}

/** Computes a new target from the demand of each round; ignores load costs. */
export class GreedyPlacementPolicy extends TargetPolicy {
  protected override computeTarget(fleet: Fleet): FleetTarget {
    return computePackedTarget(fleet, this.options.tokensPerAccelerator);
  }
}

/** Keeps the target of the first round. */
export class StaticPlacementPolicy extends TargetPolicy {
  private target: FleetTarget | undefined;

  protected override computeTarget(fleet: Fleet): FleetTarget {
    this.target ??= computePackedTarget(
      fleet,
      this.options.tokensPerAccelerator,
    );
    return this.target;
  }
}
