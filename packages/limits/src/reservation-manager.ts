/** Reservations of this process, served from grants and the local share. */
import type {Clock, Timer} from '@siskinplank/foundation';
import {GrantOutcome} from '@siskinplank/messages';
import type {ClientAccount} from '@siskinplank/resources';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
  DEMAND_WINDOW_MS,
  REFUND_RETENTION_MS,
  TOKEN_EPSILON,
} from './constants';
import {createHeldGrants} from './held-grants';
import type {GrantPart, HeldGrants} from './held-grants';
import type {Lender} from './lender';
import type {LimitRefusal, Reservation} from './types';

type ReserveResult = Either<LimitRefusal, Reservation>;

interface Waiter {
  tokens: number;
  deadlineMs: number;
  /** Id of the grant request sent for this waiter. */
  requestId: string;
  /** Coordinator that received the request; undefined if none did. */
  requestedCoordinator: string | undefined;
  /** Retry delay suggested by the coordinator that refused the request. */
  retryAfterMs: number | undefined;
  resolve: (result: ReserveResult) => void;
}

interface AccountState {
  grants: HeldGrants;
  waiters: Waiter[];
  /** Tokens of the reservations requested in the last two windows. */
  demand: DemandMeter;
  lastSpendMs: number;
  serveTimer: Timer | undefined;
}

interface DemandMeter {
  windowStartMs: number;
  currentTokens: number;
  previousTokens: number;
}

interface OpenReservation {
  account: string;
  localTokens: number;
  localMark: number;
  parts: readonly GrantPart[];
}

/** Dependencies of a reservation manager. */
export interface ReservationManagerOptions {
  clock: Clock;
  lender: Pick<Lender, 'refreshPool'>;
  getAccount: (name: string) => ClientAccount | undefined;
  makeRequestId: () => string;
  /** Name and incarnation of the coordinator, if it is reachable. */
  findCoordinator: (account: string, nowMs: number) => string | undefined;
  /** Sends a grant request to the coordinator, if it is reachable. */
  requestGrant: (
    requestId: string,
    account: string,
    neededTokens: number,
    wantedTokens: number,
    nowMs: number,
  ) => void;
}

/** Reserves and settles the tokens that this process may spend. */
export interface ReservationManager {
  reserve(
    account: string,
    tokens: number,
    nowMs: number,
    waitMs: number,
  ): Promise<ReserveResult>;
  settle(reservation: Reservation, usedTokens: number, nowMs: number): void;
  /** Applies a grant or, with `tokens` 0, a refusal. */
  applyGrant(
    account: string,
    grant: {
      requestId: string;
      coordinator: string;
      outcome: GrantOutcome;
      tokens: number;
      endMs: number;
      retryAfterMs: number;
    },
    nowMs: number,
  ): void;
  /** Repeats requests that were not sent to the current coordinator. */
  retryRequests(nowMs: number): void;
  /** Serves waiters after loans, units or accounts changed. */
  serveAllWaiters(nowMs: number): void;
  getGrants(account: string): HeldGrants | undefined;
  listAccounts(): Iterable<string>;
  getLastSpendMs(account: string): number;
  /** Refuses all waiters, for a shutdown. */
  refuseAll(nowMs: number): void;
}

/** Suggested retry delay for an unknown account. */
const DEFAULT_RETRY_MS = 1_000;

/** Adds demand and returns the tokens expected in the next window. */
function recordDemand(
  meter: DemandMeter,
  tokens: number,
  nowMs: number,
): number {
  const elapsed = nowMs - meter.windowStartMs;
  if (elapsed >= DEMAND_WINDOW_MS) {
    meter.previousTokens =
      elapsed < 2 * DEMAND_WINDOW_MS ? meter.currentTokens : 0;
    meter.currentTokens = 0;
    meter.windowStartMs = nowMs;
  }
  const aheadTokens = Math.max(meter.previousTokens, meter.currentTokens);
  meter.currentTokens += tokens;
  return aheadTokens;
}

