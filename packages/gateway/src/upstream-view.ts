/** Upstreams that may receive requests, from the store and reports of peers. */
import {createDirectoryWatcher} from '@siskinplank/directory';
import type {Directory, StoreHealth} from '@siskinplank/directory';
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  UpstreamState,
  formatIncarnation,
  parseIncarnation,
} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {
  UPSTREAM_CHANGED,
  UPSTREAM_DECLARED_LEAVING,
  UPSTREAM_ENTRY_DOUBTED,
  UPSTREAM_ENTRY_EXPIRED,
} from './events';
import {createLeavingMarks} from './leaving-marks';
import type {LeavingUpstream} from './leaving-marks';
import {planUpstreamBatchMs} from './upstream-batches';

/** What `createUpstreamView` needs. */
export interface UpstreamViewOptions {
  directory: Directory<Upstream>;
  watchWaitMs: number;
  retryDelayMs: number;
  storeHealth: StoreHealth;
  /** Era of the store; it rises when the store returns from an older copy. */
  getEra(): number;
  /** Gateways that watch the upstreams, this one included. */
  countGateways(): number;
  clock: Clock;
  logger: Logger;
  /** Called when the usable upstreams or their entries may have changed. */
  onChange(usable: readonly Upstream[], nowMs: number): void;
}

/** Follows the registrations of the upstreams. */
export interface UpstreamView {
  start(): void;
  stop(): void;
  /** Whether a complete list was read from the store. */
  isLoaded(): boolean;
  /** Upstreams that may receive requests. */
  listUsable(): readonly Upstream[];
  /** Whether a service has upstreams, and all of them leave. */
  isServiceLeaving(service: string): boolean;
  /** Number of upstreams that leave though the store calls them ready. */
  countDisputed(): number;
  /** Incarnations that began to drain or were removed recently. */
  listLeaving(nowMs: number): LeavingUpstream[];
  /** Records draining or removed upstreams that another gateway reports. */
  recordLeaving(reported: readonly LeavingUpstream[], nowMs: number): void;
  /**
   * Marks an incarnation that said in a response that it leaves, or whose
   * address another upstream has, whatever the store says of it; false if that
   * is known.
   */
  recordDeclared(incarnation: string, nowMs: number): boolean;
}

/**
 * A running upstream whose entry expired during a store outage, or that the
 * copy lacks from which the store returned, registers again within about 2 s of
 * the store's return; until then it stays usable.
 */
export const EXPIRED_GRACE_MS = 2_000;
/**
 * The store removes the entry of a stopped upstream after three heartbeats of
 * 1.2 s. One that stays for longer after a restore is that of a running one,
 * also if it writes just what the copy has, which shows no change.
 */
export const RESTORED_ENTRY_MS = 5_000;

/**
 * Time for an answer on its way. A change that the answer of another call
 * already covers must be known well within the time in which an upstream that
 * leaves still serves, 2 s.
 */
const MAX_ANSWER_DELAY_MS = 150;

/** How the store showed an entry, or that there is none. */
enum EntrySource {
  Watch = 'watch',
  List = 'list',
  /** The first list of an era, which may be that of an older copy. */
  FirstList = 'first-list',
}

