/** Runs the sweepers of the shards that fall to this process. */
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

/** What the deletion of old claims needs. */
export interface ClaimSweeperOptions {
  store: PlatformStore;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  processName: string;
  incarnation: string;
  /** Time for which a claim is kept after its last change. */
  retentionMs: number;
  /** Deletions a second, summed over all processes. */
  deletesPerSecond: number;
  /** Calls to the platform that this process may make in a second. */
  callsPerSecond: number;
  /** Whether this process is the one that should sweep a shard. */
  isOwner: (shard: string, nowMs: number) => boolean;
}

/** Deletion of old claims as one process takes part in it. */
export interface ClaimSweeper {
  start(): void;
  /** Ends after the call in progress; another process goes on. */
  stop(): Promise<void>;
}

/**
 * Time between two looks at who sweeps a shard. Each look ranks all entry hosts
 * for 16 shards; an owner that is outdated for so long does no harm.
 */
const OWNER_CHECK_MS = 15_000;
/** Part of the process's calls that deletions may take from its requests. */
const CALL_SHARE = 0.2;

/** Creates the sweepers of one process. */
export function createClaimSweeper(options: ClaimSweeperOptions): ClaimSweeper {
  const {clock, random, isOwner} = options;
  const periods = computePeriods(options.retentionMs);
  const metrics = createSweepMetrics(options.metrics);
  const ownerCheckMs = Math.min(OWNER_CHECK_MS, periods.saveMs);
  const owned = new Set<string>();
  const timers = new Map<string, Timer>();
  const steps = new Map<string, Promise<void>>();
  let isRunning = false;

  const getDeleteGapMs = (): number => {
    const shardRate = options.deletesPerSecond / SWEEP_SHARDS.length;
    const ownRate = (options.callsPerSecond * CALL_SHARE) / owned.size;
    return 1_000 / Math.min(shardRate, ownRate);
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
      getDeleteIntervalMs: getDeleteGapMs,
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
