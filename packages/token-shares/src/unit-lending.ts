/**
 * Shares limits of a few requests a second between gateways. Such a limit can't
 * be split evenly: with a fraction each, no gateway would hold a whole unit for
 * seconds. So the units of each limit accrue at one gateway, its owner, which
 * lends whole units to those that need them; unspent units are returned.
 *
 * The owner accrues the fraction of the limit that corresponds to the gateways
 * that it reaches. Groups without contact to each other have an owner each, and
 * together spend no more than the limit.
 */
import {createAccountShare} from './account-share';
import type {AccountShare} from './account-share';

/** Units that a gateway needs, by the key of their limit. */
export type UnitNeeds = Readonly<Record<string, number>>;

/** What `createUnitLending` needs. */
export interface UnitLendingOptions {
  ownName: string;
  /** Chooses the owner of a key in the same way at all gateways. */
  chooseOwner(key: string, members: readonly string[]): string;
}

/** Units of all limits at one gateway. */
export interface UnitLending {
  setLimit(key: string, ratePerSecond: number, nowMs: number): void;
  removeLimit(key: string): void;
  hasLimit(key: string): boolean;
  /**
   * Sets the gateways that this one reaches, itself included, and the number of
   * registered ones; 0 if this gateway is not registered.
   */
  setMembers(
    members: readonly string[],
    registered: number,
    nowMs: number,
  ): void;
  /** Whether a unit can be spent here now. */
  canSpend(key: string, nowMs: number): boolean;
  trySpend(key: string, nowMs: number): boolean;
  /** Notes that a request could have used a unit. */
  noteWish(key: string, nowMs: number): void;
  addWaiting(key: string): void;
  removeWaiting(key: string): void;
  /** Whether a request that starts to wait now gets a unit within the time. */
  canWait(key: string, forMs: number): boolean;
  /** Time until a unit may be free, in milliseconds. */
  estimateWaitMs(key: string): number;
  /** Units needed here that another gateway lends. */
  describeNeeds(nowMs: number): Record<string, number>;
  /** Owners to be told of a need that they may not know of. */
  listLenders(nowMs: number): ReadonlySet<string>;
  /** Replaces the needs of a peer. */
  updatePeer(peer: string, needs: UnitNeeds): void;
  removePeer(peer: string): void;
  /** Takes out what is lent or returned; the caller must send it. */
  withdrawTransfers(nowMs: number): Map<string, Record<string, number>>;
  /** Adds units that a peer lent or returned; true if a request may use one. */
  deposit(units: UnitNeeds, nowMs: number): boolean;
}

interface LimitState {
  ratePerSecond: number;
  /** Units of the whole group; used at the owner only. */
  share: AccountShare;
  /** Units lent to this gateway, and when the last one arrived. */
  borrowed: number;
  borrowedAtMs: number;
  waiting: number;
  wishedAtMs: number;
  owner: string;
  /** Requests and peers that were served, in the order of their last unit. */
  servedAtMs: Map<string, number>;
}

