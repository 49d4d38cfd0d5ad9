/**
 * Models and adapters of one upstream, including pending loads and unloads, as
 * known to the order leader, the gateway that sends the orders. An order without
 * a response counts as carried out until a newer report rules that out, so that
 * memory is never overcommitted.
 */
import {UpstreamState} from '@siskinplank/serving';
import type {EngineSpec, Upstream, UpstreamReport} from '@siskinplank/serving';

/** State of a model or adapter on an upstream. */
export enum ResidencyState {
  Present = 'present',
  /** Being loaded; its memory counts as used. */
  Arriving = 'arriving',
  /** Being unloaded; its memory still counts as used. */
  Leaving = 'leaving',
}

/** A model or adapter that uses memory of an upstream. */
export interface Residency {
  state: ResidencyState;
  /** Time at which the state was entered. */
  sinceMs: number;
  /** Expected end of the load; Infinity while it is unknown. */
  expectedAtMs: number;
}

/** An adapter that uses memory of an upstream. */
export interface AdapterResidency extends Residency {
  lastUsedAtMs: number;
  /**
   * Until then, a request that chose it may not show in the open requests that
   * the gateways report.
   */
  reservedUntilMs: number;
}

/** Models, adapters and weight copies of one upstream. */
export interface UpstreamInventory {
  readonly upstream: Upstream;
  /** By model name. */
  readonly models: Map<string, Residency>;
  /** By `model/adapter`. */
  readonly adapters: Map<string, AdapterResidency>;
  /**
   * Models with a copy of their weights in memory, and on disk, that no load
   * since the last report can have displaced: a load evicts the oldest copies.
   */
  inMemory: ReadonlySet<string>;
  onDisk: ReadonlySet<string>;
  /** Number of orders accepted so far; undefined while it is uncertain. */
  orderSequence: number | undefined;
  lastOrderAtMs: number;
  report: UpstreamReport | undefined;
  reportAtMs: number;
  /** Whether a placement change is running. */
  isChanging: boolean;
  /**
   * Whether a report newer than all orders has confirmed the inventory. False
   * at first, since an order of another gateway may still be running, and after
   * a failed order.
   */
  isConfirmed: boolean;
  /**
   * Records that an order or a report got no response, or that no connection
   * was accepted for it.
   */
  recordUnanswered(requestedAtMs: number, isConnected: boolean): void;
  recordAnswered(): void;
  /** Whether the last order or report got a response. */
  isAnswering(): boolean;
  /**
   * Whether it accepts no connections, or has been silent for longer than a
   * sound upstream may be.
   */
  isSilent(nowMs: number): boolean;
  /** Records that it refused an order, as upstreams do that leave. */
  recordRefused(nowMs: number): void;
  /** Whether it may carry an order out now. */
  canTakeOrder(nowMs: number): boolean;
  /** Applies a newer registration of the same incarnation. */
  applyRegistration(upstream: Upstream, nowMs: number): void;
  /** Applies a report that was requested at `requestedAtMs`. */
  applyReport(report: UpstreamReport, requestedAtMs: number): void;
  /** Sets a model's state; undefined removes it and its adapters. */
  setModel(
    model: string,
    state: ResidencyState | undefined,
    nowMs: number,
    expectedAtMs?: number,
  ): void;
  /**
   * Records that a load has left copies of `model` and may have displaced all
   * others.
   */
  recordCopies(model: string, nowMs: number): void;
  /** Whether a report has listed the weight copies since the last load. */
  areCopiesKnown(): boolean;
  countFreeMb(engine: EngineSpec): number;
  isReady(): boolean;
}

/** A sound upstream may fall silent for about this long and go on. */
const MAX_SOUND_SILENCE_MS = 1_000;
/** Connections in a row that an upstream that has ended does not accept. */
const MIN_REFUSED_CONNECTS = 2;
/** Time without orders after a refused one. */
const REFUSED_ORDER_PAUSE_MS = 3_000;
/** Maximum age of the data in a report, in milliseconds. */
export const REPORT_LAG_MS = 500;

