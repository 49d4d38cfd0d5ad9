/** Interface of the routing policies. */
import type {
  LoadSummary,
  MemberState,
  RequestTarget,
} from '@siskinplank/messages';
import type {PriorityClass, Upstream} from '@siskinplank/resources';

/** An upstream that can serve a request, with its load and state. */
export interface RoutingCandidate {
  upstream: Upstream;
  /** Last load report; absent before the first one. */
  load: LoadSummary | undefined;
  /** Time since the load report, in milliseconds. */
  loadAgeMs: number;
  /** State of the side process in the membership view. */
  memberState: MemberState;
  /** Requests that this entry host has open at the upstream. */
  openRequests: number;
  /** Estimated tokens of these requests. */
  openTokens: number;
  /** Whether the model is placed there or, unplaced, is to be loaded there. */
  isPlaced: boolean;
  /** Hashes of prompt prefixes that this entry host recently sent there. */
  sentPrefixes?: ReadonlySet<string>;
}

/** Properties of a request that policies choose by. */
export interface RoutingRequest {
  target: RequestTarget;
  estimatedTokens: number;
  priority: PriorityClass;
  deadlineMs: number;
  /** Hashes of the prompt's prefixes, longest first. */
  prefixHashes: readonly string[];
  /** Failure domain of the entry host. */
  failureDomain: string;
  region: string;
  /** Names of upstreams that may not be chosen. */
  excluded: ReadonlySet<string>;
}

/** Chooses an upstream for each request. */
export abstract class RoutingPolicy {
  /** Returns the chosen upstream; undefined when no candidate is eligible. */
  abstract selectUpstream(
    request: RoutingRequest,
    candidates: readonly RoutingCandidate[],
    nowMs: number,
  ): Upstream | undefined;
}
