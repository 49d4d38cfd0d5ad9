/**
 * Holder of one Lease object. At most one process holds the lease because of
 * three rules: the lease of a holder starts before it sends the renewal;
 * another process takes the lease only after it has seen the same version for
 * a whole duration on its own clock, or when the holder was an earlier process
 * on its own host; every write is conditional on the version last read.
 */
import type {Clock, Logger, Random, Timer} from '@siskinplank/foundation';
import {ResourceKind} from '@siskinplank/resources';
import type {Lease, StoredObject} from '@siskinplank/resources';
import {LEASE_ACQUIRED, LEASE_LOST, LEASE_RELEASED} from './events';
import {PlatformErrorCode} from './types';
import type {ExpectedVersion, LeaseHolder, PlatformStore} from './types';

/** Options of `createLeaseHolder`. */
export interface LeaseHolderOptions {
  store: PlatformStore;
  /** Name of the Lease object. */
  name: string;
  /** Process name and incarnation; unique for each start of a process. */
  holderId: string;
  /**
   * Name that identifies this host and the port that this process binds before
   * `start`; `holderId` must begin with it and a slash. Only one process at a
   * time can bind the port, so a lease that an earlier process with this name
   * held is taken over at once. Without it, a lease of another holder must
   * first expire or be released.
   */
  host?: string;
  durationMs: number;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Whether this process should try to take the lease; default true. */
  shouldContend?: () => boolean;
}

/** Renewals or reads in each lease duration. */
const ROUNDS_PER_DURATION = 3;
/**
 * Fraction of the duration that the holder does not use, as a margin for clock
 * drift between hosts (a few hundred ppm).
 */
const DRIFT_MARGIN = 0.01;
/** Delay before a failed round is retried, as a fraction of the duration. */
const RETRY_FRACTION = 0.05;
/**
 * Upper limits of both delays for long leases. A lease that is renewed at least
 * every 10 s has almost its whole duration left when the platform fails.
 */
const MAX_ROUND_MS = 10_000;
const MAX_RETRY_MS = 1_500;

type StoredLease = StoredObject<ResourceKind.Lease>;

