/** Holds this process's share units in the platform's share table. */
import type {Clock, Logger, Random, Timer} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  PlatformError,
  PlatformStore,
} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {ShareTable, StoredObject} from '@siskinplank/resources';
import {
  JOIN_DELAY_MS,
  MAX_TABLE_RETRY_MS,
  MIN_TABLE_RETRY_MS,
  REBALANCE_DELAY_MS,
  RENEWALS_PER_LEASE,
  RETRIES_PER_LEASE,
  SHARE_TABLE_NAME,
  SHARE_TICK_MS,
} from './constants';
import {LIMIT_EVENTS} from './events';
import {countLoanPeriods} from './loan-times';
import {
  computeTargetUnits,
  countFreeUnits,
  listHostsBelowTarget,
  observeTable,
  planShareRelease,
  planShareUpdate,
} from './share-plan';
import type {ShareObservations} from './share-plan';

/** Parts that a share holder is built from. */
export interface ShareHolderOptions {
  host: string;
  incarnation: string;
  shareUnits: number;
  shareLeaseMs: number;
  /** Longest loan of a small fleet, in milliseconds. */
  loanMs: number;
  /** Hosts for each multiple of `loanMs` that a loan lasts. */
  lendersPerPeriod: number;
  store: PlatformStore;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Entry hosts that take part, this one included. */
  listHosts: (nowMs: number) => readonly string[];
  /** Whether no loan of more than `units` units is out at `nowMs`. */
  canReduceTo: (units: number, nowMs: number) => boolean;
  /** Called just before the units in use change, with the old ones in force. */
  onBeforeChange: (nowMs: number) => void;
  /** Called after a change; `isFull` when the units were never used before. */
  onChange: (nowMs: number, isFull: boolean) => void;
  /** Called when the table has free units that `hosts` may take. */
  notifyUnitsFreed: (hosts: readonly string[]) => void;
}

/** The share units that this process may use. */
export interface ShareHolder {
  start(): Promise<void>;
  /** Stops all use, waits for loans that are out, and releases the units. */
  stop(): Promise<void>;
  /** Reads the table soon, because another holder freed units. */
  handleUnitsFreed(nowMs: number): void;
  /** Units usable at `nowMs`; 0 when the lease has ended. */
  getUnits(nowMs: number): number;
  getUnitCount(): number;
  /** End of the lease on the own clock. */
  getLeaseEndMs(): number;
  /** Longest loan that a successor on this host waits for, in milliseconds. */
  getLoanMs(): number;
}

