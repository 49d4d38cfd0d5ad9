/** Interface of the placement policies. */
import type {Adapter, Model, Placement, Upstream} from '@siskinplank/resources';

/** Demand for a model or adapter, in tokens a second. */
export interface DemandEstimate {
  model: string;
  adapter?: string;
  tokensPerSecond: number;
  /** Part of each client account in it, in tokens a second, if known. */
  accounts?: Readonly<Record<string, number>>;
}

/** What a side process last reported as present in its engine's memory. */
export interface UpstreamContents {
  upstream: string;
  /** Models loaded, loading or unloading. */
  models: readonly string[];
  adapters: readonly string[];
}

/** Everything that a placement decision is computed from. */
export interface PlacementInput {
  upstreams: readonly Upstream[];
  models: readonly Model[];
  adapters: readonly Adapter[];
  /** Placements in force. */
  current: readonly Placement[];
  demand: readonly DemandEstimate[];
  /** Last reports of side processes; absent for those not heard of. */
  contents?: readonly UpstreamContents[];
  /** Model loads that may still start in this round. */
  modelLoadBudget: number;
}

/** Computes which models and adapters each upstream is to hold. */
export abstract class PlacementPolicy {
  /** Returns the placements that differ from those in force. */
  abstract computePlacements(
    input: PlacementInput,
    nowMs: number,
  ): readonly Placement[];
}
