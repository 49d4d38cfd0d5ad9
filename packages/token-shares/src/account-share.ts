/**
 * One gateway's share of the tokens of one client account. Tokens come from
 * two sources only: the gateway's fraction of the rate, and transfers, which the
 * sender deducts before it sends them. The sum over all gateways therefore
 * never grows faster than the rate, even if messages are lost or late.
 */

/** Limits of one share. */
export interface ShareLimits {
  /** Tokens that accrue each second. */
  ratePerSecond: number;
  /** Level at which they stop accruing. */
  capTokens: number;
}

/** Tokens that one gateway holds for one account. */
export interface AccountShare {
  /** Sets the limits that apply from `nowMs`. */
  setLimits(limits: ShareLimits, nowMs: number): void;
  getLevel(nowMs: number): number;
  /** Takes `tokens` if the level allows it. */
  trySpend(tokens: number, nowMs: number): boolean;
  /** Returns tokens that were spent but not used. */
  refund(tokens: number, nowMs: number): void;
  /** Takes at most `tokens` for a transfer; returns how many. */
  withdraw(tokens: number, nowMs: number): number;
  /** Adds tokens that another gateway granted. */
  deposit(tokens: number, nowMs: number): void;
  /** Keeps a level above the next, lower cap for `EXCESS_LIFETIME_MS`. */
  keepExcess(nowMs: number): void;
}

/**
 * Time for which a level above the cap is kept for the request that needed the
 * tokens, or until they are returned. Then the excess is dropped: the sender's
 * share is below its cap and accrues again, so keeping both would exceed the
 * burst.
 */
export const EXCESS_LIFETIME_MS = 300;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a share that holds `initialLevel` tokens.
 *
 * @param accruesFromMs time from which tokens accrue once there are limits.
 */
export function createAccountShare(
  accruesFromMs: number,
  initialLevel = 0,
): AccountShare {
  let limits: ShareLimits = {ratePerSecond: 0, capTokens: 0};
  let level = initialLevel;
  let accruedAtMs = accruesFromMs;
  let excessEndsAtMs = accruesFromMs;
  let hasLimits = false;

  const accrue = (atMs: number): void => {
    if (!hasLimits) return;
    const elapsedMs = Math.max(0, atMs - accruedAtMs);
    accruedAtMs = Math.max(accruedAtMs, atMs);
    if (level > limits.capTokens) {
      if (atMs >= excessEndsAtMs) level = limits.capTokens;
      return;
    }
    const gained = (limits.ratePerSecond * elapsedMs) / MILLISECONDS_PER_SECOND;
    level = Math.min(limits.capTokens, level + gained);
  };

  return {
    setLimits: (next, atMs) => {
      accrue(atMs);
      limits = next;
      // Nothing accrues until the fraction of this gateway is known.
      if (next.ratePerSecond > 0) hasLimits = true;
      accrue(atMs);
    },
    getLevel: atMs => {
      accrue(atMs);
      return level;
    },
    trySpend: (tokens, atMs) => {
      accrue(atMs);
      if (tokens > level) return false;
      level -= tokens;
      return true;
    },
    refund: (tokens, atMs) => {
      accrue(atMs);
      level = Math.min(Math.max(level, limits.capTokens), level + tokens);
    },
    withdraw: (tokens, atMs) => {
      accrue(atMs);
      const taken = Math.max(0, Math.min(tokens, level));
      level -= taken;
      return taken;
    },
    deposit: (tokens, atMs) => {
      accrue(atMs);
      level += tokens;
      if (level > limits.capTokens) excessEndsAtMs = atMs + EXCESS_LIFETIME_MS;
    },
    keepExcess: atMs => {
      accrue(atMs);
      excessEndsAtMs = atMs + EXCESS_LIFETIME_MS;
    },
  };
}
