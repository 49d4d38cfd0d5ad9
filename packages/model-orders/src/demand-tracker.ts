/**
 * Estimates the demand for each model. Demand shifts to other models within
 * seconds: a popular model whose requests stop must lose its replicas soon,
 * while a rare one that is requested every few seconds must keep its only one.
 */

/** Demand for one model over all gateways. */
export interface ModelDemand {
  model: string;
  /** Expected requests per second. */
  requestsPerSecond: number;
  /** Requests open at upstreams, as an exponential moving average. */
  averageOpen: number;
  /** Requests that wait for an upstream with the model. */
  waitingCount: number;
  /** Age of the oldest waiting request, in milliseconds. */
  oldestWaitMs: number;
  /**
   * Streams that wait for a load at the software version that began them, by
   * version; they are among the waiting requests.
   */
  waitingByVersion: ReadonlyMap<string, number>;
}

/** Demand that one gateway reports. */
export interface GatewayDemand {
  gateway: string;
  incarnation: string;
  /**
   * By model: requests since the gateway's start, waiting requests, and the age
   * of the oldest waiting one in milliseconds.
   */
  models: Readonly<Record<string, readonly [number, number, number]>>;
  /**
   * By model and by software version: streams that wait for a load at that
   * version.
   */
  waitingStreams: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

/** Demand for all models. */
export interface DemandTracker {
  /** Records the latest report of each gateway, and open requests by model. */
  record(
    gateways: readonly GatewayDemand[],
    openByModel: ReadonlyMap<string, number>,
    nowMs: number,
  ): void;
  /** Raises a model's rate to at least this, before any request was counted. */
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
  waitingByVersion: Map<string, number>;
}

/** Time constant of the fast rate, which follows a rise within two seconds. */
const FAST_RATE_MS = 2_000;
/** Time constant of the slow rate: keeps models requested every ten seconds. */
const SLOW_RATE_MS = 20_000;
/** Time constant of the average of open requests. */
const OPEN_AVERAGE_MS = 1_500;
/**
 * Most requests that may be expected since the last one: the rate is capped so
 * that rate times idle time stays at or below this. A Poisson process has no
 * event where two are expected with a probability of e^-2.
 */
const MAX_MISSED_REQUESTS = 2;
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates a tracker without history. */
export function createDemandTracker(): DemandTracker {
  const states = new Map<string, ModelState>();
  const counters = new Map<string, number>();
  let recordedAtMs: number | undefined;

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
      waitingByVersion: new Map(),
    };
    states.set(model, state);
    return state;
  };

  /** Counts the requests since the last report of the same gateway process. */
  const countNew = (
    {gateway, incarnation}: GatewayDemand,
    model: string,
    total: number,
  ): number => {
    const key = `${gateway}/${incarnation}/${model}`;
    const former = counters.get(key);
    counters.set(key, total);
    // The first report of a process may cover any time, so it counts at most 1.
    if (former === undefined) return Math.min(total, 1);
    return Math.max(0, total - former);
  };

  const decay = (
    value: number,
    elapsedMs: number,
    timeConstantMs: number,
  ): number => value * Math.exp(-elapsedMs / timeConstantMs);

  return {
    record: (gateways, openByModel, nowMs) => {
      const elapsedMs = nowMs - (recordedAtMs ?? nowMs);
      recordedAtMs = nowMs;
      const arrived = new Map<string, number>();
      for (const state of states.values()) {
        state.waitingCount = 0;
        state.oldestWaitMs = 0;
        state.waitingByVersion.clear();
      }
      for (const gateway of gateways) {
        for (const [model, counts] of Object.entries(gateway.models)) {
          const [total, waiting, oldestMs] = counts;
          const count = countNew(gateway, model, total);
          arrived.set(model, (arrived.get(model) ?? 0) + count);
          const state = ensureState(model, nowMs);
          state.waitingCount += waiting;
          state.oldestWaitMs = Math.max(state.oldestWaitMs, oldestMs);
        }
        for (const [model, counts] of Object.entries(gateway.waitingStreams)) {
          const {waitingByVersion} = ensureState(model, nowMs);
          for (const [version, count] of Object.entries(counts)) {
            const known = waitingByVersion.get(version) ?? 0;
            waitingByVersion.set(version, known + count);
          }
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
        const weight = 1 - Math.exp(-elapsedMs / OPEN_AVERAGE_MS);
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
        const maxRate =
          idleSeconds > 0 ? MAX_MISSED_REQUESTS / idleSeconds : Infinity;
        return {
          model,
          requestsPerSecond: Math.min(
            Math.max(state.fastRate, state.slowRate),
            maxRate,
          ),
          averageOpen: state.averageOpen,
          waitingCount: state.waitingCount,
          oldestWaitMs: state.oldestWaitMs,
          waitingByVersion: new Map(state.waitingByVersion),
        };
      }),
  };
}
