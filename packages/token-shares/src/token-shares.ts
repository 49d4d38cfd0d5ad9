/**
 * Spends the tokens of all client accounts at one gateway and transfers them
 * between gateways. A caller's requests all arrive at the gateway that its
 * connection reached, so the load of an account is uneven: with a fixed
 * fraction of the rate for each gateway, requests would be refused although the
 * account is within its limit.
 */
import {createAccountShare} from './account-share';
import type {AccountShare} from './account-share';

/** Rate limit of one account over all gateways. */
export interface AccountLimit {
  /** Tokens per second; 0 means no limit. */
  ratePerSecond: number;
  /** Tokens that may be spent at once beyond the rate. */
  burst: number;
}

/** By account: tokens that a peer holds, and tokens that it needs. */
export type PeerAccounts = Readonly<Record<string, readonly [number, number]>>;

/** Outcome of an attempt to spend tokens. */
export enum SpendResult {
  Spent = 'spent',
  /** Other gateways hold enough; retry when a donation has arrived. */
  Pending = 'pending',
  /** The account is over its limit. */
  OverLimit = 'over-limit',
}

/** Rate limit of one account and the tokens held for it. */
export interface LimitReadings {
  ratePerSecond: number;
  /** Tokens held here. */
  ownLevel: number;
  /** Tokens that the peers hold by their last reports. */
  peerLevel: number;
}

/** What `createTokenShares` needs. */
export interface TokenSharesOptions {
  /** Tokens added to each account's burst, so that one large request fits. */
  extraBurst: number;
  /**
   * Start of this process. The predecessor of this process spends nothing after
   * it, so once this gateway's fraction is known, tokens accrue from this time.
   */
  startedAtMs: number;
}

/** Token shares of all accounts at one gateway. */
export interface TokenShares {
  /** Replaces all limits; the shares of accounts left out are removed. */
  setLimits(limits: ReadonlyMap<string, AccountLimit>, nowMs: number): void;
  /** Sets the fractions of every rate and every burst that this gateway has. */
  setFraction(rateFraction: number, capFraction: number, nowMs: number): void;
  /** Replaces the report of a peer; each reported need is met at most once. */
  updatePeer(peer: string, accounts: PeerAccounts): void;
  removePeer(peer: string): void;
  /** Takes tokens for one request. */
  spend(account: string, tokens: number, nowMs: number): SpendResult;
  /** Takes tokens for a request whose demand `spend` has counted already. */
  retry(account: string, tokens: number, nowMs: number): SpendResult;
  /** Adds the tokens of a waiting request to those that this gateway needs. */
  addWaiting(account: string, tokens: number): void;
  removeWaiting(account: string, tokens: number): void;
  refund(account: string, tokens: number, nowMs: number): void;
  deposit(tokens: Readonly<Record<string, number>>, nowMs: number): void;
  /** Time until the account may have `tokens` again, in milliseconds. */
  estimateWaitMs(account: string, tokens: number, nowMs: number): number;
  /** Returns the figures behind a refusal, for its message and log entry. */
  describeLimit(account: string, nowMs: number): LimitReadings;
  /**
   * Returns the tokens held and needed, to be sent to the peers. If only some
   * of them receive it, `donors`, each is asked for a larger part of the need.
   */
  describeAccounts(
    nowMs: number,
    donors?: ReadonlySet<string>,
  ): Record<string, [number, number]>;
  /** Lists the peers that hold most of the tokens that this gateway needs. */
  listDonors(nowMs: number): ReadonlySet<string>;
  /** Takes tokens out for each peer in need; the caller must send them. */
  withdrawDonations(nowMs: number): Map<string, Record<string, number>>;
}

interface AccountState {
  share: AccountShare;
  limit: AccountLimit;
  waitingTokens: number;
  /** Smoothed tokens per second that requests at this gateway need. */
  demandPerSecond: number;
  demandAtMs: number;
}

/** Time constant of the exponential smoothing of demand. */
const DEMAND_TIME_CONSTANT_MS = 1_000;
/** Time for whose expected demand a gateway keeps tokens. */
const DEMAND_HORIZON_MS = 300;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after its removal within which an account gets no new burst. */
const REMOVED_RETENTION_MS = 60_000;
/**
 * Donors are asked until they hold this multiple of the need, since they may
 * have spent some of it since their last report.
 */
const DONOR_RESERVE = 2;
/** Smaller donations are not sent, to save messages. */
const MIN_DONATION_TOKENS = 1;

