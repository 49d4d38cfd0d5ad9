/** Lists the configuration from the platform, then watches it for changes. */
import type {Clock, Logger, Random} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {
  PlatformError,
  PlatformStore,
  WatchEvent,
} from '@siskinplank/platform-client';
import {CONFIGURATION_KINDS} from '@siskinplank/resources';
import type {
  ConfigurationKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';
import {COPY_LOADED, PLATFORM_OLDER, PLATFORM_UNREACHABLE} from './events';
import type {
  ApplyResult,
  KindList,
  ReplicaEntry,
  ReplicaState,
} from './replica-state';

/** How a process reads the platform. */
export enum WatchMode {
  /** Does not read it; peers relay the changes. */
  Off = 'off',
  /** Watches it, as rank 0 or 1 of the failure domain. */
  Watcher = 'watcher',
  /** Polls it with pauses, since no peer confirms the configuration. */
  Fallback = 'fallback',
}

/** Watch of one process on the platform. */
export interface PlatformWatch {
  setMode(mode: WatchMode): void;
  getMode(): WatchMode;
  /**
   * Start of the last failed call while the failures of a watcher count as an
   * outage; undefined otherwise. A process in fallback mode reports none, since
   * two processes that are cut off together would take each other's reports for
   * an outage.
   */
  getOutageAtMs(): number | undefined;
}

/** Shortest time between two watches: at most 5 calls per second. */
const MIN_PERIOD_MS = 200;
/**
 * Mean pause between polls in fallback mode. All 1,330 processes of the planned
 * two-year size together make 1330 / 1.5 s = about 890 calls per second, less
 * than half of what the platform sustains.
 */
const FALLBACK_PAUSE_MS = 1_500;
const FAILURE_PAUSE_MS = 500;
/**
 * Consecutive failures that count as an outage. A single one may be caused by
 * this process, such as a time-out that expired while it was frozen.
 */
const OUTAGE_FAILURES = 2;
/**
 * When a pause takes longer than planned by more than this, the process was
 * frozen, and failures from before the freeze no longer count.
 */
const FREEZE_THRESHOLD_MS = 1_000;

function isConfigurationKind(kind: string): kind is ConfigurationKind {
  return (CONFIGURATION_KINDS as readonly string[]).includes(kind);
}

function convertEvents(events: readonly WatchEvent[]): ReplicaEntry[] {
  const entries: ReplicaEntry[] = [];
  for (const {type, kind, name, version, value} of events) {
    if (!isConfigurationKind(kind)) continue;
    if (type === 'delete') entries.push({kind, name, version});
    else {
      const checked = value as ResourceValue<ConfigurationKind>;
      const object = {kind, name, version, value: checked};
      entries.push({kind, name, version, object});
    }
  }
  return entries;
}

/** Creates a watch in mode `Off`. */
export function createPlatformWatch(options: {
  store: PlatformStore;
  state: ReplicaState;
  clock: Clock;
  random: Random;
  logger: Logger;
  waitMs: number;
  onApplied: (result: ApplyResult, confirmedMs: number) => void;
  /** Called after each failed call that counts as an outage. */
  onOutage: () => void;
}): PlatformWatch {
  const {store, state, clock, random, logger} = options;
  let mode = WatchMode.Off;
  let isListNeeded = false;
  let isPlatformOlder = false;
  let consecutiveFailures = 0;
  let lastFailureMs = 0;
  let running: Promise<void> | undefined;
  let endPause: () => void = () => undefined;

  const isOff = (): boolean => mode === WatchMode.Off;

  const getOutageAtMs = (): number | undefined =>
    mode === WatchMode.Watcher && consecutiveFailures >= OUTAGE_FAILURES
      ? lastFailureMs
      : undefined;

  const pause = (delayMs: number): Promise<void> =>
    new Promise(resolve => {
      const timer = clock.startTimer(delayMs, resolve);
      endPause = () => {
        timer.cancel();
        resolve();
      };
    });

  /** False when the platform is at an older revision than this replica. */
  const checkRevision = (found: number, known: number): boolean => {
    const wasPlatformOlder = isPlatformOlder;
    isPlatformOlder = found < known;
    if (isPlatformOlder && !wasPlatformOlder) {
      logger.log(PLATFORM_OLDER, {platformRevision: found, ownRevision: known});
    }
    return !isPlatformOlder;
  };

  /**
   * Records a failure as of the start of its call; the process may have been
   * frozen during the call.
   */
  const handleError = (error: PlatformError, sentMs: number): void => {
    if (error.code === PlatformErrorCode.Compacted) isListNeeded = true;
    const isOutage =
      error.code === PlatformErrorCode.Unavailable ||
      error.code === PlatformErrorCode.CircuitOpen;
    if (!isOutage) return;
    consecutiveFailures += 1;
    lastFailureMs = sentMs;
    if (consecutiveFailures === OUTAGE_FAILURES) {
      logger.log(PLATFORM_UNREACHABLE, {reason: error.message});
    }
    if (getOutageAtMs() !== undefined) options.onOutage();
  };

  const loadLists = async (): Promise<boolean> => {
    const startMs = clock.getNowMs();
    const known = state.getRevision();
    const lists: KindList[] = [];
    for (const kind of CONFIGURATION_KINDS) {
      const sentMs = clock.getNowMs();
      const result = await store.listObjects<ConfigurationKind>(kind);
      if (result.isLeft()) {
        result.ifLeft(error => handleError(error, sentMs));
        return false;
      }
      const list = result.unsafeCoerce();
      const objects: ReadonlyArray<StoredObject<ConfigurationKind>> =
        list.items;
      lists.push({kind, revision: list.revision, objects});
    }
    consecutiveFailures = 0;
    const oldest = Math.min(...lists.map(list => list.revision));
    if (!checkRevision(oldest, known)) return false;
    isListNeeded = false;
    options.onApplied(state.applyLists(lists), startMs);
    logger.log(COPY_LOADED, {revision: state.getRevision()});
    return true;
  };

  const watchOnce = async (): Promise<boolean> => {
    // A reply confirms the state at the time of the request or later.
    const startMs = clock.getNowMs();
    const fromRevision = state.getRevision();
    // After a failure, a watch without a wait shows sooner whether the
    // platform is reachable.
    const isPolling = mode === WatchMode.Fallback || consecutiveFailures > 0;
    const result = await store.watchObjects(
      CONFIGURATION_KINDS,
      fromRevision,
      isPolling ? 0 : options.waitMs,
    );
    if (result.isLeft()) {
      result.ifLeft(error => handleError(error, startMs));
      return false;
    }
    consecutiveFailures = 0;
    const batch = result.unsafeCoerce();
    if (!checkRevision(batch.revision, fromRevision)) return false;
    const entries = convertEvents(batch.events);
    const delta = {fromRevision, revision: batch.revision, entries};
    options.onApplied(state.applyPlatform(delta), startMs);
    return true;
  };

  const computePauseMs = (didSucceed: boolean, spentMs: number): number => {
    const jitter = 0.5 + random.getNext();
    if (!didSucceed) return FAILURE_PAUSE_MS * jitter;
    if (mode === WatchMode.Fallback) return FALLBACK_PAUSE_MS * jitter;
    return Math.max(0, MIN_PERIOD_MS - spentMs);
  };

  const run = async (): Promise<void> => {
    while (!isOff()) {
      const startMs = clock.getNowMs();
      const mustList = isListNeeded || state.getRevision() === 0;
      const didSucceed = mustList ? await loadLists() : await watchOnce();
      const pauseMs = computePauseMs(didSucceed, clock.getNowMs() - startMs);
      if (isOff() || pauseMs <= 0) continue;
      const pausedMs = clock.getNowMs();
      await pause(pauseMs);
      if (clock.getNowMs() - pausedMs > pauseMs + FREEZE_THRESHOLD_MS)
        consecutiveFailures = 0;
    }
    running = undefined;
  };

  return {
    setMode: next => {
      if (next === mode) return;
      mode = next;
      if (mode === WatchMode.Off) {
        consecutiveFailures = 0;
        endPause();
      } else running ??= run();
    },
    getMode: () => mode,
    getOutageAtMs,
  };
}
