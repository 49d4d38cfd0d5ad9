/** The faults of one soak, drawn from its seed: series that overlap. */
import type {Random} from '@siskinplank/foundation';
import {FaultKind} from './history';

/** One fault to make. */
export interface PlannedFault {
  kind: FaultKind;
  /** Index of a gateway or an upstream, whichever the kind concerns. */
  target: number;
  atMs: number;
  forMs: number;
  /** Chooses a variant of the kind, 0 to 1. */
  variant: number;
}

/** What a plan is made for. */
export interface PlanInput {
  gatewayCount: number;
  upstreamCount: number;
  lengthMs: number;
  /** Time at the end without new faults, for the recovery. */
  calmMs: number;
}

/** Time for all processes to start before the first fault. */
const FIRST_FAULT_MS = 3_000;
/** Mean time between the starts of two faults. */
const MEAN_GAP_MS = 900;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 5_000;
/** Part of the faults that come again within a moment, on another target. */
const SERIES_SHARE = 0.25;
const SERIES_GAP_MS = 350;

const GATEWAY_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.GatewayStop,
  FaultKind.GatewayKill,
  FaultKind.GatewayPause,
  FaultKind.GatewayReload,
  FaultKind.StoreCut,
]);

/** Draws the faults of a soak. */
export function planFaults(random: Random, input: PlanInput): PlannedFault[] {
  const kinds = Object.values(FaultKind);
  const lastMs = input.lengthMs - input.calmMs;
  const faults: PlannedFault[] = [];
  const draw = (kind: FaultKind, atMs: number): void => {
    const targets = GATEWAY_KINDS.has(kind)
      ? input.gatewayCount
      : input.upstreamCount;
    const span = MAX_FAULT_MS - MIN_FAULT_MS;
    const forMs = MIN_FAULT_MS + random.getNext() ** 2 * span;
    faults.push({
      kind,
      target: random.getInteger(targets),
      atMs,
      forMs: Math.min(forMs, Math.max(0, lastMs - atMs)),
      variant: random.getNext(),
    });
  };
  let atMs = FIRST_FAULT_MS;
  while (atMs < lastMs) {
    const kind = kinds[random.getInteger(kinds.length)];
    draw(kind, atMs);
    if (random.getNext() < SERIES_SHARE) {
      draw(kind, Math.min(lastMs, atMs + random.getNext() * SERIES_GAP_MS));
    }
    atMs += -Math.log(1 - random.getNext()) * MEAN_GAP_MS;
  }
  return faults;
}
