/** What the coordinator of one bucket has borrowed and granted. */
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
  /** Time of sending the last request that was answered. */
  renewedMs: number;
  /** Time since then after which the loan is no capacity any more. */
  dropAfterMs: number;
}

interface IssuedGrant {
  account: string;
  /** Tokens that the borrower may still spend. */
  remaining: number;
  spent: number;
  refunded: number;
  /** Mark of the pool when tokens were first counted as spent. */
  spentMark: number | undefined;
  endMs: number;
}

/** Borrowed units, pools and grants of one bucket. */
export interface LoanBucket {
  /** Ends loans and grants that are due and accrues up to `nowMs`. */
  refresh(nowMs: number): void;
  applyLoan(
    lender: string,
    loan: BorrowedLoan,
    lentTokens: Readonly<Record<string, number>>,
    nowMs: number,
  ): void;
  getPool(account: string, nowMs: number): TokenPool | undefined;
  /** End of the loan that ends first. */
  getFirstEndMs(): number;
  /** Issues a grant from the level. */
  issueGrant(
    requestId: string,
    borrower: string,
    account: string,
    tokens: number,
    nowMs: number,
  ): void;
  applyReport(borrower: string, report: GrantReport, nowMs: number): void;
  /** Whether no granted token may still be spent. */
  isSettled(): boolean;
  /** Whether no account has more tokens granted than the loans allow. */
  isWithinLoans(): boolean;
  hasLoans(): boolean;
  /** Ends all loans; returns each lender's part of the levels. */
  releaseLoans(nowMs: number): Map<string, Record<string, number>>;
}

/** Parts that a loan bucket is built from. */
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
  /** By borrower and request id, which is unique at its borrower only. */
  const grants = new Map<string, IssuedGrant>();
  /** Accounts seen for the first time count as empty at this time. */
  let emptyAtMs = -Infinity;
  /** No loan or grant ends before this time. */
  let nextEventMs = Infinity;

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

  /** Ends what is due at `eventMs` and finds the time of the next event. */
  const endDue = (eventMs: number): void => {
    accrueAll(eventMs);
    let nextMs = Infinity;
    for (const grant of grants.values()) {
      if (grant.endMs > eventMs) nextMs = Math.min(nextMs, grant.endMs);
      else if (grant.remaining > 0) markSpent(grant, grant.remaining);
    }
    for (const [lender, loan] of loans) {
      const dropMs = getDropMs(loan);
      if (dropMs > eventMs) {
        nextMs = Math.min(nextMs, dropMs);
        continue;
      }
      loans.delete(lender);
      emptyAtMs = eventMs;
      options.onLoanDropped(lender);
    }
    nextEventMs = nextMs;
    updateLimits();
  };

  const dropOldGrants = (nowMs: number): void => {
    for (const [key, grant] of grants) {
      if (grant.endMs + REFUND_RETENTION_MS > nowMs) return;
      grants.delete(key);
    }
  };

  const bucket: LoanBucket = {
    refresh: nowMs => {
      while (nextEventMs <= nowMs) endDue(nextEventMs);
      accrueAll(nowMs);
      updateLimits();
    },
    applyLoan: (lender, loan, lentTokens, nowMs) => {
      bucket.refresh(nowMs);
      const known = loans.get(lender);
      // A late reply to an earlier request may name units that the lender
      // has reduced since.
      const newest =
        known !== undefined && known.renewedMs > loan.renewedMs ? known : loan;
      const endMs = Math.max(loan.endMs, known?.endMs ?? -Infinity);
      if (known?.units !== newest.units) emptyAtMs = nowMs;
      const next = {...newest, endMs};
      loans.set(lender, next);
      nextEventMs = Math.min(nextEventMs, getDropMs(next));
      updateLimits();
      for (const [account, tokens] of Object.entries(lentTokens)) {
        bucket.getPool(account, nowMs)?.deposit(tokens);
      }
    },
    getPool: (account, nowMs) => {
      const known = pools.get(account);
      if (known !== undefined) return known;
      const found = options.getAccount(account);
      if (found === undefined) return undefined;
      const limits = computePoolLimits(found, getShare(), 1);
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
    issueGrant: (requestId, borrower, account, tokens, nowMs) => {
      dropOldGrants(nowMs);
      bucket.getPool(account, nowMs)?.grant(tokens);
      const endMs = bucket.getFirstEndMs();
      grants.set(`${borrower} ${requestId}`, {
        account,
        remaining: tokens,
        spent: 0,
        refunded: 0,
        spentMark: undefined,
        endMs,
      });
      nextEventMs = Math.min(nextEventMs, endMs);
    },
    applyReport: (borrower, report, nowMs) => {
      bucket.refresh(nowMs);
      const grant = grants.get(`${borrower} ${report.requestId}`);
      if (grant === undefined) return;
      const pool = pools.get(grant.account);
      if (pool === undefined) return;
      const spent = Math.min(report.spentTokens, grant.remaining);
      if (spent > 0) markSpent(grant, spent);
      const returned = Math.min(report.returnedTokens, grant.remaining);
      grant.remaining -= returned;
      pool.settleReturned(returned);
      // Tokens that came back after the end of the grant were counted as
      // spent and are treated like a refund.
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
