/** Which models and adapters upstreams hold: demand, planning, and the orders that carry plans out. */
export {createDemandTracker} from './demand-tracker';
export type {DemandTracker, ModelDemand} from './demand-tracker';
export {planPlacementChanges} from './plan-placement-changes';
export type {PlacementChange, PlanInput, PlannedUpstream} from './plan-placement-changes';
export {createUpstreamInventory} from './upstream-inventory';
export type {UpstreamInventory} from './upstream-inventory';
export {createPlacementController} from './placement-controller';
export type {
  PlacementController,
  PlacementControllerOptions,
} from './placement-controller';
