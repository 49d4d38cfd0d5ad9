/**
 * Deletes the old claims of one shard. No lease is needed: ages are written by
 * conditional updates and never overestimated by any writer, and a claim is
 * deleted only at the version at which it was found to be old. Two sweepers at
 * once, or one that resumes after a pause, only make unnecessary calls.
 */
import type {Clock, Logger} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {
  ObjectVersion,
  PlatformError,
  PlatformStore,
} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {ClaimSweep, StoredObject} from '@siskinplank/resources';
import {
  CLAIM_PASS_ENDED,
  CLAIM_SWEEP_POSTPONED,
  CLAIM_SWEEP_REFUSED,
  CLAIM_SWEEP_REPLACED,
  CLAIM_SWEEP_STARTED,
} from '../events';
import {accrueAges, appendMark, findExpiredRevision} from './ages';
import type {AgeMark, SweepPeriods} from './ages';
import type {SweepMetrics} from './metrics';
import {makeSweepName} from './shards';

/** Dependencies and settings of a shard sweeper. */
export interface ShardSweeperOptions {
  shard: string;
  store: PlatformStore;
  clock: Clock;
  logger: Logger;
  metrics: SweepMetrics;
  /** Process name and incarnation. */
  holder: string;
  periods: SweepPeriods;
  /** Time between two deletions of this shard. */
  getDeleteIntervalMs: () => number;
}

/** Sweeper of one shard. */
export interface ShardSweeper {
  /**
   * Makes the next call to the platform if one is due; returns the time to wait
   * before the next step, in milliseconds.
   */
  step(): Promise<number>;
  /** Clears all state, because another process sweeps the shard. */
  reset(): void;
}

/** Names per page; 500 names with versions are about 45 KB. */
const PAGE_LIMIT = 500;

/** A pass over the claims of the shard. */
interface Pass {
  startedMs: number;
  /** Whether it started with the first claim of the shard. */
  isWhole: boolean;
  listed: number;
  deleted: number;
}

