/** A target that is being planned, with its replicas, loads and free memory. */
import type {Model, Upstream} from '@siskinplank/resources';
import type {Fleet, FleetTarget} from './fleet';
import {sumTargetMemory} from './fleet';

/** Replicas, loads and free memory of a target. */
export interface PlanningState {
  /** Names of the upstreams with the model. */
  getReplicas(model: string): ReadonlySet<string>;
  getFreeMiB(upstream: string): number;
  /** Unused capacity in tokens per second; negative when overloaded. */
  getSpareCapacity(upstream: string): number;
  /** Demand of the model that its replicas serve, in tokens per second. */
  computeServedDemand(model: string): number;
  addModel(upstream: string, model: Model): void;
  /** Removes the model and its adapters. */
  removeModel(upstream: string, model: Model): void;
  /** Removes adapters, least demand first, until `memoryMiB` is free. */
  evictAdapters(upstream: string, memoryMiB: number): void;
  listModels(upstream: string): readonly string[];
  /** Memory of the adapters on the upstream, in MiB. */
  sumAdapterMemory(upstream: string): number;
}

/** Creates the state of a target, which it changes in place. */
export function createPlanningState(
  fleet: Fleet,
  target: FleetTarget,
  tokensPerAccelerator: number,
): PlanningState {
  const replicas = new Map<string, Set<string>>();
  const load = new Map<string, number>();
  const free = new Map<string, number>();
  const capacity = new Map<string, number>();
  const getDemand = (model: string): number =>
    fleet.demand.get(model)?.tokensPerSecond ?? 0;

  const getReplicaSet = (model: string): Set<string> => {
    const known = replicas.get(model);
    if (known !== undefined) return known;
    const created = new Set<string>();
    replicas.set(model, created);
    return created;
  };
  const addLoad = (upstream: string, amount: number): void =>
    void load.set(upstream, (load.get(upstream) ?? 0) + amount);
  /** Adds or removes the load of a model, spread evenly over its replicas. */
  const changeLoad = (model: string, sign: 1 | -1): void => {
    const holders = getReplicaSet(model);
    if (holders.size === 0) return;
    const loadPerReplica = (sign * getDemand(model)) / holders.size;
    for (const upstream of holders) addLoad(upstream, loadPerReplica);
  };
  const addFree = (upstream: string, amount: number): void =>
    void free.set(upstream, (free.get(upstream) ?? 0) + amount);

  const initialize = (upstream: Upstream): void => {
    const entry = target.get(upstream.name);
    const used = entry === undefined ? 0 : sumTargetMemory(fleet, entry);
    free.set(upstream.name, upstream.memoryMiB - used);
    const accelerators = Math.max(1, upstream.accelerators);
    capacity.set(upstream.name, accelerators * tokensPerAccelerator);
    for (const model of entry?.models ?? []) {
      getReplicaSet(model).add(upstream.name);
    }
  };
  for (const upstream of fleet.upstreams) initialize(upstream);
  for (const model of replicas.keys()) changeLoad(model, 1);

  const removeAdapter = (upstream: string, name: string): void => {
    target.get(upstream)?.adapters.delete(name);
    addFree(upstream, fleet.adapters.get(name)?.memoryMiB ?? 0);
  };

  return {
    getReplicas: getReplicaSet,
    getFreeMiB: upstream => free.get(upstream) ?? 0,
    getSpareCapacity: upstream =>
      (capacity.get(upstream) ?? 0) - (load.get(upstream) ?? 0),
    computeServedDemand: model => {
      const holders = getReplicaSet(model);
      const demandPerReplica = getDemand(model) / Math.max(1, holders.size);
      let served = 0;
      for (const upstream of holders) {
        const ratio = (load.get(upstream) ?? 0) / (capacity.get(upstream) ?? 1);
        served += demandPerReplica / Math.max(1, ratio);
      }
      return served;
    },
    addModel: (upstream, model) => {
      changeLoad(model.name, -1);
      getReplicaSet(model.name).add(upstream);
      changeLoad(model.name, 1);
      target.get(upstream)?.models.add(model.name);
      addFree(upstream, -model.memoryMiB);
    },
    removeModel: (upstream, model) => {
      changeLoad(model.name, -1);
      getReplicaSet(model.name).delete(upstream);
      changeLoad(model.name, 1);
      const entry = target.get(upstream);
      entry?.models.delete(model.name);
      addFree(upstream, model.memoryMiB);
      for (const name of [...(entry?.adapters ?? [])]) {
        if (fleet.adapters.get(name)?.model === model.name) {
          removeAdapter(upstream, name);
        }
      }
    },
    evictAdapters: (upstream, memoryMiB) => {
      const adapters = [...(target.get(upstream)?.adapters ?? [])].sort(
        (a, b) =>
          (fleet.adapterDemand.get(a) ?? 0) - (fleet.adapterDemand.get(b) ?? 0),
      );
      for (const name of adapters) {
        if ((free.get(upstream) ?? 0) >= memoryMiB) return;
        removeAdapter(upstream, name);
      }
    },
    sumAdapterMemory: upstream => {
      let memory = 0;
      for (const name of target.get(upstream)?.adapters ?? []) {
        memory += fleet.adapters.get(name)?.memoryMiB ?? 0;
      }
      return memory;
    },
    listModels: upstream => [...(target.get(upstream)?.models ?? [])],
  };
}
