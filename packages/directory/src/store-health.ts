/** Whether the store responds, derived from the calls of all watchers. */

/** A call of a watcher that ended. */
export interface StoreCall {
  watcher: string;
  sentAtMs: number;
  endedAtMs: number;
}

/** Connection state of the store, as seen by one process. */
export interface StoreHealth {
  /** Records an answer as of a revision. */
  recordAnswer(call: StoreCall, revision: number): void;
  /**
   * Records a failed call. It says nothing of the store, only of its connection,
   * while calls that were sent later are answered all the time.
   */
  recordFailure(call: StoreCall): void;
  /** Records that an answer of an earlier call was lost. */
  recordLoss(nowMs: number): void;
  /**
   * End of the last outage: `nowMs` while the store is unreachable, and
   * -Infinity if it never was.
   */
  getOutageEndMs(nowMs: number): number;
  /** When a call was last answered; undefined before the first answer. */
  getAnsweredAtMs(): number | undefined;
  /** Highest revision of all answers; 0 before the first. */
  getRevision(): number;
  /** Registers a callback for each answer that raises the revision. */
  observeRevisions(callback: (revision: number) => void): void;
  /**
   * Registers a callback for the first answer after a failed call or a lost
   * answer. A call that was sent before `sentBeforeMs` may have lost its answer
   * too, and then ends only by its timeout.
   */
  observeRecoveries(callback: (sentBeforeMs: number) => void): void;
}

/**
 * Creates the health of a store that counts as reachable.
 *
 * @param maxAnswerGapMs longest time between two answers while the store
 *     responds, in milliseconds; by default each failure counts as an outage.
 */
export function createStoreHealth(maxAnswerGapMs = 0): StoreHealth {
  const disconnected = new Set<string>();
  const revisionCallbacks: Array<(revision: number) => void> = [];
  const recoveryCallbacks: Array<(sentBeforeMs: number) => void> = [];
  let reconnectedAtMs = -Infinity;
  let lastAnswered: StoreCall | undefined;
  let revision = 0;
  /** Time of the last failure or loss until a later call is answered. */
  let failedAtMs: number | undefined;
  return {
    recordAnswer: (call, answeredRevision) => {
      const {watcher, sentAtMs, endedAtMs} = call;
      lastAnswered = call;
      if (disconnected.delete(watcher)) reconnectedAtMs = endedAtMs;
      if (failedAtMs !== undefined && sentAtMs >= failedAtMs) {
        failedAtMs = undefined;
        for (const callback of recoveryCallbacks) callback(sentAtMs);
      }
      if (answeredRevision <= revision) return;
      revision = answeredRevision;
      for (const callback of revisionCallbacks) callback(revision);
    },
    recordFailure: ({watcher, sentAtMs, endedAtMs}) => {
      failedAtMs = endedAtMs;
      const isStoreAnswering =
        lastAnswered !== undefined &&
        lastAnswered.sentAtMs > sentAtMs &&
        endedAtMs - lastAnswered.endedAtMs < maxAnswerGapMs;
      if (!isStoreAnswering) disconnected.add(watcher);
    },
    recordLoss: nowMs => {
      failedAtMs = nowMs;
    },
    getOutageEndMs: nowMs => (disconnected.size > 0 ? nowMs : reconnectedAtMs),
    getAnsweredAtMs: () => lastAnswered?.endedAtMs,
    getRevision: () => revision,
    observeRevisions: callback => void revisionCallbacks.push(callback),
    observeRecoveries: callback => void recoveryCallbacks.push(callback),
  };
}
