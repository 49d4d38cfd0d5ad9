/** Interface of the placement policies. */
import type {Adapter, Model, Placement, Upstream} from '@siskinplank/resources';

/** Demand for a model or adapter, in tokens per second. */
export interface DemandEstimate {
  model: string;
  adapter?: string;
  tokensPerSecond: number;
  /** Demand of each client account, in tokens per second, if known. */
  accounts?: Readonly<Record<string, number>>;
}

/** Models and adapters in an engine's memory, by the last load report. */
export interface UpstreamContents {
  upstream: string;
  /** Models loaded, loading or unloading. */
  models: readonly string[];
  adapters: readonly string[];
}

/** Input of a placement round. */
export interface PlacementInput {
  upstreams: readonly Upstream[];
  models: readonly Model[];
  adapters: readonly Adapter[];
  /** Current placements. */
  current: readonly Placement[];
  demand: readonly DemandEstimate[];
  /** Contents by the last load reports; upstreams without one are absent. */
  contents?: readonly UpstreamContents[];
  /** Model loads that may still start in this round. */
  modelLoadBudget: number;
}

/** Computes which models and adapters each upstream is to hold. */
export abstract class PlacementPolicy {
  /** Returns the placements that differ from the current ones. */
  abstract computePlacements(
    input: PlacementInput,
    nowMs: number,
  ): readonly Placement[];
}
