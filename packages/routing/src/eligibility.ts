/** Candidate filters that all policies share: eligibility and readiness. */
import {MemberState, TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import {UpstreamState} from '@siskinplank/resources';
import type {RoutingCandidate, RoutingRequest} from './types';

/** How soon an upstream can run a model; lower is sooner. */
export enum ReadinessTier {
  Loaded = 0,
  Loading = 1,
  Placed = 2,
  Loadable = 3,
}

/** Returns the readiness tier of a candidate for the target. */
export function rankReadiness(
  target: RequestTarget,
  candidate: RoutingCandidate,
): ReadinessTier {
  if (target.type === TargetType.Route) return ReadinessTier.Loaded;
  if (candidate.load?.models.includes(target.model)) {
    return ReadinessTier.Loaded;
  }
  if (candidate.load?.loadingModels.includes(target.model)) {
    return ReadinessTier.Loading;
  }
  return candidate.isPlaced ? ReadinessTier.Placed : ReadinessTier.Loadable;
}

/**
 * Drops candidates that are excluded or leaving, and suspect ones unless
 * nothing else is left.
 */
function filterEligible(
  request: RoutingRequest,
  candidates: readonly RoutingCandidate[],
): readonly RoutingCandidate[] {
  const usable = candidates.filter(
    candidate =>
      !request.excluded.has(candidate.upstream.name) &&
      candidate.upstream.state !== UpstreamState.Leaving &&
      candidate.memberState !== MemberState.Leaving,
  );
  const live = usable.filter(
    candidate => candidate.memberState === MemberState.Live,
  );
  return live.length > 0 ? live : usable;
}

/**
 * Keeps the eligible candidates of the best readiness tier; none if no
 * candidate is eligible.
 */
export function filterReadiest(
  request: RoutingRequest,
  candidates: readonly RoutingCandidate[],
): readonly RoutingCandidate[] {
  const eligible = filterEligible(request, candidates);
  const tiers = eligible.map(candidate =>
    rankReadiness(request.target, candidate),
  );
  const best = Math.min(...tiers);
  return eligible.filter((_, index) => tiers[index] === best);
}
