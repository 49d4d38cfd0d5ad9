/**
 * Decides when a gateway becomes the order leader, the only gateway that sends
 * orders to upstreams. After the loss of the leader, no model is loaded or
 * unloaded until another gateway takes over. Fencing tokens make an unnecessary
 * takeover safe; waiting makes it rare.
 */
import type {OrderLease} from './types';

/** Why a gateway takes over. */
export enum TakeoverReason {
  /** There has been no order leader yet. */
  NoHolder = 'no-holder',
  /** The holder released the lease. */
  Released = 'released',
  /** The holder's process has ended: another runs under its name. */
  Ended = 'ended',
  /** No state arrives from the holder; it may still be running. */
  Unresponsive = 'silent',
}

/** Input of the decision; times are monotonic, in milliseconds. */
export interface TakeoverInput {
  /** The lease as last read from the store. */
  lease: OrderLease | undefined;
  /** Whether the store has been read; the lease may not exist in it. */
  isLeaseKnown: boolean;
  /** Whether the store was ever restored, and may lack the current lease. */
  isStoreRestored: boolean;
  ownName: string;
  isLeaving: boolean;
  /** Names of the live gateways that can take over, this one included. */
  candidates: readonly string[];
  /** When the last state of the holder arrived; undefined if none did. */
  holderLastSeenAtMs: number | undefined;
  /** When this gateway learned of the lease, or of its release. */
  leaseLearnedAtMs: number;
  /** Since when another process runs under the holder's name, if known. */
  endedSinceMs: number | undefined;
  /** When this gateway began to receive states of the others. */
  listeningSinceMs: number;
  nowMs: number;
}

/** How and why to take over. */
export interface TakeoverPlan {
  reason: TakeoverReason;
  /** Latest time at which the holder may have sent an order. */
  lastOrderAtMs: number | undefined;
}

/**
 * Time without a message after which the holder counts as lost. A new leader
 * waits for the end of the holder's lease anyway, so a shorter time would not
 * make its first order earlier.
 */
const HOLDER_TIMEOUT_MS = 2_000;
/** Further delay for each position in the sorted list of candidates. */
const RANK_DELAY_MS = 150;

/** Returns the plan, or undefined to wait. */
export function planTakeover(input: TakeoverInput): TakeoverPlan | undefined {
  const {lease, ownName, nowMs} = input;
  if (!input.isLeaseKnown || input.isLeaving) return undefined;
  const rank = [...input.candidates].sort().indexOf(ownName);
  if (rank < 0) return undefined;
  const sinceTurnMs = nowMs - input.listeningSinceMs - rank * RANK_DELAY_MS;
  if (sinceTurnMs < 0) return undefined;
  // The holder may be one that only the states of peers name.
  const isListeningLong = nowMs - input.listeningSinceMs >= HOLDER_TIMEOUT_MS;
  if (input.isStoreRestored && !isListeningLong) return undefined;
  if (lease === undefined) {
    return {reason: TakeoverReason.NoHolder, lastOrderAtMs: undefined};
  }
  // Held by an earlier process of this host, or by an ended term of this one.
  if (lease.holder === ownName) {
    return {reason: TakeoverReason.Ended, lastOrderAtMs: undefined};
  }
  const {leaseLearnedAtMs, endedSinceMs} = input;
  const hasTurnSince = (sinceMs: number): boolean =>
    nowMs - sinceMs >= rank * RANK_DELAY_MS;
  if (lease.isReleased) {
    return hasTurnSince(leaseLearnedAtMs)
      ? {reason: TakeoverReason.Released, lastOrderAtMs: undefined}
      : undefined;
  }
  if (endedSinceMs !== undefined) {
    return hasTurnSince(endedSinceMs)
      ? {reason: TakeoverReason.Ended, lastOrderAtMs: undefined}
      : undefined;
  }
  // The holder of a new lease may have no link to this gateway yet.
  const lastSeenAtMs = Math.max(
    input.holderLastSeenAtMs ?? input.listeningSinceMs,
    leaseLearnedAtMs,
  );
  if (!hasTurnSince(lastSeenAtMs + HOLDER_TIMEOUT_MS)) return undefined;
  return {reason: TakeoverReason.Unresponsive, lastOrderAtMs: lastSeenAtMs};
}
