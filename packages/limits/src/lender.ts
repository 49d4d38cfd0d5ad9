/** Token pools on this process's share units, and loans to coordinators. */
import type {ClientAccount} from '@siskinplank/resources';
import type {ShareHolder} from './share-holder';
import {createTokenPool} from './token-pool';
import type {PoolLimits, TokenPool} from './token-pool';

/** Reply of a lender to one lend request. */
export interface LendResult {
  /** Units lent; 0 is a refusal. */
  units: number;
  unitCount: number;
  /** Tokens lent with the units, by account. */
  lentTokens: Record<string, number>;
  /** In a refusal, the time until a loan to another borrower ends, or 0. */
  durationMs: number;
}

/** Dependencies of a lender. */
export interface LenderOptions {
  bucketCount: number;
  holder: Pick<
    ShareHolder,
    'getUnits' | 'getUnitCount' | 'getLeaseEndMs' | 'getLoanMs'
  >;
  getAccount: (name: string) => ClientAccount | undefined;
  getBucket: (account: string) => number;
  listAccounts: () => readonly ClientAccount[];
}

/** Token pools on the units of this process that are not lent. */
export interface Lender {
  /** Accrues the account's pool up to `nowMs` and returns it. */
  refreshPool(account: string, nowMs: number): TokenPool | undefined;
  /**
   * Lends the bucket's units to one borrower at a time. `appliedRequestId` is
   * the loan that the borrower now uses; it uses no earlier one any more.
   */
  lendUnits(
    bucket: number,
    borrower: string,
    requestId: string,
    durationMs: number,
    nowMs: number,
    appliedRequestId?: string,
  ): LendResult;
  /** Ends the loan if `requestId` is the latest request that extended it. */
  returnUnits(
    bucket: number,
    borrower: string,
    requestId: string,
    tokens: Readonly<Record<string, number>>,
    nowMs: number,
  ): void;
  /** Whether no borrower may still use more than `units` units. */
  canReduceTo(units: number, nowMs: number): boolean;
  /** Accrues all pools up to `nowMs`, before units or after accounts change. */
  refreshAll(nowMs: number): void;
  /**
   * Applies a changed unit count. With `isFull`, all pools start full, because
   * the units were never used before.
   */
  applyUnits(nowMs: number, isFull: boolean): void;
}

/** Units that the borrower may use until `endMs`. */
interface LoanTerm {
  requestId: string;
  units: number;
  endMs: number;
}

interface OutgoingLoan {
  /** Name and incarnation of the coordinator that borrowed the units. */
  borrower: string;
  /**
   * The latest term comes last. Earlier terms with more units are kept until
   * they end or the borrower confirms a later one, because the reply with fewer
   * units may be lost.
   */
  terms: LoanTerm[];
}

const countLentUnits = (loan: OutgoingLoan | undefined): number =>
  Math.max(0, ...(loan?.terms ?? []).map(term => term.units));

interface LenderBucket {
  loan: OutgoingLoan | undefined;
  /**
   * Pools added later accrue from an empty level at this time, because another
   * process may have spent the account's tokens on the units before.
   */
  emptyAtMs: number;
  /** A removed account keeps an empty pool, in case it is added again. */
  pools: Map<string, TokenPool>;
}

/** Limits of an account on `units` of `unitCount` share units. */
export function computePoolLimits(
  account: ClientAccount | undefined,
  units: number,
  unitCount: number,
): PoolLimits {
  if (account === undefined) return {capTokens: 0, tokensPerMs: 0};
  const share = units / unitCount;
  return {
    capTokens: account.burstTokens * share,
    tokensPerMs: (account.rateTokensPerSecond * share) / 1_000,
  };
}

