/** Inputs of the planner for tests. */
import type {ModelSpec} from '@siskinplank/serving';
import type {ModelDemand} from '../demand-tracker';
import {planPlacementChanges} from '../plan-placement-changes';
import type {PlacementChange, PlanInput} from '../plan-placement-changes';
import type {PlannedUpstream} from '../planned-upstream';

export const BIG_MB = 34_300;
export const SMALL_MB = 16_100;

/** Makes models that load within 1.2 s, by their sizes. */
export function makeModels(
  sizes: Readonly<Record<string, number>>,
): Map<string, ModelSpec> {
  return new Map(
    Object.entries(sizes).map(([name, weightsMb]) => [
      name,
      {
        name,
        weightsMb,
        storeLoadMs: 1_200,
        diskLoadMs: 1_000,
        memoryLoadMs: 600,
        adapterCount: 0,
        adapterMb: 0,
      },
    ]),
  );
}

/** Makes an idle upstream that holds models. */
export function makeUpstream(
  id: string,
  models: readonly string[],
  changes: Partial<PlannedUpstream> = {},
): PlannedUpstream {
  return {
    id,
    softwareVersion: '1',
    capacityMb: 83_000,
    models: new Set(models),
    serving: new Set(models),
    isAnswering: true,
    openByModel: new Map(),
    reserved: new Set(),
    inMemory: new Set(),
    onDisk: new Set(),
    canTakeOrder: true,
    ...changes,
  };
}

/** Makes the demand for a model; none by default. */
export function makeDemand(
  model: string,
  changes: Partial<ModelDemand> = {},
): ModelDemand {
  return {
    model,
    requestsPerSecond: 0,
    averageOpen: 0,
    waitingCount: 0,
    oldestWaitMs: 0,
    waitingByVersion: new Map(),
    ...changes,
  };
}

/** Models of the planner's inputs. */
export const MODELS = makeModels({
  hot: BIG_MB,
  idle: BIG_MB,
  rare: BIG_MB,
  small: SMALL_MB,
});

/** Plans changes of no upstreams by default. */
export function plan(changes: Partial<PlanInput>): PlacementChange[] {
  return planPlacementChanges(makePlanInput(changes)).changes;
}

/** Makes an input without upstreams by default. */
export function makePlanInput(changes: Partial<PlanInput>): PlanInput {
  return {
    upstreams: [],
    models: MODELS,
    demand: [],
    openPerCopy: 8,
    lastVersions: new Map(),
    storeLoadsLeft: 3,
    storeLoadsLeftForStreams: changes.storeLoadsLeft ?? 3,
    isReleaseRunning: false,
    ...changes,
  };
}
