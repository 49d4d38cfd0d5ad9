/**
 * Tracks demand for models, plans which upstream holds which models and
 * adapters, and sends the load and unload orders.
 */
export {createDemandTracker} from './demand-tracker';
export type {DemandTracker, ModelDemand} from './demand-tracker';
export {planPlacementChanges} from './plan-placement-changes';
export type {PlacementChange, PlanInput} from './plan-placement-changes';
export type {PlannedUpstream} from './planned-upstream';
export {createUpstreamInventory} from './upstream-inventory';
export type {UpstreamInventory} from './upstream-inventory';
export {createPlacementController} from './placement-controller';
export type {
  PlacementController,
  PlacementControllerOptions,
} from './placement-controller';
