/**
 * Spends the tokens of all client accounts at one gateway. A fraction of every
 * rate accrues at each gateway, and is less than a request needs in a large
 * fleet. So what accrues is returned to the home of the account, which grants
 * it to requests at all gateways.
 *
 * A transfer is deducted before it is sent, so that tokens may be lost and are
 * never made: the sum over all gateways grows no faster than the rate.
 */
import {TokenOutcome} from '@siskinplank/messages';
import {createAccountShare} from './account-share';
import type {AccountShare} from './account-share';
import {createTokenHomes} from './token-homes';
import type {HomeMember} from './token-homes';
import {createTokenPromises} from './token-promises';
import type {TokenPromises} from './token-promises';

/** Rate limit of one account over all gateways. */
export interface AccountLimit {
  /** Tokens per second; 0 means no limit. */
  ratePerSecond: number;
  /** Tokens that may be spent at once beyond the rate. */
  burst: number;
}

/** Rate limit of one account and what is known of its tokens. */
export interface LimitReadings {
  ratePerSecond: number;
  /** Tokens held here. */
  ownLevel: number;
  /** Gateway that pools the account's tokens. */
  home: string;
}

/** A request for tokens, as the home of the account receives it. */
export interface TokenDemand {
  /** Unique over all gateways; a request that waits keeps it. */
  key: string;
  account: string;
  /** Tokens of the request. */
  tokens: number;
  /** Further tokens that the gateway is likely to spend soon. */
  wantedTokens: number;
  /** Longest time for which the request may still wait. */
  patienceMs: number;
}

/** Reply to a `TokenDemand`. */
export interface TokenGrant {
  outcome: TokenOutcome;
  /** Tokens granted, at least those of the request; else 0. */
  tokens: number;
  /** Time until the account may have the tokens; 0 if they are granted. */
  waitMs: number;
}

/** What `createTokenShares` needs. */
export interface TokenSharesOptions {
  ownName: string;
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
  /** Sets the fraction of every rate and burst that this gateway has. */
  setFraction(fraction: number, nowMs: number): void;
  /** Replaces the gateways that this one reaches, itself included. */
  setMembers(members: readonly HomeMember[], nowMs: number): void;
  /**
   * Shares the tokens that are pooled here with the next homes, before this
   * gateway ceases to be a home.
   */
  startHandover(nowMs: number): void;
  /** Takes tokens that are held here for one request, if they suffice. */
  trySpend(account: string, tokens: number, nowMs: number): boolean;
  /** Gateway that has the tokens which are missing here. */
  findHome(account: string): string;
  /** Chooses other homes in place of one that did not reply. */
  markUnresponsive(home: string, nowMs: number): void;
  /** Chooses the home again, since it was heard. */
  markResponsive(home: string, nowMs: number): void;
  /** Tokens worth holding here beyond those of the waiting request. */
  computeWanted(account: string, nowMs: number): number;
  /** Grants tokens that are held here, as the home of the account. */
  grant(demand: TokenDemand, nowMs: number): TokenGrant;
  /** Adds tokens that the home granted. */
  deposit(account: string, tokens: number, nowMs: number): void;
  /** Adds tokens that other gateways returned. */
  depositReturns(tokens: Readonly<Record<string, number>>, nowMs: number): void;
  /** Adds the tokens of a request that has not run. */
  refund(account: string, tokens: number, nowMs: number): void;
  /** Takes out what other gateways pool; the caller must send it. */
  withdrawReturns(nowMs: number): Map<string, Record<string, number>>;
  /** Returns the figures behind a refusal, for its log entry. */
  describeLimit(account: string, nowMs: number): LimitReadings;
}

interface AccountState {
  share: AccountShare;
  limit: AccountLimit;
  promises: TokenPromises;
  isHome: boolean;
  /** Smoothed tokens of one request. */
  meanTokens: number;
  /** Smoothed tokens per second that requests at this gateway need. */
  demandPerSecond: number;
  demandAtMs: number;
}