/** Creates a holder without units. */
export function createShareHolder(options: ShareHolderOptions): ShareHolder {
  const {host, incarnation, store, clock, random, logger} = options;
  /** Units of the last own write that is known to have taken effect. */
  let ownedUnits = 0;
  /** Units in use; below `ownedUnits` while excess units are given up. */
  let retainedUnits = 0;
  let unitCount = options.shareUnits;
  /** Time until which loans of an earlier incarnation may be in use. */
  let usableFromMs = -Infinity;
  let leaseEndMs = -Infinity;
  /** Longest loan in use; never above what the table says of this process. */
  let loanMs = options.loanMs;
  /** The longest that the table may say of this process. */
  let writtenLoanMs = options.loanMs;
  /** When `loanMs` was last reduced. */
  let loanReducedMs = -Infinity;
  let renewAtMs = -Infinity;
  let nextTryMs = -Infinity;
  let retryDelayMs = MIN_TABLE_RETRY_MS;
  /** Renewals have their own backoff, so that balancing never delays them. */
  let nextRenewTryMs = -Infinity;
  let renewDelayMs = MIN_TABLE_RETRY_MS;
  let observations: ShareObservations = new Map();
  let knownHosts: readonly string[] = [];
  /** Time until which units stay where they are. */
  let settledMs = -Infinity;
  let isStopping = false;
  let isLapseLogged = false;
  let isUnitCountLogged = false;
  let timer: Timer | undefined;
  let running: Promise<void> | undefined;

  const setRetained = (units: number, nowMs: number): void => {
    if (units === retainedUnits) return;
    options.onBeforeChange(nowMs);
    retainedUnits = units;
    options.onChange(nowMs, false);
  };

  /**
   * Loan time for the table. A longer one is in use only after it is written,
   * and a shorter one is written only after all longer loans have ended, so
   * that a successor on this host waits long enough.
   */
  const planLoanMs = (nowMs: number) => {
    const hostCount = options.listHosts(nowMs).length;
    const wantedMs =
      options.loanMs * countLoanPeriods(hostCount, options.lendersPerPeriod);
    if (wantedMs < loanMs) {
      loanMs = wantedMs;
      loanReducedMs = nowMs;
    }
    const mustKeep =
      wantedMs < writtenLoanMs && nowMs - loanReducedMs < writtenLoanMs;
    return {wantedMs, entryMs: mustKeep ? writtenLoanMs : wantedMs};
  };

  /** Keeps units out of use that an earlier incarnation may have lent. */
  const restAfterSuccession = (restMs: number): void => {
    const nowMs = clock.getNowMs();
    usableFromMs = Math.max(usableFromMs, nowMs + restMs);
    loanReducedMs = nowMs;
  };

  const applyWritten = (
    table: ShareTable,
    units: number,
    sentMs: number,
    isFull: boolean,
  ): void => {
    const nowMs = clock.getNowMs();
    options.onBeforeChange(nowMs);
    if (units !== ownedUnits) {
      logger.log(LIMIT_EVENTS.unitsChanged, {units, previous: ownedUnits});
      retryDelayMs = MIN_TABLE_RETRY_MS;
    }
    const isGrown = units > retainedUnits;
    ownedUnits = units;
    retainedUnits = isStopping || nowMs < usableFromMs ? 0 : units;
    unitCount = table.unitCount;
    leaseEndMs = sentMs + table.leaseMs;
    renewAtMs = sentMs + table.leaseMs / RENEWALS_PER_LEASE;
    renewDelayMs = MIN_TABLE_RETRY_MS;
    isLapseLogged = false;
    options.onChange(nowMs, isFull && isGrown);
  };

  const scheduleRetry = (nowMs: number): void => {
    nextTryMs = nowMs + retryDelayMs * (0.5 + random.getNext());
    retryDelayMs = Math.min(MAX_TABLE_RETRY_MS, retryDelayMs * 2);
    nextRenewTryMs = nowMs + renewDelayMs * (0.5 + random.getNext());
    renewDelayMs = Math.min(
      MAX_TABLE_RETRY_MS,
      options.shareLeaseMs / RETRIES_PER_LEASE,
      renewDelayMs * 2,
    );
  };

  const logFailure = (error: PlatformError): void => {
    if (error.code === PlatformErrorCode.Conflict) return;
    logger.log(LIMIT_EVENTS.tableWriteFailed, {code: error.code});
  };

  const makeEmptyTable = (): ShareTable => ({
    name: SHARE_TABLE_NAME,
    leaseMs: options.shareLeaseMs,
    holders: [],
    unitCount: options.shareUnits,
  });

  const readTable = async (): Promise<
    StoredObject<ResourceKind.ShareTable> | 'absent' | undefined
  > => {
    const read = await store.getObject(
      ResourceKind.ShareTable,
      SHARE_TABLE_NAME,
    );
    if (read.isRight()) return read.extract() ?? 'absent';
    read.ifLeft(logFailure);
    return undefined;
  };

  const computeTarget = (nowMs: number): number =>
    computeTargetUnits(unitCount, options.listHosts(nowMs), host);

  /**
   * Tells the hosts that wait for units of freed ones. Without it they find
   * them by reading the table at growing intervals, seconds later.
   */
  const announceFreed = (before: ShareTable, after: ShareTable): void => {
    if (countFreeUnits(after) <= countFreeUnits(before)) return;
    const hosts = options.listHosts(clock.getNowMs());
    options.notifyUnitsFreed(
      listHostsBelowTarget(
        after,
        isStopping ? hosts.filter(name => name !== host) : hosts,
        host,
      ),
    );
  };

  /** Renews, takes free units and writes down the units given up. */
  const updateTable = async (): Promise<void> => {
    const found = await readTable();
    if (found === undefined || isStopping) {
      scheduleRetry(clock.getNowMs());
      return;
    }
    const isNew = found === 'absent';
    const table = isNew ? makeEmptyTable() : found.value;
    const expected: ExpectedVersion = isNew ? 'absent' : found.version;
    if (table.unitCount !== options.shareUnits && !isUnitCountLogged) {
      isUnitCountLogged = true;
      logger.log(LIMIT_EVENTS.unitCountDiffers, {units: table.unitCount});
    }
    const sentMs = clock.getNowMs();
    unitCount = table.unitCount;
    observations = observeTable(observations, table, sentMs);
    const target = computeTarget(sentMs);
    // Units may go only after they are out of use and out of every loan.
    const canReduce =
      retainedUnits <= target && options.canReduceTo(target, sentMs);
    const keepUnits = target >= ownedUnits || canReduce ? target : ownedUnits;
    // A reduction may take effect although its reply is lost, so the units
    // count as given up from here on.
    const previousUnits = ownedUnits;
    if (keepUnits < ownedUnits) ownedUnits = keepUnits;
    const loanTimes = planLoanMs(sentMs);
    const plan = planShareUpdate({
      table,
      host,
      incarnation,
      maxUnits: keepUnits,
      observations,
      loanMs: loanTimes.entryMs,
      defaultLoanMs: options.loanMs,
      nowMs: sentMs,
    });
    if (plan.units.length === previousUnits && sentMs < renewAtMs) {
      scheduleRetry(sentMs);
      return;
    }
    // The write may take effect although its reply is lost; the next plan then
    // finds no earlier incarnation.
    if (plan.isTakeover) restAfterSuccession(plan.loanMs);
    writtenLoanMs = Math.max(writtenLoanMs, plan.loanMs);
    const written = await store.putObject(
      ResourceKind.ShareTable,
      SHARE_TABLE_NAME,
      plan.table,
      expected,
    );
    written.ifLeft(error => {
      logFailure(error);
      scheduleRetry(clock.getNowMs());
    });
    if (written.isLeft()) return;
    for (const reclaimed of plan.reclaimedHosts) {
      logger.log(LIMIT_EVENTS.holderReclaimed, {host: reclaimed});
    }
    // The earlier incarnation is gone, but what it lent is still being spent.
    if (plan.isTakeover) restAfterSuccession(plan.loanMs);
    writtenLoanMs = plan.loanMs;
    loanMs = loanTimes.wantedMs;
    applyWritten(plan.table, plan.units.length, sentMs, isNew);
    announceFreed(table, plan.table);
    scheduleRetry(clock.getNowMs());
  };

  const noteHosts = (nowMs: number): void => {
    const hosts = options.listHosts(nowMs);
    const current = new Set(hosts);
    const hasLost = knownHosts.some(name => !current.has(name));
    if (!hasLost && hosts.length === knownHosts.length) return;
    knownHosts = hosts;
    const delayMs = hasLost ? REBALANCE_DELAY_MS : JOIN_DELAY_MS;
    settledMs = Math.max(settledMs, nowMs + delayMs);
    retryDelayMs = MIN_TABLE_RETRY_MS;
    nextTryMs = Math.min(nextTryMs, settledMs);
  };

  const noteLapse = (nowMs: number): void => {
    if (ownedUnits === 0 || nowMs < leaseEndMs || isLapseLogged) return;
    isLapseLogged = true;
    logger.log(LIMIT_EVENTS.leaseExpired, {units: ownedUnits});
  };

  /** Takes units back into use that no longer have to be kept out of it. */
  const restoreUnits = (nowMs: number): void => {
    if (isStopping || running !== undefined || nowMs < usableFromMs) return;
    const units = Math.min(ownedUnits, computeTarget(nowMs));
    if (units > retainedUnits) setRetained(units, nowMs);
  };

  /** Whether the table should be read and written now. */
  const isUpdateDue = (nowMs: number): boolean => {
    if (nowMs >= renewAtMs && nowMs >= nextRenewTryMs) return true;
    if (nowMs < nextTryMs) return false;
    if (nowMs < settledMs) return false;
    const target = computeTarget(nowMs);
    if (target > ownedUnits) return true;
    if (target < retainedUnits) setRetained(target, nowMs);
    return retainedUnits < ownedUnits && options.canReduceTo(target, nowMs);
  };

  const tick = (): void => {
    const nowMs = clock.getNowMs();
    noteHosts(nowMs);
    noteLapse(nowMs);
    restoreUnits(nowMs);
    if (isStopping || running !== undefined || !isUpdateDue(nowMs)) return;
    running = updateTable().finally(() => {
      running = undefined;
    });
  };

  const releaseUnits = async (): Promise<void> => {
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const found = await readTable();
      if (found === 'absent') return;
      if (found !== undefined) {
        const table = planShareRelease(found.value, host, incarnation);
        if (table.holders.length === found.value.holders.length) return;
        const written = await store.putObject(
          ResourceKind.ShareTable,
          SHARE_TABLE_NAME,
          table,
          found.version,
        );
        if (written.isRight()) {
          announceFreed(found.value, table);
          return;
        }
      }
      if (!store.isAvailable()) return;
      await clock.waitMs(MIN_TABLE_RETRY_MS * (0.5 + random.getNext()));
    }
  };

  return {
    start: async () => {
      noteHosts(clock.getNowMs());
      settledMs = -Infinity;
      running = updateTable().finally(() => {
        running = undefined;
      });
      timer = clock.startInterval(SHARE_TICK_MS, tick);
      await running;
    },
    stop: async () => {
      isStopping = true;
      setRetained(0, clock.getNowMs());
      timer?.cancel();
      await running;
      while (!options.canReduceTo(0, clock.getNowMs())) {
        await clock.waitMs(MIN_TABLE_RETRY_MS);
      }
      await releaseUnits();
      ownedUnits = 0;
    },
    handleUnitsFreed: nowMs => {
      retryDelayMs = MIN_TABLE_RETRY_MS;
      nextTryMs = nowMs;
    },
    getUnits: nowMs => (nowMs < leaseEndMs ? retainedUnits : 0),
    getUnitCount: () => unitCount,
    getLeaseEndMs: () => leaseEndMs,
    getLoanMs: () => loanMs,
  };
}
