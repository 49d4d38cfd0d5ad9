/** What a request session is given and what it reports. */
import type {
  FailoverReason,
  OpenRequest,
  UpstreamEntry,
} from '@siskinplank/dispatch';
import type {Clock, Logger} from '@siskinplank/foundation';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import type {
  CallerRequest,
  ClientAccount,
  ExchangeFormat,
  Route,
} from '@siskinplank/serving';
import type {CallerResponse} from './caller-response';
import type {Refusal} from './refusals';

/** A request that was admitted. */
export interface AdmittedRequest {
  request: CallerRequest;
  route: Route;
  /** Service chosen for this attempt of the caller. */
  service: string;
  account: ClientAccount | undefined;
  body: Buffer | undefined;
  /** Monotonic time at which its head had arrived. */
  arrivedAtMs: number;
  /** Monotonic time at which the caller or the route gives up. */
  deadlineAtMs: number;
}

/** How a request ended. */
export interface SessionOutcome {
  /** Status given to the caller; 0 when the caller left or was cut off. */
  status: number;
  refusal: Refusal | undefined;
  attempts: number;
  upstreamId: string | undefined;
  /** Milliseconds from arrival to the first byte of the answer. */
  firstByteMs: number | undefined;
  /** Whether an upstream may have run it. */
  mayHaveRun: boolean;
}

/** What a session needs. */
export interface SessionOptions {
  admitted: AdmittedRequest;
  response: CallerResponse;
  format: ExchangeFormat;
  pool: ConnectionPool;
  clock: Clock;
  logger: Logger;
  /**
   * Finds an upstream for the next attempt, now or later; the result gives the
   * search up.
   */
  acquireUpstream(
    triedIds: ReadonlySet<string>,
    onUpstream: (entry: UpstreamEntry) => void,
    onRefused: (retryAfterMs: number | undefined) => void,
  ): () => void;
  /** Notes the request as open at an upstream. */
  recordOpen(entry: UpstreamEntry): OpenRequest;
  /** Whether an upstream can still get requests. */
  isUsable(entry: UpstreamEntry): boolean;
  /** Notes a fault of an upstream. */
  recordFault(entry: UpstreamEntry, weight: number): void;
  recordUnreachable(entry: UpstreamEntry): void;
  recordFailover(reason: FailoverReason): void;
  /** Takes a second send from the budget of the service. */
  trySpendRetry(): boolean;
  sendRefusal(refusal: Refusal): void;
  onEnd(outcome: SessionOutcome): void;
}

/** A running session. */
export interface RequestSession {
  start(): void;
  /** The caller has left; upstreams are told at once. */
  abandon(): void;
  /** Leaves a silent upstream if the request may be repeated. */
  checkProgress(nowMs: number): void;
}