/** Creates the lender of one process. */
export function createLender(options: LenderOptions): Lender {
  const {holder, getAccount} = options;
  const buckets: LenderBucket[] = Array.from(
    {length: options.bucketCount},
    () => ({loan: undefined, emptyAtMs: -Infinity, pools: new Map()}),
  );

  let appliedUnits = 0;

  const getFreeUnits = (bucket: LenderBucket, nowMs: number): number =>
    Math.max(0, holder.getUnits(nowMs) - countLentUnits(bucket.loan));

  const updateLimits = (bucket: LenderBucket, nowMs: number): void => {
    const units = getFreeUnits(bucket, nowMs);
    const unitCount = holder.getUnitCount();
    for (const [name, pool] of bucket.pools) {
      pool.setLimits(computePoolLimits(getAccount(name), units, unitCount));
    }
  };

  const accrueBucket = (bucket: LenderBucket, nowMs: number): void => {
    for (const pool of bucket.pools.values()) pool.accrue(nowMs);
  };

  /** Ends expired terms, each at its end time, and accrues up to `nowMs`. */
  const refreshBucket = (bucket: LenderBucket, nowMs: number): void => {
    while (bucket.loan !== undefined) {
      const {loan} = bucket;
      const endMs = Math.min(...loan.terms.map(term => term.endMs));
      if (nowMs < endMs) break;
      accrueBucket(bucket, endMs);
      loan.terms = loan.terms.filter(term => term.endMs > endMs);
      if (loan.terms.length === 0) bucket.loan = undefined;
      bucket.emptyAtMs = Math.max(bucket.emptyAtMs, endMs);
      updateLimits(bucket, endMs);
    }
    accrueBucket(bucket, nowMs);
    updateLimits(bucket, nowMs);
    if (holder.getUnits(nowMs) === 0) bucket.emptyAtMs = nowMs;
  };

  const addPool = (
    bucket: LenderBucket,
    account: ClientAccount,
    nowMs: number,
  ): TokenPool => {
    const limits = computePoolLimits(
      account,
      getFreeUnits(bucket, nowMs),
      holder.getUnitCount(),
    );
    // Without units the rate is 0 and the elapsed time may be infinite.
    const level =
      limits.tokensPerMs > 0
        ? limits.tokensPerMs * (nowMs - bucket.emptyAtMs)
        : 0;
    const pool = createTokenPool(limits, level, nowMs);
    bucket.pools.set(account.name, pool);
    return pool;
  };

  return {
    refreshPool: (name, nowMs) => {
      const bucket = buckets[options.getBucket(name)];
      refreshBucket(bucket, nowMs);
      const known = bucket.pools.get(name);
      if (known !== undefined) return known;
      const account = getAccount(name);
      if (account === undefined) return undefined;
      return addPool(bucket, account, nowMs);
    },
    lendUnits: (
      index,
      borrower,
      requestId,
      durationMs,
      nowMs,
      appliedRequestId,
    ) => {
      const bucket = buckets[index];
      const unitCount = holder.getUnitCount();
      const refusal = {units: 0, unitCount, lentTokens: {}, durationMs: 0};
      if (bucket === undefined) return refusal;
      refreshBucket(bucket, nowMs);
      const units = holder.getUnits(nowMs);
      const {loan} = bucket;
      if (loan !== undefined && loan.borrower !== borrower) {
        const endMs = Math.max(...loan.terms.map(term => term.endMs));
        return {...refusal, durationMs: Math.max(0, endMs - nowMs)};
      }
      if (units === 0) return refusal;
      const lentMs = Math.min(
        durationMs,
        holder.getLoanMs(),
        holder.getLeaseEndMs() - nowMs,
      );
      for (const account of options.listAccounts()) {
        if (options.getBucket(account.name) !== index) continue;
        if (!bucket.pools.has(account.name)) addPool(bucket, account, nowMs);
      }
      const lentTokens: Record<string, number> = {};
      for (const [name, pool] of bucket.pools) {
        const tokens = pool.withdrawAll();
        if (tokens > 0) lentTokens[name] = tokens;
      }
      const applied = loan?.terms.findIndex(
        term => term.requestId === appliedRequestId,
      );
      const activeTerms = (loan?.terms ?? []).slice(Math.max(0, applied ?? 0));
      const endMs = Math.max(
        nowMs + lentMs,
        ...activeTerms.map(item => item.endMs),
      );
      const earlier = activeTerms.filter(item => item.units > units);
      const latest = {requestId, units, endMs};
      bucket.loan = {borrower, terms: [...earlier, latest]};
      bucket.emptyAtMs = nowMs;
      updateLimits(bucket, nowMs);
      return {units, unitCount, lentTokens, durationMs: lentMs};
    },
    returnUnits: (index, borrower, requestId, tokens, nowMs) => {
      const bucket = buckets[index];
      if (bucket === undefined) return;
      refreshBucket(bucket, nowMs);
      const {loan} = bucket;
      const latest = loan?.terms[loan.terms.length - 1];
      if (loan?.borrower !== borrower || latest?.requestId !== requestId) {
        return;
      }
      bucket.loan = undefined;
      bucket.emptyAtMs = nowMs;
      updateLimits(bucket, nowMs);
      for (const [name, amount] of Object.entries(tokens)) {
        bucket.pools.get(name)?.deposit(amount);
      }
    },
    canReduceTo: (units, nowMs) =>
      buckets.every(({loan}) =>
        (loan?.terms ?? []).every(
          term => nowMs >= term.endMs || term.units <= units,
        ),
      ),
    refreshAll: nowMs => {
      for (const bucket of buckets) refreshBucket(bucket, nowMs);
    },
    applyUnits: (nowMs, isFull) => {
      const units = holder.getUnits(nowMs);
      // A reduction keeps the levels; added units start with empty pools.
      const hasMoreUnits = units > appliedUnits || isFull;
      appliedUnits = units;
      for (const bucket of buckets) {
        if (hasMoreUnits) bucket.emptyAtMs = isFull ? -Infinity : nowMs;
        updateLimits(bucket, nowMs);
        if (!isFull) continue;
        for (const pool of bucket.pools.values()) pool.deposit(Infinity);
      }
    },
  };
}
