/** Watches one directory of the store and tracks how current the copy is. */
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  DIRECTORY_DISCONNECTED,
  DIRECTORY_RECONNECTED,
  ENTRY_MALFORMED,
  WATCH_RESTARTED,
} from './events';
import {StoreFailureCode} from './types';
import {createStoreHealth} from './store-health';
import type {StoreHealth} from './store-health';
import type {Directory, MalformedEntry, StoreFailure} from './types';

/** Options of `createDirectoryWatcher`. */
export interface DirectoryWatcherOptions<T> {
  name: string;
  directory: Directory<T>;
  /** Maximum wait of one watch call, in milliseconds. */
  watchWaitMs: number;
  /** Delay before a failed call is retried, in milliseconds. */
  retryDelayMs: number;
  /**
   * Returns the delay between received changes and the next watch call, in
   * milliseconds, so that one call collects several changes; 0 means no delay.
   */
  getBatchDelayMs(): number;
  /** Shared by the watchers of one process; by default this one's own. */
  storeHealth?: StoreHealth;
  /**
   * Time in which a waiting watch must answer after another call has shown a
   * later revision, in milliseconds; then it is restarted, since its answer may
   * be lost. Unlimited by default: each change of another kind costs a restart.
   */
  maxAnswerDelayMs?: number;
  clock: Clock;
  logger: Logger;
  /** Receives a complete list, which replaces all earlier entries. */
  onList(items: ReadonlyMap<string, T>, nowMs: number, revision: number): void;
  /** Receives a change; undefined if the entry was removed or is malformed. */
  onChange(
    name: string,
    item: T | undefined,
    nowMs: number,
    revision: number,
  ): void;
  /** Called after all entries of one list or watch call. */
  onBatchEnd(nowMs: number): void;
  /** Called when calls start to fail or succeed again, before their changes. */
  onConnectionChange?(isConnected: boolean, nowMs: number): void;
}

/** Watches a directory until it is stopped. */
export interface DirectoryWatcher {
  start(): void;
  stop(): void;
  /** Lists all entries again while the current watch call goes on. */
  refresh(): Promise<void>;
  /**
   * Monotonic time as of which the copy is known to be complete: the send time
   * of the last successful call. Undefined before the first list.
   */
  getConfirmedAtMs(): number | undefined;
  /** Whether the last call succeeded. */
  isConnected(): boolean;
  /** Revision up to which the copy is complete; 0 before the first list. */
  getRevision(): number;
}

/** Why a watch call is ended and sent again. */
enum RestartReason {
  /** The store answered another call for the first time after a failure. */
  Recovery = 'recovery',
  /** Another call has shown a later revision. */
  LaterRevision = 'later-revision',
}

/** A watch call that waits for its answer. */
interface WaitingWatch {
  sentAtMs: number;
  abort: AbortController;
  /** Whether the time for its answer is limited already. */
  isLimited: boolean;
}

/** Changes of other kinds come in series, and each restart costs two calls. */
const LIMIT_PERIOD_MS = 1_500;
/** Names and reasons of malformed entries are cut to this length in logs. */
const MAX_LOGGED_LENGTH = 300;
/** Malformed entries that are remembered, so that each is reported once. */
const MAX_REMEMBERED_ENTRIES = 2_000;

