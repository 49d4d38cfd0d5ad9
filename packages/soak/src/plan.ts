/** Draws the faults of a soak, which may overlap, from its seed. */
import type {Random} from '@siskinplank/foundation';
import {FaultKind} from './history';
import {planStops} from './plan-stops';
import type {PlannedStop} from './plan-stops';

/** Which faults a soak injects. */
export enum SoakPlan {
  All = 'all',
  /** Planned work, faults of the store and short silences only. */
  Stops = 'stops',
  /** Planned work on a whole deployment, all gateways stopped in series. */
  Deployment = 'deployment',
}

/** One fault to inject. */
export interface PlannedFault {
  kind: FaultKind;
  /** Index of a gateway or an upstream, depending on the kind. */
  target: number;
  atMs: number;
  forMs: number;
  /** Selects a variant of the kind, from 0 to below 1. */
  variant: number;
  /** Stops of a series. */
  stops?: readonly PlannedStop[];
  /** Time for which a drained upstream is away; none by default. */
  awayMs?: number;
}

/** Parameters of `planFaults`. */
export interface PlanInput {
  plan: SoakPlan;
  gatewayCount: number;
  upstreamCount: number;
  lengthMs: number;
  /** Time at the end in which no fault starts, for the recovery. */
  calmMs: number;
}

/** Time for all processes to start before the first fault. */
const FIRST_FAULT_MS = 3_000;
/** Mean time between the starts of two faults. */
const MEAN_GAP_MS = 900;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 5_000;
/** Fraction of the faults that recur within RECURRENCE_GAP_MS on any target. */
const RECURRENCE_FRACTION = 0.25;
const RECURRENCE_GAP_MS = 350;

const GATEWAY_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.GatewayStop,
  FaultKind.GatewayKill,
  FaultKind.GatewayPause,
  FaultKind.GatewayReload,
  FaultKind.StoreCut,
]);

/**
 * Kinds that are drawn after all others, so that a seed keeps the other faults
 * that it had before these kinds were added.
 */
const LATER_KINDS: readonly FaultKind[] = [
  FaultKind.PromptPoisoned,
  FaultKind.UpstreamLimited,
  FaultKind.StoreRestored,
  FaultKind.UpstreamBacksOff,
];
const LATER_MEAN_GAP_MS = 6_000;
/** Drawn after those, for the same reason. */
const ENDLESS_MEAN_GAP_MS = 4_000;

/** Drawn last, for the same reason. */
const SILENT_MEAN_GAP_MS = 4_000;
const STOPS_MEAN_GAP_MS = 8_000;
/** Time for a series of stops before the calm at the end. */
const STOPS_LENGTH_MS = 6_000;
const DENSE_STOPS_MEAN_GAP_MS = 5_000;
/** Kinds that are drawn beside the stops of a plan of stops. */
const BESIDE_STOPS_KINDS: readonly FaultKind[] = [
  FaultKind.GatewayReload,
  FaultKind.LimitChanged,
  FaultKind.UpstreamDrain,
  FaultKind.UpstreamSilent,
  FaultKind.StoreOutage,
  FaultKind.StoreSlow,
  FaultKind.StoreLost,
];
const LAST_KINDS: readonly FaultKind[] = [
  FaultKind.UpstreamEndless,
  FaultKind.GatewayStopSeries,
  FaultKind.UpstreamSilent,
];

/** Draws the faults of a soak. */
export function planFaults(random: Random, input: PlanInput): PlannedFault[] {
  const isAll = input.plan === SoakPlan.All;
  const kinds = isAll
    ? Object.values(FaultKind).filter(
        kind => !LATER_KINDS.includes(kind) && !LAST_KINDS.includes(kind),
      )
    : BESIDE_STOPS_KINDS;
  const lastMs = input.lengthMs - input.calmMs;
  const faults: PlannedFault[] = [];
  const addFault = (kind: FaultKind, atMs: number): void => {
    const targetCount = GATEWAY_KINDS.has(kind)
      ? input.gatewayCount
      : input.upstreamCount;
    const span = MAX_FAULT_MS - MIN_FAULT_MS;
    const forMs = MIN_FAULT_MS + random.getNext() ** 2 * span;
    faults.push({
      kind,
      target: random.getInteger(targetCount),
      atMs,
      forMs: Math.min(forMs, Math.max(0, lastMs - atMs)),
      variant: random.getNext(),
    });
  };
  const addKind = (kind: FaultKind, meanGapMs: number): void => {
    let kindAtMs = FIRST_FAULT_MS;
    while (kindAtMs < lastMs) {
      addFault(kind, kindAtMs);
      kindAtMs += -Math.log(1 - random.getNext()) * meanGapMs;
    }
  };
  const addStops = (meanGapMs: number): void => {
    const {gatewayCount, upstreamCount} = input;
    const fromMs = FIRST_FAULT_MS;
    const toMs = lastMs - STOPS_LENGTH_MS;
    const span = {fromMs, toMs, meanGapMs};
    faults.push(...planStops(random, {gatewayCount, upstreamCount, ...span}));
  };
  let atMs = FIRST_FAULT_MS;
  while (atMs < lastMs) {
    const kind = kinds[random.getInteger(kinds.length)];
    addFault(kind, atMs);
    if (random.getNext() < RECURRENCE_FRACTION) {
      addFault(
        kind,
        Math.min(lastMs, atMs + random.getNext() * RECURRENCE_GAP_MS),
      );
    }
    atMs += -Math.log(1 - random.getNext()) * MEAN_GAP_MS;
  }
  if (!isAll) {
    addStops(DENSE_STOPS_MEAN_GAP_MS);
    return faults;
  }
  atMs = FIRST_FAULT_MS;
  while (atMs < lastMs) {
    addFault(LATER_KINDS[random.getInteger(LATER_KINDS.length)], atMs);
    atMs += -Math.log(1 - random.getNext()) * LATER_MEAN_GAP_MS;
  }
  addKind(FaultKind.UpstreamEndless, ENDLESS_MEAN_GAP_MS);
  addKind(FaultKind.UpstreamSilent, SILENT_MEAN_GAP_MS);
  addStops(STOPS_MEAN_GAP_MS);
  return faults;
}
