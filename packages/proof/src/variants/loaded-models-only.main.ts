/** Variant: requests go only to upstreams that report the model as loaded. */
import {TargetType} from '@siskinplank/messages';
import {RoutingPolicy} from '@siskinplank/routing';
import type {RoutingCandidate, RoutingRequest} from '@siskinplank/routing';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

class LoadedOnlyPolicy extends RoutingPolicy {
  constructor(private readonly policy: RoutingPolicy) {
    super();
  }

  override selectUpstream(
    request: RoutingRequest,
    candidates: readonly RoutingCandidate[],
    nowMs: number,
  ) {
    const {target} = request;
    const loaded = candidates.filter(
      ({load}) =>
        target.type !== TargetType.Model || load?.models.includes(target.model),
    );
    return this.policy.selectUpstream(request, loaded, nowMs);
  }
}

await runVariant({
  customizeEntry: container =>
    replacePart(
      container,
      'routing',
      (policy): RoutingPolicy => new LoadedOnlyPolicy(policy),
    ),
});
