/** What the guard against requests that end upstreams knows a request by. */
import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import type {ExchangeFailure} from '@siskinplank/http-exchange';
import {
  RequestKind,
  computeRequestFingerprint,
  listSharedParts,
} from '@siskinplank/serving';
import type {Route} from '@siskinplank/serving';
import type {BrokenRequest} from './request-guard';
import type {AdmittedRequest} from './session-types';
import type {Attempt} from './upstream-attempt';

/** A request as the guard knows it. */
export interface GuardedRequest {
  /** Shared parts of its prompt. */
  parts: readonly string[];
  /**
   * Identifies the whole request. It is computed when it is needed, which is
   * seldom, since that takes time for long bodies.
   */
  getFingerprint(): string;
}

/** Creates the guard's view of a request. */
export function createGuardedRequest({
  request,
  account,
  body,
}: Pick<AdmittedRequest, 'request' | 'account' | 'body'>): GuardedRequest {
  let fingerprint: string | undefined;
  return {
    parts: listSharedParts(request.promptParts),
    getFingerprint: () => {
      const identity = {request, account: account?.name, body};
      fingerprint ??= computeRequestFingerprint(identity);
      return fingerprint;
    },
  };
}

/** Evidence from a failed attempt; undefined if it shows nothing. */
export type BrokenObserver = (
  attempt: Attempt,
  failure: ExchangeFailure,
) => BrokenRequest | undefined;

/**
 * Creates an observer of the attempts whose connection was lost before the
 * upstream answered.
 */
export function createBrokenObserver(
  guarded: GuardedRequest,
  route: Route,
): BrokenObserver {
  let brokenCount = 0;
  return (attempt, failure) => {
    const isBroken = failure.code === ExchangeFailureCode.BrokenOff;
    if (!isBroken || attempt.isAnswering()) return undefined;
    brokenCount += 1;
    // Only streams have a head long before the rest of their response.
    const hasBegun =
      route.kind === RequestKind.Stream &&
      attempt.getHead() !== undefined &&
      !attempt.hasEvents();
    return {...guarded, hasBegun, isRepeated: brokenCount > 1};
  };
}
