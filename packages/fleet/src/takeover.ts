/**
 * Decides when a gateway takes the orders over. Answers the loss of the
 * gateway that gives them: until another one does, no model is moved. Fencing
 * tokens make a wrong takeover safe; waiting makes it rare.
 */
import type {OrderLease} from './types';

/** Why the orders are taken over. */
export enum TakeoverReason {
  /** Nobody has given orders yet. */
  NoHolder = 'no-holder',
  /** The holder gave them up. */
  Released = 'released',
  /** The holder's process has ended: its host runs another one. */
  Ended = 'ended',
  /** Nothing is heard of the holder; it may still be alive. */
  Unresponsive = 'silent',
}

/** What the decision is made from; times are monotonic, in milliseconds. */
export interface TakeoverInput {
  /** The lease as the store last showed it. */
  lease: OrderLease | undefined;
  /** Whether the lease was read from the store at all. */
  isLeaseKnown: boolean;
  ownName: string;
  isLeaving: boolean;
  /** Live gateways, this one included, that can take over. */
  candidates: readonly string[];
  /** Incarnation that now runs under the holder's name, if it is known. */
  holderIncarnation: string | undefined;
  /** When the holder was last heard of; undefined when it never was. */
  holderLastSeenAtMs: number | undefined;
  /** When this gateway began to listen to the others. */
  listeningSinceMs: number;
  nowMs: number;
}

/** How and why to take over. */
export interface TakeoverPlan {
  reason: TakeoverReason;
  /** Time at which the holder can have given an order last. */
  lastOrderAtMs: number | undefined;
}

/** Silence after which a holder that may be alive counts as lost. */
const SILENCE_MS = 1_200;
/** Head start of each candidate before the next one. */
const RANK_DELAY_MS = 150;

/** The plan, or undefined to wait. */
export function planTakeover(input: TakeoverInput): TakeoverPlan | undefined {
  const {lease, ownName, nowMs} = input;
  if (!input.isLeaseKnown || input.isLeaving) return undefined;
  const rank = [...input.candidates].sort().indexOf(ownName);
  if (rank < 0) return undefined;
  const listenedMs = nowMs - input.listeningSinceMs - rank * RANK_DELAY_MS;
  if (listenedMs < 0) return undefined;
  if (lease === undefined) {
    return {reason: TakeoverReason.NoHolder, lastOrderAtMs: undefined};
  }
  // An earlier process of this host, or an own term that has ended.
  if (lease.holder === ownName) {
    return {reason: TakeoverReason.Ended, lastOrderAtMs: undefined};
  }
  if (lease.isReleased) {
    return {reason: TakeoverReason.Released, lastOrderAtMs: undefined};
  }
  const hasEnded =
    input.holderIncarnation !== undefined &&
    input.holderIncarnation !== lease.incarnation;
  if (hasEnded) {
    return {reason: TakeoverReason.Ended, lastOrderAtMs: undefined};
  }
  const heardAtMs = input.holderLastSeenAtMs ?? input.listeningSinceMs;
  const silentMs = nowMs - heardAtMs - rank * RANK_DELAY_MS;
  if (silentMs < SILENCE_MS) return undefined;
  return {reason: TakeoverReason.Unresponsive, lastOrderAtMs: heardAtMs};
}
