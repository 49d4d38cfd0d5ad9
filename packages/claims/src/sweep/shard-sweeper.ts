/**
 * Deletes the old claims of one shard. Safety needs no lease: ages are written
 * by conditional update and never over-estimated, whoever writes them, and a
 * claim is deleted only at the version at which it was seen to be old. Two
 * sweepers at once, or one that wakes after a freeze, only make calls in vain.
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

/** What the sweeper of a shard needs. */
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
  /** Makes the next call to the platform; returns the wait before the next. */
  step(): Promise<number>;
  /** Forgets all, because another process sweeps the shard. */
  reset(): void;
}

/** Names in a page; 500 names with versions are about 45 KB. */
const PAGE_LIMIT = 500;

interface Pass {
  startedMs: number;
  /** Whether it began with the first claim of the shard. */
  isWhole: boolean;
  listed: number;
  deleted: number;
}

/** Creates a sweeper that has read nothing yet. */
export function createShardSweeper(options: ShardSweeperOptions): ShardSweeper {
  const {shard, store, clock, logger, metrics, periods} = options;
  const name = makeSweepName(shard);
  let seen: StoredObject<ResourceKind.ClaimSweep> | undefined;
  /** When the reply arrived that showed `seen`, which is after its write. */
  let seenAtMs = 0;
  let isTaken = false;
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
    isTaken = false;
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

  const observe = (
    found: StoredObject<ResourceKind.ClaimSweep>,
    nowMs: number,
  ): void => {
    seen = found;
    seenAtMs = nowMs;
    nextSaveMs = nowMs + periods.saveMs;
    isFailing = false;
    if (isTaken) return;
    isTaken = true;
    nextCursor = found.value.cursor;
    logger.log(CLAIM_SWEEP_STARTED, {shard, marks: found.value.marks.length});
  };

  /** Ages at `nowMs`, counted on from the object as it was seen. */
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
    // A conflict, or an unknown outcome, is settled by the next read.
    if (result.isLeft()) return handleFailure(result.extract());
    observe(result.unsafeCoerce(), clock.getNowMs());
    return 0;
  };

  const readObject = async (): Promise<number> => {
    const result = await store.getObject(ResourceKind.ClaimSweep, name);
    if (result.isLeft())
      return handleFailure(result.extract() as PlatformError);
    const found = result.unsafeCoerce();
    if (found === undefined) return createObject();
    observe(found, clock.getNowMs());
    return 0;
  };

  const saveObject = async (
    current: StoredObject<ResourceKind.ClaimSweep>,
  ): Promise<number> => {
    const nowMs = clock.getNowMs();
    // Everything up to the version of the object was written before its reply.
    const [own] = accrueAges(
      [{revision: current.version, ageMs: 0}],
      nowMs - seenAtMs,
      periods,
    );
    const value: ClaimSweep = {
      name,
      holder: options.holder,
      cursor,
      marks: appendMark(getMarks(nowMs), own.revision, own.ageMs, periods),
    };
    const result = await store.putObject(
      ResourceKind.ClaimSweep,
      name,
      value,
      current.version,
    );
    if (result.isRight()) {
      observe(result.unsafeCoerce(), clock.getNowMs());
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
      // Not sent again at once: the claim may be gone, and the next pass lists
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
        // A platform without pages sends all claims at once.
        nextPageMs = clock.getNowMs() + periods.passMs;
      }
      return handleFailure(error);
    }
    isFailing = false;
    const {revision, items} = result.unsafeCoerce();
    if (revision < current.version) {
      // The platform was restored to an older state; the marks seen here may
      // name revisions that it will reach again.
      reset();
      return 0;
    }
    const nowMs = clock.getNowMs();
    const own = items.filter(item => item.name.startsWith(shard));
    const marks = getMarks(nowMs);
    const expired = findExpiredRevision(marks, periods.retentionMs);
    queue = own.filter(({version}) => version <= expired);
    pass.listed += own.length;
    cursor = isStart ? '' : after;
    const isLast = items.length < PAGE_LIMIT || own.length < items.length;
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
