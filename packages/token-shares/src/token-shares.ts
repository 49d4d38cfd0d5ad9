/**
 * Spends, asks for and hands over the tokens of all client accounts at one
 * gateway. Answers accounts whose requests arrive unevenly: callers stay with
 * the gateway that their connection reached, so that fixed parts of the rate
 * would refuse requests although the account is within its limit.
 */
import {createAccountShare} from './account-share';
import type {AccountShare} from './account-share';

/** Limit of one account over all gateways. */
export interface AccountLimit {
  /** Tokens a second; 0 is no limit. */
  ratePerSecond: number;
  /** Tokens above the rate. */
  burst: number;
}

/** Tokens that a peer holds and needs, by account. */
export type PeerAccounts = Readonly<Record<string, readonly [number, number]>>;

/** Answer to a request for tokens. */
export enum SpendResult {
  Spent = 'spent',
  /** Other gateways hold enough; ask again when a donation arrived. */
  Pending = 'pending',
  /** The account is over its limit. */
  OverLimit = 'over-limit',
}

/** Limit and levels of one account. */
export interface LimitReadings {
  ratePerSecond: number;
  /** Tokens held here. */
  ownLevel: number;
  /** Tokens that the peers said they hold. */
  peerLevel: number;
}

/** What `createTokenShares` needs. */
export interface TokenSharesOptions {
  /** Tokens added to each account's burst, so that one large request fits. */
  extraBurst: number;
  /**
   * Start of this process. Its predecessor has spent nothing since, so that the
   * shares accrue from then on, as soon as the part of this gateway is known.
   */
  startedAtMs: number;
}

/** Shares of one gateway. */
export interface TokenShares {
  /** Sets the limits in force; accounts that are left out are forgotten. */
  setLimits(limits: ReadonlyMap<string, AccountLimit>, nowMs: number): void;
  /** Part of every rate that accrues here, and of every burst. */
  setFraction(rateFraction: number, capFraction: number, nowMs: number): void;
  /** Notes what a peer said; its need is served once. */
  updatePeer(peer: string, accounts: PeerAccounts): void;
  removePeer(peer: string): void;
  /** Takes tokens for one request. */
  spend(account: string, tokens: number, nowMs: number): SpendResult;
  /** Takes tokens for a request that waited; its demand is counted already. */
  retry(account: string, tokens: number, nowMs: number): SpendResult;
  /** Keeps `tokens` in mind for a request that waits, or ends that. */
  addWaiting(account: string, tokens: number): void;
  removeWaiting(account: string, tokens: number): void;
  refund(account: string, tokens: number, nowMs: number): void;
  deposit(tokens: Readonly<Record<string, number>>, nowMs: number): void;
  /** Time until the account may have `tokens` again, in milliseconds. */
  estimateWaitMs(account: string, tokens: number, nowMs: number): number;
  /** What a refusal is decided from. */
  describeLimit(account: string, nowMs: number): LimitReadings;
  /** Tokens held and needed, for the peers. */
  describeAccounts(nowMs: number): Record<string, [number, number]>;
  /** Takes tokens out for each peer in need; they must be sent then. */
  withdrawDonations(nowMs: number): Map<string, Record<string, number>>;
}

interface AccountState {
  share: AccountShare;
  limit: AccountLimit;
  waitingTokens: number;
  /** Tokens a second that requests here asked for, smoothed. */
  demandPerSecond: number;
  demandAtMs: number;
}

/** Time constant of the smoothed demand. */
const DEMAND_TIME_MS = 1_000;
/** Demand that a gateway keeps tokens for, beyond what waits. */
const AHEAD_MS = 300;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after which what a removed account spent counts no more. */
const REMOVED_MS = 60_000;
/** Donations below this are not worth a message. */
const MIN_DONATION_TOKENS = 1;

