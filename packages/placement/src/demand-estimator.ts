/** Demand estimates from a fast and a slow moving average. */
import type {DemandEstimate} from './types';

/** Options of the estimator. */
export interface DemandEstimatorOptions {
  /** Time constant of the fast average, which follows changes of minutes. */
  fastMs?: number;
  /** Time constant of the slow average, which bursts hardly change. */
  slowMs?: number;
  /** Largest ratio of the estimate to the slow average, and its inverse. */
  bandRatio?: number;
}

/** Estimates demand from samples. */
export interface DemandEstimator {
  /**
   * Records the present demand. The demand of models and adapters without a
   * sample is 0.
   */
  recordSamples(samples: readonly DemandEstimate[], nowMs: number): void;
  listEstimates(): readonly DemandEstimate[];
}

interface SmoothedDemand {
  sample: DemandEstimate;
  fast: number;
  slow: number;
}

const DEFAULT_FAST_MS = 180_000;
const DEFAULT_SLOW_MS = 900_000;
const DEFAULT_BAND_RATIO = 1.4;
/** Entries with less demand, in tokens per second, are removed. */
const MIN_DEMAND = 1e-3;

/**
 * Creates an estimator. The estimate is the fast average, limited to a band
 * around the slow one: it follows a tenfold change within an hour with a lag of
 * minutes, while a burst of seconds changes it by less than the factor at which
 * the placement policy evicts a model.
 */
export function createDemandEstimator(
  options: DemandEstimatorOptions = {},
): DemandEstimator {
  const fastMs = options.fastMs ?? DEFAULT_FAST_MS;
  const slowMs = options.slowMs ?? DEFAULT_SLOW_MS;
  const bandRatio = options.bandRatio ?? DEFAULT_BAND_RATIO;
  const known = new Map<string, SmoothedDemand>();
  let lastMs: number | undefined;

  const makeKey = (sample: DemandEstimate): string =>
    `${sample.model}\n${sample.adapter ?? ''}`;
  const smooth = (from: number, to: number, gain: number): number =>
    from + (to - from) * gain;
  const scaleAccounts = (
    sample: DemandEstimate,
    tokensPerSecond: number,
  ): DemandEstimate['accounts'] => {
    const {accounts} = sample;
    if (accounts === undefined || sample.tokensPerSecond <= 0) return accounts;
    const factor = tokensPerSecond / sample.tokensPerSecond;
    return Object.fromEntries(
      Object.entries(accounts).map(([name, rate]) => [name, rate * factor]),
    );
  };

  return {
    recordSamples: (samples, nowMs) => {
      const elapsedMs = lastMs === undefined ? 0 : Math.max(0, nowMs - lastMs);
      lastMs = nowMs;
      const fastGain = 1 - Math.exp(-elapsedMs / fastMs);
      const slowGain = 1 - Math.exp(-elapsedMs / slowMs);
      const missing = new Set(known.keys());
      for (const sample of samples) {
        const key = makeKey(sample);
        missing.delete(key);
        const entry = known.get(key);
        const rate = sample.tokensPerSecond;
        if (entry === undefined) {
          known.set(key, {sample, fast: rate, slow: rate});
          continue;
        }
        if (rate > 0) entry.sample = sample;
        entry.fast = smooth(entry.fast, rate, fastGain);
        entry.slow = smooth(entry.slow, rate, slowGain);
      }
      for (const key of missing) {
        const entry = known.get(key);
        if (entry === undefined) continue;
        entry.fast = smooth(entry.fast, 0, fastGain);
        entry.slow = smooth(entry.slow, 0, slowGain);
        if (entry.slow < MIN_DEMAND) known.delete(key);
      }
    },
    listEstimates: () =>
      [...known.values()].map(({sample, fast, slow}) => {
        const tokensPerSecond = Math.min(
          slow * bandRatio,
          Math.max(slow / bandRatio, fast),
        );
        const accounts = scaleAccounts(sample, tokensPerSecond);
        return {
          ...sample,
          tokensPerSecond,
          ...(accounts === undefined ? {} : {accounts}),
        };
      }),
  };
}
