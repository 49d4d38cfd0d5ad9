/** Draws stops of gateways that follow each other closely, and work beside them. */
import type {Random} from '@siskinplank/foundation';
import {FAILURE_DOMAIN_COUNT} from './gateways';
import {FaultKind} from './history';
import type {PlannedFault} from './plan';

/** Signals that a gateway gets beside SIGTERM. */
export enum StopCompanion {
  None = 'none',
  ReloadBefore = 'reload-before',
  ReloadAfter = 'reload-after',
  SecondStop = 'second-stop',
}

/** A stop of a series. */
export interface PlannedStop {
  /** Time from the start of the process to its stop. */
  afterStartMs: number;
  companion: StopCompanion;
  /** Time between both signals. */
  companionMs: number;
  /** Time from its exit to its next start; none by default. */
  restartAfterMs?: number;
  /** Whether it gets SIGKILL in place of SIGTERM. */
  isKill?: boolean;
  /** Whether it comes back at other addresses. */
  isMove?: boolean;
}

/** Parameters of `planStops`. */
export interface StopPlanInput {
  gatewayCount: number;
  upstreamCount: number;
  fromMs: number;
  toMs: number;
  meanGapMs: number;
}

/** Range of the times from the start of a gateway to its next stop. */
const MIN_RESTOP_MS = 200;
const MAX_RESTOP_MS = 3_000;
const MAX_STOP_COUNT = 3;
const MAX_COMPANION_MS = 1_000;
/** Fraction of the series beside which another gateway is stopped. */
const PEER_FRACTION = 0.4;
const MAX_PEER_DELAY_MS = 1_000;
/** Range of the times from a first stop to the work beside it. */
const MIN_BESIDE_MS = -500;
const MAX_BESIDE_MS = 1_500;
const MAX_BESIDE_LENGTH_MS = 3_000;
const BESIDE_KINDS: readonly FaultKind[] = [
  FaultKind.StoreOutage,
  FaultKind.UpstreamDrain,
  FaultKind.UpstreamSilent,
  FaultKind.LimitChanged,
  FaultKind.KeyWithdrawn,
];

/** Another gateway, of the same failure domain if there is one. */
function choosePeer(target: number, gatewayCount: number): number {
  const sameDomain = (target + FAILURE_DOMAIN_COUNT) % gatewayCount;
  const isSame =
    sameDomain !== target &&
    sameDomain % FAILURE_DOMAIN_COUNT === target % FAILURE_DOMAIN_COUNT;
  return isSame ? sameDomain : (target + 1) % gatewayCount;
}

/** Draws the stops of one gateway; its first one has no wait. */
function planSeries(random: Random): PlannedStop[] {
  const companions = Object.values(StopCompanion);
  return Array.from({length: 1 + random.getInteger(MAX_STOP_COUNT)}, () => ({
    afterStartMs:
      MIN_RESTOP_MS + random.getNext() * (MAX_RESTOP_MS - MIN_RESTOP_MS),
    companion: companions[random.getInteger(companions.length)],
    companionMs: random.getNext() * MAX_COMPANION_MS,
  }));
}

/** Draws series of stops, each with work beside its first stop. */
export function planStops(
  random: Random,
  input: StopPlanInput,
): PlannedFault[] {
  const {gatewayCount, upstreamCount, fromMs, toMs, meanGapMs} = input;
  const faults: PlannedFault[] = [];
  const addSeries = (target: number, atMs: number): void =>
    void faults.push({
      kind: FaultKind.GatewayStopSeries,
      target,
      atMs,
      forMs: 0,
      variant: random.getNext(),
      stops: planSeries(random),
    });
  let atMs = fromMs;
  while (atMs < toMs) {
    const target = random.getInteger(gatewayCount);
    addSeries(target, atMs);
    if (random.getNext() < PEER_FRACTION) {
      const delayMs = random.getNext() * MAX_PEER_DELAY_MS;
      addSeries(choosePeer(target, gatewayCount), atMs + delayMs);
    }
    const span = MAX_BESIDE_MS - MIN_BESIDE_MS;
    faults.push({
      kind: BESIDE_KINDS[random.getInteger(BESIDE_KINDS.length)],
      target: random.getInteger(upstreamCount),
      atMs: atMs + MIN_BESIDE_MS + random.getNext() * span,
      forMs: random.getNext() * MAX_BESIDE_LENGTH_MS,
      variant: random.getNext(),
    });
    atMs += -Math.log(1 - random.getNext()) * meanGapMs;
  }
  return faults;
}
