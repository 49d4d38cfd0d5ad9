/** Selects the lenders that get a lend request in and between rounds. */
import type {BucketState} from './bucket-state';
import {LENDING_RETRY_MS, MAX_REFUSAL_RETRY_MS} from './constants';

/** Whether a lender gets a request in the round at `nowMs`. */
export function isLoanDue(
  state: BucketState,
  host: string,
  nowMs: number,
  loanRenewMs: number,
): boolean {
  const refused = state.refused.get(host);
  if (refused !== undefined) return nowMs >= refused.dueMs;
  const applied = state.applied.get(host);
  // Rounds do not start exactly on time; the one nearest to `renewMs` renews.
  return applied === undefined || nowMs + loanRenewMs / 2 >= applied.renewMs;
}

/** Records a lender that is bound to another coordinator for `boundMs`. */
export function recordRefusal(
  state: BucketState,
  host: string,
  boundMs: number,
  nowMs: number,
): void {
  const count = state.refused.get(host)?.count ?? 0;
  const delayMs = Math.min(LENDING_RETRY_MS * 2 ** count, MAX_REFUSAL_RETRY_MS);
  const dueMs = nowMs + Math.min(delayMs, boundMs > 0 ? boundMs : Infinity);
  state.refused.set(host, {count: count + 1, dueMs});
}

/** Takes the refusing lenders due for a retry; the next one is in `nextMs`. */
export function takeRefusedLenders(
  state: BucketState,
  nowMs: number,
  nextMs: number,
): string[] {
  const due = [...state.refused].filter(([, {dueMs}]) => nowMs >= dueMs);
  for (const [, refused] of due) refused.dueMs = nowMs + nextMs;
  return due.map(([host]) => host);
}

/**
 * Records a loan that lasts `periods` renewal periods; returns true when it has
 * fewer units than the one before. First loans are renewed after one to
 * `periods` periods in turn, so that later rounds are of equal size.
 */
export function recordLoan(
  state: BucketState,
  host: string,
  loan: {requestId: string; units: number; sentMs: number},
  periods: number,
  loanRenewMs: number,
): boolean {
  const last = state.applied.get(host);
  if (last !== undefined && loan.sentMs < last.sentMs) return false;
  const isReduced = loan.units < (last?.units ?? 0);
  let rounds = isReduced ? 1 : periods;
  if (last === undefined) {
    rounds = 1 + (state.firstLoanCount % periods);
    state.firstLoanCount += 1;
  }
  const renewMs = loan.sentMs + rounds * loanRenewMs;
  state.applied.set(host, {...loan, renewMs});
  return isReduced;
}
