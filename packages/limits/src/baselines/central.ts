/** Baseline limiter: one host has all tokens and grants every request. */
import {
  GrantOutcome,
  MemberState,
  MessageType,
  ProcessRole,
} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import {Left, Right} from 'purify-ts';
import {computePoolLimits} from '../lender';
import type {AccountLimiterOptions} from '../limiter';
import {chooseCoordinator} from '../rendezvous';
import {createTokenPool} from '../token-pool';
import type {TokenPool} from '../token-pool';
import type {AccountLimiter} from '../types';

const DEFAULT_RETRY_MS = 1_000;
/** Bucket of all accounts, so that they have the same central host. */
const CENTRAL_BUCKET = 0;

interface WaitingRequest {
  resolve: (grant: MessageOf<MessageType.Grant> | undefined) => void;
}

/**
 * Creates a limiter that sends each request to one live host, chosen by
 * rendezvous hashing. A request is refused when that host does not reply. A
 * new central host starts with full pools, so limits are not exact across a
 * change.
 */
export function createCentralLimiter(
  options: AccountLimiterOptions,
): AccountLimiter {
  const {configuration, membership, network, clock, identity} = options;
  const pools = new Map<string, TokenPool>();
  const waiting = new Map<string, WaitingRequest>();
  const openRequests = new Map<number, {host: string; requestId: string}>();
  /** Marks of the tokens that this process granted as the central host. */
  const marks = new Map<string, {mark: number; tokens: number}>();
  let lastId = 0;
  let unsubscribe: (() => void) | undefined;

  const findCentralHost = (nowMs: number): string | undefined => {
    const names = membership
      .listMembers(nowMs)
      .filter(
        member =>
          member.role === ProcessRole.Entry &&
          member.state === MemberState.Live,
      )
      .map(member => member.name);
    return chooseCoordinator(CENTRAL_BUCKET, names);
  };

  const refreshPool = (name: string, nowMs: number): TokenPool | undefined => {
    const account = configuration.getObject(
      ResourceKind.ClientAccount,
      name,
    )?.value;
    if (account === undefined) return undefined;
    const limits = computePoolLimits(account, 1, 1);
    const pool =
      pools.get(name) ?? createTokenPool(limits, limits.capTokens, nowMs);
    pools.set(name, pool);
    pool.accrue(nowMs);
    pool.setLimits(limits);
    return pool;
  };

  const grantTokens = (
    message: MessageOf<MessageType.GrantRequest>,
    nowMs: number,
  ): MessageOf<MessageType.Grant> => {
    const {requestId, account, neededTokens} = message;
    const grant = {
      type: MessageType.Grant,
      requestId,
      account,
      outcome: GrantOutcome.Refused,
      tokens: 0,
      durationMs: 0,
      retryAfterMs: DEFAULT_RETRY_MS,
    } as const;
    const pool = refreshPool(account, nowMs);
    if (pool === undefined) return grant;
    const missing = neededTokens - pool.getLevel();
    if (missing > 0) {
      return {...grant, retryAfterMs: missing / pool.getLimits().tokensPerMs};
    }
    marks.set(requestId, {
      mark: pool.spend(neededTokens),
      tokens: neededTokens,
    });
    return {
      ...grant,
      outcome: GrantOutcome.Granted,
      tokens: neededTokens,
      retryAfterMs: 0,
    };
  };

  const refundTokens = (message: MessageOf<MessageType.GrantReturn>): void => {
    for (const report of message.reports) {
      const found = marks.get(report.requestId);
      if (found === undefined) continue;
      marks.delete(report.requestId);
      refreshPool(message.account, clock.getNowMs())?.refund(
        found.mark,
        Math.min(found.tokens, report.refundedTokens),
      );
    }
  };

  const sendTo = (host: string, message: Message): boolean => {
    const member = membership.getMember(host);
    if (member === undefined) return false;
    const address = {host: member.host, port: member.port};
    return network.getLink(address)?.send(message) ?? false;
  };

  const requestFromCentralHost = (
    host: string,
    message: MessageOf<MessageType.GrantRequest>,
    nowMs: number,
  ): Promise<MessageOf<MessageType.Grant> | undefined> => {
    if (host === identity.name) {
      return Promise.resolve(grantTokens(message, nowMs));
    }
    return new Promise(resolve => {
      const timer = clock.startTimer(options.settings.reserveWaitMs, () => {
        waiting.delete(message.requestId);
        resolve(undefined);
      });
      waiting.set(message.requestId, {
        resolve: grant => {
          timer.cancel();
          resolve(grant);
        },
      });
      sendTo(host, message);
    });
  };

  return {
    start: () => {
      unsubscribe = network.subscribe(
        [MessageType.GrantRequest, MessageType.Grant, MessageType.GrantReturn],
        (link, message) => {
          if (message.type === MessageType.GrantRequest) {
            link.send(grantTokens(message, clock.getNowMs()));
          } else if (message.type === MessageType.GrantReturn) {
            refundTokens(message);
          } else {
            waiting.get(message.requestId)?.resolve(message);
            waiting.delete(message.requestId);
          }
        },
      );
      return Promise.resolve();
    },
    stop: () => {
      unsubscribe?.();
      return Promise.resolve();
    },
    reserve: async (account, tokens, nowMs) => {
      const found = configuration.getObject(
        ResourceKind.ClientAccount,
        account,
      )?.value;
      if (found !== undefined && tokens > found.burstTokens) {
        return Left({exceedsBurst: true, retryAfterMs: 0});
      }
      const host = findCentralHost(nowMs);
      lastId += 1;
      const id = lastId;
      const requestId = `${identity.incarnation}-${id}`;
      const grant =
        host === undefined
          ? undefined
          : await requestFromCentralHost(
              host,
              {
                type: MessageType.GrantRequest,
                requestId,
                account,
                neededTokens: tokens,
                wantedTokens: 0,
                reports: [],
              },
              nowMs,
            );
      if (host === undefined || grant === undefined || grant.tokens === 0) {
        const retryAfterMs = Math.ceil(grant?.retryAfterMs ?? DEFAULT_RETRY_MS);
        return Left({exceedsBurst: false, retryAfterMs});
      }
      openRequests.set(id, {host, requestId});
      return Right({id, account, tokens});
    },
    settle: (reservation, usedTokens) => {
      const open = openRequests.get(reservation.id);
      if (open === undefined) return;
      openRequests.delete(reservation.id);
      const message: MessageOf<MessageType.GrantReturn> = {
        type: MessageType.GrantReturn,
        account: reservation.account,
        reports: [
          {
            requestId: open.requestId,
            spentTokens: 0,
            returnedTokens: 0,
            refundedTokens: Math.max(0, reservation.tokens - usedTokens),
          },
        ],
      };
      if (open.host === identity.name) refundTokens(message);
      else sendTo(open.host, message);
    },
  };
}