/** Creates the reservation manager of one process. */
export function createReservationManager(
  options: ReservationManagerOptions,
): ReservationManager {
  const {clock, lender, getAccount} = options;
  const states = new Map<string, AccountState>();
  const openReservations = new Map<number, OpenReservation>();
  let lastReservationId = 0;

  const ensureState = (account: string): AccountState => {
    const known = states.get(account);
    if (known !== undefined) return known;
    const state: AccountState = {
      grants: createHeldGrants(),
      waiters: [],
      demand: {windowStartMs: -Infinity, currentTokens: 0, previousTokens: 0},
      lastSpendMs: -Infinity,
      serveTimer: undefined,
    };
    states.set(account, state);
    return state;
  };

  const countAvailable = (account: string, nowMs: number): number => {
    const granted = states.get(account)?.grants.countTokens(nowMs) ?? 0;
    const pool = lender.refreshPool(account, nowMs);
    return granted + (pool?.getLevel() ?? 0);
  };

  const trySpend = (
    account: string,
    tokens: number,
    nowMs: number,
  ): Reservation | undefined => {
    const state = ensureState(account);
    const available = countAvailable(account, nowMs);
    if (available + TOKEN_EPSILON < tokens) return undefined;
    const parts = state.grants.spendTokens(tokens, nowMs);
    const granted = parts.reduce((sum, part) => sum + part.tokens, 0);
    const localTokens = Math.max(0, tokens - granted);
    const pool = lender.refreshPool(account, nowMs);
    const localMark = localTokens > 0 ? (pool?.spend(localTokens) ?? 0) : 0;
    state.lastSpendMs = nowMs;
    lastReservationId += 1;
    const id = lastReservationId;
    openReservations.set(id, {
      account,
      localTokens,
      localMark,
      parts,
    });
    return {id, account, tokens};
  };

  const makeRefusal = (
    account: string,
    tokens: number,
    suggestedRetryMs: number | undefined,
    nowMs: number,
  ): ReserveResult => {
    const clientAccount = getAccount(account);
    if (clientAccount === undefined) {
      return Left({exceedsBurst: false, retryAfterMs: DEFAULT_RETRY_MS});
    }
    const missing = Math.max(0, tokens - countAvailable(account, nowMs));
    const refillMs = (missing * 1_000) / clientAccount.rateTokensPerSecond;
    const retryAfterMs = Math.ceil(Math.max(1, suggestedRetryMs ?? refillMs));
    return Left({exceedsBurst: false, retryAfterMs});
  };

  /** Time until grants and the local share can serve `waiter`. */
  const computeLocalWaitMs = (
    account: string,
    waiter: Waiter,
    nowMs: number,
  ): number => {
    const pool = lender.refreshPool(account, nowMs);
    if (pool === undefined) return Infinity;
    const granted = ensureState(account).grants.countTokens(nowMs);
    const needed = waiter.tokens - granted;
    const {capTokens, tokensPerMs} = pool.getLimits();
    if (needed > capTokens || tokensPerMs === 0) return Infinity;
    return Math.max(0, needed - pool.getLevel()) / tokensPerMs;
  };

  const serveWaiters = (account: string, nowMs: number): void => {
    const state = ensureState(account);
    state.serveTimer?.cancel();
    state.serveTimer = undefined;
    for (;;) {
      const head = state.waiters[0];
      if (head === undefined) return;
      const reservation = trySpend(account, head.tokens, nowMs);
      const isLate = nowMs >= head.deadlineMs;
      const localWaitMs = computeLocalWaitMs(account, head, nowMs);
      const isUnservable =
        head.retryAfterMs !== undefined &&
        nowMs + localWaitMs > head.deadlineMs;
      if (reservation !== undefined) {
        state.waiters.shift();
        head.resolve(Right(reservation));
      } else if (isLate || isUnservable) {
        state.waiters.shift();
        head.resolve(
          makeRefusal(account, head.tokens, head.retryAfterMs, nowMs),
        );
      } else {
        const delayMs = Math.min(head.deadlineMs - nowMs, localWaitMs);
        state.serveTimer = clock.startTimer(
          Math.max(1, Math.ceil(delayMs)),
          () => serveWaiters(account, clock.getNowMs()),
        );
        return;
      }
    }
  };

  const requestFromCoordinator = (
    account: string,
    waiter: Waiter,
    neededTokens: number,
    wantedTokens: number,
    nowMs: number,
  ): void => {
    waiter.requestId = options.makeRequestId();
    waiter.requestedCoordinator = options.findCoordinator(account, nowMs);
    waiter.retryAfterMs = undefined;
    options.requestGrant(
      waiter.requestId,
      account,
      neededTokens,
      wantedTokens,
      nowMs,
    );
  };

  /**
   * Requests the missing tokens of a waiter whose grant is too small, because
   * the local tokens it counted on have been lent to the coordinator since.
   */
  const requestShortfall = (
    account: string,
    requestId: string,
    nowMs: number,
  ): void => {
    let spare = countAvailable(account, nowMs);
    for (const waiter of ensureState(account).waiters) {
      const neededTokens = Math.max(0, waiter.tokens - spare);
      spare = Math.max(0, spare - waiter.tokens);
      if (waiter.requestId !== requestId) continue;
      if (neededTokens > TOKEN_EPSILON) {
        requestFromCoordinator(account, waiter, neededTokens, 0, nowMs);
      }
      return;
    }
  };

  return {
    reserve: (account, tokens, nowMs, waitMs) => {
      const clientAccount = getAccount(account);
      if (clientAccount !== undefined && tokens > clientAccount.burstTokens) {
        const refusal = {exceedsBurst: true, retryAfterMs: 0};
        return Promise.resolve(Left(refusal));
      }
      if (clientAccount === undefined) {
        return Promise.resolve(makeRefusal(account, tokens, undefined, nowMs));
      }
      const state = ensureState(account);
      const wantedTokens = recordDemand(state.demand, tokens, nowMs);
      if (state.waiters.length === 0) {
        const reservation = trySpend(account, tokens, nowMs);
        if (reservation !== undefined) {
          return Promise.resolve(Right(reservation));
        }
      }
      const waiting = state.waiters.reduce((sum, item) => sum + item.tokens, 0);
      const available = countAvailable(account, nowMs);
      const spare = Math.max(0, available - waiting);
      return new Promise(resolve => {
        const waiter: Waiter = {
          tokens,
          deadlineMs: nowMs + Math.max(0, waitMs),
          requestId: '',
          requestedCoordinator: undefined,
          retryAfterMs: undefined,
          resolve,
        };
        state.waiters.push(waiter);
        const neededTokens = Math.max(0, tokens - spare);
        requestFromCoordinator(
          account,
          waiter,
          neededTokens,
          wantedTokens,
          nowMs,
        );
        serveWaiters(account, nowMs);
      });
    },
    settle: (reservation, usedTokens, nowMs) => {
      const open = openReservations.get(reservation.id);
      if (open === undefined) return;
      openReservations.delete(reservation.id);
      let unused = Math.max(0, reservation.tokens - usedTokens);
      const localUnused = Math.min(unused, open.localTokens);
      if (localUnused > 0) {
        lender
          .refreshPool(open.account, nowMs)
          ?.refund(open.localMark, localUnused);
        unused -= localUnused;
      }
      const {grants} = ensureState(open.account);
      for (const part of open.parts) {
        const returned = Math.min(unused, part.tokens);
        if (returned > 0) grants.refundPart(part.requestId, returned, nowMs);
        unused -= returned;
      }
      serveWaiters(open.account, nowMs);
    },
    applyGrant: (account, grant, nowMs) => {
      const state = ensureState(account);
      state.grants.removeEndedGrants(nowMs - REFUND_RETENTION_MS);
      if (grant.tokens > 0) {
        const {requestId, coordinator, tokens, endMs} = grant;
        state.grants.addGrant(requestId, coordinator, tokens, endMs);
      } else {
        const waiter = state.waiters.find(
          item => item.requestId === grant.requestId,
        );
        if (grant.outcome === GrantOutcome.NotCoordinator) {
          if (waiter !== undefined) waiter.requestedCoordinator = undefined;
        } else if (waiter !== undefined) {
          waiter.retryAfterMs = grant.retryAfterMs;
        }
      }
      serveWaiters(account, nowMs);
      if (grant.tokens > 0) requestShortfall(account, grant.requestId, nowMs);
    },
    retryRequests: nowMs => {
      for (const [account, state] of states) {
        if (state.waiters.length === 0) continue;
        const coordinator = options.findCoordinator(account, nowMs);
        if (coordinator === undefined) continue;
        let spare = countAvailable(account, nowMs);
        for (const waiter of [...state.waiters]) {
          const neededTokens = Math.max(0, waiter.tokens - spare);
          spare = Math.max(0, spare - waiter.tokens);
          if (waiter.requestedCoordinator === coordinator) continue;
          requestFromCoordinator(account, waiter, neededTokens, 0, nowMs);
        }
      }
    },
    serveAllWaiters: nowMs => {
      for (const [account, state] of states) {
        if (state.waiters.length > 0) serveWaiters(account, nowMs);
      }
    },
    getGrants: account => states.get(account)?.grants,
    listAccounts: () => states.keys(),
    getLastSpendMs: account => states.get(account)?.lastSpendMs ?? -Infinity,
    refuseAll: nowMs => {
      for (const [account, state] of states) {
        state.serveTimer?.cancel();
        for (const waiter of state.waiters.splice(0)) {
          waiter.resolve(makeRefusal(account, waiter.tokens, undefined, nowMs));
        }
      }
    },
  };
}
