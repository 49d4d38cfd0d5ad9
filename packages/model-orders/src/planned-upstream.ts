/** Upstreams as the planner sees them. */
import type {ModelSpec} from '@siskinplank/serving';

/** An upstream as the planner sees it. */
export interface PlannedUpstream {
  id: string;
  /** Software version; a stream goes on only at the one that began it. */
  softwareVersion: string;
  /** Memory for weights, in MB, less the memory reserved for adapters. */
  capacityMb: number;
  /** Models that use memory: present, being loaded or being unloaded. */
  models: ReadonlySet<string>;
  /** Models that are present or being loaded. */
  serving: ReadonlySet<string>;
  /** Whether its last order or report got a response. */
  isAnswering: boolean;
  /** Open requests at this upstream, by model. */
  openByModel: ReadonlyMap<string, number>;
  /** Models that requests may use which do not show in `openByModel` yet. */
  reserved: ReadonlySet<string>;
  /** Models whose weights need no load from the weight store. */
  inMemory: ReadonlySet<string>;
  onDisk: ReadonlySet<string>;
  /** Whether it may carry out an order now. */
  canTakeOrder: boolean;
}

/** Callers wait at least this long for the next event of a stream. */
export const RESUME_WAIT_MS = 2_000;

/** Estimates the time of a load, by where the upstream has the weights. */
export function estimateLoadMs(
  upstream: PlannedUpstream,
  model: ModelSpec,
): number {
  if (upstream.inMemory.has(model.name)) return model.memoryLoadMs;
  if (upstream.onDisk.has(model.name)) return model.diskLoadMs;
  return model.storeLoadMs;
}

/** Whether upstreams of several software versions serve. */
export function hasSeveralVersions(
  upstreams: readonly PlannedUpstream[],
): boolean {
  return upstreams.some(
    ({softwareVersion}) => softwareVersion !== upstreams[0].softwareVersion,
  );
}

/**
 * Leaves out upstreams that refuse connections or are silent, so that their
 * models count as lost while two software versions serve. With one version,
 * their streams go on elsewhere, and they may be back before a load ends.
 */
export function filterReachable(
  upstreams: readonly PlannedUpstream[],
  unreachableIds: ReadonlySet<string>,
): readonly PlannedUpstream[] {
  if (!hasSeveralVersions(upstreams)) return upstreams;
  return upstreams.filter(({id}) => !unreachableIds.has(id));
}
