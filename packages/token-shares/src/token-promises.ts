/**
 * Tokens that the home of an account promised to requests that wait for them,
 * first come first served. Without promises, small requests would take the
 * tokens that a large one waits for.
 */

/** Promises of one account. */
export interface TokenPromises {
  /** Tokens promised to requests ahead of this one; to all if it has none. */
  sumAhead(key: string, nowMs: number): number;
  /** Adds or extends a promise; a request keeps its place. */
  set(key: string, tokens: number, endsAtMs: number): void;
  remove(key: string): void;
}

/** Creates an account without promises. */
export function createTokenPromises(): TokenPromises {
  const promises = new Map<string, {tokens: number; endsAtMs: number}>();
  return {
    sumAhead: (key, nowMs) => {
      let sum = 0;
      for (const [other, {tokens, endsAtMs}] of promises) {
        if (other === key) break;
        if (nowMs >= endsAtMs) promises.delete(other);
        else sum += tokens;
      }
      return sum;
    },
    set: (key, tokens, endsAtMs) => void promises.set(key, {tokens, endsAtMs}),
    remove: key => void promises.delete(key),
  };
}
