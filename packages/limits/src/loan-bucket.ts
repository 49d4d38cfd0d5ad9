/** Loans that the coordinator of one bucket holds, and grants it issued. */
import type {ClientAccount} from '@siskinplank/resources';
import {REFUND_RETENTION_MS} from './constants';
import type {GrantReport} from './held-grants';
import {computePoolLimits} from './lender';
import {createTokenPool} from './token-pool';
import type {TokenPool} from './token-pool';

/** Units borrowed from one lender. */
export interface BorrowedLoan {
  units: number;
  unitCount: number;
  /** End of the loan, counted from sending the request. */
  endMs: number;
  /** Send time of the latest request with a reply. */
  renewedMs: number;
  /** Time after `renewedMs` at which the loan no longer counts as capacity. */
  dropAfterMs: number;
}

interface IssuedGrant {
  account: string;
  /** Tokens that the grantee may still spend. */
  remaining: number;
  spent: number;
  refunded: number;
  /** Pool mark at which tokens were first counted as spent. */
  spentMark: number | undefined;
  endMs: number;
}

/** Borrowed units, pools and grants of one bucket. */
export interface LoanBucket {
  /** Ends expired loans and grants and accrues up to `nowMs`. */
  refresh(nowMs: number): void;
  applyLoan(
    lender: string,
    loan: BorrowedLoan,
    lentTokens: Readonly<Record<string, number>>,
    nowMs: number,
  ): void;
  getPool(account: string, nowMs: number): TokenPool | undefined;
  /** Earliest end of all loans. */
  getFirstEndMs(): number;
  /** Issues a grant from the pool's level until the earliest loan end. */
  issueGrant(
    requestId: string,
    grantee: string,
    account: string,
    tokens: number,
    nowMs: number,
  ): void;
  applyReport(grantee: string, report: GrantReport, nowMs: number): void;
  /** Whether no granted tokens may still be spent. */
  isSettled(): boolean;
  /** Whether no account has more tokens granted than the loans allow. */
  isWithinLoans(): boolean;
  hasLoans(): boolean;
  /** Ends all loans; returns by lender its part of the accounts' levels. */
  releaseLoans(nowMs: number): Map<string, Record<string, number>>;
}

/** Dependencies of a loan bucket. */
export interface LoanBucketOptions {
  getAccount: (name: string) => ClientAccount | undefined;
  onLoanDropped: (lender: string) => void;
}

const getDropMs = (loan: BorrowedLoan): number =>
  Math.min(loan.endMs, loan.renewedMs + loan.dropAfterMs);

