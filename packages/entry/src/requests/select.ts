/** Chooses the upstream of a request's next attempt. */
import type {ConfigurationView} from '@siskinplank/configuration';
import type {Clock} from '@siskinplank/foundation';
import type {MembershipView} from '@siskinplank/membership';
import type {Upstream} from '@siskinplank/resources';
import {buildCandidates} from '@siskinplank/routing';
import type {LoadTable, RoutingPolicy} from '@siskinplank/routing';
import type {EntrySettings} from '@siskinplank/settings';
import type {SideLinks} from '../links/side-links';
import type {DispatchProgress} from './progress';
import type {CallerRequest} from './types';

/** Dependencies of the selection. */
export interface SelectionDependencies {
  settings: Pick<EntrySettings, 'process'>;
  clock: Clock;
  configuration: ConfigurationView;
  membership: MembershipView;
  routing: RoutingPolicy;
  loads: LoadTable;
  sideLinks: SideLinks;
}

/**
 * Returns the upstream to which the last side process redirected the request,
 * or else the choice of the routing policy. Upstreams whose link was lost are
 * chosen only if no other is left. Undefined if no upstream is left.
 */
export type SelectUpstream = (
  request: CallerRequest,
  progress: DispatchProgress,
) => Upstream | undefined;

/** Creates the upstream selector. */
export function createUpstreamSelector(
  deps: SelectionDependencies,
): SelectUpstream {
  const {clock} = deps;
  return (request, progress) => {
    const nowMs = clock.getNowMs();
    const {sideLinks} = deps;
    const candidates = buildCandidates(
      request.target,
      {...deps, chooseLoadTargets: sideLinks.getLoadTargetChooser()},
      nowMs,
    );
    sideLinks.recordDemand(request.target, candidates, nowMs);
    const closed = new Set([...progress.refused, ...progress.draining]);
    const redirect = candidates.find(
      candidate =>
        candidate.upstream.name === progress.redirect &&
        !closed.has(candidate.upstream.name),
    );
    progress.redirect = undefined;
    if (redirect !== undefined) return redirect.upstream;
    const select = (excluded: ReadonlySet<string>): Upstream | undefined =>
      deps.routing.selectUpstream(
        {
          target: request.target,
          estimatedTokens: request.estimatedTokens,
          priority: request.priority,
          deadlineMs: request.deadlineAtMs - nowMs,
          prefixHashes: request.prefixHashes,
          failureDomain: deps.settings.process.failureDomain,
          region: deps.settings.process.region,
          excluded,
        },
        candidates,
        nowMs,
      );
    return select(new Set([...closed, ...progress.lost])) ?? select(closed);
  };
}
