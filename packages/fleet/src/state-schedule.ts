/**
 * Plans how often gateways send their states to each other. Every gateway
 * receives the states of all others, so with a fixed period the work of one
 * gateway would grow with the size of the fleet.
 */

/** Periods and timeouts of the states and links of one gateway. */
export interface StateSchedule {
  /** Time between two states that a gateway sends to all others. */
  periodMs: number;
  /** Least time between two states sent early, before the period has passed. */
  earlyPeriodMs: number;
  /** Age above which a peer's last state is discarded. */
  peerTimeoutMs: number;
  /** Silence of a link after which it is pinged. */
  pingMs: number;
  /** Silence of a link after which it is closed. */
  idleMs: number;
}

/** States that a gateway receives per second in a large fleet. */
const MAX_STATES_PER_SECOND = 40;
const MILLISECONDS_PER_SECOND = 1_000;
/** In small fleets, loads of peers are known within this time. */
const MIN_PERIOD_MS = 200;
/** Older loads would mislead the choice of upstreams. */
const MAX_PERIOD_MS = 2_000;
/** Tolerates three late states. */
const PEER_TIMEOUT_PERIODS = 3.5;
/** States keep a link alive; it is pinged only when one is overdue. */
const PING_PERIODS = 1.5;
const IDLE_PINGS = 3;

/** Plans the schedule for a fleet, this gateway included. */
export function planStateSchedule(gatewayCount: number): StateSchedule {
  const boundedMs =
    (gatewayCount * MILLISECONDS_PER_SECOND) / MAX_STATES_PER_SECOND;
  const periodMs = Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, boundedMs));
  const pingMs = periodMs * PING_PERIODS;
  return {
    periodMs,
    earlyPeriodMs: periodMs / 2,
    peerTimeoutMs: periodMs * PEER_TIMEOUT_PERIODS,
    pingMs,
    idleMs: pingMs * IDLE_PINGS,
  };
}
