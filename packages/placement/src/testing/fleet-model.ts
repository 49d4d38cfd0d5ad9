/** Simulated fleet whose engines free memory some time after an unload. */
import {UpstreamState, UpstreamType} from '@siskinplank/resources';
import type {Adapter, Model, Placement, Upstream} from '@siskinplank/resources';
import type {
  DemandEstimate,
  PlacementInput,
  PlacementPolicy,
  UpstreamContents,
} from '../types';

/** Makes an engine with only the fields that placement reads. */
export function makeUpstream(
  name: string,
  memoryMiB: number,
  failureDomain: string,
  accelerators = 1,
): Upstream {
  return {
    name,
    type: UpstreamType.Engine,
    address: {host: '127.0.0.1', port: 1},
    side: {host: '127.0.0.1', port: 2},
    failureDomain,
    region: 'default',
    accelerators,
    memoryMiB,
    checksFencing: true,
    maxConcurrency: 16,
    state: UpstreamState.Active,
  };
}

/** Makes a model. */
export function makeModel(
  name: string,
  memoryMiB: number,
  minReplicas = 0,
  version = '1',
): Model {
  return {
    name,
    version,
    memoryMiB,
    upstreams: [],
    minReplicas,
    maxTokens: 256,
  };
}

/** Makes an adapter. */
export function makeAdapter(
  name: string,
  model: string,
  memoryMiB: number,
): Adapter {
  return {name, model, version: '1', memoryMiB};
}

interface EngineItem {
  name: string;
  memoryMiB: number;
  /** Time at which its unload ends; undefined while it is placed. */
  removedAtMs: number | undefined;
}

/** Simulated fleet that applies the placements of a policy. */
export interface FleetModel {
  upstreams: Upstream[];
  models: Model[];
  adapters: Adapter[];
  demand: DemandEstimate[];
  placements: Map<string, Placement>;
  /** Model loads started so far. */
  loadCount: number;
  /** Largest excess of used memory over capacity of any engine, in MiB. */
  maxOvercommitMiB: number;
  /** Runs one round; returns the number of model loads it started. */
  runRound(
    policy: PlacementPolicy,
    nowMs: number,
    modelLoadBudget: number,
  ): number;
  countReplicas(model: string): number;
}

/**
 * Creates a fleet whose engines take `unloadMs` to free memory. Policies get
 * the contents of engines only if `withReports` is set.
 */
export function createFleetModel(
  unloadMs: number,
  withReports: boolean,
): FleetModel {
  const engines = new Map<string, EngineItem[]>();

  const listContents = (nowMs: number): UpstreamContents[] =>
    [...engines].map(([upstream, items]) => {
      const present = items.filter(
        item => item.removedAtMs === undefined || nowMs < item.removedAtMs,
      );
      const names = new Set(present.map(item => item.name));
      return {
        upstream,
        models: fleet.models.map(m => m.name).filter(name => names.has(name)),
        adapters: fleet.adapters
          .map(a => a.name)
          .filter(name => names.has(name)),
      };
    });

  const applyPlacement = (placement: Placement, nowMs: number): void => {
    const items = (engines.get(placement.name) ?? []).filter(
      item => item.removedAtMs === undefined || nowMs < item.removedAtMs,
    );
    const wanted = new Map<string, number>();
    for (const {name, version} of placement.models) {
      const memory = fleet.models.find(m => m.name === name)?.memoryMiB ?? 0;
      wanted.set(`${name}@${version}`, memory);
    }
    for (const {name, version} of placement.adapters) {
      const memory = fleet.adapters.find(a => a.name === name)?.memoryMiB ?? 0;
      wanted.set(`${name}@${version}`, memory);
    }
    const keyed = items as Array<EngineItem & {key?: string}>;
    for (const item of keyed) {
      if (item.removedAtMs !== undefined) continue;
      if (!wanted.has(item.key ?? '')) item.removedAtMs = nowMs + unloadMs;
    }
    for (const [key, memoryMiB] of wanted) {
      const isPresent = keyed.some(
        item => item.key === key && item.removedAtMs === undefined,
      );
      if (isPresent) continue;
      const [name] = key.split('@');
      if (fleet.models.some(m => m.name === name)) fleet.loadCount += 1;
      keyed.push({key, name, memoryMiB, removedAtMs: undefined});
    }
    engines.set(placement.name, keyed);
    const used = keyed.reduce((sum, item) => sum + item.memoryMiB, 0);
    const capacity =
      fleet.upstreams.find(u => u.name === placement.name)?.memoryMiB ?? 0;
    fleet.maxOvercommitMiB = Math.max(fleet.maxOvercommitMiB, used - capacity);
  };

  const fleet: FleetModel = {
    upstreams: [],
    models: [],
    adapters: [],
    demand: [],
    placements: new Map(),
    loadCount: 0,
    maxOvercommitMiB: -Infinity,
    runRound: (policy, nowMs, modelLoadBudget) => {
      const input: PlacementInput = {
        upstreams: fleet.upstreams,
        models: fleet.models,
        adapters: fleet.adapters,
        current: [...fleet.placements.values()],
        demand: fleet.demand,
        contents: withReports ? listContents(nowMs) : undefined,
        modelLoadBudget: modelLoadBudget,
      };
      const changed = policy.computePlacements(input, nowMs);
      const before = fleet.loadCount;
      for (const placement of changed) {
        fleet.placements.set(placement.name, placement);
        applyPlacement(placement, nowMs);
      }
      return fleet.loadCount - before;
    },
    countReplicas: model =>
      [...fleet.placements.values()].filter(placement =>
        placement.models.some(item => item.name === model),
      ).length,
  };
  return fleet;
}
