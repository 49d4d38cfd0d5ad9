/** Enforces the limits of client accounts. */
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock} from '@siskinplank/foundation';
import {MessageType, TokenOutcome} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import type {CallerRequest, ClientAccount} from '@siskinplank/serving';
import type {LimitReadings, TokenShares} from '@siskinplank/token-shares';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {RefusalCode} from './refusals';

/** Why a request got no tokens. */
export interface LimitRefusal {
  code: RefusalCode.OverLimit | RefusalCode.LimitUnknown;
  retryAfterMs: number;
  readings: LimitReadings;
}

/** Takes tokens from the limits of accounts. */
export interface AccountLimiter {
  /**
   * Takes the tokens of a request, or calls back with a refusal. Asks the home
   * of the account for tokens that are missing here, and waits for them at most
   * `patienceMs`.
   */
  take(
    account: ClientAccount,
    request: CallerRequest,
    patienceMs: number,
    onResult: (result: Either<LimitRefusal, number>) => void,
  ): void;
  /** Returns the tokens of a request that has not run. */
  refund(account: ClientAccount, tokens: number): void;
  /** Returns false for messages that do not concern tokens. */
  handleMessage(peer: string, message: Message): boolean;
}

/** What `createAccountLimiter` needs. */
export interface AccountLimiterOptions {
  ownName: string;
  shares: TokenShares;
  clock: Clock;
  /** Returns false when there is no link to the peer. */
  sendTo(peer: string, message: Message): boolean;
  /** When the last message of a peer arrived. */
  getLastSeenAtMs(peer: string): number | undefined;
}

/** Longest wait for a reply; a refusal costs the caller more time than this. */
const REPLY_TIMEOUT_MS = 400;
/** A home that does not reply and was silent for this long is passed over. */
const SILENCE_MS = 500;
/** Homes that a request asks in turn. */
const MAX_HOMES = 3;
const MIN_RETRY_AFTER_MS = 100;
/** Retry-After when no home replied: the fleet is being restarted or is cut. */
const UNKNOWN_RETRY_AFTER_MS = 300;

type TokenGrant = MessageOf<MessageType.TokenGrant>;

interface WaitingRequest {
  id: number;
  account: string;
  tokens: number;
  endsAtMs: number;
  home: string;
  /** Counts the times that it asked. */
  round: number;
  /** Number of homes that were asked. */
  homes: number;
  onResult: (result: Either<LimitRefusal, number>) => void;
}

/** Tokens charged to the account; 1 if its limit counts requests. */
export function countTokens(
  account: ClientAccount,
  request: CallerRequest,
): number {
  if (!account.countsTokens) return 1;
  const {promptTokens, maxOutputTokens} = request;
  if (promptTokens === undefined || maxOutputTokens === undefined) {
    return account.defaultRequestTokens;
  }
  return promptTokens + maxOutputTokens;
}

/** Key of a waiting request that is unique over all gateways. */
function formatKey(gateway: string, id: number): string {
  return `${gateway}/${id}`;
}