/** Units that may be spent at once; a fraction of a second's at high limits. */
const MIN_BURST = 2;
const BURST_SECONDS = 0.25;
/** An unspent unit is returned after this time. */
const LOAN_MS = 1_000;
/** A wish without a waiting request is given up after this time. */
const WISH_MS = 500;
/** Largest need that one gateway reports for a limit. */
const MAX_NEED = 4;
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates the lending of a gateway that reaches no other one. */
export function createUnitLending(options: UnitLendingOptions): UnitLending {
  const {ownName} = options;
  const states = new Map<string, LimitState>();
  const peerNeeds = new Map<string, Map<string, number>>();
  let members: readonly string[] = [ownName];
  let fraction = 0;

  const isOwner = (state: LimitState): boolean => state.owner === ownName;

  const applyRate = (state: LimitState, nowMs: number): void => {
    const {ratePerSecond} = state;
    const burst = Math.max(MIN_BURST, ratePerSecond * BURST_SECONDS);
    const part = isOwner(state) ? fraction : 0;
    // Below one unit, a small group could never spend any.
    const capTokens = part > 0 ? Math.max(1, burst * part) : 0;
    state.share.setLimits(
      {ratePerSecond: ratePerSecond * part, capTokens},
      nowMs,
    );
  };

  const updateOwner = (key: string, state: LimitState, nowMs: number): void => {
    const owner = options.chooseOwner(key, members);
    if (owner !== state.owner) {
      state.owner = owner;
      // A new owner starts without units, since the former may have lent them.
      state.share = createAccountShare(nowMs);
    }
    applyRate(state, nowMs);
  };

  const computeOwnNeed = (state: LimitState, nowMs: number): number => {
    const isWished = nowMs - state.wishedAtMs < WISH_MS;
    const wanted = Math.max(state.waiting, isWished ? 1 : 0);
    return Math.min(MAX_NEED, Math.max(0, wanted - state.borrowed));
  };

  const listNeedyPeers = (key: string): string[] =>
    [...peerNeeds]
      .filter(([, needs]) => (needs.get(key) ?? 0) > 0)
      .map(([peer]) => peer);

  /** Whether the owner's own requests are next to be served. */
  const isOwnTurn = (key: string, state: LimitState): boolean => {
    const getServedAtMs = (name: string): number =>
      state.servedAtMs.get(name) ?? 0;
    const ownServedAtMs = getServedAtMs(ownName);
    return listNeedyPeers(key).every(
      peer => getServedAtMs(peer) >= ownServedAtMs,
    );
  };

  const canSpendOwned = (
    key: string,
    state: LimitState,
    nowMs: number,
  ): boolean => {
    if (!isOwner(state)) return false;
    const level = state.share.getLevel(nowMs);
    return level >= 1 && (level >= 2 || isOwnTurn(key, state));
  };

  const addTransfer = (
    transfers: Map<string, Record<string, number>>,
    peer: string,
    key: string,
    units: number,
  ): void => {
    const transfer = transfers.get(peer) ?? {};
    transfer[key] = (transfer[key] ?? 0) + units;
    transfers.set(peer, transfer);
  };

  /** Lends whole units to the needy peers, least recently served first. */
  const lendUnits = (
    key: string,
    state: LimitState,
    transfers: Map<string, Record<string, number>>,
    nowMs: number,
  ): void => {
    const keepsOne = computeOwnNeed(state, nowMs) > 0 && isOwnTurn(key, state);
    const kept = keepsOne ? 1 : 0;
    const getServedAtMs = (peer: string): number =>
      state.servedAtMs.get(peer) ?? 0;
    const peers = listNeedyPeers(key).sort(
      (left, right) => getServedAtMs(left) - getServedAtMs(right),
    );
    for (const peer of peers) {
      if (state.share.getLevel(nowMs) < 1 + kept) return;
      state.share.withdraw(1, nowMs);
      state.servedAtMs.set(peer, nowMs);
      const needs = peerNeeds.get(peer);
      needs?.set(key, (needs.get(key) ?? 0) - 1);
      addTransfer(transfers, peer, key, 1);
    }
  };

  /** Returns units that were not spent in time, or whose owner changed. */
  const returnUnits = (
    key: string,
    state: LimitState,
    transfers: Map<string, Record<string, number>>,
    nowMs: number,
  ): void => {
    if (state.borrowed === 0 || state.waiting > 0) return;
    if (nowMs - state.borrowedAtMs < LOAN_MS) return;
    addTransfer(transfers, state.owner, key, state.borrowed);
    state.borrowed = 0;
  };

  return {
    setLimit: (key, ratePerSecond, nowMs) => {
      const known = states.get(key);
      if (known !== undefined) {
        known.ratePerSecond = ratePerSecond;
        applyRate(known, nowMs);
        return;
      }
      const state: LimitState = {
        ratePerSecond,
        share: createAccountShare(nowMs),
        borrowed: 0,
        borrowedAtMs: nowMs,
        waiting: 0,
        wishedAtMs: -Infinity,
        owner: '',
        servedAtMs: new Map(),
      };
      states.set(key, state);
      updateOwner(key, state, nowMs);
    },
    removeLimit: key => void states.delete(key),
    hasLimit: key => states.has(key),
    setMembers: (next, registered, nowMs) => {
      const nextFraction =
        registered === 0 ? 0 : Math.min(1, next.length / registered);
      const isSame =
        nextFraction === fraction &&
        next.length === members.length &&
        next.every(name => members.includes(name));
      if (isSame) return;
      members = next;
      fraction = nextFraction;
      for (const [key, state] of states) updateOwner(key, state, nowMs);
    },
    canSpend: (key, nowMs) => {
      const state = states.get(key);
      if (state === undefined) return true;
      return state.borrowed >= 1 || canSpendOwned(key, state, nowMs);
    },
    trySpend: (key, nowMs) => {
      const state = states.get(key);
      if (state === undefined) return true;
      if (state.borrowed >= 1) {
        state.borrowed -= 1;
        return true;
      }
      if (!canSpendOwned(key, state, nowMs)) return false;
      state.servedAtMs.set(ownName, nowMs);
      return state.share.trySpend(1, nowMs);
    },
    noteWish: (key, nowMs) => {
      const state = states.get(key);
      if (state !== undefined) state.wishedAtMs = nowMs;
    },
    addWaiting: key => {
      const state = states.get(key);
      if (state !== undefined) state.waiting += 1;
    },
    removeWaiting: key => {
      const state = states.get(key);
      if (state !== undefined) state.waiting = Math.max(0, state.waiting - 1);
    },
    canWait: (key, forMs) => {
      const state = states.get(key);
      if (state === undefined) return true;
      const units = (state.ratePerSecond * forMs) / MILLISECONDS_PER_SECOND;
      return state.waiting < Math.max(1, Math.ceil(units));
    },
    estimateWaitMs: key => {
      const state = states.get(key);
      if (state === undefined || state.ratePerSecond <= 0) return 0;
      return (
        ((state.waiting + 1) * MILLISECONDS_PER_SECOND) / state.ratePerSecond
      );
    },
    describeNeeds: nowMs => {
      const needs: Record<string, number> = {};
      for (const [key, state] of states) {
        const need = isOwner(state) ? 0 : computeOwnNeed(state, nowMs);
        if (need > 0) needs[key] = need;
      }
      return needs;
    },
    listLenders: nowMs => {
      const lenders = new Set<string>();
      for (const state of states.values()) {
        if (isOwner(state) || computeOwnNeed(state, nowMs) === 0) continue;
        lenders.add(state.owner);
      }
      return lenders;
    },
    updatePeer: (peer, needs) =>
      void peerNeeds.set(peer, new Map(Object.entries(needs))),
    removePeer: peer => void peerNeeds.delete(peer),
    withdrawTransfers: nowMs => {
      const transfers = new Map<string, Record<string, number>>();
      for (const [key, state] of states) {
        if (isOwner(state)) lendUnits(key, state, transfers, nowMs);
        else returnUnits(key, state, transfers, nowMs);
      }
      return transfers;
    },
    deposit: (units, nowMs) => {
      let isUsable = false;
      for (const [key, count] of Object.entries(units)) {
        const state = states.get(key);
        if (state === undefined) continue;
        if (isOwner(state)) {
          state.share.deposit(count, nowMs);
        } else {
          state.borrowed += count;
          state.borrowedAtMs = nowMs;
        }
        isUsable = true;
      }
      return isUsable;
    },
  };
}
