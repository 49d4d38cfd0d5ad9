/** Baseline limiter: every entry host has an equal part of each limit. */
import {MemberState, ProcessRole} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import {Left, Right} from 'purify-ts';
import {computePoolLimits} from '../lender';
import type {AccountLimiterOptions} from '../limiter';
import {createTokenPool} from '../token-pool';
import type {TokenPool} from '../token-pool';
import type {AccountLimiter} from '../types';

const DEFAULT_RETRY_MS = 1_000;

/**
 * Creates a limiter that divides limits by the number of hosts in the local
 * membership view. It neither lends nor waits, and it is not exact while views
 * differ.
 */
export function createEvenSplitLimiter(
  options: AccountLimiterOptions,
): AccountLimiter {
  const {configuration, membership} = options;
  const pools = new Map<string, TokenPool>();
  const openMarks = new Map<number, number>();
  let lastId = 0;

  const countHosts = (nowMs: number): number =>
    Math.max(
      1,
      membership
        .listMembers(nowMs)
        .filter(
          member =>
            member.role === ProcessRole.Entry &&
            member.state !== MemberState.Leaving,
        ).length,
    );

  const refreshPool = (name: string, nowMs: number): TokenPool | undefined => {
    const account = configuration.getObject(
      ResourceKind.ClientAccount,
      name,
    )?.value;
    if (account === undefined) return undefined;
    const limits = computePoolLimits(account, 1, countHosts(nowMs));
    const pool =
      pools.get(name) ?? createTokenPool(limits, limits.capTokens, nowMs);
    pools.set(name, pool);
    pool.accrue(nowMs);
    pool.setLimits(limits);
    return pool;
  };

  return {
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    reserve: (account, tokens, nowMs) => {
      const pool = refreshPool(account, nowMs);
      if (pool === undefined) {
        const retryAfterMs = DEFAULT_RETRY_MS;
        return Promise.resolve(Left({exceedsBurst: false, retryAfterMs}));
      }
      const {capTokens, tokensPerMs} = pool.getLimits();
      if (tokens > capTokens) {
        return Promise.resolve(Left({exceedsBurst: true, retryAfterMs: 0}));
      }
      const missing = tokens - pool.getLevel();
      if (missing > 0) {
        const retryAfterMs = Math.ceil(missing / tokensPerMs);
        return Promise.resolve(Left({exceedsBurst: false, retryAfterMs}));
      }
      lastId += 1;
      openMarks.set(lastId, pool.spend(tokens));
      return Promise.resolve(Right({id: lastId, account, tokens}));
    },
    settle: (reservation, usedTokens, nowMs) => {
      const mark = openMarks.get(reservation.id);
      if (!openMarks.delete(reservation.id) || mark === undefined) return;
      const unused = reservation.tokens - usedTokens;
      refreshPool(reservation.account, nowMs)?.refund(mark, unused);
    },
  };
}
