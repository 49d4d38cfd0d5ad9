/** Computes and writes placements while this process holds the lease. */
import type {Clock, Logger, Metrics, Timer} from '@siskinplank/foundation';
import type {ConfigurationView} from '@siskinplank/configuration';
import type {LeaseHolder, PlatformStore} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {Placement, StoredObject} from '@siskinplank/resources';
import type {EntrySettings} from '@siskinplank/settings';
import {PLACEMENT_EVENTS} from './events';
import type {DemandEstimate, UpstreamContents} from './types';
import type {PlacementPolicy} from './types';

/** Source of the demand and of the contents of upstreams. */
export interface PlacementDemandSource {
  listEstimates(nowMs: number): readonly DemandEstimate[];
  /** Contents by the last load reports; upstreams without one are absent. */
  listContents?(nowMs: number): readonly UpstreamContents[];
}

/** Dependencies and settings of a placement owner. */
export interface PlacementOwnerOptions {
  store: PlatformStore;
  configuration: ConfigurationView;
  lease: LeaseHolder;
  policy: PlacementPolicy;
  demand: PlacementDemandSource;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  settings: Pick<EntrySettings['placement'], 'periodMs'> & {
    /** Model loads per second that the weight store sustains. */
    loadsPerSecond?: number;
  };
}

/** Runs placement rounds; they do nothing while the lease is not held. */
export interface PlacementOwner {
  start(): void;
  /** Stops the rounds and waits for the one in progress. */
  stop(): Promise<void>;
  /** Runs one round; resolves with the number of placements written. */
  runRound(): Promise<number>;
}

const DEFAULT_LOADS_PER_SECOND = 1;
/** Largest saved budget of model loads, in rounds. */
const SAVED_ROUNDS = 2;

type PlacementObject = StoredObject<ResourceKind.Placement>;

function countNewModels(
  before: Placement | undefined,
  after: Placement,
): number {
  const known = new Set(
    before?.models.map(item => `${item.name}@${item.version}`),
  );
  return after.models.filter(item => !known.has(`${item.name}@${item.version}`))
    .length;
}

/** Creates an owner that is not started. */
export function createPlacementOwner(
  options: PlacementOwnerOptions,
): PlacementOwner {
  const {store, configuration, lease, policy, demand, clock, logger} = options;
  const {settings} = options;
  const loadsPerSecond = settings.loadsPerSecond ?? DEFAULT_LOADS_PER_SECOND;
  const roundBudget = (loadsPerSecond * settings.periodMs) / 1_000;
  const maxBudget = Math.max(1, roundBudget * SAVED_ROUNDS);
  const loadCounter = options.metrics.createCounter(
    'placement_moves_total',
    'Model loads ordered by placement',
  );
  /** Writes of this process that the replica may not contain yet. */
  const written = new Map<string, PlacementObject>();
  let writtenEpoch: number | undefined;
  let budget = roundBudget;
  let budgetAtMs: number | undefined;
  let timer: Timer | undefined;
  let running: Promise<number> | undefined;

  const refillBudget = (nowMs: number): void => {
    const elapsedMs = budgetAtMs === undefined ? 0 : nowMs - budgetAtMs;
    budgetAtMs = nowMs;
    budget = Math.min(maxBudget, budget + (elapsedMs * loadsPerSecond) / 1_000);
  };

  /** Current placements by upstream: the newer of replica and last write. */
  const collectCurrent = (): Map<string, PlacementObject> => {
    const current = new Map<string, PlacementObject>();
    for (const object of configuration.listObjects(ResourceKind.Placement)) {
      current.set(object.name, object);
    }
    for (const [name, object] of written) {
      const known = current.get(name);
      if (known === undefined || known.version < object.version) {
        current.set(name, object);
      } else {
        written.delete(name);
      }
    }
    return current;
  };

  const listValues = <
    K extends ResourceKind.Model | ResourceKind.Adapter | ResourceKind.Upstream,
  >(
    kind: K,
  ): Array<StoredObject<K>['value']> =>
    configuration.listObjects(kind).map(object => object.value);

  /** Writes one placement; false ends the round. */
  const writePlacement = async (
    placement: Placement,
    known: PlacementObject | undefined,
    epoch: number,
  ): Promise<boolean> => {
    if (lease.getEpoch(clock.getNowMs()) !== epoch) {
      logger.log(PLACEMENT_EVENTS.leaseLost, {epoch});
      return false;
    }
    const result = await store.putObject(
      ResourceKind.Placement,
      placement.name,
      {...placement, epoch},
      known?.version ?? 'absent',
    );
    result.ifLeft(error => {
      written.delete(placement.name);
      logger.log(PLACEMENT_EVENTS.writeFailed, {
        upstream: placement.name,
        code: error.code,
      });
    });
    result.ifRight(object => {
      const loads = countNewModels(known?.value, placement);
      budget -= loads;
      loadCounter.inc(loads);
      written.set(placement.name, object);
      logger.log(PLACEMENT_EVENTS.placementWritten, {
        upstream: placement.name,
        epoch,
        models: placement.models.length,
        adapters: placement.adapters.length,
      });
    });
    return result.isRight();
  };

  const executeRound = async (): Promise<number> => {
    const nowMs = clock.getNowMs();
    refillBudget(nowMs);
    const epoch = lease.getEpoch(nowMs);
    if (epoch !== writtenEpoch) {
      written.clear();
      writtenEpoch = epoch;
    }
    if (epoch === undefined || configuration.getRevision() === 0) return 0;
    const current = collectCurrent();
    const values = [...current.values()].map(object => object.value);
    if (values.some(value => value.epoch > epoch)) {
      logger.log(PLACEMENT_EVENTS.superseded, {epoch});
      return 0;
    }
    const changed = policy.computePlacements(
      {
        upstreams: listValues(ResourceKind.Upstream),
        models: listValues(ResourceKind.Model),
        adapters: listValues(ResourceKind.Adapter),
        current: values,
        demand: demand.listEstimates(nowMs),
        contents: demand.listContents?.(nowMs),
        modelLoadBudget: Math.floor(budget),
      },
      nowMs,
    );
    let count = 0;
    for (const placement of changed) {
      const known = current.get(placement.name);
      if (!(await writePlacement(placement, known, epoch))) break;
      count += 1;
    }
    return count;
  };

  const runRound = (): Promise<number> => {
    running ??= executeRound().finally(() => {
      running = undefined;
    });
    return running;
  };

  return {
    start: () => {
      timer ??= clock.startInterval(settings.periodMs, () => void runRound());
    },
    stop: async () => {
      timer?.cancel();
      timer = undefined;
      await running;
    },
    runRound,
  };
}