/** Creates a sweeper that has not read its ClaimSweep object yet. */
export function createShardSweeper(options: ShardSweeperOptions): ShardSweeper {
  const {shard, store, clock, logger, metrics, periods} = options;
  const name = makeSweepName(shard);
  let seen: StoredObject<ResourceKind.ClaimSweep> | undefined;
  /** Time at which the reply with `seen` arrived, which is after its write. */
  let seenAtMs = 0;
  let isStarted = false;
  let isFailing = false;
  let nextSaveMs = 0;
  let nextPageMs = 0;
  let nextDeleteMs = 0;
  /** Start of the page whose claims are being deleted. */
  let cursor = '';
  let queue: ObjectVersion[] = [];
  /** Start of the next page; undefined after the last one. */
  let nextCursor: string | undefined = '';
  let pass: Pass | undefined;

  const reset = (): void => {
    seen = undefined;
    isStarted = false;
    queue = [];
    cursor = '';
    nextCursor = '';
    pass = undefined;
    nextPageMs = 0;
    metrics.clearShard(shard);
  };

  const handleFailure = (error: PlatformError): number => {
    const isRefused = error.code === PlatformErrorCode.Invalid;
    const event = isRefused ? CLAIM_SWEEP_REFUSED : CLAIM_SWEEP_POSTPONED;
    if (!isFailing) logger.log(event, {shard, reason: error.message});
    isFailing = true;
    return periods.pageMs;
  };

  const setSeen = (
    found: StoredObject<ResourceKind.ClaimSweep>,
    nowMs: number,
  ): void => {
    seen = found;
    seenAtMs = nowMs;
    nextSaveMs = nowMs + periods.saveMs;
    isFailing = false;
    if (isStarted) return;
    isStarted = true;
    nextCursor = found.value.cursor;
    logger.log(CLAIM_SWEEP_STARTED, {shard, marks: found.value.marks.length});
  };

  /** Returns the stored marks with their ages at `nowMs`. */
  const getMarks = (nowMs: number): AgeMark[] =>
    accrueAges(seen?.value.marks ?? [], nowMs - seenAtMs, periods);

  const createObject = async (): Promise<number> => {
    const value = {name, holder: options.holder, cursor: '', marks: []};
    const result = await store.putObject(
      ResourceKind.ClaimSweep,
      name,
      value,
      'absent',
    );
    // After a conflict or an unknown outcome, the next step reads the object.
    if (result.isLeft()) return handleFailure(result.extract());
    setSeen(result.unsafeCoerce(), clock.getNowMs());
    return 0;
  };

  const readObject = async (): Promise<number> => {
    const result = await store.getObject(ResourceKind.ClaimSweep, name);
    if (result.isLeft())
      return handleFailure(result.extract() as PlatformError);
    const found = result.unsafeCoerce();
    if (found === undefined) return createObject();
    setSeen(found, clock.getNowMs());
    return 0;
  };

  const saveObject = async (
    current: StoredObject<ResourceKind.ClaimSweep>,
  ): Promise<number> => {
    const nowMs = clock.getNowMs();
    // Revisions up to the object's version are at least as old as its reply.
    const [versionMark] = accrueAges(
      [{revision: current.version, ageMs: 0}],
      nowMs - seenAtMs,
      periods,
    );
    const value: ClaimSweep = {
      name,
      holder: options.holder,
      cursor,
      marks: appendMark(
        getMarks(nowMs),
        versionMark.revision,
        versionMark.ageMs,
        periods,
      ),
    };
    const result = await store.putObject(
      ResourceKind.ClaimSweep,
      name,
      value,
      current.version,
    );
    if (result.isRight()) {
      setSeen(result.unsafeCoerce(), clock.getNowMs());
      return 0;
    }
    const error = result.extract() as PlatformError;
    seen = undefined;
    if (error.code !== PlatformErrorCode.Conflict) return handleFailure(error);
    logger.log(CLAIM_SWEEP_REPLACED, {shard});
    return 0;
  };

  const deleteClaim = async (item: ObjectVersion): Promise<number> => {
    const result = await store.deleteObject(
      ResourceKind.Claim,
      item.name,
      item.version,
    );
    const error = result.isLeft()
      ? (result.extract() as PlatformError)
      : undefined;
    metrics.countDeletion(error?.code);
    if (error !== undefined && error.code !== PlatformErrorCode.Conflict) {
      // Not retried at once: the claim may be deleted, and the next pass lists
      // it if it is not.
      return handleFailure(error);
    }
    isFailing = false;
    if (error === undefined && pass !== undefined) pass.deleted += 1;
    return 0;
  };

  const endPass = (ended: Pass, nowMs: number): void => {
    const durationMs = nowMs - ended.startedMs;
    if (ended.isWhole) metrics.recordPass(shard, ended.listed, durationMs);
    logger.log(CLAIM_PASS_ENDED, {
      shard,
      claims: ended.listed,
      deleted: ended.deleted,
      durationMs: Math.round(durationMs),
    });
    pass = undefined;
    cursor = '';
    nextCursor = '';
    nextPageMs = Math.max(nextPageMs, ended.startedMs + periods.passMs);
  };

  const listPage = async (
    current: StoredObject<ResourceKind.ClaimSweep>,
  ): Promise<number> => {
    const isStart = nextCursor === undefined || nextCursor === '';
    const after = isStart ? shard : (nextCursor ?? shard);
    pass ??= {
      startedMs: clock.getNowMs(),
      isWhole: isStart,
      listed: 0,
      deleted: 0,
    };
    const result = await store.listVersions(
      ResourceKind.Claim,
      after,
      PAGE_LIMIT,
    );
    if (result.isLeft()) {
      const error = result.extract() as PlatformError;
      if (error.code === PlatformErrorCode.Invalid) {
        // A platform without pages replies with all claims, which is rejected;
        // such a large reply is requested only once per pass period.
        nextPageMs = clock.getNowMs() + periods.passMs;
      }
      return handleFailure(error);
    }
    isFailing = false;
    const {revision, items} = result.unsafeCoerce();
    if (revision < current.version) {
      // The platform was restored to an older state, so the marks may contain
      // revisions that it will assign a second time.
      reset();
      return 0;
    }
    const nowMs = clock.getNowMs();
    const shardItems = items.filter(item => item.name.startsWith(shard));
    const marks = getMarks(nowMs);
    const expired = findExpiredRevision(marks, periods.retentionMs);
    queue = shardItems.filter(({version}) => version <= expired);
    pass.listed += shardItems.length;
    cursor = isStart ? '' : after;
    const isLast =
      items.length < PAGE_LIMIT || shardItems.length < items.length;
    nextCursor = isLast ? undefined : items[items.length - 1].name;
    nextPageMs = nowMs + periods.pageMs;
    return 0;
  };

  return {
    reset,
    step: async () => {
      if (seen === undefined) return readObject();
      const nowMs = clock.getNowMs();
      if (nowMs >= nextSaveMs) return saveObject(seen);
      if (queue.length > 0) {
        if (nowMs < nextDeleteMs) {
          return Math.min(nextDeleteMs, nextSaveMs) - nowMs;
        }
        nextDeleteMs = nowMs + options.getDeleteIntervalMs();
        return deleteClaim(queue.splice(0, 1)[0]);
      }
      if (nextCursor === undefined && pass !== undefined) endPass(pass, nowMs);
      if (nowMs >= nextPageMs) return listPage(seen);
      return Math.min(nextPageMs, nextSaveMs) - nowMs;
    },
  };
}
