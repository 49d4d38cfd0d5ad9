/** Steps from the placements in force towards a target within memory. */
import type {Model, Placement, Upstream} from '@siskinplank/resources';
import type {Fleet, FleetTarget, UpstreamTarget} from './fleet';
import type {PlacementInput, UpstreamContents} from './types';

/** A removed item that may still be in the engine's memory. */
interface HeldItem {
  name: string;
  memoryMiB: number;
  untilMs: number;
  /** Whether a report without the name shows that it is gone. */
  endsByReport: boolean;
}

/** Plans steps; it remembers what it removed until that is known to be gone. */
export interface TransitionPlanner {
  /** Returns the changed placements; `rankLoad` orders the loads. */
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

/** Creates a planner; removed items without reports count for `holdMs`. */
export function createTransitionPlanner(holdMs: number): TransitionPlanner {
  const heldByUpstream = new Map<string, HeldItem[]>();
  const knownMemory = new Map<string, number>();

  const refreshHeld = (
    upstream: string,
    contents: UpstreamContents | undefined,
    nowMs: number,
  ): HeldItem[] => {
    const present =
      contents === undefined
        ? undefined
        : new Set([...contents.models, ...contents.adapters]);
    const held = (heldByUpstream.get(upstream) ?? []).filter(item => {
      if (present === undefined || !item.endsByReport) {
        return nowMs < item.untilMs;
      }
      // A report may be older than the removal, so the hold has a minimum.
      return present.has(item.name) || nowMs < item.untilMs - holdMs / 2;
    });
    heldByUpstream.set(upstream, held);
    return held;
  };

  const holdItem = (
    upstream: string,
    name: string,
    memoryMiB: number,
    endsByReport: boolean,
    nowMs: number,
  ): void => {
    const held = heldByUpstream.get(upstream) ?? [];
    held.push({name, memoryMiB, untilMs: nowMs + holdMs, endsByReport});
    heldByUpstream.set(upstream, held);
  };

  const noteMemory = (fleet: Fleet): void => {
    for (const model of fleet.models.values()) {
      knownMemory.set(model.name, model.memoryMiB);
    }
    for (const adapter of fleet.adapters.values()) {
      knownMemory.set(adapter.name, adapter.memoryMiB);
    }
  };
  /** A removed object may still be in memory, so its last size counts. */
  const getMemory = (name: string): number => knownMemory.get(name) ?? 0;

  /** Memory that neither the placement nor holds account for. */
  const computeFree = (
    fleet: Fleet,
    upstream: Upstream,
    placement: Placement | undefined,
    contents: UpstreamContents | undefined,
    nowMs: number,
  ): number => {
    const held = refreshHeld(upstream.name, contents, nowMs);
    let used = 0;
    for (const item of held) {
      used += item.memoryMiB;
    }
    // A model that was removed and placed again counts twice until the first
    // copy is known to be gone.
    for (const {name} of [
      ...(placement?.models ?? []),
      ...(placement?.adapters ?? []),
    ]) {
      used += getMemory(name);
    }
    // What was loaded on demand does not count: the side process evicts it for
    // what is placed, or it would keep placement out of full engines for good.
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
      // The last wanted copies stay until others have been placed.
      const isLast = model !== undefined && count <= model.minReplicas;
      if (isLast && !isOutdated) continue;
      draft.models.delete(name);
      draft.hasChanged = true;
      replicas.set(name, count - 1);
      holdItem(upstream.name, name, getMemory(name), true, nowMs);
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
      holdItem(upstream.name, name, getMemory(name), true, nowMs);
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
    // Reports do not name versions, so the old one counts for the full hold.
    holdItem(draft.upstream.name, model.name, model.memoryMiB, false, nowMs);
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
      noteMemory(fleet);
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
          freeMiB: computeFree(
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