/**
 * Part of the burst that is split between the gateways, by their fractions; the
 * home holds the rest.
 */
const SPLIT_BURST_FRACTION = 0.35;
/** Level, as a part of the cap, from which tokens are returned. */
const RETURN_LEVEL = 0.8;
/** Level, as a part of the cap, up to which tokens are kept for demand. */
const MAX_KEPT_LEVEL = 0.5;
/** Level from which tokens are sent along when others are returned. */
const JOINT_RETURN_LEVEL = 0.25;
/** Least time between two returns to one home. */
const RETURN_PERIOD_MS = 300;
/** Part of its level that a home grants beyond a request. */
const EXTRA_GRANT_FRACTION = 0.25;
/** A waiting request asks again within this time after its tokens accrued. */
const PROMISE_GRACE_MS = 250;
/** Time constant of the exponential smoothing of demand. */
const DEMAND_TIME_CONSTANT_MS = 1_000;
/** Weight of the last request in the mean size. */
const SIZE_WEIGHT = 0.2;
/** Time for whose expected demand a gateway keeps tokens. */
const DEMAND_HORIZON_MS = 300;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after its removal within which an account gets no new burst. */
const REMOVED_RETENTION_MS = 60_000;
/** Part of its tokens that a home leaves to the next one at first. */
const HANDOVER_FRACTION = 0.5;
/** Smaller amounts are not sent, to save messages. */
const MIN_RETURN_TOKENS = 1;

const NOT_GRANTED: TokenGrant = {
  outcome: TokenOutcome.Unavailable,
  tokens: 0,
  waitMs: 0,
};