/** Creates a view that is empty until it is started. */
export function createUpstreamView(options: UpstreamViewOptions): UpstreamView {
  const {clock, logger, storeHealth} = options;
  const known = new Map<string, Upstream>();
  /** Revision at which the store last reported each entry. */
  const revisions = new Map<string, number>();
  /** Upstreams whose entry expired, usable until their timer fires. */
  const expired = new Map<string, Upstream>();
  const leaving = createLeavingMarks();
  /** Era in which each incarnation is known to have written its entry. */
  const writtenEras = new Map<string, number>();
  /** Incarnations whose entries may be those of the copy. */
  const doubted = new Map<string, Upstream>();
  /** Era of the last list. */
  let era = 0;
  let isLoaded = false;
  let usable: readonly Upstream[] = [];

  const markLeaving = (
    {id, startedAtMs, state}: Upstream,
    revision: number,
    nowMs: number,
    isFinal = state === UpstreamState.Draining,
  ): void => void leaving.add([id, startedAtMs, revision, era, isFinal], nowMs);

  const dropEntry = (incarnation: Upstream): void => {
    const key = formatIncarnation(incarnation);
    doubted.delete(key);
    writtenEras.delete(key);
  };

  const updateUsable = (nowMs: number): void => {
    const candidates = [...known.values(), ...expired.values()];
    usable = candidates.filter(
      upstream =>
        upstream.state === UpstreamState.Ready &&
        leaving.get(upstream) === undefined,
    );
    options.onChange(usable, nowMs);
  };

  /** Removes an upstream that has not registered again in time. */
  const removeExpired = (upstream: Upstream): void => {
    const {id, service} = upstream;
    if (expired.get(id) !== upstream) return;
    expired.delete(id);
    const nowMs = clock.getNowMs();
    markLeaving(upstream, watcher.getRevision(), nowMs);
    logger.log(UPSTREAM_CHANGED, {
      upstream: id,
      service,
      state: 'gone',
      former: 'lapsed',
    });
    updateUsable(nowMs);
  };

  const remove = (
    id: string,
    former: Upstream,
    revision: number,
    nowMs: number,
    source: EntrySource,
  ): void => {
    known.delete(id);
    dropEntry(former);
    const returnedAtMs =
      source === EntrySource.FirstList
        ? nowMs
        : storeHealth.getOutageEndMs(nowMs);
    const untilMs = returnedAtMs + EXPIRED_GRACE_MS;
    if (former.state !== UpstreamState.Ready || untilMs <= nowMs) {
      markLeaving(former, revision, nowMs);
      return;
    }
    const keptMs = untilMs - nowMs;
    expired.set(id, former);
    logger.log(UPSTREAM_ENTRY_EXPIRED, {
      upstream: id,
      keptMs: Math.round(keptMs),
      outageEndedAgoMs: Math.round(nowMs - returnedAtMs),
    });
    clock.startTimer(keptMs, () => removeExpired(former));
  };

  /** Whether the entry may be that of the copy, and so older than the mark. */
  const mayPrecede = (entry: Upstream, [, , , markEra]: LeavingUpstream) =>
    markEra < era && writtenEras.get(formatIncarnation(entry)) !== era;

  const endMark = (upstream: Upstream): void => {
    const [, , , , isFinal] = leaving.get(upstream) ?? [];
    if (isFinal !== true) leaving.remove(upstream);
  };

  /** Ends the mark of an entry that the store has kept for long enough. */
  const settleDoubted = (upstream: Upstream): void => {
    const key = formatIncarnation(upstream);
    if (doubted.get(key) !== upstream) return;
    doubted.delete(key);
    writtenEras.set(key, era);
    endMark(upstream);
    updateUsable(clock.getNowMs());
  };

  const doubt = (upstream: Upstream): void => {
    const key = formatIncarnation(upstream);
    if (doubted.has(key)) return;
    doubted.set(key, upstream);
    clock.startTimer(RESTORED_ENTRY_MS, () => settleDoubted(upstream));
    logger.log(UPSTREAM_ENTRY_DOUBTED, {
      upstream: upstream.id,
      doubtedMs: RESTORED_ENTRY_MS,
    });
  };

  const recordReady = (upstream: Upstream): void => {
    const mark = leaving.get(upstream);
    if (mark === undefined) return;
    if (mayPrecede(upstream, mark)) {
      doubt(upstream);
      return;
    }
    doubted.delete(formatIncarnation(upstream));
    endMark(upstream);
  };

  const set = (
    id: string,
    upstream: Upstream | undefined,
    nowMs: number,
    revision: number,
    source: EntrySource,
  ): void => {
    const former = known.get(id);
    revisions.set(id, revision);
    if (upstream === undefined) {
      if (former !== undefined) remove(id, former, revision, nowMs, source);
    } else {
      known.set(id, upstream);
      expired.delete(id);
      if (former !== undefined && former.startedAtMs < upstream.startedAtMs) {
        dropEntry(former);
        markLeaving(former, revision, nowMs, true);
      }
      if (upstream.state === UpstreamState.Draining) {
        markLeaving(upstream, revision, nowMs);
      } else {
        if (source === EntrySource.Watch)
          writtenEras.set(formatIncarnation(upstream), era);
        recordReady(upstream);
      }
    }
    const isUnchanged =
      former?.state === upstream?.state &&
      former?.startedAtMs === upstream?.startedAtMs;
    if (isUnchanged) return;
    logger.log(UPSTREAM_CHANGED, {
      upstream: id,
      service: (upstream ?? former)?.service,
      softwareVersion: (upstream ?? former)?.softwareVersion,
      state: upstream?.state ?? 'gone',
      former: former?.state,
    });
  };

  /** Whether the store has reported a newer entry since. */
  const isOutdated = (report: LeavingUpstream): boolean => {
    const [id, startedAtMs, revision, reportEra, isFinal] = report;
    if (isFinal) return false;
    if (reportEra >= era) return revision < (revisions.get(id) ?? 0);
    return writtenEras.get(formatIncarnation({id, startedAtMs})) === era;
  };

  const isShownReady = ({
    id,
    startedAtMs,
  }: Pick<Upstream, 'id' | 'startedAtMs'>): boolean => {
    const upstream = known.get(id);
    return (
      upstream?.startedAtMs === startedAtMs &&
      upstream.state === UpstreamState.Ready
    );
  };

  const watcher = createDirectoryWatcher({
    name: 'upstreams',
    directory: options.directory,
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    getBatchDelayMs: () => planUpstreamBatchMs(options.countGateways()),
    storeHealth,
    maxAnswerDelayMs: MAX_ANSWER_DELAY_MS,
    clock,
    logger,
    onList: (items, nowMs, revision) => {
      const listEra = options.getEra();
      const source = listEra === era ? EntrySource.List : EntrySource.FirstList;
      if (source === EntrySource.FirstList) doubted.clear();
      era = listEra;
      for (const id of [...known.keys()]) {
        if (!items.has(id)) set(id, undefined, nowMs, revision, source);
      }
      items.forEach((upstream, id) =>
        set(id, upstream, nowMs, revision, source),
      );
    },
    onChange: (id, upstream, nowMs, revision) =>
      set(id, upstream, nowMs, revision, EntrySource.Watch),
    onBatchEnd: nowMs => {
      isLoaded = true;
      updateUsable(nowMs);
    },
  });

  return {
    start: watcher.start,
    stop: watcher.stop,
    isLoaded: () => isLoaded,
    listUsable: () => usable,
    isServiceLeaving: service =>
      usable.every(upstream => upstream.service !== service) &&
      [...known.values()].some(upstream => upstream.service === service),
    countDisputed: () =>
      [...known.values()].filter(
        upstream =>
          isShownReady(upstream) && leaving.get(upstream) !== undefined,
      ).length,
    recordDeclared: (incarnation, nowMs) => {
      const {id, startedAtMs} = parseIncarnation(incarnation);
      const revision = revisions.get(id) ?? 0;
      const report = [id, startedAtMs, revision, era, true] as const;
      if (!leaving.add(report, nowMs)) return false;
      logger.log(UPSTREAM_DECLARED_LEAVING, {upstream: id, startedAtMs});
      updateUsable(nowMs);
      return true;
    },
    listLeaving: nowMs => leaving.listReports(nowMs, isShownReady),
    recordLeaving: (reported, nowMs) => {
      let hasChanged = false;
      for (const report of reported) {
        const [id, startedAtMs] = report;
        const current = known.get(id) ?? expired.get(id);
        const isKnown =
          current?.startedAtMs === startedAtMs ||
          leaving.get({id, startedAtMs}) !== undefined;
        if (!isKnown || isOutdated(report)) continue;
        if (!leaving.add(report, nowMs)) continue;
        hasChanged = true;
        const entry = known.get(id);
        if (entry?.startedAtMs === startedAtMs && mayPrecede(entry, report)) {
          doubt(entry);
        }
      }
      if (hasChanged) updateUsable(nowMs);
    },
  };
}