/** Creates a limiter without waiting requests. */
export function createAccountLimiter(
  options: AccountLimiterOptions,
): AccountLimiter {
  const {ownName, shares, clock} = options;
  const waiting = new Map<number, WaitingRequest>();
  let lastId = 0;

  const endWait = (
    item: WaitingRequest,
    result: Either<LimitRefusal, number>,
  ): void => {
    waiting.delete(item.id);
    item.onResult(result);
  };

  const refuse = (
    item: WaitingRequest,
    code: LimitRefusal['code'],
    retryAfterMs: number,
  ): void =>
    endWait(
      item,
      Left({
        code,
        retryAfterMs,
        readings: shares.describeLimit(item.account, clock.getNowMs()),
      }),
    );

  /** Calls back unless the request was answered or asked again meanwhile. */
  const startRoundTimer = (
    item: WaitingRequest,
    delayMs: number,
    callback: () => void,
  ): void => {
    const {round} = item;
    startWaitTimer(clock, delayMs, () => {
      if (waiting.get(item.id) === item && item.round === round) callback();
    });
  };

  /** Asks the next home if another one is chosen in place of the last. */
  const askNextHome = (item: WaitingRequest): void => {
    item.homes += 1;
    const isSame = shares.findHome(item.account) === item.home;
    if (isSame || item.homes >= MAX_HOMES) {
      refuse(item, RefusalCode.LimitUnknown, UNKNOWN_RETRY_AFTER_MS);
      return;
    }
    askHome(item);
  };

  const handleTimeout = (item: WaitingRequest): void => {
    const nowMs = clock.getNowMs();
    const seenAtMs = options.getLastSeenAtMs(item.home) ?? -Infinity;
    if (nowMs - seenAtMs >= SILENCE_MS) {
      shares.markUnresponsive(item.home, nowMs);
    }
    // The time is lost to the request, not to its wait for tokens.
    item.endsAtMs += REPLY_TIMEOUT_MS;
    askNextHome(item);
  };

  const handleGrant = (
    item: WaitingRequest,
    {
      outcome,
      tokens,
      waitMs,
    }: Pick<TokenGrant, 'outcome' | 'tokens' | 'waitMs'>,
  ): void => {
    item.round += 1;
    switch (outcome) {
      case TokenOutcome.Granted:
        if (tokens > item.tokens) {
          const extraTokens = tokens - item.tokens;
          shares.deposit(item.account, extraTokens, clock.getNowMs());
        }
        endWait(item, Right(item.tokens));
        return;
      case TokenOutcome.Promised:
        startRoundTimer(item, waitMs, () => askHome(item));
        return;
      case TokenOutcome.OverLimit:
        refuse(
          item,
          RefusalCode.OverLimit,
          Math.max(MIN_RETRY_AFTER_MS, waitMs),
        );
        return;
      case TokenOutcome.Unavailable:
        // It says so in its next state, too.
        shares.markUnresponsive(item.home, clock.getNowMs());
        askNextHome(item);
    }
  };

  const askHome = (item: WaitingRequest): void => {
    const nowMs = clock.getNowMs();
    const {id, account, tokens} = item;
    item.round += 1;
    item.home = shares.findHome(account);
    const demand = {
      account,
      tokens,
      wantedTokens: shares.computeWanted(account, nowMs),
      patienceMs: Math.max(0, item.endsAtMs - nowMs),
    };
    if (item.home === ownName) {
      const key = formatKey(ownName, id);
      handleGrant(item, shares.grant({...demand, key}, nowMs));
      return;
    }
    const isSent = options.sendTo(item.home, {
      type: MessageType.TokenRequest,
      requestId: id,
      ...demand,
    });
    if (!isSent) {
      shares.markUnresponsive(item.home, nowMs);
      askNextHome(item);
      return;
    }
    startRoundTimer(item, REPLY_TIMEOUT_MS, () => handleTimeout(item));
  };

  const replyTo = (
    peer: string,
    {requestId, ...demand}: MessageOf<MessageType.TokenRequest>,
  ): void => {
    const nowMs = clock.getNowMs();
    const key = formatKey(peer, requestId);
    const grant = shares.grant({...demand, key}, nowMs);
    const {account} = demand;
    const isSent = options.sendTo(peer, {
      type: MessageType.TokenGrant,
      requestId,
      account,
      ...grant,
    });
    if (!isSent) shares.refund(account, grant.tokens, nowMs);
  };

  const receiveGrant = (peer: string, grant: TokenGrant): void => {
    const nowMs = clock.getNowMs();
    shares.markResponsive(peer, nowMs);
    const item = waiting.get(grant.requestId);
    if (item?.home === peer) {
      handleGrant(item, grant);
      return;
    }
    // The request has asked elsewhere since.
    shares.refund(grant.account, grant.tokens, nowMs);
  };

  return {
    take: (account, request, patienceMs, onResult) => {
      const nowMs = clock.getNowMs();
      const tokens = countTokens(account, request);
      if (shares.trySpend(account.name, tokens, nowMs)) {
        onResult(Right(tokens));
        return;
      }
      lastId += 1;
      const item: WaitingRequest = {
        id: lastId,
        account: account.name,
        tokens,
        endsAtMs: nowMs + patienceMs,
        home: ownName,
        round: 0,
        homes: 0,
        onResult,
      };
      waiting.set(item.id, item);
      askHome(item);
    },
    refund: (account, tokens) =>
      shares.refund(account.name, tokens, clock.getNowMs()),
    handleMessage: (peer, message) => {
      switch (message.type) {
        case MessageType.TokenRequest:
          replyTo(peer, message);
          return true;
        case MessageType.TokenGrant:
          receiveGrant(peer, message);
          return true;
        case MessageType.TokenReturn:
          shares.depositReturns(message.tokens, clock.getNowMs());
          return true;
        default:
          return false;
      }
    },
  };
}
