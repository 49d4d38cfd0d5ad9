/**
 * What one upstream holds and may still come to hold, as the giver of orders
 * knows it. An order without an answer counts as carried out until it cannot
 * be any more, so that memory is never overcommitted.
 */
import {UpstreamState} from '@siskinplank/serving';
import type {EngineSpec, Upstream, UpstreamReport} from '@siskinplank/serving';

/** Progress of a model or adapter. */
export enum ResidencyState {
  Present = 'present',
  Arriving = 'arriving',
  /** Ordered away; still takes its room. */
  Leaving = 'leaving',
}

export interface Residency {
  state: ResidencyState;
  /** When the state was entered. */
  sinceMs: number;
  /** When an arriving one is expected to be present. */
  expectedAtMs: number;
}

/** Ledger of one upstream. */
export interface UpstreamInventory {
  readonly upstream: Upstream;
  readonly models: Map<string, Residency>;
  /** By `model/adapter`. */
  readonly adapters: Map<string, Residency & {lastUsedAtMs: number}>;
  /** Copies of weights that are surely there; the oldest give way to a load. */
  inMemory: ReadonlySet<string>;
  onDisk: ReadonlySet<string>;
  /** Orders accepted so far; undefined while it is not known for sure. */
  orderSequence: number | undefined;
  lastOrderAtMs: number;
  report: UpstreamReport | undefined;
  reportAtMs: number;
  /** Whether a move is under way. */
  isChanging: boolean;
  /**
   * Whether the ledger is known to be complete. It is not at first, since an
   * order of another gateway may still be carried out, nor after a conflict.
   */
  isConfirmed: boolean;
  /** Applies a newer registration of the same incarnation. */
  applyRegistration(upstream: Upstream, nowMs: number): void;
  /** Applies a report that was asked for at `askedAtMs`. */
  applyReport(report: UpstreamReport, askedAtMs: number): void;
  /** Sets a model's state; undefined removes it and its adapters. */
  setModel(
    model: string,
    state: ResidencyState | undefined,
    nowMs: number,
    expectedAtMs?: number,
  ): void;
  /** Notes the copies that a load has left, and that others may be gone. */
  recordCopies(model: string, nowMs: number): void;
  /** Whether a report has told of the copies since the last load. */
  areCopiesKnown(): boolean;
  countFreeMb(engine: EngineSpec): number;
  isReady(): boolean;
}

/** Reports are up to this old when they arrive, in milliseconds. */
export const REPORT_LAG_MS = 500;

/** Opens the ledger of an upstream from its registration. */
export function createUpstreamInventory(
  registration: Upstream,
  nowMs: number,
): UpstreamInventory {
  let upstream = registration;
  /** Time from which on reports tell what the last load has displaced. */
  let copiesFromMs = -Infinity;
  const models = new Map<string, Residency>();
  const adapters = new Map<string, Residency & {lastUsedAtMs: number}>();

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
      });
    }
  }

  const ledger: UpstreamInventory = {
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
    applyRegistration: next => {
      upstream = next;
    },
    applyReport: (report, askedAtMs) => {
      ledger.report = report;
      ledger.reportAtMs = askedAtMs;
      if (askedAtMs >= copiesFromMs) {
        ledger.inMemory = new Set(report.modelsInMemory);
        ledger.onDisk = new Set(report.modelsOnDisk);
        copiesFromMs = -Infinity;
      }
      // A report may be older than the last order's effect.
      const quietSinceMs = Math.max(ledger.lastOrderAtMs, nowMs);
      const isCurrent = askedAtMs - quietSinceMs > REPORT_LAG_MS;
      if (!isCurrent || ledger.isChanging) return;
      // What is on its way under a foreign order is not told.
      ledger.isConfirmed = !report.isBusy;
      ledger.orderSequence = report.orderSequence;
      const held = new Set(report.models.map(({name}) => name));
      for (const name of held) {
        if (!models.has(name))
          setModel(name, ResidencyState.Present, askedAtMs);
      }
      for (const [name, holding] of [...models]) {
        if (held.has(name)) holding.state = ResidencyState.Present;
        else if (!report.isBusy) setModel(name, undefined, askedAtMs);
      }
      const reported = new Set(report.pendingAdapters);
      for (const {name, adapters: names} of report.models) {
        for (const adapter of names) reported.add(`${name}/${adapter}`);
      }
      for (const key of [...adapters.keys()]) {
        if (!reported.has(key)) adapters.delete(key);
      }
      for (const key of reported) {
        if (adapters.has(key)) continue;
        adapters.set(key, {...present(askedAtMs), lastUsedAtMs: askedAtMs});
      }
    },
    setModel,
    recordCopies: (model, atMs) => {
      ledger.inMemory = new Set([model]);
      ledger.onDisk = new Set([model]);
      copiesFromMs = atMs + REPORT_LAG_MS;
    },
    areCopiesKnown: () => copiesFromMs === -Infinity,
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
  return ledger;
}