/** Creates a holder that makes no calls before `start`. */
export function createLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
  const {store, name, holderId, host, durationMs, clock, random, logger} =
    options;
  const shouldContend = options.shouldContend ?? (() => true);
  /** Last known object; `seenSinceMs` is when its version was first seen. */
  let seen: StoredLease | undefined;
  let seenSinceMs = 0;
  /** Whether `seen` may be outdated after a write of unknown outcome. */
  let mustRead = true;
  let heldEpoch: number | undefined;
  let heldUntilMs = 0;
  let highestEpoch = 0;
  let isStarted = false;
  let timer: Timer | undefined;
  let round: Promise<void> | undefined;
  const waiters = new Set<(epoch: number | undefined) => void>();

  const getEpoch = (nowMs: number): number | undefined =>
    heldEpoch !== undefined && nowMs < heldUntilMs ? heldEpoch : undefined;

  const observe = (found: StoredLease | undefined): void => {
    mustRead = false;
    if (found?.version !== seen?.version) seenSinceMs = clock.getNowMs();
    seen = found;
    highestEpoch = Math.max(highestEpoch, found?.value.epoch ?? 0);
  };

  const dropLease = (): void => {
    if (heldEpoch === undefined) return;
    logger.log(LEASE_LOST, {lease: name, epoch: heldEpoch});
    heldEpoch = undefined;
  };

  const isHeldBySelf = (lease: Lease): boolean => lease.holder === holderId;

  /** Whether the holder was an earlier process on this host, now ended. */
  const isHeldByPredecessor = (lease: Lease): boolean =>
    host !== undefined &&
    !isHeldBySelf(lease) &&
    lease.holder.startsWith(`${host}/`);

  const write = async (value: Lease): Promise<boolean> => {
    const expected: ExpectedVersion = seen?.version ?? 'absent';
    mustRead = true;
    const result = await store.putObject(
      ResourceKind.Lease,
      name,
      value,
      expected,
    );
    if (result.isRight()) {
      observe(result.unsafeCoerce());
      return true;
    }
    result.ifLeft(error => {
      if (error.code !== PlatformErrorCode.Conflict) return;
      const {current} = error;
      if (current === undefined) return;
      observe((current as StoredLease | null) ?? undefined);
    });
    return false;
  };

  /** Writes this process as holder; the lease starts before the request. */
  const claim = async (epoch: number): Promise<boolean> => {
    const sentMs = clock.getNowMs();
    const renewal = (seen?.value.renewal ?? 0) + 1;
    const value = {name, holder: holderId, epoch, durationMs, renewal};
    if (!(await write(value))) return false;
    if (!isStarted) return true;
    if (heldEpoch !== epoch) logger.log(LEASE_ACQUIRED, {lease: name, epoch});
    heldEpoch = epoch;
    heldUntilMs = sentMs + durationMs * (1 - DRIFT_MARGIN);
    if (getEpoch(clock.getNowMs()) === undefined) return true;
    for (const resolve of [...waiters]) resolve(epoch);
    return true;
  };

  const canTake = (nowMs: number): boolean => {
    if (seen === undefined || seen.value.holder === '') return true;
    if (isHeldByPredecessor(seen.value)) return true;
    const waitMs = Math.max(durationMs, seen.value.durationMs);
    return nowMs - seenSinceMs >= waitMs * (1 + DRIFT_MARGIN);
  };

  const read = async (): Promise<boolean> => {
    const result = await store.getObject(ResourceKind.Lease, name);
    if (result.isLeft()) return false;
    observe(result.unsafeCoerce());
    return true;
  };

  /** Renews, acquires or reads the lease; false when it should be retried. */
  const runRound = async (): Promise<boolean> => {
    const isHolding = heldEpoch !== undefined;
    if (!isHolding && !shouldContend()) return true;
    if ((mustRead || !isHolding) && !(await read())) return false;
    if (seen !== undefined && isHeldBySelf(seen.value)) {
      // Also the case after an acquisition whose reply was lost.
      return claim(seen.value.epoch);
    }
    dropLease();
    if (!isStarted || !shouldContend() || !canTake(clock.getNowMs())) {
      return true;
    }
    return claim(highestEpoch + 1);
  };

  const schedule = (didSucceed: boolean): void => {
    if (!isStarted) return;
    const delayMs = didSucceed
      ? Math.min(MAX_ROUND_MS, durationMs / ROUNDS_PER_DURATION)
      : Math.min(MAX_RETRY_MS, durationMs * RETRY_FRACTION);
    const jitter = 0.8 + 0.2 * random.getNext();
    timer = clock.startTimer(delayMs * jitter, startRound);
  };

  const startRound = (): void => {
    round = runRound().then(schedule);
  };

  return {
    start: () => {
      if (isStarted) return;
      isStarted = true;
      startRound();
    },
    getEpoch,
    waitForEpoch: timeoutMs => {
      const epoch = getEpoch(clock.getNowMs());
      if (epoch !== undefined) return Promise.resolve(epoch);
      return new Promise(resolve => {
        const finish = (found: number | undefined): void => {
          waitTimer.cancel();
          waiters.delete(finish);
          resolve(found);
        };
        const waitTimer = clock.startTimer(timeoutMs, () => finish(undefined));
        waiters.add(finish);
      });
    },
    stop: async () => {
      isStarted = false;
      timer?.cancel();
      heldEpoch = undefined;
      for (const finish of [...waiters]) finish(undefined);
      await round;
      if (seen === undefined || !isHeldBySelf(seen.value)) return;
      if (mustRead && !(await read())) return;
      if (!isHeldBySelf(seen.value)) return;
      const renewal = seen.value.renewal + 1;
      if (await write({...seen.value, holder: '', renewal})) {
        logger.log(LEASE_RELEASED, {lease: name, epoch: seen.value.epoch});
      }
    },
  };
}
