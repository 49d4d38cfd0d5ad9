/** Loan durations and renewal periods by the number of lenders. */

/**
 * Number of lenders up to which a loan lasts `limits.loanMs`. Each further 128
 * lenders add one renewal period, so a coordinator exchanges the same number of
 * messages per second with 128 lenders and with 384.
 */
export const LENDERS_PER_PERIOD = 128;

/**
 * Longest loan in multiples of `limits.loanMs`. Longer loans cause less
 * traffic, but lenders get them back later when the coordinator crashes.
 */
export const MAX_LOAN_PERIODS = 3;

/**
 * Renewal periods after which a loan that was not renewed is dropped: one
 * period, and a third of a period for repeats of the missed renewal.
 */
const DROP_AFTER_PERIODS = 4 / 3;

/** Renewal and drop time of one loan, both measured from its request. */
export interface LoanRenewal {
  /** Renewal periods until the loan is renewed, at least 1. */
  periods: number;
  /**
   * Time without a renewal after which the loan no longer counts as capacity.
   * The rest of the loan's duration covers grants issued before.
   */
  dropAfterMs: number;
}

/** Loan duration in multiples of `limits.loanMs` for a number of lenders. */
export function countLoanPeriods(
  lenderCount: number,
  lendersPerPeriod: number,
): number {
  const periods = Math.ceil(lenderCount / lendersPerPeriod);
  return Math.min(MAX_LOAN_PERIODS, Math.max(1, periods));
}

/** Renewal of a loan that lasts `durationMs`. */
export function planRenewal(
  durationMs: number,
  loanMs: number,
  loanRenewMs: number,
): LoanRenewal {
  const periods = Math.max(1, Math.floor(durationMs / loanMs));
  return {periods, dropAfterMs: periods * loanRenewMs * DROP_AFTER_PERIODS};
}
