/** Default policy: the better of two random candidates with low scores. */
import {createHash} from 'node:crypto';
import type {Random} from '@siskinplank/foundation';
import {TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import type {Upstream} from '@siskinplank/resources';
import {ReadinessTier, filterReadiest, rankReadiness} from './eligibility';
import {PREFIX_BLOCK_BYTES} from './prefixes';
import {RoutingPolicy} from './types';
import type {RoutingCandidate, RoutingRequest} from './types';

/** Assumed remaining tokens of a running request. */
const RUNNING_REQUEST_TOKENS = 128;

/**
 * Load bound of a candidate as a multiple of the mean load of the others. With
 * a stricter bound, hosts with the same outdated reports overload the few
 * candidates below it.
 */
const LOAD_BOUND_FACTOR = 2;

/** Fraction of its slots that a candidate may fill at any load of others. */
const MIN_BOUND_SLOT_FRACTION = 0.25;

/** Penalty for loading an adapter, about 10 ms of generation in one slot. */
const ADAPTER_LOAD_PENALTY_TOKENS = 4;

/** Penalty for another failure domain, about 1.5 ms each way. */
const DOMAIN_PENALTY_TOKENS = 1;

const BYTES_PER_TOKEN = 4;

/**
 * Fraction of the candidates, lowest scores first, that the two are drawn from.
 * With a smaller one, hosts with the same outdated reports choose the same
 * upstreams.
 */
const CHOICE_POOL_FRACTION = 0.75;

interface ScoredCandidate {
  candidate: RoutingCandidate;
  /** Estimated waiting tokens per slot. */
  waitingTokens: number;
  /** Blocks of the longest prompt prefix that is probably cached there. */
  prefixBlocks: number;
  /** Waiting tokens per slot, plus penalties, minus prefix savings. */
  score: number;
}

/** Scores by waiting tokens, prefix match, adapter residency and distance. */
export class ScoredTwoChoicePolicy extends RoutingPolicy {
  constructor(private readonly random: Random) {
    super();
  }

  override selectUpstream(
    request: RoutingRequest,
    candidates: readonly RoutingCandidate[],
  ): Upstream | undefined {
    const readiest = filterReadiest(request, candidates);
    if (readiest.length === 0) return undefined;
    const scored = readiest.map(candidate =>
      scoreCandidate(request, candidate),
    );
    const bounded = filterByRegion(
      filterByLoadBound(scored, request.estimatedTokens),
      request.region,
    );
    const [{candidate}] = bounded;
    const {target} = request;
    if (rankReadiness(target, candidate) === ReadinessTier.Loadable) {
      return pickByHash(target, bounded);
    }
    const matching = filterLongestMatch(bounded);
    if (matching.length > 0) return this.chooseBetterOfTwo(matching);
    const sorted = [...bounded].sort((a, b) => a.score - b.score);
    const poolSize = Math.max(
      2,
      Math.ceil(sorted.length * CHOICE_POOL_FRACTION),
    );
    return this.chooseBetterOfTwo(sorted.slice(0, poolSize));
  }

  private chooseBetterOfTwo(pool: readonly ScoredCandidate[]): Upstream {
    const firstIndex = this.random.getInteger(pool.length);
    const first = pool[firstIndex];
    if (pool.length === 1) return first.candidate.upstream;
    const offset = 1 + this.random.getInteger(pool.length - 1);
    const second = pool[(firstIndex + offset) % pool.length];
    const chosen = second.score < first.score ? second : first;
    return chosen.candidate.upstream;
  }
}

/**
 * Estimates the waiting tokens per slot. The open requests of this host are
 * added in full: reports may not include them yet, and counting some of them
 * twice only spreads the load.
 */
export function estimateWaitingTokens(candidate: RoutingCandidate): number {
  const slots = Math.max(1, candidate.upstream.maxConcurrency);
  const reported =
    (candidate.load?.queuedTokens ?? 0) +
    (candidate.load?.running ?? 0) * RUNNING_REQUEST_TOKENS;
  return (reported + candidate.openTokens) / slots;
}

function scoreCandidate(
  request: RoutingRequest,
  candidate: RoutingCandidate,
): ScoredCandidate {
  const waitingTokens = estimateWaitingTokens(candidate);
  const prefixBlocks = countMatchingBlocks(request, candidate);
  const prefixTokens = (prefixBlocks * PREFIX_BLOCK_BYTES) / BYTES_PER_TOKEN;
  const slots = Math.max(1, candidate.upstream.maxConcurrency);
  let score = waitingTokens - prefixTokens / slots;
  if (isAdapterMissing(request, candidate))
    score += ADAPTER_LOAD_PENALTY_TOKENS;
  if (candidate.upstream.failureDomain !== request.failureDomain) {
    score += DOMAIN_PENALTY_TOKENS;
  }
  return {candidate, waitingTokens: waitingTokens, prefixBlocks, score};
}

function isAdapterMissing(
  request: RoutingRequest,
  candidate: RoutingCandidate,
): boolean {
  if (request.target.type !== TargetType.Model) return false;
  const adapter = request.target.adapter;
  if (adapter === undefined) return false;
  return !(candidate.load?.adapters.includes(adapter) ?? false);
}

function countMatchingBlocks(
  request: RoutingRequest,
  candidate: RoutingCandidate,
): number {
  const cached = candidate.load?.cachedPrefixes ?? [];
  const index = request.prefixHashes.findIndex(
    hash => cached.includes(hash) || candidate.sentPrefixes?.has(hash),
  );
  return index === -1 ? 0 : request.prefixHashes.length - index;
}

/** Drops candidates above the load bound; keeps all if all are above it. */
function filterByLoadBound(
  scored: readonly ScoredCandidate[],
  estimatedTokens: number,
): readonly ScoredCandidate[] {
  if (scored.length < 2) return scored;
  const totalWaitingTokens = scored.reduce(
    (sum, entry) => sum + entry.waitingTokens,
    0,
  );
  const bounded = scored.filter(entry => {
    const meanOfOthers =
      (totalWaitingTokens - entry.waitingTokens) / (scored.length - 1);
    const bound =
      meanOfOthers * LOAD_BOUND_FACTOR +
      estimatedTokens * MIN_BOUND_SLOT_FRACTION;
    return entry.waitingTokens <= bound;
  });
  return bounded.length > 0 ? bounded : scored;
}

/** Keeps the candidates in the region, or all if none is in it. */
function filterByRegion(
  scored: readonly ScoredCandidate[],
  region: string,
): readonly ScoredCandidate[] {
  const local = scored.filter(
    entry => entry.candidate.upstream.region === region,
  );
  return local.length > 0 ? local : scored;
}

/**
 * Picks by rendezvous hashing, so that all entry hosts send the requests for a
 * model that is not loaded to the same upstream, which loads it only once.
 */
function pickByHash(
  target: RequestTarget,
  scored: readonly ScoredCandidate[],
): Upstream {
  const key = target.type === TargetType.Model ? target.model : target.route;
  const ranked = scored.map(({candidate: {upstream}}) => ({
    upstream,
    hash: createHash('sha256').update(`${key}/${upstream.name}`).digest('hex'),
  }));
  ranked.sort((a, b) => (a.hash < b.hash ? 1 : -1));
  return ranked[0].upstream;
}

function filterLongestMatch(
  scored: readonly ScoredCandidate[],
): readonly ScoredCandidate[] {
  const longest = Math.max(...scored.map(entry => entry.prefixBlocks));
  if (longest === 0) return [];
  return scored.filter(entry => entry.prefixBlocks === longest);
}
