/** Arriving tokens per second as an exponentially weighted average. */

/** Demand by model or adapter name. */
export interface DemandMeter {
  record(name: string, tokens: number, nowMs: number): void;
  getRate(name: string, nowMs: number): number;
  /** Rates of all names with at least 0.01 tokens per second. */
  listRates(nowMs: number): Record<string, number>;
}

/** Demand may change tenfold within an hour; 10 s smooths single requests. */
const AVERAGING_MS = 10_000;
const MIN_RATE = 0.01;

/** Creates a meter without demand. */
export function createDemandMeter(): DemandMeter {
  const entries = new Map<string, {rate: number; updatedMs: number}>();
  const getRate = (name: string, nowMs: number): number => {
    const entry = entries.get(name);
    if (entry === undefined) return 0;
    return entry.rate * Math.exp((entry.updatedMs - nowMs) / AVERAGING_MS);
  };
  return {
    record: (name, tokens, nowMs) => {
      const rate = getRate(name, nowMs) + (tokens * 1_000) / AVERAGING_MS;
      entries.set(name, {rate, updatedMs: nowMs});
    },
    getRate,
    listRates: nowMs => {
      const rates: Record<string, number> = {};
      for (const name of entries.keys()) {
        const rate = getRate(name, nowMs);
        if (rate < MIN_RATE) entries.delete(name);
        else rates[name] = rate;
      }
      return rates;
    },
  };
}
