/** Follows one directory of the store and says how fresh its copy is. */
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  DIRECTORY_DISCONNECTED,
  DIRECTORY_RECONNECTED,
  ENTRY_MALFORMED,
} from './events';
import {StoreFailureCode} from './types';
import type {Directory, MalformedEntry, StoreFailure} from './types';

/** What `createDirectoryWatcher` needs. */
export interface DirectoryWatcherOptions<T> {
  name: string;
  directory: Directory<T>;
  /** Longest wait of one watch, in milliseconds. */
  watchWaitMs: number;
  /** Wait before a failed call is repeated, in milliseconds. */
  retryDelayMs: number;
  /**
   * Pause after changes, in milliseconds, so that those that come together cost
   * one call; 0 asks again at once.
   */
  batchDelayMs: number;
  clock: Clock;
  logger: Logger;
  /** A complete list, which replaces everything known. */
  onList(items: ReadonlyMap<string, T>, nowMs: number, revision: number): void;
  /** One change; undefined when the entry is gone or cannot be decoded. */
  onChange(
    name: string,
    item: T | undefined,
    nowMs: number,
    revision: number,
  ): void;
  /** All changes of one answer were reported. */
  onBatchEnd(nowMs: number): void;
  /** The store stopped answering, or answers again; before its changes. */
  onConnectionChange?(isConnected: boolean, nowMs: number): void;
}

/** Follows a directory until it is stopped. */
export interface DirectoryWatcher {
  start(): void;
  stop(): void;
  /** Reads everything once more, besides the watch that waits. */
  refresh(): Promise<void>;
  /**
   * Monotonic time as of which the copy is known to be complete: when the last
   * answered call was sent. Undefined before the first list.
   */
  getConfirmedAtMs(): number | undefined;
  /** Whether the last call was answered. */
  isConnected(): boolean;
  /** Revision up to which the copy is complete; 0 before the first list. */
  getRevision(): number;
}

/** Creates a watcher that does nothing before `start`. */
export function createDirectoryWatcher<T>(
  options: DirectoryWatcherOptions<T>,
): DirectoryWatcher {
  const {name, directory, clock, logger} = options;
  let isRunning = false;
  let hasChanged = false;
  let revision: number | undefined;
  /** Last known revision, kept while the directory is listed again. */
  let lastRevision = 0;
  let confirmedAtMs: number | undefined;
  let isConnected = true;
  /** Entries already reported as malformed, with the reason. */
  const reportedMalformed = new Map<string, string>();

  const reportMalformed = (entries: readonly MalformedEntry[]): void => {
    for (const entry of entries) {
      if (reportedMalformed.get(entry.name) === entry.reason) continue;
      reportedMalformed.set(entry.name, entry.reason);
      logger.log(ENTRY_MALFORMED, {
        directory: name,
        entry: entry.name,
        reason: entry.reason,
      });
    }
  };

  /** To be called before the changes of the answer are reported. */
  const noteAnswer = (nextRevision: number, nowMs: number): void => {
    if (isConnected) return;
    isConnected = true;
    logger.log(DIRECTORY_RECONNECTED, {
      directory: name,
      revision: nextRevision,
    });
    options.onConnectionChange?.(true, nowMs);
  };

  const noteSuccess = (sentAtMs: number, nextRevision: number): void => {
    confirmedAtMs = Math.max(confirmedAtMs ?? -Infinity, sentAtMs);
    revision = Math.max(revision ?? 0, nextRevision);
    lastRevision = revision;
  };

  const noteFailure = ({code, reason}: StoreFailure): void => {
    if (!isConnected) return;
    isConnected = false;
    logger.log(DIRECTORY_DISCONNECTED, {
      directory: name,
      code,
      reason,
      revision,
      confirmedAgoMs:
        confirmedAtMs === undefined
          ? undefined
          : Math.round(clock.getNowMs() - confirmedAtMs),
    });
    options.onConnectionChange?.(false, clock.getNowMs());
  };

  /** Lists everything; false when the call failed. */
  const listOnce = async (): Promise<boolean> => {
    const sentAtMs = clock.getNowMs();
    const listed = await directory.list();
    return listed.caseOf({
      Left: failure => {
        noteFailure(failure);
        return false;
      },
      Right: list => {
        const nowMs = clock.getNowMs();
        reportMalformed(list.malformed);
        noteAnswer(list.revision, nowMs);
        // A watch may have told of later changes meanwhile.
        if (list.revision >= (revision ?? 0)) {
          options.onList(list.items, nowMs, list.revision);
          options.onBatchEnd(nowMs);
        }
        noteSuccess(sentAtMs, list.revision);
        return true;
      },
    });
  };

  /** Waits for changes; false when the call failed. */
  const watchOnce = async (fromRevision: number): Promise<boolean> => {
    const sentAtMs = clock.getNowMs();
    // After a failure an answer is wanted at once: a long watch would not show
    // for its whole wait whether the store is back.
    const waitMs = isConnected ? options.watchWaitMs : 0;
    const watched = await directory.watch(fromRevision, waitMs);
    return watched.caseOf({
      Left: failure => {
        if (failure.code === StoreFailureCode.HistoryLost) {
          revision = undefined;
          return true;
        }
        noteFailure(failure);
        return false;
      },
      Right: ({changes, malformed, revision: nextRevision}) => {
        const nowMs = clock.getNowMs();
        reportMalformed(malformed);
        noteAnswer(nextRevision, nowMs);
        // A list that was read meanwhile holds these changes already.
        if (nextRevision < (revision ?? 0)) return true;
        for (const change of changes) {
          options.onChange(change.name, change.item, nowMs, nextRevision);
        }
        if (changes.length > 0) {
          options.onBatchEnd(nowMs);
          hasChanged = true;
        }
        noteSuccess(sentAtMs, nextRevision);
        return true;
      },
    });
  };

  const run = async (): Promise<void> => {
    while (isRunning) {
      hasChanged = false;
      const isDone =
        revision === undefined ? await listOnce() : await watchOnce(revision);
      if (!isDone) await clock.waitMs(options.retryDelayMs);
      else if (hasChanged) await clock.waitMs(options.batchDelayMs);
    }
  };

  return {
    start: () => {
      isRunning = true;
      void run();
    },
    stop: () => {
      isRunning = false;
    },
    refresh: async () => {
      await listOnce();
    },
    getConfirmedAtMs: () => confirmedAtMs,
    isConnected: () => isConnected,
    getRevision: () => revision ?? lastRevision,
  };
}