/** Creates a bucket without loans. */
export function createLoanBucket(options: LoanBucketOptions): LoanBucket {
  const loans = new Map<string, BorrowedLoan>();
  const pools = new Map<string, TokenPool>();
  /** Keyed by grantee and request id; ids are unique per grantee only. */
  const grants = new Map<string, IssuedGrant>();
  /** Pools added later accrue from an empty level at this time. */
  let emptyAtMs = -Infinity;
  /** No loan or grant expires before this time. */
  let nextExpiryMs = Infinity;

  const getShare = (): number => {
    let share = 0;
    for (const loan of loans.values()) share += loan.units / loan.unitCount;
    return Math.min(1, share);
  };
  const updateLimits = (): void => {
    const share = getShare();
    for (const [name, pool] of pools) {
      pool.setLimits(computePoolLimits(options.getAccount(name), share, 1));
    }
  };
  const accrueAll = (nowMs: number): void => {
    for (const pool of pools.values()) pool.accrue(nowMs);
  };
  const markSpent = (grant: IssuedGrant, tokens: number): void => {
    const mark = pools.get(grant.account)?.settleSpent(tokens);
    grant.remaining -= tokens;
    grant.spent += tokens;
    grant.spentMark ??= mark;
  };

  /** Ends grants and loans that expire by `eventMs`; finds the next expiry. */
  const expireDue = (eventMs: number): void => {
    accrueAll(eventMs);
    let nextDueMs = Infinity;
    for (const grant of grants.values()) {
      if (grant.endMs > eventMs) nextDueMs = Math.min(nextDueMs, grant.endMs);
      else if (grant.remaining > 0) markSpent(grant, grant.remaining);
    }
    for (const [lender, loan] of loans) {
      const dropMs = getDropMs(loan);
      if (dropMs > eventMs) {
        nextDueMs = Math.min(nextDueMs, dropMs);
        continue;
      }
      loans.delete(lender);
      emptyAtMs = eventMs;
      options.onLoanDropped(lender);
    }
    nextExpiryMs = nextDueMs;
    updateLimits();
  };

  const removeOldGrants = (nowMs: number): void => {
    for (const [key, grant] of grants) {
      if (grant.endMs + REFUND_RETENTION_MS > nowMs) return;
      grants.delete(key);
    }
  };

  const bucket: LoanBucket = {
    refresh: nowMs => {
      while (nextExpiryMs <= nowMs) expireDue(nextExpiryMs);
      accrueAll(nowMs);
      updateLimits();
    },
    applyLoan: (lender, loan, lentTokens, nowMs) => {
      bucket.refresh(nowMs);
      const known = loans.get(lender);
      // A late reply to an earlier request may state more units than the lender
      // still lends.
      const newest =
        known !== undefined && known.renewedMs > loan.renewedMs ? known : loan;
      const endMs = Math.max(loan.endMs, known?.endMs ?? -Infinity);
      if (known?.units !== newest.units) emptyAtMs = nowMs;
      const next = {...newest, endMs};
      loans.set(lender, next);
      nextExpiryMs = Math.min(nextExpiryMs, getDropMs(next));
      updateLimits();
      for (const [account, tokens] of Object.entries(lentTokens)) {
        bucket.getPool(account, nowMs)?.deposit(tokens);
      }
    },
    getPool: (account, nowMs) => {
      const known = pools.get(account);
      if (known !== undefined) return known;
      const clientAccount = options.getAccount(account);
      if (clientAccount === undefined) return undefined;
      const limits = computePoolLimits(clientAccount, getShare(), 1);
      const idleMs = nowMs - emptyAtMs;
      const level = limits.tokensPerMs > 0 ? limits.tokensPerMs * idleMs : 0;
      const pool = createTokenPool(limits, level, nowMs);
      pools.set(account, pool);
      return pool;
    },
    getFirstEndMs: () => {
      let firstMs = Infinity;
      for (const loan of loans.values()) {
        firstMs = Math.min(firstMs, loan.endMs);
      }
      return firstMs;
    },
    issueGrant: (requestId, grantee, account, tokens, nowMs) => {
      removeOldGrants(nowMs);
      bucket.getPool(account, nowMs)?.grant(tokens);
      const endMs = bucket.getFirstEndMs();
      grants.set(`${grantee} ${requestId}`, {
        account,
        remaining: tokens,
        spent: 0,
        refunded: 0,
        spentMark: undefined,
        endMs,
      });
      nextExpiryMs = Math.min(nextExpiryMs, endMs);
    },
    applyReport: (grantee, report, nowMs) => {
      bucket.refresh(nowMs);
      const grant = grants.get(`${grantee} ${report.requestId}`);
      if (grant === undefined) return;
      const pool = pools.get(grant.account);
      if (pool === undefined) return;
      const spent = Math.min(report.spentTokens, grant.remaining);
      if (spent > 0) markSpent(grant, spent);
      const returned = Math.min(report.returnedTokens, grant.remaining);
      grant.remaining -= returned;
      pool.settleReturned(returned);
      // Tokens returned after the end of the grant were already counted as
      // spent, so they are refunded.
      const refunded = Math.min(
        report.refundedTokens + report.returnedTokens - returned,
        grant.spent - grant.refunded,
      );
      if (refunded <= 0 || grant.spentMark === undefined) return;
      grant.refunded += refunded;
      pool.refund(grant.spentMark, refunded);
    },
    isSettled: () => {
      for (const pool of pools.values()) {
        if (pool.getOutstanding() > 0) return false;
      }
      return true;
    },
    isWithinLoans: () => {
      for (const pool of pools.values()) {
        if (pool.getOutstanding() > pool.getLimits().capTokens) return false;
      }
      return true;
    },
    hasLoans: () => loans.size > 0,
    releaseLoans: nowMs => {
      bucket.refresh(nowMs);
      const total = getShare();
      const parts = new Map<string, Record<string, number>>();
      for (const [lender, loan] of loans) {
        const part = loan.units / loan.unitCount / total;
        const tokens: Record<string, number> = {};
        for (const [account, pool] of pools) {
          tokens[account] = pool.getLevel() * part;
        }
        parts.set(lender, tokens);
      }
      loans.clear();
      for (const pool of pools.values()) pool.withdrawAll();
      emptyAtMs = nowMs;
      updateLimits();
      return parts;
    },
  };
  return bucket;
}
