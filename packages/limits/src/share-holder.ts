/** Acquires, renews and releases this process's units in the share table. */
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

/** Dependencies of a share holder. */
export interface ShareHolderOptions {
  host: string;
  incarnation: string;
  shareUnits: number;
  shareLeaseMs: number;
  /** Loan duration with at most `lendersPerPeriod` hosts, in milliseconds. */
  loanMs: number;
  /** Number of hosts that adds another `loanMs` to the loan duration. */
  lendersPerPeriod: number;
  store: PlatformStore;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Entry hosts that share the units, including this one. */
  listHosts: (nowMs: number) => readonly string[];
  /** Whether no loan of more than `units` units is active at `nowMs`. */
  canReduceTo: (units: number, nowMs: number) => boolean;
  /** Called just before the active units change; the old ones still apply. */
  onBeforeChange: (nowMs: number) => void;
  /**
   * Called after a change. With `isFull`, token pools on the added units start
   * full, because the units were never used before.
   */
  onChange: (nowMs: number, isFull: boolean) => void;
  /** Sends `hosts` a message that the table has free units for them. */
  notifyUnitsFreed: (hosts: readonly string[]) => void;
}

/** The share units that this process may use. */
export interface ShareHolder {
  start(): Promise<void>;
  /** Stops using the units, waits for active loans, and releases the units. */
  stop(): Promise<void>;
  /** Reads the table at the next tick, because another holder freed units. */
  handleUnitsFreed(nowMs: number): void;
  /** Units usable at `nowMs`; 0 when the lease has ended. */
  getUnits(nowMs: number): number;
  getUnitCount(): number;
  /** End of the share lease on the local clock. */
  getLeaseEndMs(): number;
  /**
   * Longest loan allowed now, in milliseconds. A later incarnation on this host
   * waits at least this long before it uses the units.
   */
  getLoanMs(): number;
}