/** Creates token shares without any account. */
export function createTokenShares(options: TokenSharesOptions): TokenShares {
  const {ownName, extraBurst} = options;
  const homes = createTokenHomes(ownName);
  let states = new Map<string, AccountState>();
  const removedAtMs = new Map<string, number>();
  const returnedAtMs = new Map<string, number>();
  /** By home: tokens of a handover that are to be sent. */
  let handedOver = new Map<string, Record<string, number>>();
  let hasLimits = false;
  let fraction = 0;

  /** Part of the fleet that this gateway reaches. */
  const getReach = (): number => Math.min(1, fraction * homes.countMembers());

  /**
   * The caps of gateways that agree on the home add up to the burst, and so do
   * those of groups without contact to each other.
   */
  const computeCap = (limit: AccountLimit, isHome: boolean): number => {
    const pooled = isHome ? (1 - SPLIT_BURST_FRACTION) * getReach() : 0;
    const part = SPLIT_BURST_FRACTION * fraction + pooled;
    return (limit.burst + extraBurst) * part;
  };

  const applyLimits = (
    account: string,
    state: AccountState,
    nowMs: number,
  ): void => {
    const isHome = homes.findHome(account) === ownName;
    // What the next home is to pool is not dropped.
    if (state.isHome && !isHome) state.share.keepExcess(nowMs);
    state.isHome = isHome;
    state.share.setLimits(
      {
        ratePerSecond: state.limit.ratePerSecond * fraction,
        capTokens: computeCap(state.limit, isHome),
      },
      nowMs,
    );
  };

  /**
   * An account added while this process runs has spent nothing and starts with
   * its burst, unless it was removed within REMOVED_RETENTION_MS before.
   */
  const createState = (
    account: string,
    limit: AccountLimit,
    nowMs: number,
  ): AccountState => {
    const isHome = homes.findHome(account) === ownName;
    const removed = removedAtMs.get(account);
    const mayHaveSpent =
      removed !== undefined && nowMs - removed < REMOVED_RETENTION_MS;
    const initialLevel = mayHaveSpent ? 0 : computeCap(limit, isHome);
    return {
      share: hasLimits
        ? createAccountShare(nowMs, initialLevel)
        : createAccountShare(options.startedAtMs),
      limit,
      promises: createTokenPromises(),
      isHome,
      meanTokens: 0,
      demandPerSecond: 0,
      demandAtMs: nowMs,
    };
  };

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
    const {meanTokens} = state;
    state.meanTokens =
      meanTokens === 0
        ? tokens
        : meanTokens + (tokens - meanTokens) * SIZE_WEIGHT;
  };

  /** Tokens to be held here for the demand expected soon. */
  const computeTargetLevel = (state: AccountState, nowMs: number): number => {
    decayDemand(state, nowMs);
    const maxTokens = computeCap(state.limit, false) * MAX_KEPT_LEVEL;
    // A share in which no request fits would hold tokens for nobody.
    if (state.meanTokens === 0 || state.meanTokens > maxTokens) return 0;
    const expectedTokens =
      (state.demandPerSecond * DEMAND_HORIZON_MS) / MILLISECONDS_PER_SECOND;
    return Math.min(maxTokens, expectedTokens);
  };

  const updateHomes = (nowMs: number): void => {
    for (const [account, state] of states) applyLimits(account, state, nowMs);
  };

  /** Takes out what may be returned of one account; 0 if it is too little. */
  const withdrawReturn = (
    state: AccountState,
    minLevel: number,
    nowMs: number,
  ): number => {
    const level = state.share.getLevel(nowMs);
    const surplus = level - computeTargetLevel(state, nowMs);
    const minTokens = Math.max(
      MIN_RETURN_TOKENS,
      computeCap(state.limit, false) * minLevel,
    );
    return surplus < minTokens ? 0 : state.share.withdraw(surplus, nowMs);
  };

  /** Homes to which tokens are to be returned now. */
  const listDueHomes = (nowMs: number): Set<string> => {
    const due = new Set<string>();
    for (const [account, state] of states) {
      if (state.isHome || state.limit.ratePerSecond === 0) continue;
      const home = homes.findHome(account);
      if (due.has(home)) continue;
      const capTokens = computeCap(state.limit, false);
      const level = state.share.getLevel(nowMs);
      const sinceMs = nowMs - (returnedAtMs.get(home) ?? -Infinity);
      const isFull =
        level >= capTokens * RETURN_LEVEL && sinceMs >= RETURN_PERIOD_MS;
      if (isFull || level > capTokens) due.add(home);
    }
    return due;
  };

  const addTokens = (
    transfers: Map<string, Record<string, number>>,
    home: string,
    account: string,
    tokens: number,
  ): void =>
    void transfers.set(home, {...transfers.get(home), [account]: tokens});

  const grantTokens = (
    state: AccountState,
    {key, tokens, wantedTokens, patienceMs}: TokenDemand,
    nowMs: number,
  ): TokenGrant => {
    const aheadTokens = state.promises.sumAhead(key, nowMs);
    const freeTokens = state.share.getLevel(nowMs) - aheadTokens;
    if (freeTokens >= tokens) {
      state.promises.remove(key);
      const extraTokens = Math.min(
        wantedTokens,
        (freeTokens - tokens) * EXTRA_GRANT_FRACTION,
      );
      const granted = state.share.withdraw(tokens + extraTokens, nowMs);
      return {outcome: TokenOutcome.Granted, tokens: granted, waitMs: 0};
    }
    const ratePerSecond = state.limit.ratePerSecond * getReach();
    if (!state.isHome || ratePerSecond === 0) return NOT_GRANTED;
    const missingTokens = tokens - freeTokens;
    const waitMs = (missingTokens * MILLISECONDS_PER_SECOND) / ratePerSecond;
    const fits = tokens <= computeCap(state.limit, true);
    if (!fits || waitMs > patienceMs) {
      state.promises.remove(key);
      return {outcome: TokenOutcome.OverLimit, tokens: 0, waitMs};
    }
    state.promises.set(key, tokens, nowMs + waitMs + PROMISE_GRACE_MS);
    return {outcome: TokenOutcome.Promised, tokens: 0, waitMs};
  };

  return {
    setLimits: (limits, nowMs) => {
      const next = new Map<string, AccountState>();
      for (const [account, limit] of limits) {
        const state = states.get(account) ?? createState(account, limit, nowMs);
        state.limit = limit;
        applyLimits(account, state, nowMs);
        next.set(account, state);
      }
      for (const account of states.keys()) {
        if (!next.has(account)) removedAtMs.set(account, nowMs);
      }
      states = next;
      hasLimits = true;
    },
    setFraction: (next, nowMs) => {
      if (next === fraction) return;
      fraction = next;
      updateHomes(nowMs);
    },
    setMembers: (members, nowMs) => {
      homes.setMembers(members);
      updateHomes(nowMs);
    },
    startHandover: nowMs => {
      for (const [account, state] of states) {
        const next = homes.findNextHome(account);
        if (!state.isHome || next === ownName) continue;
        const level = state.share.getLevel(nowMs);
        const tokens = state.share.withdraw(level * HANDOVER_FRACTION, nowMs);
        if (tokens > 0) addTokens(handedOver, next, account, tokens);
      }
    },
    trySpend: (account, tokens, nowMs) => {
      const state = states.get(account);
      if (state === undefined) return false;
      if (state.limit.ratePerSecond === 0) return true;
      recordDemand(state, tokens, nowMs);
      const promisedTokens = state.promises.sumAhead('', nowMs);
      const freeTokens = state.share.getLevel(nowMs) - promisedTokens;
      return freeTokens >= tokens && state.share.trySpend(tokens, nowMs);
    },
    findHome: homes.findHome,
    markUnresponsive: (home, nowMs) => {
      homes.markUnresponsive(home);
      updateHomes(nowMs);
    },
    markResponsive: (home, nowMs) => {
      if (homes.markResponsive(home)) updateHomes(nowMs);
    },
    computeWanted: (account, nowMs) => {
      const state = states.get(account);
      if (state === undefined) return 0;
      const target = computeTargetLevel(state, nowMs);
      return Math.max(0, target - state.share.getLevel(nowMs));
    },
    grant: (demand, nowMs) => {
      const state = states.get(demand.account);
      return state === undefined
        ? NOT_GRANTED
        : grantTokens(state, demand, nowMs);
    },
    deposit: (account, tokens, nowMs) =>
      states.get(account)?.share.deposit(tokens, nowMs),
    depositReturns: (tokens, nowMs) => {
      for (const [account, count] of Object.entries(tokens)) {
        states.get(account)?.share.refund(count, nowMs);
      }
    },
    refund: (account, tokens, nowMs) => {
      const state = states.get(account);
      if (state === undefined) return;
      if (state.isHome) state.share.refund(tokens, nowMs);
      // The share may be too small for it; it is returned to the home.
      else state.share.deposit(tokens, nowMs);
    },
    withdrawReturns: nowMs => {
      const returns = handedOver;
      handedOver = new Map();
      const dueHomes = listDueHomes(nowMs);
      if (dueHomes.size === 0) return returns;
      for (const [account, state] of states) {
        if (state.isHome || state.limit.ratePerSecond === 0) continue;
        const home = homes.findHome(account);
        if (!dueHomes.has(home)) continue;
        const tokens = withdrawReturn(state, JOINT_RETURN_LEVEL, nowMs);
        if (tokens === 0) continue;
        returnedAtMs.set(home, nowMs);
        addTokens(returns, home, account, tokens);
      }
      return returns;
    },
    describeLimit: (account, nowMs) => ({
      ratePerSecond: states.get(account)?.limit.ratePerSecond ?? 0,
      ownLevel: states.get(account)?.share.getLevel(nowMs) ?? 0,
      home: homes.findHome(account),
    }),
  };
}
