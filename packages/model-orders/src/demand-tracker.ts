/**
 * Demand for each model. Answers demand that moves to other models within
 * seconds: a popular model that falls silent must lose its copies soon, while a
 * rare one that is asked for every few seconds must keep its only copy.
 */

/** Demand for one model over all gateways. */
export interface ModelDemand {
  model: string;
  /** Requests a second, as far as they can be expected to go on. */
  requestsPerSecond: number;
  /** Requests open at upstreams, averaged over the last seconds. */
  averageOpen: number;
  /** Requests that wait for an upstream with the model. */
  waitingCount: number;
  /** Age of the oldest of them, in milliseconds. */
  oldestWaitMs: number;
}

/** Demand that one gateway tells. */
export interface GatewayDemand {
  gateway: string;
  incarnation: string;
  /** Requests since its start, waiting ones, age of the oldest, by model. */
  models: Readonly<Record<string, readonly [number, number, number]>>;
}

/** Demand of all models. */
export interface DemandTracker {
  /** Notes what the gateways told last, and the open requests by model. */
  record(
    gateways: readonly GatewayDemand[],
    openByModel: ReadonlyMap<string, number>,
    nowMs: number,
  ): void;
  /** Assumes demand for a model before any request was seen. */
  setMinimumRate(model: string, requestsPerSecond: number, nowMs: number): void;
  listDemand(nowMs: number): ModelDemand[];
}

interface ModelState {
  fastRate: number;
  slowRate: number;
  averageOpen: number;
  lastRequestAtMs: number;
  waitingCount: number;
  oldestWaitMs: number;
}

/** Follows a rise within two seconds. */
const FAST_RATE_MS = 2_000;
/** Keeps a model in mind that is asked for every ten seconds. */
const SLOW_RATE_MS = 20_000;
const OPEN_TIME_MS = 1_500;
/**
 * Expected requests in the time since the last one, above which the silence
 * means that the demand has gone: a Poisson process is silent for that long
 * with a probability of e^-2.
 */
const SILENCE_REQUESTS = 2;
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates a tracker without history. */
export function createDemandTracker(): DemandTracker {
  const states = new Map<string, ModelState>();
  const counters = new Map<string, number>();
  let notedAtMs: number | undefined;

  const ensureState = (model: string, nowMs: number): ModelState => {
    const known = states.get(model);
    if (known !== undefined) return known;
    const state: ModelState = {
      fastRate: 0,
      slowRate: 0,
      averageOpen: 0,
      lastRequestAtMs: nowMs,
      waitingCount: 0,
      oldestWaitMs: 0,
    };
    states.set(model, state);
    return state;
  };

  /** Requests since the last message of the same process. */
  const countNew = (
    {gateway, incarnation}: GatewayDemand,
    model: string,
    total: number,
  ): number => {
    const key = `${gateway}/${incarnation}/${model}`;
    const former = counters.get(key);
    counters.set(key, total);
    // The first word of a gateway may cover any time, so it counts little.
    if (former === undefined) return Math.min(total, 1);
    return Math.max(0, total - former);
  };

  const decay = (value: number, elapsedMs: number, timeMs: number): number =>
    value * Math.exp(-elapsedMs / timeMs);

  return {
    record: (gateways, openByModel, nowMs) => {
      const elapsedMs = nowMs - (notedAtMs ?? nowMs);
      notedAtMs = nowMs;
      const arrived = new Map<string, number>();
      for (const state of states.values()) {
        state.waitingCount = 0;
        state.oldestWaitMs = 0;
      }
      for (const gateway of gateways) {
        for (const [model, told] of Object.entries(gateway.models)) {
          const [total, waiting, oldestMs] = told;
          const count = countNew(gateway, model, total);
          arrived.set(model, (arrived.get(model) ?? 0) + count);
          const state = ensureState(model, nowMs);
          state.waitingCount += waiting;
          state.oldestWaitMs = Math.max(state.oldestWaitMs, oldestMs);
        }
      }
      for (const model of openByModel.keys()) ensureState(model, nowMs);
      for (const [model, state] of states) {
        const count = arrived.get(model) ?? 0;
        const gained = count * MILLISECONDS_PER_SECOND;
        state.fastRate =
          decay(state.fastRate, elapsedMs, FAST_RATE_MS) +
          gained / FAST_RATE_MS;
        state.slowRate =
          decay(state.slowRate, elapsedMs, SLOW_RATE_MS) +
          gained / SLOW_RATE_MS;
        if (count > 0) state.lastRequestAtMs = nowMs;
        const open = openByModel.get(model) ?? 0;
        const weight = 1 - Math.exp(-elapsedMs / OPEN_TIME_MS);
        state.averageOpen += (open - state.averageOpen) * weight;
      }
    },
    setMinimumRate: (model, requestsPerSecond, nowMs) => {
      const state = ensureState(model, nowMs);
      state.slowRate = Math.max(state.slowRate, requestsPerSecond);
      state.lastRequestAtMs = nowMs;
    },
    listDemand: nowMs =>
      [...states].map(([model, state]) => {
        const idleSeconds =
          (nowMs - state.lastRequestAtMs) / MILLISECONDS_PER_SECOND;
        const possible =
          idleSeconds > 0 ? SILENCE_REQUESTS / idleSeconds : Infinity;
        return {
          model,
          requestsPerSecond: Math.min(
            Math.max(state.fastRate, state.slowRate),
            possible,
          ),
          averageOpen: state.averageOpen,
          waitingCount: state.waitingCount,
          oldestWaitMs: state.oldestWaitMs,
        };
      }),
  };
}
