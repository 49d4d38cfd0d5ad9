/** Runs the sweepers of the shards that this process owns. */
import type {
  Clock,
  Logger,
  Metrics,
  Random,
  Timer,
} from '@siskinplank/foundation';
import type {PlatformStore} from '@siskinplank/platform-client';
import {computePeriods} from './ages';
import {createSweepMetrics} from './metrics';
import {createShardSweeper} from './shard-sweeper';
import {SWEEP_SHARDS} from './shards';

/** Dependencies and settings of a claim sweeper. */
export interface ClaimSweeperOptions {
  store: PlatformStore;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  processName: string;
  incarnation: string;
  /** Least time for which a claim is kept after its last change. */
  retentionMs: number;
  /** Deletions per second of all processes together. */
  deletesPerSecond: number;
  /** Calls to the platform that this process may make per second. */
  callsPerSecond: number;
  /** Whether this process is the one that should sweep a shard. */
  isOwner: (shard: string, nowMs: number) => boolean;
}

/** Deletes the old claims of the shards that this process owns. */
export interface ClaimSweeper {
  start(): void;
  /** Stops after the calls in progress; other processes take over. */
  stop(): Promise<void>;
}

/**
 * Time between two checks of the owner of a shard. The checks rank all entry
 * hosts for each of 16 shards; an outdated owner does no harm.
 */
const OWNER_CHECK_MS = 15_000;
/** Fraction of this process's platform calls that deletions may use. */
const DELETION_CALL_FRACTION = 0.2;

/** Creates the claim sweeper of one process. */
export function createClaimSweeper(options: ClaimSweeperOptions): ClaimSweeper {
  const {clock, random, isOwner} = options;
  const periods = computePeriods(options.retentionMs);
  const metrics = createSweepMetrics(options.metrics);
  const ownerCheckMs = Math.min(OWNER_CHECK_MS, periods.saveMs);
  const owned = new Set<string>();
  const timers = new Map<string, Timer>();
  const steps = new Map<string, Promise<void>>();
  let isRunning = false;

  const getDeleteIntervalMs = (): number => {
    const shardRate = options.deletesPerSecond / SWEEP_SHARDS.length;
    const processRate =
      (options.callsPerSecond * DELETION_CALL_FRACTION) / owned.size;
    return 1_000 / Math.min(shardRate, processRate);
  };

  const startShard = (shard: string): void => {
    const sweeper = createShardSweeper({
      shard,
      store: options.store,
      clock,
      logger: options.logger,
      metrics,
      holder: `${options.processName}/${options.incarnation}`,
      periods,
      getDeleteIntervalMs: getDeleteIntervalMs,
    });
    let nextCheckMs = 0;
    const checkOwner = (nowMs: number): void => {
      if (nowMs < nextCheckMs) return;
      nextCheckMs = nowMs + ownerCheckMs;
      if (isOwner(shard, nowMs)) {
        owned.add(shard);
      } else if (owned.delete(shard)) {
        sweeper.reset();
      }
    };
    const runStep = async (): Promise<number> => {
      checkOwner(clock.getNowMs());
      return owned.has(shard) ? sweeper.step() : ownerCheckMs;
    };
    const schedule = (waitMs: number): void => {
      if (!isRunning) return;
      const jitter = 0.9 + 0.2 * random.getNext();
      const timer = clock.startTimer(
        Math.min(waitMs, ownerCheckMs) * jitter,
        () => void steps.set(shard, runStep().then(schedule)),
      );
      timers.set(shard, timer);
    };
    schedule(random.getNext() * ownerCheckMs);
  };

  return {
    start: () => {
      if (isRunning) return;
      isRunning = true;
      SWEEP_SHARDS.forEach(startShard);
    },
    stop: async () => {
      isRunning = false;
      for (const timer of timers.values()) timer.cancel();
      await Promise.all(steps.values());
    },
  };
}
