/**
 * Refuses requests under which upstreams ended. Side processes report the ends,
 * also those under requests of other entry processes.
 */
import type {Logger} from '@siskinplank/foundation';
import {rankMembers} from '@siskinplank/membership';
import {
  MemberState,
  ProcessRole,
  computeRequestKey,
} from '@siskinplank/messages';
import type {Member, MessageOf, MessageType} from '@siskinplank/messages';
import {createDeadlyRequests} from '@siskinplank/poison-prompts';
import {RefusalCode} from '@siskinplank/resources';
import {REQUEST_POISONED} from '../events';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';
import {makeAccountTag} from '../requests/account-tag';
import type {CallerRequest} from '../requests/types';

/** Dependencies of the guard. */
export interface PoisonGuardDependencies {
  processName: string;
  logger: Logger;
  /** All members, this process included. */
  listMembers(): readonly Member[];
  /** Key of the hash that replaces account names. */
  hashKey: Uint8Array;
}

/** Guards upstreams against one request. */
export interface RequestGuard {
  /** Refusal of the request; undefined if it may be sent to an upstream. */
  check(nowMs: number): Refusal | undefined;
  /**
   * Records that an upstream answered. Returns the key of the request if an
   * upstream had ended under it, which other entry processes may know.
   */
  recordAnswer(nowMs: number): string | undefined;
}

/** Guards upstreams against the requests of one entry process. */
export interface PoisonGuard {
  recordEnd(message: MessageOf<MessageType.UpstreamEnded>, nowMs: number): void;
  /** Records that an upstream answered a request of another entry process. */
  recordAnswer(requestKey: string, nowMs: number): void;
  guardRequest(request: CallerRequest): RequestGuard;
}

/** Bound of the memory; the record of the ends has the same. */
const MAX_REQUESTS = 1_024;

/** Creates a guard that knows no end. */
export function createPoisonGuard(deps: PoisonGuardDependencies): PoisonGuard {
  const isTrialOwner = (key: string): boolean => {
    const entries = deps
      .listMembers()
      .filter(
        ({role, state}) =>
          role === ProcessRole.Entry && state === MemberState.Live,
      );
    const [owner] = rankMembers(entries, key);
    return owner === undefined || owner.name === deps.processName;
  };
  const record = createDeadlyRequests({isTrialOwner});
  /** Time of the last end by request key, the least recent first. */
  const lastEnds = new Map<string, number>();

  const getLastEndMs = (requestKey: string): number =>
    lastEnds.get(requestKey) ?? -Infinity;

  const putLastEnd = (requestKey: string, nowMs: number): void => {
    lastEnds.delete(requestKey);
    lastEnds.set(requestKey, nowMs);
    if (lastEnds.size <= MAX_REQUESTS) return;
    const [oldest] = lastEnds.keys();
    lastEnds.delete(oldest);
  };

  const recordAnswer = (requestKey: string, nowMs: number): void => {
    lastEnds.delete(requestKey);
    record.recordAnswer(requestKey, nowMs);
  };

  const makePoisonedRefusal = (retryAfterMs: number): Refusal =>
    makeRefusal(
      RefusalCode.PoisonedRequest,
      'Upstreams ended while they ran this request; it is not sent to another one at present.',
      {retryAfterMs},
    );

  return {
    recordEnd: ({upstream, endId, requests}, nowMs) => {
      for (const [requestKey, ranMs] of requests) {
        const wasRefused = record.isRefused(requestKey);
        const isRepeated =
          record.has(requestKey) && nowMs - ranMs >= getLastEndMs(requestKey);
        // The response may have begun, but one end proves nothing: the others
        // at the upstream are reported alike.
        const end = {upstream: endId, hasBegun: false, isRepeated};
        record.recordEnd(requestKey, end, nowMs);
        putLastEnd(requestKey, nowMs);
        if (!wasRefused && record.isRefused(requestKey)) {
          deps.logger.log(REQUEST_POISONED, {requestKey, upstream});
        }
      }
    },
    recordAnswer,
    guardRequest: request => {
      let requestKey: string | undefined;
      let trialAtMs: number | undefined;
      const getKey = (): string => {
        const {method, path, body} = request;
        const name = request.identity?.account.name;
        const accountTag = makeAccountTag(deps.hashKey, name);
        requestKey ??= computeRequestKey({accountTag, method, path, body});
        return requestKey;
      };
      return {
        check: nowMs => {
          // Avoids hashing the body of each request.
          if (record.isEmpty()) return undefined;
          const key = getKey();
          // A test may go on elsewhere until it ends an upstream.
          if (trialAtMs !== undefined && getLastEndMs(key) < trialAtMs) {
            return undefined;
          }
          const verdict = record.checkRequest(key, nowMs);
          if (verdict.isTrial) trialAtMs = nowMs;
          return verdict.isRefused
            ? makePoisonedRefusal(verdict.retryAfterMs)
            : undefined;
        },
        recordAnswer: nowMs => {
          if (record.isEmpty() || !record.has(getKey())) return undefined;
          recordAnswer(getKey(), nowMs);
          return getKey();
        },
      };
    },
  };
}
