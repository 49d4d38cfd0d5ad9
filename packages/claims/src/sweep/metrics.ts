/** Metrics of the deletion of old claims. */
import type {Metrics} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';

/** Metrics of the sweepers of a process. */
export interface SweepMetrics {
  /** Counts a deletion by its outcome; `error` is absent on success. */
  countDeletion(error: PlatformErrorCode | undefined): void;
  /** Records the claims listed in a complete pass and its duration. */
  recordPass(shard: string, claims: number, durationMs: number): void;
  /** Removes the values of a shard that another process sweeps. */
  clearShard(shard: string): void;
}

/** Registers the metrics; called once per process. */
export function createSweepMetrics(metrics: Metrics): SweepMetrics {
  const deletions = metrics.createCounter(
    'claim_deletions_total',
    'Deletions of old idempotency claims by outcome',
    ['outcome'],
  );
  const stored = metrics.createGauge(
    'claims_stored',
    'Idempotency claims seen in the last whole pass over a shard',
    ['shard'],
  );
  const seconds = metrics.createGauge(
    'claim_pass_seconds',
    'Length of the last whole pass over a shard of the idempotency claims',
    ['shard'],
  );
  return {
    countDeletion: error => {
      const isChanged = error === PlatformErrorCode.Conflict;
      const failed = isChanged ? 'changed' : 'failed';
      deletions.inc({outcome: error === undefined ? 'deleted' : failed});
    },
    recordPass: (shard, claims, durationMs) => {
      stored.set({shard}, claims);
      seconds.set({shard}, durationMs / 1_000);
    },
    clearShard: shard => {
      stored.remove({shard});
      seconds.remove({shard});
    },
  };
}
