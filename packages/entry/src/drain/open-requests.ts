/** Open requests of an entry process, to abort them or to wait for them. */
import type {Refusal} from '../refusals';

/** An open request. */
export interface OpenRequest {
  keyId: string | undefined;
  account: string | undefined;
  /** Aborts the request with a refusal. */
  abort(reason: Refusal): void;
}

/** All open requests. */
export interface OpenRequests {
  /** Adds a request; the returned function removes it. */
  add(request: OpenRequest): () => void;
  count(): number;
  /**
   * Aborts the requests that `isAffected` selects, newest first, and returns
   * their number.
   */
  abortMatching(
    isAffected: (request: OpenRequest) => boolean,
    reason: Refusal,
  ): number;
  /** Resolves when no request is open. */
  waitIdle(): Promise<void>;
}

/** Creates an empty set of open requests. */
export function createOpenRequests(): OpenRequests {
  const requests = new Set<OpenRequest>();
  let waiters: Array<() => void> = [];
  return {
    add: request => {
      requests.add(request);
      return () => {
        requests.delete(request);
        if (requests.size > 0) return;
        for (const resolve of waiters) resolve();
        waiters = [];
      };
    },
    count: () => requests.size,
    abortMatching: (isAffected, reason) => {
      // When a running request ends, the side process starts the next one from
      // its queue, so queued requests, which are newer, are aborted first.
      const affected = [...requests].filter(isAffected).reverse();
      for (const request of affected) request.abort(reason);
      return affected.length;
    },
    waitIdle: () =>
      requests.size === 0
        ? Promise.resolve()
        : new Promise(resolve => void waiters.push(resolve)),
  };
}
