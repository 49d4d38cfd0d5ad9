/** Placement of models and adapters on upstreams. */
export * from './types';
export {createDemandEstimator} from './demand-estimator';
export type {DemandEstimator, DemandEstimatorOptions} from './demand-estimator';
export {PlacementPolicyName} from './options';
export type {PlacementPolicyOptions} from './options';
export {createPlacementOwner} from './owner';
export type {
  PlacementDemandSource,
  PlacementOwner,
  PlacementOwnerOptions,
} from './owner';
export {createPlacementPolicy} from './policies';