/** Creates the inventory of an upstream from its registration. */
export function createUpstreamInventory(
  registration: Upstream,
  nowMs: number,
): UpstreamInventory {
  let upstream = registration;
  /**
   * Earliest request time of a report that shows which copies the last load has
   * displaced; -Infinity once such a report was applied.
   */
  let copiesValidFromMs = -Infinity;
  /** First request without a response since the last response. */
  let unansweredSinceMs: number | undefined;
  let refusedConnects = 0;
  let refusedAtMs = -Infinity;
  const models = new Map<string, Residency>();
  const adapters = new Map<string, AdapterResidency>();

  const present = (sinceMs: number): Residency => ({
    state: ResidencyState.Present,
    sinceMs,
    expectedAtMs: sinceMs,
  });

  const removeAdaptersOf = (model: string): void => {
    for (const key of [...adapters.keys()]) {
      if (key.startsWith(`${model}/`)) adapters.delete(key);
    }
  };

  const setModel: UpstreamInventory['setModel'] = (
    model,
    state,
    atMs,
    expectedAtMs = atMs,
  ) => {
    if (state === undefined) {
      models.delete(model);
      removeAdaptersOf(model);
      return;
    }
    models.set(model, {state, sinceMs: atMs, expectedAtMs});
  };

  for (const model of upstream.models ?? []) {
    models.set(model.name, present(nowMs));
    for (const adapter of model.adapters) {
      adapters.set(`${model.name}/${adapter}`, {
        ...present(nowMs),
        lastUsedAtMs: nowMs,
        reservedUntilMs: -Infinity,
      });
    }
  }

  const inventory: UpstreamInventory = {
    get upstream() {
      return upstream;
    },
    models,
    adapters,
    inMemory: new Set(),
    onDisk: new Set(),
    orderSequence: undefined,
    lastOrderAtMs: -Infinity,
    report: undefined,
    reportAtMs: -Infinity,
    isChanging: false,
    isConfirmed: false,
    recordUnanswered: (requestedAtMs, isConnected) => {
      unansweredSinceMs ??= requestedAtMs;
      refusedConnects = isConnected ? 0 : refusedConnects + 1;
    },
    recordAnswered: () => {
      unansweredSinceMs = undefined;
      refusedConnects = 0;
    },
    isAnswering: () => unansweredSinceMs === undefined,
    isSilent: atMs =>
      refusedConnects >= MIN_REFUSED_CONNECTS ||
      (unansweredSinceMs !== undefined &&
        atMs - unansweredSinceMs >= MAX_SOUND_SILENCE_MS),
    recordRefused: atMs => {
      refusedAtMs = atMs;
    },
    canTakeOrder: atMs =>
      inventory.isReady() &&
      !inventory.isChanging &&
      inventory.isConfirmed &&
      atMs - refusedAtMs >= REFUSED_ORDER_PAUSE_MS,
    applyRegistration: next => {
      upstream = next;
    },
    applyReport: (report, requestedAtMs) => {
      inventory.report = report;
      inventory.reportAtMs = requestedAtMs;
      if (requestedAtMs >= copiesValidFromMs) {
        inventory.inMemory = new Set(report.modelsInMemory);
        inventory.onDisk = new Set(report.modelsOnDisk);
        copiesValidFromMs = -Infinity;
      }
      // A report may be older than the last order's effect.
      const unchangedSinceMs = Math.max(inventory.lastOrderAtMs, nowMs);
      const isCurrent = requestedAtMs - unchangedSinceMs > REPORT_LAG_MS;
      if (!isCurrent || inventory.isChanging) return;
      // Reports leave out models that another gateway's order is loading.
      inventory.isConfirmed = !report.isChangingModel;
      inventory.orderSequence = report.orderSequence;
      const residentNames = new Set(report.models.map(({name}) => name));
      for (const name of residentNames) {
        if (!models.has(name))
          setModel(name, ResidencyState.Present, requestedAtMs);
      }
      for (const [name, residency] of [...models]) {
        if (residentNames.has(name)) residency.state = ResidencyState.Present;
        else if (!report.isChangingModel)
          setModel(name, undefined, requestedAtMs);
      }
      const reported = new Set(report.pendingAdapters);
      for (const {name, adapters: names} of report.models) {
        for (const adapter of names) reported.add(`${name}/${adapter}`);
      }
      for (const key of [...adapters.keys()]) {
        if (!reported.has(key)) adapters.delete(key);
      }
      for (const key of reported) {
        const known = adapters.get(key);
        if (known !== undefined) {
          // The order to load it may have been carried out without an answer.
          const isLoaded =
            known.state === ResidencyState.Arriving &&
            !report.pendingAdapters.includes(key);
          if (isLoaded) known.state = ResidencyState.Present;
          continue;
        }
        adapters.set(key, {
          ...present(requestedAtMs),
          lastUsedAtMs: requestedAtMs,
          reservedUntilMs: -Infinity,
        });
      }
    },
    setModel,
    recordCopies: (model, atMs) => {
      inventory.inMemory = new Set([model]);
      inventory.onDisk = new Set([model]);
      copiesValidFromMs = atMs + REPORT_LAG_MS;
    },
    areCopiesKnown: () => copiesValidFromMs === -Infinity,
    countFreeMb: engine => {
      let freeMb = engine.weightsMb;
      for (const name of models.keys()) {
        freeMb -= engine.models.get(name)?.weightsMb ?? engine.weightsMb;
      }
      for (const key of adapters.keys()) {
        const [model] = key.split('/');
        freeMb -= engine.models.get(model)?.adapterMb ?? 0;
      }
      return freeMb;
    },
    isReady: () => upstream.state === UpstreamState.Ready,
  };
  return inventory;
}
