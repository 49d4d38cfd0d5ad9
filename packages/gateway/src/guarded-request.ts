/** What the guard against requests that end upstreams knows a request by. */
import {computeRequestFingerprint, listSharedParts} from '@siskinplank/serving';
import type {AdmittedRequest} from './session-types';

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
