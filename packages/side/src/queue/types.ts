/** Types of the fair queue. */
import type {RequestTarget} from '@siskinplank/messages';
import type {PriorityClass} from '@siskinplank/resources';

/** A waiting request. */
export interface QueueItem {
  /** Attempt id. */
  readonly id: string;
  readonly account: string;
  readonly weight: number;
  readonly tokens: number;
  readonly bytes: number;
  readonly priority: PriorityClass;
  readonly enqueuedMs: number;
  readonly deadlineAtMs: number;
  readonly target: RequestTarget;
}

/** Bounds of the queue. */
export interface QueueLimits {
  maxRequests: number;
  maxBytes: number;
  /** Waiting time after which overnight requests get every eighth turn. */
  agingMs: number;
}

/** A target with waiting requests. */
export interface WaitingTarget {
  target: RequestTarget;
  oldestMs: number;
  /** Earliest deadline. */
  deadlineAtMs: number;
  requests: number;
}

/** Totals of the queue. */
export interface QueueTotals {
  requests: number;
  bytes: number;
  tokens: number;
}

/** Requests waiting for the upstream. */
export interface FairQueue {
  /** Adds an item; returns the items removed to stay within the limits. */
  enqueue(item: QueueItem): readonly QueueItem[];
  /** Removes the next item whose target is ready. */
  dequeue(
    nowMs: number,
    isReady: (target: RequestTarget) => boolean,
  ): QueueItem | undefined;
  remove(id: string): QueueItem | undefined;
  /** Removes the items whose deadline has passed. */
  expire(nowMs: number): readonly QueueItem[];
  /** Corrects an account's virtual time once the used tokens are known. */
  settle(item: QueueItem, usedTokens: number): void;
  /** Targets with waiting requests, sorted by their oldest request. */
  listWaiting(): readonly WaitingTarget[];
  listItems(): readonly QueueItem[];
  getTotals(): QueueTotals;
}
