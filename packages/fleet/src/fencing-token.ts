/**
 * Fencing tokens of the order lease. They begin with the era of the store, so
 * that none is given out again after the store lost the lease that named it.
 */

/** Tokens of one era; leases with those of 2^28 eras can be decoded. */
const TOKENS_PER_ERA = 2 ** 20;

/** Lowest token of the era that is higher than all known ones. */
export function computeNextToken(highestToken: number, era: number): number {
  return Math.max(highestToken, era * TOKENS_PER_ERA) + 1;
}

/** Era in which a token may be written to the store. */
export function getTokenEra(token: number): number {
  return Math.floor(token / TOKENS_PER_ERA);
}
