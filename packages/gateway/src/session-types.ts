/** Inputs and outcome of a request session. */
import type {
  FailoverReason,
  OpenRequest,
  RetryPurpose,
  UpstreamEntry,
} from '@siskinplank/dispatch';
import type {Clock, Logger} from '@siskinplank/foundation';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import type {
  CallerRequest,
  ClientAccount,
  ExchangeFormat,
  Route,
  Upstream,
} from '@siskinplank/serving';
import type {CallerResponse} from './caller-response';
import type {RequestGuard} from './request-guard';
import type {UpstreamLimits} from './upstream-limits';
import type {Refusal, RefusalCode} from './refusals';

/** Least time before the deadline at which a request is still sent. */
export const MIN_SEND_MS = 5;

/** An admitted request with its route, service and deadline. */
export interface AdmittedRequest {
  request: CallerRequest;
  route: Route;
  /** Service chosen from those of the route, by weight. */
  service: string;
  account: ClientAccount | undefined;
  body: Buffer | undefined;
  /** Monotonic time at which the head arrived. */
  arrivedAtMs: number;
  /** Monotonic time: the earlier of the caller's and the route's deadline. */
  deadlineAtMs: number;
  /**
   * Software version that began the stream that the request goes on with;
   * undefined if any version may run it.
   */
  softwareVersion: string | undefined;
}

/** Which upstreams may run the next attempt. */
export interface AttemptTarget {
  /** Upstreams that are left out. */
  triedUpstreamIds: ReadonlySet<string>;
  /** The only software version that may; undefined if any may. */
  softwareVersion: string | undefined;
  /** Whether no upstream is better than one whose streams have all stalled. */
  needsActive?: boolean;
}

/** How a request ended. */
export interface SessionOutcome {
  /**
   * Status sent to the caller; 0 when the caller disconnected or the response
   * was aborted.
   */
  status: number;
  refusal: Refusal | undefined;
  attempts: number;
  upstreamId: string | undefined;
  /** Software version of the upstreams that sent the events of a stream. */
  softwareVersion: string | undefined;
  /** Milliseconds from arrival to the first byte of the response. */
  firstByteMs: number | undefined;
  /** Whether an upstream may have run the request. */
  mayHaveRun: boolean;
}

/** What `createRequestSession` needs. */
export interface SessionOptions {
  admitted: AdmittedRequest;
  response: CallerResponse;
  format: ExchangeFormat;
  pool: ConnectionPool;
  clock: Clock;
  logger: Logger;
  /**
   * Finds an upstream for the next attempt, now or later; the result cancels
   * the search.
   */
  acquireUpstream(
    target: AttemptTarget,
    onUpstream: (entry: UpstreamEntry) => void,
    onRefused: (retryAfterMs: number | undefined, code: RefusalCode) => void,
  ): () => void;
  /** Counts the request as open at an upstream. */
  recordOpen(entry: UpstreamEntry): OpenRequest;
  /** Whether an upstream can receive requests now. */
  isUsable(entry: UpstreamEntry): boolean;
  /** Adds to the fault score of an upstream. */
  recordFault(entry: UpstreamEntry, weight: number): void;
  recordUnreachable(entry: UpstreamEntry): void;
  /** Records that the upstream rejected the request as misdirected. */
  recordMisdirected(entry: UpstreamEntry, sentAtMs: number): void;
  recordFailover(reason: FailoverReason): void;
  /** Latest time to start the request; undefined unless this gateway drains. */
  getLastStartAtMs(): number | undefined;
  /** Whether the service's budget has a retry left for the purpose. */
  canSpendRetry(purpose: RetryPurpose): boolean;
  /** Spends one retry of the service's budget; false when none is left. */
  trySpendRetry(purpose: RetryPurpose): boolean;
  /**
   * Time until an upstream of the version that can run the request wants
   * requests again; undefined unless none of them does now.
   */
  estimateBackoffMs(target: AttemptTarget): number | undefined;
  /** Called when a stream has begun, before its first event is sent. */
  onStreamBegun(upstream: Upstream): void;
  limits: UpstreamLimits;
  /** Evidence about requests that end upstreams. */
  guard: RequestGuard;
  sendRefusal(refusal: Refusal): void;
  onEnd(outcome: SessionOutcome): void;
}

/** A running session. */
export interface RequestSession {
  start(): void;
  /** The caller has disconnected; cancels the attempt at the upstream. */
  abandon(): void;
  /** Ends the request with a final response, since the process stops. */
  endForStop(): void;
  /** Stops the request if it was blamed before it was answered. */
  refuseBlamed(): void;
  /** Fails over from an unresponsive upstream if a retry is allowed. */
  checkProgress(nowMs: number): void;
}
