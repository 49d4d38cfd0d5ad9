/** Simple policies that the default policy is compared with. */
import type {Upstream} from '@siskinplank/resources';
import {filterReadiest} from './eligibility';
import {RoutingPolicy} from './types';
import type {RoutingCandidate, RoutingRequest} from './types';

/** Takes the candidates of the best readiness tier in turn; ignores load. */
export class RoundRobinPolicy extends RoutingPolicy {
  private next = 0;

  override selectUpstream(
    request: RoutingRequest,
    candidates: readonly RoutingCandidate[],
  ): Upstream | undefined {
    const readiest = filterReadiest(request, candidates);
    if (readiest.length === 0) return undefined;
    this.next = (this.next + 1) % Number.MAX_SAFE_INTEGER;
    return readiest[this.next % readiest.length].upstream;
  }
}

/**
 * Takes the candidate of the best readiness tier with the least reported load.
 */
export class LeastLoadedReportPolicy extends RoutingPolicy {
  override selectUpstream(
    request: RoutingRequest,
    candidates: readonly RoutingCandidate[],
  ): Upstream | undefined {
    const readiest = filterReadiest(request, candidates);
    let best: RoutingCandidate | undefined;
    for (const candidate of readiest) {
      if (best === undefined || getLoad(candidate) < getLoad(best)) {
        best = candidate;
      }
    }
    return best?.upstream;
  }
}

function getLoad(candidate: RoutingCandidate): number {
  const load = candidate.load;
  return load === undefined ? 0 : load.queuedTokens + load.running;
}
