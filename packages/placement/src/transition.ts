/** Plans steps from the current placements to a target that fit into memory. */
import type {Model, Placement, Upstream} from '@siskinplank/resources';
import type {Fleet, FleetTarget, UpstreamTarget} from './fleet';
import type {PlacementInput, UpstreamContents} from './types';

/** A removed item that may still be in the engine's memory. */
interface RemovedItem {
  name: string;
  memoryMiB: number;
  untilMs: number;
  /** Whether a report without the name confirms the removal. */
  isConfirmedByReport: boolean;
}

/** Plans steps; counts the memory of removed items until it should be free. */
export interface TransitionPlanner {
  /** Returns the changed placements; loads with the highest rank come first. */
  planStep(
    fleet: Fleet,
    input: PlacementInput,
    target: FleetTarget,
    rankLoad: (model: Model) => number,
    nowMs: number,
  ): readonly Placement[];
}

interface PendingLoad {
  upstream: Upstream;
  model: Model;
}

interface DraftPlacement {
  upstream: Upstream;
  models: Map<string, string>;
  adapters: Map<string, string>;
  freeMiB: number;
  hasChanged: boolean;
}

/** Creates a planner; without reports, removed items count for `holdMs`. */
export function createTransitionPlanner(holdMs: number): TransitionPlanner {
  const removedByUpstream = new Map<string, RemovedItem[]>();
  const knownMemory = new Map<string, number>();

  const refreshRemoved = (
    upstream: string,
    contents: UpstreamContents | undefined,
    nowMs: number,
  ): RemovedItem[] => {
    const present =
      contents === undefined
        ? undefined
        : new Set([...contents.models, ...contents.adapters]);
    const removed = (removedByUpstream.get(upstream) ?? []).filter(item => {
      if (present === undefined || !item.isConfirmedByReport) {
        return nowMs < item.untilMs;
      }
      // A report may predate the removal, so items count for at least half.
      return present.has(item.name) || nowMs < item.untilMs - holdMs / 2;
    });
    removedByUpstream.set(upstream, removed);
    return removed;
  };

  const recordRemoval = (
    upstream: string,
    name: string,
    memoryMiB: number,
    isConfirmedByReport: boolean,
    nowMs: number,
  ): void => {
    const removed = removedByUpstream.get(upstream) ?? [];
    removed.push({
      name,
      memoryMiB,
      untilMs: nowMs + holdMs,
      isConfirmedByReport: isConfirmedByReport,
    });
    removedByUpstream.set(upstream, removed);
  };

  const recordMemory = (fleet: Fleet): void => {
    for (const model of fleet.models.values()) {
      knownMemory.set(model.name, model.memoryMiB);
    }
    for (const adapter of fleet.adapters.values()) {
      knownMemory.set(adapter.name, adapter.memoryMiB);
    }
  };
  /** Last known size, also of models and adapters no longer configured. */
  const getMemory = (name: string): number => knownMemory.get(name) ?? 0;

  /** Memory that neither placed nor recently removed items take, in MiB. */
  const computeFreeMiB = (
    fleet: Fleet,
    upstream: Upstream,
    placement: Placement | undefined,
    contents: UpstreamContents | undefined,
    nowMs: number,
  ): number => {
    const removed = refreshRemoved(upstream.name, contents, nowMs);
    let used = 0;
    for (const item of removed) {
      used += item.memoryMiB;
    }
    // A model that was removed and placed again counts twice until the removal
    // of the first copy is confirmed.
    for (const {name} of [
      ...(placement?.models ?? []),
      ...(placement?.adapters ?? []),
    ]) {
      used += getMemory(name);
    }
    // Models loaded on demand do not count: the side process evicts them for
    // placed ones. Otherwise nothing could ever be placed on a full engine.
    return upstream.memoryMiB - used;
  };

  const removeItems = (
    fleet: Fleet,
    draft: DraftPlacement,
    wanted: UpstreamTarget,
    replicas: Map<string, number>,
    nowMs: number,
  ): void => {
    const {upstream} = draft;
    for (const [name, version] of draft.models) {
      const model = fleet.models.get(name);
      const isOutdated = model !== undefined && model.version !== version;
      const hasRoom = (model?.memoryMiB ?? 0) <= draft.freeMiB;
      if (wanted.models.has(name) && !(isOutdated && !hasRoom)) continue;
      const count = replicas.get(name) ?? 0;
      // The last required replicas stay until others have been placed.
      const isLast = model !== undefined && count <= model.minReplicas;
      if (isLast && !isOutdated) continue;
      draft.models.delete(name);
      draft.hasChanged = true;
      replicas.set(name, count - 1);
      recordRemoval(upstream.name, name, getMemory(name), true, nowMs);
    }
    for (const [name] of draft.adapters) {
      const adapter = fleet.adapters.get(name);
      const isKept =
        wanted.adapters.has(name) &&
        adapter !== undefined &&
        draft.models.has(adapter.model);
      if (isKept) continue;
      draft.adapters.delete(name);
      draft.hasChanged = true;
      recordRemoval(upstream.name, name, getMemory(name), true, nowMs);
    }
  };

  const addModel = (
    draft: DraftPlacement,
    model: Model,
    nowMs: number,
  ): void => {
    const oldVersion = draft.models.get(model.name);
    draft.models.set(model.name, model.version);
    draft.freeMiB -= model.memoryMiB;
    draft.hasChanged = true;
    if (oldVersion === undefined) return;
    // Reports contain no versions, so the old one counts for all of `holdMs`.
    recordRemoval(
      draft.upstream.name,
      model.name,
      model.memoryMiB,
      false,
      nowMs,
    );
  };

  const addAdapters = (
    fleet: Fleet,
    draft: DraftPlacement,
    wanted: UpstreamTarget,
  ): void => {
    for (const name of wanted.adapters) {
      const adapter = fleet.adapters.get(name);
      if (adapter === undefined || !draft.models.has(adapter.model)) continue;
      if (draft.adapters.get(name) === adapter.version) continue;
      if (adapter.memoryMiB > draft.freeMiB) continue;
      draft.freeMiB -= adapter.memoryMiB;
      draft.adapters.set(name, adapter.version);
      draft.hasChanged = true;
    }
  };

  return {
    planStep: (fleet, input, target, rankLoad, nowMs) => {
      recordMemory(fleet);
      const placements = new Map(input.current.map(item => [item.name, item]));
      const contents = new Map(
        (input.contents ?? []).map(item => [item.upstream, item]),
      );
      const replicas = new Map<string, number>();
      for (const upstream of fleet.upstreams) {
        for (const {name} of placements.get(upstream.name)?.models ?? []) {
          replicas.set(name, (replicas.get(name) ?? 0) + 1);
        }
      }
      const drafts: DraftPlacement[] = [];
      const loads: Array<PendingLoad & {draft: DraftPlacement; rank: number}> =
        [];
      for (const upstream of fleet.upstreams) {
        const {name} = upstream;
        const wanted = target.get(name);
        if (wanted === undefined) continue;
        const placement = placements.get(name);
        const toEntries = (
          items: Placement['models'] | undefined,
        ): Map<string, string> =>
          new Map((items ?? []).map(item => [item.name, item.version]));
        const draft: DraftPlacement = {
          upstream,
          models: toEntries(placement?.models),
          adapters: toEntries(placement?.adapters),
          freeMiB: computeFreeMiB(
            fleet,
            upstream,
            placement,
            contents.get(name),
            nowMs,
          ),
          hasChanged: false,
        };
        drafts.push(draft);
        removeItems(fleet, draft, wanted, replicas, nowMs);
        for (const modelName of wanted.models) {
          const model = fleet.models.get(modelName);
          if (model === undefined) continue;
          if (draft.models.get(modelName) === model.version) continue;
          loads.push({upstream, model, draft, rank: rankLoad(model)});
        }
      }
      loads.sort((a, b) => b.rank - a.rank);
      let budget = input.modelLoadBudget;
      for (const {draft, model} of loads) {
        if (budget < 1) break;
        if (model.memoryMiB > draft.freeMiB) continue;
        budget -= 1;
        addModel(draft, model, nowMs);
      }
      const changed: Placement[] = [];
      for (const draft of drafts) {
        const wanted = target.get(draft.upstream.name);
        if (wanted !== undefined) addAdapters(fleet, draft, wanted);
        if (!draft.hasChanged) continue;
        const toItems = (items: Map<string, string>): Placement['models'] =>
          [...items].map(([name, version]) => ({name, version}));
        changed.push({
          name: draft.upstream.name,
          epoch: placements.get(draft.upstream.name)?.epoch ?? 0,
          models: toItems(draft.models),
          adapters: toItems(draft.adapters),
        });
      }
      return changed;
    },
  };
}
