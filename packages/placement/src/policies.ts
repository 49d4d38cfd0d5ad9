/** Creation of placement policies by name. */
import {DefaultPlacementPolicy} from './default-policy';
import {PlacementPolicyName} from './options';
import type {PlacementPolicyOptions} from './options';
import {GreedyPlacementPolicy, StaticPlacementPolicy} from './simple-policies';
import type {PlacementPolicy} from './types';

/** Creates the policy of that name. */
export function createPlacementPolicy(
  name: PlacementPolicyName,
  options: PlacementPolicyOptions = {},
): PlacementPolicy {
  switch (name) {
    case PlacementPolicyName.Default:
      return new DefaultPlacementPolicy(options);
    case PlacementPolicyName.Static:
      return new StaticPlacementPolicy(options);
    case PlacementPolicyName.Greedy:
      return new GreedyPlacementPolicy(options);
  }
}