/** Creates a holder without units. */
export function createShareHolder(options: ShareHolderOptions): ShareHolder {
  const {host, incarnation, store, clock, random, logger} = options;
  /** Units of this process in its last write known to have taken effect. */
  let ownedUnits = 0;
  /** Units in use; fewer than `ownedUnits` while excess units are released. */
  let activeUnits = 0;
  /** Whether the table may still list units that no longer count as owned. */
  let isReleaseUnconfirmed = false;
  let unitCount = options.shareUnits;
  /** No units are used before this time: earlier loans may still be active. */
  let usableFromMs = -Infinity;
  let leaseEndMs = -Infinity;
  /** Longest loan allowed; at most the loan duration in the table entry. */
  let loanMs = options.loanMs;
  /** Largest loan duration that the table entry may have. */
  let writtenLoanMs = options.loanMs;
  /** When `loanMs` was last reduced. */
  let loanReducedMs = -Infinity;
  let renewalDueMs = -Infinity;
  let nextUpdateMs = -Infinity;
  let retryDelayMs = MIN_TABLE_RETRY_MS;
  /** Renewals have their own backoff, so that rebalancing never delays them. */
  let nextRenewalMs = -Infinity;
  let renewalRetryDelayMs = MIN_TABLE_RETRY_MS;
  let observations: ShareObservations = new Map();
  let knownHosts: readonly string[] = [];
  /** No units move between hosts before this time. */
  let rebalanceFromMs = -Infinity;
  let isStopping = false;
  let isExpiryLogged = false;
  let isUnitCountLogged = false;
  let timer: Timer | undefined;
  let running: Promise<void> | undefined;

  const setActiveUnits = (units: number, nowMs: number): void => {
    if (units === activeUnits) return;
    options.onBeforeChange(nowMs);
    activeUnits = units;
    options.onChange(nowMs, false);
  };

  /**
   * Loan duration to use and to write to the table. A longer one is used only
   * after it is written, and a shorter one is written only after all longer
   * loans have ended, so that a later incarnation on this host waits long
   * enough.
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

  /** Delays the use of units that an earlier incarnation may have lent. */
  const pauseAfterTakeover = (pauseMs: number): void => {
    const nowMs = clock.getNowMs();
    usableFromMs = Math.max(usableFromMs, nowMs + pauseMs);
    loanReducedMs = nowMs;
  };

  const applyWrittenTable = (
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
    const hasMoreUnits = units > activeUnits;
    ownedUnits = units;
    isReleaseUnconfirmed = false;
    activeUnits = isStopping || nowMs < usableFromMs ? 0 : units;
    unitCount = table.unitCount;
    leaseEndMs = sentMs + table.leaseMs;
    renewalDueMs = sentMs + table.leaseMs / RENEWALS_PER_LEASE;
    renewalRetryDelayMs = MIN_TABLE_RETRY_MS;
    isExpiryLogged = false;
    options.onChange(nowMs, isFull && hasMoreUnits);
  };

  const scheduleRetry = (nowMs: number): void => {
    nextUpdateMs = nowMs + retryDelayMs * (0.5 + random.getNext());
    retryDelayMs = Math.min(MAX_TABLE_RETRY_MS, retryDelayMs * 2);
    nextRenewalMs = nowMs + renewalRetryDelayMs * (0.5 + random.getNext());
    renewalRetryDelayMs = Math.min(
      MAX_TABLE_RETRY_MS,
      options.shareLeaseMs / RETRIES_PER_LEASE,
      renewalRetryDelayMs * 2,
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
   * Notifies hosts below their target of freed units. Without the message they
   * find the units seconds later, because they read the table at growing
   * intervals.
   */
  const notifyHostsBelowTarget = (
    before: ShareTable,
    after: ShareTable,
  ): void => {
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

  /** Renews the lease, takes free units and releases excess units. */
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
    // Units are released only when they are neither in use nor lent.
    const canReduce =
      activeUnits <= target && options.canReduceTo(target, sentMs);
    const maxUnits = target >= ownedUnits || canReduce ? target : ownedUnits;
    // The write may take effect although its reply is lost, so the units count
    // as released before it is sent.
    const previousUnits = ownedUnits;
    if (maxUnits < ownedUnits) {
      ownedUnits = maxUnits;
      isReleaseUnconfirmed = true;
    }
    const loanTimes = planLoanMs(sentMs);
    const plan = planShareUpdate({
      table,
      host,
      incarnation,
      maxUnits,
      observations,
      loanMs: loanTimes.entryMs,
      defaultLoanMs: options.loanMs,
      nowMs: sentMs,
    });
    const isListed = plan.units.length === plan.listedUnits;
    if (isListed) isReleaseUnconfirmed = false;
    const isUnchanged = isListed && plan.units.length === previousUnits;
    if (isUnchanged && sentMs < renewalDueMs) {
      scheduleRetry(sentMs);
      return;
    }
    // The write may take effect although its reply is lost. The next plan then
    // finds no earlier incarnation, so the pause starts before the write.
    if (plan.isTakeover) pauseAfterTakeover(plan.loanMs);
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
    // The earlier incarnation has ended, but its loans may still be spent.
    if (plan.isTakeover) pauseAfterTakeover(plan.loanMs);
    writtenLoanMs = plan.loanMs;
    loanMs = loanTimes.wantedMs;
    applyWrittenTable(plan.table, plan.units.length, sentMs, isNew);
    notifyHostsBelowTarget(table, plan.table);
    scheduleRetry(clock.getNowMs());
  };

  const updateKnownHosts = (nowMs: number): void => {
    const hosts = options.listHosts(nowMs);
    const current = new Set(hosts);
    const hasLostHost = knownHosts.some(name => !current.has(name));
    if (!hasLostHost && hosts.length === knownHosts.length) return;
    knownHosts = hosts;
    const delayMs = hasLostHost ? REBALANCE_DELAY_MS : JOIN_DELAY_MS;
    rebalanceFromMs = Math.max(rebalanceFromMs, nowMs + delayMs);
    retryDelayMs = MIN_TABLE_RETRY_MS;
    nextUpdateMs = Math.min(nextUpdateMs, rebalanceFromMs);
  };

  const logExpiredLease = (nowMs: number): void => {
    if (ownedUnits === 0 || nowMs < leaseEndMs || isExpiryLogged) return;
    isExpiryLogged = true;
    logger.log(LIMIT_EVENTS.leaseExpired, {units: ownedUnits});
  };

  /** Uses owned units again when the target or the pause allows it. */
  const restoreUnits = (nowMs: number): void => {
    if (isStopping || running !== undefined || nowMs < usableFromMs) return;
    const units = Math.min(ownedUnits, computeTarget(nowMs));
    if (units > activeUnits) setActiveUnits(units, nowMs);
  };

  /** Whether the table should be read and written now. */
  const isUpdateDue = (nowMs: number): boolean => {
    if (nowMs >= renewalDueMs && nowMs >= nextRenewalMs) return true;
    if (nowMs < nextUpdateMs) return false;
    if (nowMs < rebalanceFromMs) return false;
    const target = computeTarget(nowMs);
    if (target > ownedUnits) return true;
    if (target < activeUnits) setActiveUnits(target, nowMs);
    if (isReleaseUnconfirmed) return true;
    return activeUnits < ownedUnits && options.canReduceTo(target, nowMs);
  };

  const tick = (): void => {
    const nowMs = clock.getNowMs();
    updateKnownHosts(nowMs);
    logExpiredLease(nowMs);
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
          notifyHostsBelowTarget(found.value, table);
          return;
        }
      }
      if (!store.isAvailable()) return;
      await clock.waitMs(MIN_TABLE_RETRY_MS * (0.5 + random.getNext()));
    }
  };

  return {
    start: async () => {
      updateKnownHosts(clock.getNowMs());
      rebalanceFromMs = -Infinity;
      running = updateTable().finally(() => {
        running = undefined;
      });
      timer = clock.startInterval(SHARE_TICK_MS, tick);
      await running;
    },
    stop: async () => {
      isStopping = true;
      setActiveUnits(0, clock.getNowMs());
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
      nextUpdateMs = nowMs;
    },
    getUnits: nowMs => (nowMs < leaseEndMs ? activeUnits : 0),
    getUnitCount: () => unitCount,
    getLeaseEndMs: () => leaseEndMs,
    getLoanMs: () => loanMs,
  };
}