/** Creates a watcher that does nothing before `start`. */
export function createDirectoryWatcher<T>(
  options: DirectoryWatcherOptions<T>,
): DirectoryWatcher {
  const {name, directory, clock, logger} = options;
  const storeHealth = options.storeHealth ?? createStoreHealth();
  let isRunning = false;
  let hasReceivedChanges = false;
  let revision: number | undefined;
  /** Last known revision, kept while the directory is listed again. */
  let lastRevision = 0;
  let confirmedAtMs: number | undefined;
  let isConnected = true;
  let failedCalls = 0;
  let disconnectedAtMs = 0;
  let waiting: WaitingWatch | undefined;
  /** When the last limit ends that another call has set to a watch. */
  let limitedAtMs = -Infinity;
  /** Set until the call after an aborted watch is sent. */
  let restartReason: RestartReason | undefined;
  /** Entries already reported as malformed, with the reason. */
  const reportedMalformed = new Map<string, string>();

  const reportMalformed = (entries: readonly MalformedEntry[]): void => {
    for (const malformed of entries) {
      const entry = malformed.name.slice(0, MAX_LOGGED_LENGTH);
      const reason = malformed.reason.slice(0, MAX_LOGGED_LENGTH);
      if (reportedMalformed.get(entry) === reason) continue;
      reportedMalformed.delete(entry);
      reportedMalformed.set(entry, reason);
      logger.log(ENTRY_MALFORMED, {directory: name, entry, reason});
    }
    for (const oldest of reportedMalformed.keys()) {
      if (reportedMalformed.size <= MAX_REMEMBERED_ENTRIES) break;
      reportedMalformed.delete(oldest);
    }
  };

  /** Must be called before the changes of the response are passed on. */
  const recordAnswer = (
    nextRevision: number,
    sentAtMs: number,
    nowMs: number,
  ): void => {
    storeHealth.recordAnswer(
      {watcher: name, sentAtMs, endedAtMs: nowMs},
      nextRevision,
    );
    if (isConnected) return;
    isConnected = true;
    logger.log(DIRECTORY_RECONNECTED, {
      directory: name,
      revision: nextRevision,
      failedCalls,
      disconnectedMs: Math.round(nowMs - disconnectedAtMs),
      callMs: Math.round(nowMs - sentAtMs),
    });
    failedCalls = 0;
    options.onConnectionChange?.(true, nowMs);
  };

  const recordConfirmed = (sentAtMs: number): void => {
    confirmedAtMs = Math.max(confirmedAtMs ?? -Infinity, sentAtMs);
  };

  const updateConfirmed = (sentAtMs: number, nextRevision: number): void => {
    recordConfirmed(sentAtMs);
    revision = Math.max(revision ?? 0, nextRevision);
    lastRevision = revision;
  };

  const handleFailure = (
    {code, reason}: StoreFailure,
    sentAtMs: number,
  ): void => {
    // A stop closes the connections under the calls that wait.
    if (!isRunning) return;
    const nowMs = clock.getNowMs();
    const answeredAtMs = storeHealth.getAnsweredAtMs();
    storeHealth.recordFailure({watcher: name, sentAtMs, endedAtMs: nowMs});
    failedCalls += 1;
    if (!isConnected) return;
    isConnected = false;
    disconnectedAtMs = nowMs;
    logger.log(DIRECTORY_DISCONNECTED, {
      directory: name,
      code,
      reason,
      revision,
      waitedMs: Math.round(nowMs - sentAtMs),
      answeredAgoMs:
        answeredAtMs === undefined
          ? undefined
          : Math.round(nowMs - answeredAtMs),
      confirmedAgoMs:
        confirmedAtMs === undefined
          ? undefined
          : Math.round(nowMs - confirmedAtMs),
    });
    options.onConnectionChange?.(false, nowMs);
  };

  /** Lists everything; false when the call failed. */
  const listOnce = async (): Promise<boolean> => {
    const sentAtMs = clock.getNowMs();
    const knownRevision = lastRevision;
    const listed = await directory.list();
    return listed.caseOf({
      Left: failure => {
        handleFailure(failure, sentAtMs);
        return false;
      },
      Right: list => {
        const nowMs = clock.getNowMs();
        reportMalformed(list.malformed);
        recordAnswer(list.revision, sentAtMs, nowMs);
        // A concurrent watch may already have passed on later changes.
        const isOutdated =
          lastRevision !== knownRevision && list.revision < lastRevision;
        if (isOutdated) {
          recordConfirmed(sentAtMs);
          return true;
        }
        if (list.revision >= (revision ?? 0)) {
          options.onList(list.items, nowMs, list.revision);
          options.onBatchEnd(nowMs);
        }
        updateConfirmed(sentAtMs, list.revision);
        return true;
      },
    });
  };

  /** Waits for changes; false when the call failed. */
  const watchOnce = async (fromRevision: number): Promise<boolean> => {
    const sentAtMs = clock.getNowMs();
    const abort = new AbortController();
    waiting = {sentAtMs, abort, isLimited: false};
    const restartedFor = restartReason;
    restartReason = undefined;
    // Confirms the copy at once, which an idle watch does only after its wait.
    const waitMs = restartedFor === undefined ? options.watchWaitMs : 0;
    const watched = await directory.watch(fromRevision, waitMs, abort.signal);
    waiting = undefined;
    return watched.caseOf({
      Left: failure => {
        // The next watch starts from the same revision and so misses nothing.
        if (abort.signal.aborted) return true;
        // List next: a list returns each entry once, while a watch repeats all
        // versions since the revision, and it shows at once whether the store
        // responds again.
        revision = undefined;
        if (failure.code === StoreFailureCode.HistoryLost) return true;
        handleFailure(failure, sentAtMs);
        return false;
      },
      Right: ({changes, malformed, revision: nextRevision}) => {
        const nowMs = clock.getNowMs();
        reportMalformed(malformed);
        const isLossShown =
          restartedFor === RestartReason.LaterRevision && changes.length > 0;
        if (isLossShown) storeHealth.recordLoss(sentAtMs);
        recordAnswer(nextRevision, sentAtMs, nowMs);
        // A concurrent list already contained these changes.
        if (nextRevision < (revision ?? 0)) return true;
        for (const change of changes) {
          options.onChange(change.name, change.item, nowMs, nextRevision);
        }
        if (changes.length > 0) {
          options.onBatchEnd(nowMs);
          hasReceivedChanges = true;
        }
        updateConfirmed(sentAtMs, nextRevision);
        return true;
      },
    });
  };

  const restartWatch = (watch: WaitingWatch, reason: RestartReason): void => {
    logger.log(WATCH_RESTARTED, {
      directory: name,
      reason,
      revision,
      shownRevision: storeHealth.getRevision(),
      waitedMs: Math.round(clock.getNowMs() - watch.sentAtMs),
    });
    restartReason = reason;
    watch.abort.abort();
  };

  storeHealth.observeRecoveries(sentBeforeMs => {
    if (waiting === undefined || waiting.sentAtMs >= sentBeforeMs) return;
    restartWatch(waiting, RestartReason.Recovery);
  });

  storeHealth.observeRevisions(shownRevision => {
    const watch = waiting;
    if (options.maxAnswerDelayMs === undefined || watch === undefined) return;
    if (watch.isLimited || shownRevision <= lastRevision) return;
    watch.isLimited = true;
    const nowMs = clock.getNowMs();
    const delayMs = Math.max(
      options.maxAnswerDelayMs,
      limitedAtMs + LIMIT_PERIOD_MS - nowMs,
    );
    limitedAtMs = nowMs + delayMs;
    startWaitTimer(clock, delayMs, () => {
      if (waiting === watch) restartWatch(watch, RestartReason.LaterRevision);
    });
  });

  const run = async (): Promise<void> => {
    while (isRunning) {
      hasReceivedChanges = false;
      const hasSucceeded =
        revision === undefined ? await listOnce() : await watchOnce(revision);
      if (!hasSucceeded) await clock.waitMs(options.retryDelayMs);
      else if (hasReceivedChanges)
        await clock.waitMs(options.getBatchDelayMs());
    }
  };

  return {
    start: () => {
      isRunning = true;
      void run();
    },
    stop: () => {
      isRunning = false;
      waiting?.abort.abort();
    },
    refresh: async () => {
      await listOnce();
    },
    getConfirmedAtMs: () => confirmedAtMs,
    isConnected: () => isConnected,
    getRevision: () => revision ?? lastRevision,
  };
}
