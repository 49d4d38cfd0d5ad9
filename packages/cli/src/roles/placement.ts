/** Placement dependencies of an entry process: demand, lease and owner. */
import {asFunction} from 'awilix';
import type {AwilixContainer} from 'awilix';
import type {Timer} from '@siskinplank/foundation';
import {rankMembers} from '@siskinplank/membership';
import {
  PlacementPolicyName,
  createDemandEstimator,
  createPlacementOwner,
  createPlacementPolicy,
} from '@siskinplank/placement';
import type {
  DemandEstimate,
  DemandEstimator,
  PlacementOwner,
  PlacementPolicy,
  UpstreamContents,
} from '@siskinplank/placement';
import {createLeaseHolder} from '@siskinplank/platform-client';
import type {LeaseHolder} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {EntrySettings} from '@siskinplank/settings';
import type {EntryCradle} from './entry';
import {listLiveEntries} from './live-entries';
import {BASE_DEPENDENCIES, selectDependencies} from './select-dependencies';

/** Placement dependencies, by their registered names. */
export interface PlacementCradle {
  placementPolicy: PlacementPolicy;
  placementLease: LeaseHolder;
  demandEstimator: DemandEstimator;
  placementOwner: PlacementOwner;
  placement: PlacementRole;
}

/** Placement components of one entry process. */
export interface PlacementRole {
  start(): void;
  stop(): Promise<void>;
}

const PLACEMENT_LEASE = 'placement';
/** Entry processes that contend for the lease, so that the rest make no calls. */
const CONTENDER_COUNT = 3;
const SAMPLE_PERIOD_MS = 1_000;
/** Longest wait for load reports of all upstreams before demand is sampled. */
const MAX_REPORT_WAIT_MS = 30_000;

function isContender(cradle: EntryCradle): boolean {
  const {identity, membership, clock} = cradle;
  const entries = listLiveEntries(membership, clock.getNowMs());
  return rankMembers(entries, PLACEMENT_LEASE)
    .slice(0, CONTENDER_COUNT)
    .some(member => member.name === identity.name);
}

/** Adds up the demand that the side processes report. */
function collectDemand(cradle: EntryCradle, nowMs: number): DemandEstimate[] {
  const {entry, configuration} = cradle;
  const totals = new Map<string, number>();
  const limitMs = entry.getReportAgeLimitMs();
  for (const {load, ageMs} of entry.listLoads(nowMs)) {
    if (ageMs > limitMs) continue;
    for (const [name, tokens] of Object.entries(load.demand)) {
      totals.set(name, (totals.get(name) ?? 0) + tokens);
    }
  }
  return [...totals].map(([name, tokensPerSecond]) => {
    const adapter = configuration.getObject(ResourceKind.Adapter, name)?.value;
    return adapter === undefined
      ? {model: name, tokensPerSecond}
      : {model: adapter.model, adapter: name, tokensPerSecond};
  });
}

function listContents(cradle: EntryCradle, nowMs: number): UpstreamContents[] {
  const {entry} = cradle;
  return entry
    .listLoads(nowMs)
    .filter(({ageMs}) => ageMs <= entry.getReportAgeLimitMs())
    .map(({load}) => ({
      upstream: load.upstream,
      models: [...load.models, ...load.loadingModels],
      adapters: load.adapters,
    }));
}

/** Creates the role: samples demand and runs the owner. */
function createPlacementRole(cradle: EntryCradle): PlacementRole {
  const {placementLease, placementOwner, demandEstimator, clock} = cradle;
  let sampling: Timer | undefined;
  let contenderSinceMs: number | undefined;
  /**
   * Samples from only some load reports would underestimate demand, so a
   * process samples only while it contends for the lease and all upstreams
   * report to it, or after the maximum wait.
   */
  const sampleDemand = (): void => {
    const nowMs = clock.getNowMs();
    const isContending = isContender(cradle);
    cradle.entry.setFullView(isContending);
    if (!isContending) {
      contenderSinceMs = undefined;
      return;
    }
    contenderSinceMs ??= nowMs;
    const isWaitOver = nowMs - contenderSinceMs >= MAX_REPORT_WAIT_MS;
    if (!isWaitOver && !cradle.entry.isViewComplete(nowMs)) return;
    demandEstimator.recordSamples(collectDemand(cradle, nowMs), nowMs);
  };
  return {
    start: () => {
      sampling = clock.startInterval(SAMPLE_PERIOD_MS, sampleDemand);
      placementLease.start();
      placementOwner.start();
    },
    stop: async () => {
      sampling?.cancel();
      await placementOwner.stop();
      await placementLease.stop();
    },
  };
}

/** Registers the placement dependencies. */
export function registerPlacement(
  container: AwilixContainer<EntryCradle>,
  settings: EntrySettings,
): void {
  const {placement} = settings;
  container.register({
    placementPolicy: asFunction(() =>
      createPlacementPolicy(PlacementPolicyName.Default, {
        attainmentWeight: placement.attainmentWeight,
        tokensPerAccelerator: placement.tokensPerAccelerator,
      }),
    ).singleton(),
    demandEstimator: asFunction(() =>
      createDemandEstimator({
        fastMs: placement.demandFastMs,
        slowMs: placement.demandSlowMs,
      }),
    ).singleton(),
    placementLease: asFunction((cradle: EntryCradle) =>
      createLeaseHolder({
        store: cradle.store,
        name: PLACEMENT_LEASE,
        holderId: `${cradle.identity.name}/${cradle.identity.incarnation}`,
        durationMs: placement.leaseMs,
        ...selectDependencies(cradle, BASE_DEPENDENCIES),
        shouldContend: () => isContender(cradle),
      }),
    ).singleton(),
    placementOwner: asFunction((cradle: EntryCradle) =>
      createPlacementOwner({
        store: cradle.store,
        configuration: cradle.configuration,
        lease: cradle.placementLease,
        policy: cradle.placementPolicy,
        demand: {
          listEstimates: () => cradle.demandEstimator.listEstimates(),
          listContents: nowMs => listContents(cradle, nowMs),
        },
        ...selectDependencies(cradle, BASE_DEPENDENCIES),
        settings: placement,
      }),
    ).singleton(),
    placement: asFunction(createPlacementRole).singleton(),
  });
}