/** Creates token shares without any account. */
export function createTokenShares(options: TokenSharesOptions): TokenShares {
  let states = new Map<string, AccountState>();
  /** Levels and unserved needs of the peers, by account. */
  const peers = new Map<string, Map<string, {level: number; need: number}>>();
  const removedAtMs = new Map<string, number>();
  let hasLimits = false;
  let rateFraction = 0;
  let capFraction = 0;

  /**
   * An account added while this process runs has spent nothing and starts with
   * its burst, unless it was removed within REMOVED_RETENTION_MS before.
   */
  const createShare = (
    account: string,
    limit: AccountLimit,
    nowMs: number,
  ): AccountShare => {
    if (!hasLimits) return createAccountShare(options.startedAtMs);
    const removed = removedAtMs.get(account);
    const mayHaveSpent =
      removed !== undefined && nowMs - removed < REMOVED_RETENTION_MS;
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
    state.demandPerSecond *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
    state.demandAtMs = Math.max(state.demandAtMs, nowMs);
  };

  const recordDemand = (
    state: AccountState,
    tokens: number,
    nowMs: number,
  ): void => {
    decayDemand(state, nowMs);
    state.demandPerSecond +=
      (tokens * MILLISECONDS_PER_SECOND) / DEMAND_TIME_CONSTANT_MS;
  };

  /** Tokens for the waiting requests and for the demand expected soon. */
  const computeTargetLevel = (state: AccountState, nowMs: number): number => {
    decayDemand(state, nowMs);
    const expectedTokens =
      (state.demandPerSecond * DEMAND_HORIZON_MS) / MILLISECONDS_PER_SECOND;
    return state.waitingTokens + expectedTokens;
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

  /** Takes the surplus of one account out for the peers in need. */
  const withdrawAccountDonations = (
    account: string,
    state: AccountState,
    donations: Map<string, Record<string, number>>,
    nowMs: number,
  ): void => {
    let totalNeed = 0;
    let otherDonorsLevel = 0;
    for (const accounts of peers.values()) {
      const reported = accounts.get(account);
      if (reported === undefined) continue;
      if (reported.need > 0) totalNeed += reported.need;
      else otherDonorsLevel += Math.max(0, reported.level);
    }
    if (totalNeed === 0) return;
    const level = state.share.getLevel(nowMs);
    const surplus = level - computeTargetLevel(state, nowMs);
    if (surplus < MIN_DONATION_TOKENS) return;
    // Each donor covers a fraction of the need in proportion to its level, so
    // that peers in need do not receive several times the tokens they need.
    const donorFraction = level / (level + otherDonorsLevel);
    const donatedTokens = Math.min(surplus, totalNeed * donorFraction);
    for (const [peer, accounts] of peers) {
      const reported = accounts.get(account);
      if (reported === undefined || reported.need <= 0) continue;
      const allottedTokens = (donatedTokens * reported.need) / totalNeed;
      if (allottedTokens < MIN_DONATION_TOKENS) continue;
      const tokens = state.share.withdraw(allottedTokens, nowMs);
      reported.need = 0;
      const donation = donations.get(peer) ?? {};
      donation[account] = tokens;
      donations.set(peer, donation);
    }
  };

  const computeNeed = (state: AccountState, nowMs: number): number =>
    Math.max(0, computeTargetLevel(state, nowMs) - state.share.getLevel(nowMs));

  /** Factor by which the need grows when only `donors` are asked for it. */
  const computeNeedFactor = (
    account: string,
    donors: ReadonlySet<string> | undefined,
  ): number => {
    if (donors === undefined) return 1;
    let askedLevel = 0;
    for (const donor of donors) {
      askedLevel += Math.max(0, peers.get(donor)?.get(account)?.level ?? 0);
    }
    return askedLevel > 0 ? sumPeerLevels(account) / askedLevel : 1;
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
      const reported = Object.entries(accounts).map(
        ([account, [level, need]]) => [account, {level, need}] as const,
      );
      peers.set(peer, new Map(reported));
    },
    removePeer: peer => void peers.delete(peer),
    spend: (account, tokens, nowMs) => {
      const state = states.get(account);
      if (state !== undefined) recordDemand(state, tokens, nowMs);
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
    describeAccounts: (nowMs, donors) => {
      const described: Record<string, [number, number]> = {};
      for (const [account, state] of states) {
        if (state.limit.ratePerSecond === 0) continue;
        const level = state.share.getLevel(nowMs);
        const need = computeNeed(state, nowMs);
        const factor = need > 0 ? computeNeedFactor(account, donors) : 1;
        described[account] = [Math.round(level), Math.round(need * factor)];
      }
      return described;
    },
    listDonors: nowMs => {
      const donors = new Set<string>();
      for (const [account, state] of states) {
        if (state.waitingTokens === 0) continue;
        const wanted = computeNeed(state, nowMs) * DONOR_RESERVE;
        const holders = [...peers]
          .map(([peer, accounts]) => ({
            peer,
            level: accounts.get(account)?.level ?? 0,
          }))
          .filter(({level}) => level >= MIN_DONATION_TOKENS)
          .sort((left, right) => right.level - left.level);
        let found = 0;
        for (const {peer, level} of holders) {
          if (found >= wanted) break;
          donors.add(peer);
          found += level;
        }
      }
      return donors;
    },
    withdrawDonations: nowMs => {
      const donations = new Map<string, Record<string, number>>();
      for (const [account, state] of states) {
        if (state.limit.ratePerSecond === 0) continue;
        withdrawAccountDonations(account, state, donations, nowMs);
      }
      return donations;
    },
  };
}
