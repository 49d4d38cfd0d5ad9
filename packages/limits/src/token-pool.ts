/** A token bucket whose capacity also covers granted, unsettled tokens. */
import {createHeadroomHistory} from './headroom';

/** Capacity and rate of a pool. */
export interface PoolLimits {
  capTokens: number;
  tokensPerMs: number;
}

/** Tokens of one account on some share units; `level + outstanding <= cap`. */
export interface TokenPool {
  /** Accrues tokens up to `nowMs` at the current rate. */
  accrue(nowMs: number): void;
  /** Changes the limits and clamps the level; call `accrue` first. */
  setLimits(limits: PoolLimits): void;
  getLimits(): PoolLimits;
  getLevel(): number;
  getOutstanding(): number;
  /** Takes tokens from the level; returns the mark for a refund. */
  spend(tokens: number): number;
  /** Moves tokens from the level to the outstanding tokens. */
  grant(tokens: number): void;
  /** Counts outstanding tokens as spent; returns the mark for a refund. */
  settleSpent(tokens: number): number;
  /** Moves outstanding tokens back to the level. */
  settleReturned(tokens: number): void;
  /** Adds tokens withdrawn from another pool, up to the capacity. */
  deposit(tokens: number): void;
  /** Takes the whole level, for a transfer to another pool. */
  withdrawAll(): number;
  /**
   * Returns unused tokens that were taken at `mark`; returns the credited
   * tokens. The credit is limited to the smallest headroom since `mark`: a pool
   * that has filled up since has already replaced the tokens, and crediting
   * them again would allow two bursts in one window. The headroom at each
   * moment is credited once, even if several refunds cover it.
   */
  refund(mark: number, tokens: number): number;
}

/** Creates a pool with `startLevel` tokens, at most its capacity. */
export function createTokenPool(
  limits: PoolLimits,
  startLevel: number,
  startMs: number,
): TokenPool {
  const history = createHeadroomHistory();
  let current = limits;
  let level = Math.min(startLevel, limits.capTokens);
  let outstanding = 0;
  let atMs = startMs;

  const getHeadroom = (): number =>
    Math.max(0, current.capTokens - outstanding - level);
  const clampLevel = (): void => {
    level = Math.max(0, Math.min(level, current.capTokens - outstanding));
  };
  const recordPeak = (): number => {
    history.record(getHeadroom());
    return history.getMark();
  };

  return {
    accrue: nowMs => {
      if (nowMs <= atMs) return;
      level += (nowMs - atMs) * current.tokensPerMs;
      atMs = nowMs;
      clampLevel();
    },
    setLimits: next => {
      if (
        next.capTokens === current.capTokens &&
        next.tokensPerMs === current.tokensPerMs
      ) {
        return;
      }
      recordPeak();
      current = next;
      clampLevel();
      recordPeak();
    },
    getLimits: () => current,
    getLevel: () => level,
    getOutstanding: () => outstanding,
    spend: tokens => {
      const mark = recordPeak();
      level = Math.max(0, level - tokens);
      return mark;
    },
    grant: tokens => {
      level = Math.max(0, level - tokens);
      outstanding += tokens;
    },
    settleSpent: tokens => {
      const mark = recordPeak();
      outstanding = Math.max(0, outstanding - tokens);
      return mark;
    },
    settleReturned: tokens => {
      outstanding = Math.max(0, outstanding - tokens);
      level += tokens;
      clampLevel();
    },
    deposit: tokens => {
      level += Math.max(0, tokens);
      clampLevel();
      recordPeak();
    },
    withdrawAll: () => {
      recordPeak();
      const tokens = level;
      level = 0;
      return tokens;
    },
    refund: (mark, tokens) => {
      recordPeak();
      const credited = Math.max(
        0,
        Math.min(tokens, history.getMinimumSince(mark)),
      );
      history.recordCredit(mark, credited);
      level += credited;
      clampLevel();
      recordPeak();
      return credited;
    },
  };
}