/** Creates shares without any account. */
export function createTokenShares(options: TokenSharesOptions): TokenShares {
  let states = new Map<string, AccountState>();
  /** Levels and unserved needs of the peers, by account. */
  const peers = new Map<string, Map<string, {level: number; need: number}>>();
  const removedAtMs = new Map<string, number>();
  let hasLimits = false;
  let rateFraction = 0;
  let capFraction = 0;

  /**
   * An account that this process has seen appear has spent nothing and starts
   * with its burst, unless it was removed a moment before.
   */
  const createShare = (
    account: string,
    limit: AccountLimit,
    nowMs: number,
  ): AccountShare => {
    if (!hasLimits) return createAccountShare(options.startedAtMs);
    const removed = removedAtMs.get(account);
    const mayHaveSpent = removed !== undefined && nowMs - removed < REMOVED_MS;
    const burst = (limit.burst + options.extraBurst) * capFraction;
    return createAccountShare(nowMs, mayHaveSpent ? 0 : burst);
  };

  const applyLimits = (state: AccountState, nowMs: number): void =>
    state.share.setLimits(
      {
        ratePerSecond: state.limit.ratePerSecond * rateFraction,
        capTokens: (state.limit.burst + options.extraBurst) * capFraction,
      },
      nowMs,
    );

  const decayDemand = (state: AccountState, nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - state.demandAtMs);
    state.demandPerSecond *= Math.exp(-elapsedMs / DEMAND_TIME_MS);
    state.demandAtMs = Math.max(state.demandAtMs, nowMs);
  };

  const noteDemand = (
    state: AccountState,
    tokens: number,
    nowMs: number,
  ): void => {
    decayDemand(state, nowMs);
    state.demandPerSecond +=
      (tokens * MILLISECONDS_PER_SECOND) / DEMAND_TIME_MS;
  };

  /** Tokens that this gateway wants to hold. */
  const computeWanted = (state: AccountState, nowMs: number): number => {
    decayDemand(state, nowMs);
    const ahead = (state.demandPerSecond * AHEAD_MS) / MILLISECONDS_PER_SECOND;
    return state.waitingTokens + ahead;
  };

  const sumPeerLevels = (account: string): number => {
    let sum = 0;
    for (const accounts of peers.values()) {
      sum += Math.max(0, accounts.get(account)?.level ?? 0);
    }
    return sum;
  };

  const trySpend = (
    account: string,
    tokens: number,
    nowMs: number,
  ): SpendResult => {
    const state = states.get(account);
    if (state === undefined) return SpendResult.OverLimit;
    if (state.limit.ratePerSecond === 0) return SpendResult.Spent;
    if (state.share.trySpend(tokens, nowMs)) return SpendResult.Spent;
    const total = state.share.getLevel(nowMs) + sumPeerLevels(account);
    return total >= state.waitingTokens + tokens
      ? SpendResult.Pending
      : SpendResult.OverLimit;
  };

  /** Gives to the peers in need what this gateway can spare of one account. */
  const planAccount = (
    account: string,
    state: AccountState,
    donations: Map<string, Record<string, number>>,
    nowMs: number,
  ): void => {
    let need = 0;
    let heldByOthers = 0;
    for (const accounts of peers.values()) {
      const told = accounts.get(account);
      if (told === undefined) continue;
      if (told.need > 0) need += told.need;
      else heldByOthers += Math.max(0, told.level);
    }
    if (need === 0) return;
    const level = state.share.getLevel(nowMs);
    const surplus = level - computeWanted(state, nowMs);
    if (surplus < MIN_DONATION_TOKENS) return;
    // Each giver covers the part of the need that matches its level, so that
    // those in need do not receive several times what they asked for.
    const part = level / (level + heldByOthers);
    const given = Math.min(surplus, need * part);
    for (const [peer, accounts] of peers) {
      const told = accounts.get(account);
      if (told === undefined || told.need <= 0) continue;
      const wanted = (given * told.need) / need;
      if (wanted < MIN_DONATION_TOKENS) continue;
      const tokens = state.share.withdraw(wanted, nowMs);
      told.need = 0;
      const donation = donations.get(peer) ?? {};
      donation[account] = tokens;
      donations.set(peer, donation);
    }
  };

  return {
    setLimits: (limits, nowMs) => {
      const next = new Map<string, AccountState>();
      for (const [account, limit] of limits) {
        const state = states.get(account) ?? {
          share: createShare(account, limit, nowMs),
          limit,
          waitingTokens: 0,
          demandPerSecond: 0,
          demandAtMs: nowMs,
        };
        state.limit = limit;
        applyLimits(state, nowMs);
        next.set(account, state);
      }
      for (const account of states.keys()) {
        if (!next.has(account)) removedAtMs.set(account, nowMs);
      }
      states = next;
      hasLimits = true;
    },
    setFraction: (nextRate, nextCap, nowMs) => {
      if (nextRate === rateFraction && nextCap === capFraction) return;
      rateFraction = nextRate;
      capFraction = nextCap;
      for (const state of states.values()) applyLimits(state, nowMs);
    },
    updatePeer: (peer, accounts) => {
      const told = Object.entries(accounts).map(
        ([account, [level, need]]) => [account, {level, need}] as const,
      );
      peers.set(peer, new Map(told));
    },
    removePeer: peer => void peers.delete(peer),
    spend: (account, tokens, nowMs) => {
      const state = states.get(account);
      if (state !== undefined) noteDemand(state, tokens, nowMs);
      return trySpend(account, tokens, nowMs);
    },
    retry: trySpend,
    addWaiting: (account, tokens) => {
      const state = states.get(account);
      if (state !== undefined) state.waitingTokens += tokens;
    },
    removeWaiting: (account, tokens) => {
      const state = states.get(account);
      if (state === undefined) return;
      state.waitingTokens = Math.max(0, state.waitingTokens - tokens);
    },
    refund: (account, tokens, nowMs) =>
      states.get(account)?.share.refund(tokens, nowMs),
    deposit: (tokens, nowMs) => {
      for (const [account, count] of Object.entries(tokens)) {
        states.get(account)?.share.deposit(count, nowMs);
      }
    },
    estimateWaitMs: (account, tokens, nowMs) => {
      const state = states.get(account);
      if (state === undefined || state.limit.ratePerSecond === 0) return 0;
      const total = state.share.getLevel(nowMs) + sumPeerLevels(account);
      const missing = Math.max(0, tokens + state.waitingTokens - total);
      return (missing * MILLISECONDS_PER_SECOND) / state.limit.ratePerSecond;
    },
    describeLimit: (account, nowMs) => ({
      ratePerSecond: states.get(account)?.limit.ratePerSecond ?? 0,
      ownLevel: states.get(account)?.share.getLevel(nowMs) ?? 0,
      peerLevel: sumPeerLevels(account),
    }),
    describeAccounts: nowMs => {
      const described: Record<string, [number, number]> = {};
      for (const [account, state] of states) {
        if (state.limit.ratePerSecond === 0) continue;
        const level = state.share.getLevel(nowMs);
        const need = Math.max(0, computeWanted(state, nowMs) - level);
        described[account] = [Math.round(level), Math.round(need)];
      }
      return described;
    },
    withdrawDonations: nowMs => {
      const donations = new Map<string, Record<string, number>>();
      for (const [account, state] of states) {
        if (state.limit.ratePerSecond === 0) continue;
        planAccount(account, state, donations, nowMs);
      }
      return donations;
    },
  };
}
