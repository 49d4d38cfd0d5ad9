/** Lookups over a placement input, and targets for its upstreams. */
import {UpstreamState, UpstreamType} from '@siskinplank/resources';
import type {Adapter, Model, Upstream} from '@siskinplank/resources';
import type {PlacementInput} from './types';

/** Names of the models and adapters that one upstream is to hold. */
export interface UpstreamTarget {
  models: Set<string>;
  adapters: Set<string>;
}

/** Targets of all active engines, by upstream name. */
export type FleetTarget = Map<string, UpstreamTarget>;

/** Demand of a model with all its adapters. */
export interface ModelDemand {
  tokensPerSecond: number;
  /** Demand of each client account, in tokens per second. */
  accounts: Map<string, number>;
}

/** Lookups over a placement input. */
export interface Fleet {
  /** Active engines. */
  upstreams: readonly Upstream[];
  models: ReadonlyMap<string, Model>;
  adapters: ReadonlyMap<string, Adapter>;
  demand: ReadonlyMap<string, ModelDemand>;
  adapterDemand: ReadonlyMap<string, number>;
}

/** Whether the model fits on the upstream and is allowed there. */
export function isAllowed(model: Model, upstream: Upstream): boolean {
  return (
    model.memoryMiB <= upstream.memoryMiB &&
    (model.upstreams.length === 0 || model.upstreams.includes(upstream.name))
  );
}

/** Builds the lookups of an input. */
export function buildFleet(input: PlacementInput): Fleet {
  const models = new Map(input.models.map(model => [model.name, model]));
  const adapters = new Map(
    input.adapters
      .filter(adapter => models.has(adapter.model))
      .map(adapter => [adapter.name, adapter]),
  );
  const demand = new Map<string, ModelDemand>();
  const adapterDemand = new Map<string, number>();
  for (const estimate of input.demand) {
    const {model, adapter, tokensPerSecond} = estimate;
    const entry = demand.get(model) ?? {
      tokensPerSecond: 0,
      accounts: new Map<string, number>(),
    };
    demand.set(model, entry);
    entry.tokensPerSecond += tokensPerSecond;
    for (const [account, accountDemand] of Object.entries(
      estimate.accounts ?? {},
    )) {
      entry.accounts.set(
        account,
        (entry.accounts.get(account) ?? 0) + accountDemand,
      );
    }
    if (adapter !== undefined) {
      const known = adapterDemand.get(adapter) ?? 0;
      adapterDemand.set(adapter, known + tokensPerSecond);
    }
  }
  const upstreams = input.upstreams.filter(
    upstream =>
      upstream.type === UpstreamType.Engine &&
      upstream.state === UpstreamState.Active,
  );
  return {upstreams, models, adapters, demand, adapterDemand};
}

/** Sums the memory of one upstream's target, in MiB. */
export function sumTargetMemory(fleet: Fleet, target: UpstreamTarget): number {
  let memory = 0;
  for (const name of target.models) {
    memory += fleet.models.get(name)?.memoryMiB ?? 0;
  }
  for (const name of target.adapters) {
    memory += fleet.adapters.get(name)?.memoryMiB ?? 0;
  }
  return memory;
}

/**
 * Builds a target from the current placements, without models and adapters that
 * are no longer configured or do not fit into memory.
 */
export function buildCurrentTarget(
  fleet: Fleet,
  input: PlacementInput,
): FleetTarget {
  const placements = new Map(input.current.map(item => [item.name, item]));
  const target: FleetTarget = new Map();
  for (const upstream of fleet.upstreams) {
    const entry: UpstreamTarget = {models: new Set(), adapters: new Set()};
    target.set(upstream.name, entry);
    const placement = placements.get(upstream.name);
    if (placement === undefined) continue;
    let free = upstream.memoryMiB;
    for (const {name} of placement.models) {
      const model = fleet.models.get(name);
      if (model === undefined || !isAllowed(model, upstream)) continue;
      if (model.memoryMiB > free) continue;
      free -= model.memoryMiB;
      entry.models.add(name);
    }
    for (const {name} of placement.adapters) {
      const adapter = fleet.adapters.get(name);
      if (adapter === undefined || !entry.models.has(adapter.model)) continue;
      if (adapter.memoryMiB > free) continue;
      free -= adapter.memoryMiB;
      entry.adapters.add(name);
    }
  }
  return target;
}

/** Fills free memory with adapters of the models there by falling demand. */
export function fillAdapters(fleet: Fleet, target: FleetTarget): void {
  const byModel = new Map<string, Adapter[]>();
  for (const adapter of fleet.adapters.values()) {
    if ((fleet.adapterDemand.get(adapter.name) ?? 0) <= 0) continue;
    const list = byModel.get(adapter.model) ?? [];
    byModel.set(adapter.model, list);
    list.push(adapter);
  }
  if (byModel.size === 0) return;
  const getDemand = (adapter: Adapter): number =>
    fleet.adapterDemand.get(adapter.name) ?? 0;
  for (const upstream of fleet.upstreams) {
    const entry = target.get(upstream.name);
    if (entry === undefined) continue;
    let free = upstream.memoryMiB - sumTargetMemory(fleet, entry);
    const wanted = [...entry.models]
      .flatMap(name => byModel.get(name) ?? [])
      .sort((a, b) => getDemand(b) - getDemand(a));
    for (const adapter of wanted) {
      if (entry.adapters.has(adapter.name) || adapter.memoryMiB > free)
        continue;
      free -= adapter.memoryMiB;
      entry.adapters.add(adapter.name);
    }
  }
}
