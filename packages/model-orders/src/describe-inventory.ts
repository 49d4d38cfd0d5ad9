/** Describes an upstream's inventory to the planner and to other gateways. */
import type {EngineSpec} from '@siskinplank/serving';
import type {PlannedUpstream} from './planned-upstream';
import {ResidencyState} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

/** Load and models of an upstream, to be sent to all gateways. */
export interface UpstreamSummary {
  id: string;
  startedAtMs: number;
  queuedCount: number;
  runningCount: number;
  usedCacheTokens: number;
  models: ReadonlyArray<{name: string; adapters: readonly string[]}>;
  /** Model that is being loaded. */
  changing: string | undefined;
  /** Expected time until it is present; undefined while it is unknown. */
  changeEndsInMs: number | undefined;
  /**
   * Load times of the models whose weights it has in memory or on disk, in
   * milliseconds; undefined while the service has one software version.
   */
  warmLoadMs: Readonly<Record<string, number>> | undefined;
}

/** Estimates the time of a load, by where the upstream has the weights. */
export function estimateLoadMs(
  {inMemory, onDisk}: Pick<UpstreamInventory, 'inMemory' | 'onDisk'>,
  engine: EngineSpec,
  name: string,
): number {
  const model = engine.models.get(name);
  if (model === undefined) return 0;
  if (inMemory.has(name)) return model.memoryLoadMs;
  return onDisk.has(name) ? model.diskLoadMs : model.storeLoadMs;
}

/**
 * Lists the models that have become present so recently, or an adapter of which
 * was loaded so recently, that the requests that waited for them may not show in
 * the open requests yet.
 */
function listReserved(
  {models, adapters}: UpstreamInventory,
  openReportDelayMs: number,
  nowMs: number,
): Set<string> {
  const reserved = new Set<string>();
  for (const [model, {state, sinceMs}] of models) {
    const isRecent = nowMs - sinceMs <= openReportDelayMs;
    if (state === ResidencyState.Present && isRecent) reserved.add(model);
  }
  for (const [key, {reservedUntilMs}] of adapters) {
    const [model] = key.split('/');
    if (nowMs <= reservedUntilMs) reserved.add(model);
  }
  return reserved;
}

/**
 * Describes an upstream to the planner.
 *
 * @param open open requests by upstream and by model or `model/adapter`.
 * @param openReportDelayMs time after which a request shows in them.
 */
export function describeInventory(
  inventory: UpstreamInventory,
  {
    engine,
    open,
    openReportDelayMs,
  }: {
    engine: EngineSpec;
    open: ReadonlyMap<string, ReadonlyMap<string, number>>;
    openReportDelayMs: number;
  },
  nowMs: number,
): PlannedUpstream {
  const openByModel = new Map<string, number>();
  for (const [key, count] of open.get(inventory.upstream.id) ?? []) {
    const [model] = key.split('/');
    openByModel.set(model, (openByModel.get(model) ?? 0) + count);
  }
  let largestAdapterMb = 0;
  for (const {adapterMb, adapterCount} of engine.models.values()) {
    if (adapterCount > 0) {
      largestAdapterMb = Math.max(largestAdapterMb, adapterMb);
    }
  }
  const held = [...inventory.models];
  const isSilent = inventory.isSilent(nowMs);
  const serving = held.filter(
    ([, {state}]) =>
      state === ResidencyState.Present ||
      // A load on a silent upstream may never end.
      (state === ResidencyState.Arriving && !isSilent),
  );
  return {
    id: inventory.upstream.id,
    softwareVersion: inventory.upstream.softwareVersion,
    capacityMb: engine.weightsMb - engine.adapterSlots * largestAdapterMb,
    models: new Set(inventory.models.keys()),
    serving: new Set(serving.map(([model]) => model)),
    isAnswering: inventory.isAnswering(),
    openByModel,
    reserved: listReserved(inventory, openReportDelayMs, nowMs),
    inMemory: inventory.inMemory,
    onDisk: inventory.onDisk,
    canTakeOrder: inventory.canTakeOrder(nowMs),
  };
}

function listWarmLoads(
  inventory: UpstreamInventory,
  engine: EngineSpec,
): Record<string, number> {
  const {inMemory, onDisk, models} = inventory;
  return Object.fromEntries(
    [...new Set([...inMemory, ...onDisk])]
      .filter(name => engine.models.has(name) && !models.has(name))
      .map(name => [name, estimateLoadMs(inventory, engine, name)]),
  );
}

/**
 * Summarizes an upstream for other gateways.
 *
 * @param engine undefined if load times are not needed.
 */
export function summarizeInventory(
  inventory: UpstreamInventory,
  engine: EngineSpec | undefined,
  nowMs: number,
): UpstreamSummary {
  const {upstream, models, adapters, report} = inventory;
  // A load on a silent upstream may never end, so that nothing waits for it.
  const changing = inventory.isSilent(nowMs)
    ? undefined
    : [...models].find(([, {state}]) => state === ResidencyState.Arriving);
  const endsAtMs = changing?.[1].expectedAtMs;
  const isTimed = endsAtMs !== undefined && Number.isFinite(endsAtMs);
  return {
    id: upstream.id,
    startedAtMs: upstream.startedAtMs,
    queuedCount: report?.queuedCount ?? 0,
    runningCount: report?.runningCount ?? 0,
    usedCacheTokens: report?.usedCacheTokens ?? 0,
    models: [...models]
      .filter(([, {state}]) => state === ResidencyState.Present)
      .map(([name]) => ({
        name,
        adapters: [...adapters]
          .filter(
            ([key, {state}]) =>
              key.startsWith(`${name}/`) && state === ResidencyState.Present,
          )
          .map(([key]) => key.slice(name.length + 1)),
      })),
    changing: changing?.[0],
    changeEndsInMs: isTimed
      ? Math.max(0, Math.round(endsAtMs - nowMs))
      : undefined,
    warmLoadMs: engine && listWarmLoads(inventory, engine),
  };
}
