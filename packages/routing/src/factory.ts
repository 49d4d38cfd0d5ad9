/** Creates a routing policy by its name. */
import {createRandom, failInvariant} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {LeastLoadedReportPolicy, RoundRobinPolicy} from './baselines';
import {ScoredTwoChoicePolicy} from './scored';
import type {RoutingPolicy} from './types';

/** Names of the routing policies. */
export enum RoutingPolicyName {
  Default = 'default',
  RoundRobin = 'round-robin',
  LeastLoadedReport = 'least-loaded-report',
}

/** Creates the named policy. */
export function createRoutingPolicy(
  name: RoutingPolicyName,
  random: Random = createRandom(),
): RoutingPolicy {
  switch (name) {
    case RoutingPolicyName.Default:
      return new ScoredTwoChoicePolicy(random);
    case RoutingPolicyName.RoundRobin:
      return new RoundRobinPolicy();
    case RoutingPolicyName.LeastLoadedReport:
      return new LeastLoadedReportPolicy();
    default:
      return failInvariant('unknown routing policy');
  }
}
