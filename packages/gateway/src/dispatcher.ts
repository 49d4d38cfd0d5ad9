/** Finds upstreams for requests; requests wait for models and adapters. */
import {
  SHUTDOWN_RETRY_AFTER_MS,
  mayAwaitVersionLoad,
  planWait,
} from '@siskinplank/dispatch';
import type {
  DispatchPolicy,
  DispatchRequest,
  UpstreamEntry,
  UpstreamTable,
} from '@siskinplank/dispatch';
import type {Clock, Timer} from '@siskinplank/foundation';
import {RefusalCode} from './refusals';
import type {UpstreamBackoffs} from './upstream-backoffs';
import {MAX_UNIT_WAIT_MS} from './upstream-limits';
import type {UpstreamLimits} from './upstream-limits';

/** Search of an upstream for one attempt of a request. */
export interface UpstreamSearch {
  service: string;
  model: string | undefined;
  adapter: string | undefined;
  /**
   * Software version that began the stream that the request goes on with;
   * undefined if any version may run it.
   */
  softwareVersion: string | undefined;
  /** Whether its stream can go on at another upstream of the same version. */
  isResumable: boolean;
  promptTokens: number;
  triedUpstreamIds: ReadonlySet<string>;
  /** Whether no upstream is better than one whose streams have all stalled. */
  needsActive?: boolean;
  arrivedAtMs: number;
  deadlineAtMs: number;
  targetLatencyMs: number;
  targetPauseMs: number | undefined;
  /** Latest time to start the request; undefined unless this gateway drains. */
  getLastStartAtMs(): number | undefined;
  /** Either this or `onRefused` is called once, unless cancelled. */
  onUpstream(entry: UpstreamEntry): void;
  onRefused(retryAfterMs: number | undefined, code: RefusalCode): void;
}

/** What `createDispatcher` needs. */
export interface DispatcherOptions {
  table: UpstreamTable;
  policy: DispatchPolicy;
  limits: UpstreamLimits;
  backoffs: UpstreamBackoffs;
  failureDomain: string;
  clock: Clock;
  /**
   * Time of a load of the model from the weight store, in milliseconds;
   * undefined if no upstream of the service can be ordered to load it.
   */
  getStoreLoadMs(service: string, model: string): number | undefined;
  /**
   * Loads an adapter. Resolves to the milliseconds until it is ready, or to
   * undefined when it can't be loaded.
   */
  loadAdapter(
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
  /** Called when a request starts to wait. */
  onWaiting(): void;
}

/** Finds upstreams for requests and keeps those that wait. */
export interface Dispatcher {
  /** Calls the search back now or later; the result cancels it. */
  acquire(search: UpstreamSearch): () => void;
  /** Tries all waiting searches again. */
  retryWaiting(): void;
  /**
   * Time until one of the upstreams that can run the request wants requests
   * again; undefined unless none of them does now.
   */
  estimateBackoffMs(
    search: Pick<UpstreamSearch, 'service' | 'model' | 'softwareVersion'>,
  ): number | undefined;
  /** Waiting requests by model. */
  describeWaiting(nowMs: number): Map<string, WaitingRequests>;
}

/** Requests that wait for an upstream with a model. */
export interface WaitingRequests {
  count: number;
  /** Age of the oldest one, in milliseconds. */
  oldestMs: number;
  /**
   * Streams that wait until a load is planned at the software version that
   * began them, by version.
   */
  streamsByVersion: ReadonlyMap<string, number>;
}

/** Period of trying the waiting searches again without a known change. */
const RETRY_PERIOD_MS = 40;
/** Upstreams tried for one adapter before the request is refused. */
const MAX_ADAPTER_TRIES = 3;

interface PendingSearch {
  search: UpstreamSearch;
  /** Upstreams that could not load the adapter. */
  failedUpstreamIds: Set<string>;
  /** Whether an adapter is being loaded for it. */
  isLoadingAdapter: boolean;
  isDone: boolean;
  /** Whether it waits until a load of its model is planned. */
  needsLoad: boolean;
  adapterTries: number;
  /** Wait for a unit of an upstream's limit. */
  unitWait: {stop(): void; endsAtMs: number} | undefined;
}

/** Creates a dispatcher without waiting searches. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {table, policy, clock, limits, backoffs} = options;
  const waiting = new Set<PendingSearch>();
  let timer: Timer | undefined;

  const finish = (item: PendingSearch): boolean => {
    if (item.isDone) return false;
    item.isDone = true;
    item.unitWait?.stop();
    waiting.delete(item);
    return true;
  };

  const listCandidates = ({
    service,
    softwareVersion,
  }: Pick<
    UpstreamSearch,
    'service' | 'softwareVersion'
  >): readonly UpstreamEntry[] => {
    const entries = table.listServiceUpstreams(service);
    if (softwareVersion === undefined) return entries;
    return entries.filter(
      ({upstream}) => upstream.softwareVersion === softwareVersion,
    );
  };

  /** Whether the search may wait until a load of its model is planned. */
  const mayAwaitLoad = (search: UpstreamSearch, nowMs: number): boolean => {
    const {service, model, softwareVersion} = search;
    if (model === undefined) return false;
    const storeLoadMs = options.getStoreLoadMs(service, model);
    if (storeLoadMs === undefined) return false;
    if (softwareVersion === undefined) return true;
    return mayAwaitVersionLoad({
      ...search,
      model,
      softwareVersion,
      entries: table.listServiceUpstreams(service),
      storeLoadMs,
      nowMs,
    });
  };

  /**
   * Earliest time at which an upstream finishes loading the model, or finishes
   * another load and can then load the adapter.
   */
  const findLoadedAtMs = (
    search: UpstreamSearch,
    nowMs: number,
  ): number | undefined => {
    const {model} = search;
    if (model === undefined) return undefined;
    let earliestMs: number | undefined;
    for (const entry of listCandidates(search)) {
      const {arriving, models} = entry.modelState;
      if (arriving === undefined) continue;
      if (arriving.model !== model && !models.has(model)) continue;
      const {expectedAtMs} = arriving;
      if (expectedAtMs === undefined) continue;
      earliestMs = Math.min(
        earliestMs ?? Infinity,
        Math.max(expectedAtMs, backoffs.getEndMs(entry.upstream, nowMs) ?? 0),
      );
    }
    return earliestMs;
  };

  /** Earliest time at which one of the upstreams wants the request again. */
  const findBackoffEndMs = (
    request: DispatchRequest,
    backedOff: readonly UpstreamEntry[],
    nowMs: number,
  ): number | undefined => {
    const ends = backedOff
      .filter(entry => policy.chooseUpstream(request, [entry], nowMs))
      .map(({upstream}) => backoffs.getEndMs(upstream, nowMs) ?? nowMs);
    return ends.length === 0 ? undefined : Math.min(...ends);
  };

  const loadAdapter = (
    item: PendingSearch,
    entry: UpstreamEntry,
    model: string,
    adapter: string,
  ): void => {
    item.isLoadingAdapter = true;
    item.adapterTries += 1;
    const {id, startedAtMs} = entry.upstream;
    void options.loadAdapter(id, model, adapter).then(async readyInMs => {
      if (readyInMs !== undefined && readyInMs > 0) {
        await clock.waitMs(readyInMs);
      }
      item.isLoadingAdapter = false;
      if (item.isDone || refuseLate(item, clock.getNowMs())) return;
      const current = table.getEntry(id);
      if (backoffs.getEndMs(entry.upstream, clock.getNowMs()) !== undefined) {
        tryServe(item);
        return;
      }
      const isReady =
        readyInMs !== undefined &&
        current?.upstream.startedAtMs === startedAtMs &&
        current.modelState.models.has(model);
      if (isReady) {
        if (finish(item)) item.search.onUpstream(current);
        return;
      }
      item.failedUpstreamIds.add(id);
      tryServe(item);
    });
  };

  const refuse = (
    item: PendingSearch,
    retryAfterMs: number | undefined,
    code = RefusalCode.NoUpstream,
  ): void => {
    if (finish(item)) item.search.onRefused(retryAfterMs, code);
  };

  const startWaiting = (item: PendingSearch): void => {
    if (waiting.has(item)) return;
    waiting.add(item);
    options.onWaiting();
    scheduleRetry();
  };

  /** Refuses a request that would outlast this gateway; true if it does. */
  const refuseLate = (item: PendingSearch, nowMs: number): boolean => {
    const lastStartAtMs = item.search.getLastStartAtMs();
    if (lastStartAtMs === undefined || nowMs <= lastStartAtMs) return false;
    refuse(item, SHUTDOWN_RETRY_AFTER_MS, RefusalCode.Stopping);
    return true;
  };

  /** Keeps the search waiting for a unit of an upstream's limit, for a while. */
  const waitForUnit = (
    item: PendingSearch,
    {upstream}: UpstreamEntry,
    nowMs: number,
  ): void => {
    if (item.unitWait === undefined) {
      const started = limits.startWaiting(upstream);
      if (started !== undefined) {
        const endsAtMs = Math.min(
          nowMs + MAX_UNIT_WAIT_MS,
          item.search.deadlineAtMs,
        );
        item.unitWait = {...started, endsAtMs};
      }
    }
    const {unitWait} = item;
    if (unitWait === undefined || nowMs >= unitWait.endsAtMs) {
      const retryAfterMs = limits.estimateWaitMs(upstream);
      refuse(item, retryAfterMs, RefusalCode.UpstreamLimit);
      return;
    }
    startWaiting(item);
  };

  /** Chooses an upstream, keeps the search waiting, or refuses the request. */
  const tryServe = (item: PendingSearch): void => {
    if (item.isDone || item.isLoadingAdapter) return;
    const {search} = item;
    const nowMs = clock.getNowMs();
    if (refuseLate(item, nowMs)) return;
    if (nowMs >= search.deadlineAtMs) {
      refuse(item, undefined);
      return;
    }
    const excluded =
      item.failedUpstreamIds.size === 0
        ? search.triedUpstreamIds
        : new Set([...search.triedUpstreamIds, ...item.failedUpstreamIds]);
    const request = {
      model: search.model,
      adapter: search.adapter,
      promptTokens: search.promptTokens,
      triedUpstreamIds: excluded,
      failureDomain: options.failureDomain,
      isResumable: search.isResumable,
    };
    const entries = listCandidates(search);
    const {available, backedOff} = backoffs.split(entries, nowMs);
    const {spendable, exhausted} = limits.splitBySpendable(available);
    const active = search.needsActive
      ? spendable.filter(({progress}) => !progress.isStalled(nowMs))
      : spendable;
    const choice = policy.chooseUpstream(request, active, nowMs);
    const limited =
      exhausted.length === 0
        ? undefined
        : policy.chooseUpstream(request, exhausted, nowMs);
    if (limited !== undefined) limits.noteWish(limited.entry.upstream);
    const hasOnlyStalled =
      choice === undefined &&
      active.length < spendable.length &&
      policy.chooseUpstream(request, spendable, nowMs) !== undefined;
    if (hasOnlyStalled) {
      refuse(item, undefined);
      return;
    }
    if (choice !== undefined && limits.trySpend(choice.entry.upstream)) {
      const {model, adapter} = search;
      const needsAdapterLoad =
        choice.needsAdapterLoad && model !== undefined && adapter !== undefined;
      if (!needsAdapterLoad) {
        if (finish(item)) search.onUpstream(choice.entry);
        return;
      }
      if (item.adapterTries >= MAX_ADAPTER_TRIES) refuse(item, undefined);
      else loadAdapter(item, choice.entry, model, adapter);
      return;
    }
    if (limited !== undefined) {
      waitForUnit(item, limited.entry, nowMs);
      return;
    }
    if (search.softwareVersion !== undefined && entries.length === 0) {
      refuse(item, undefined, RefusalCode.VersionNotServed);
      return;
    }
    const backoffEndMs = findBackoffEndMs(request, backedOff, nowMs);
    const loadedAtMs = findLoadedAtMs(search, nowMs);
    const wasSentToAll =
      entries.length > 0 &&
      entries.every(({upstream}) => search.triedUpstreamIds.has(upstream.id));
    const decision = planWait({
      arrivedAtMs: search.arrivedAtMs,
      deadlineAtMs: search.deadlineAtMs,
      targetLatencyMs: search.targetLatencyMs,
      targetPauseMs: search.targetPauseMs,
      expectedAtMs:
        backoffEndMs === undefined
          ? loadedAtMs
          : Math.min(backoffEndMs, loadedAtMs ?? Infinity),
      lastStartAtMs: search.getLastStartAtMs(),
      mayBecomeServable:
        backoffEndMs !== undefined ||
        (search.model !== undefined &&
          !wasSentToAll &&
          (loadedAtMs !== undefined || mayAwaitLoad(search, nowMs))),
      nowMs,
    });
    if (decision.isRefused) {
      const code =
        backoffEndMs === undefined
          ? RefusalCode.NoUpstream
          : RefusalCode.UpstreamBackoff;
      refuse(item, decision.retryAfterMs, code);
      return;
    }
    item.needsLoad = backoffEndMs === undefined && loadedAtMs === undefined;
    startWaiting(item);
  };

  const retryWaiting = (): void => {
    for (const item of [...waiting]) tryServe(item);
  };

  const scheduleRetry = (): void => {
    if (timer !== undefined || waiting.size === 0) return;
    timer = clock.startTimer(RETRY_PERIOD_MS, () => {
      timer = undefined;
      retryWaiting();
      scheduleRetry();
    });
  };

  return {
    acquire: search => {
      const item: PendingSearch = {
        search,
        failedUpstreamIds: new Set(),
        isLoadingAdapter: false,
        isDone: false,
        needsLoad: false,
        adapterTries: 0,
        unitWait: undefined,
      };
      tryServe(item);
      return () => void finish(item);
    },
    retryWaiting,
    estimateBackoffMs: search => {
      const nowMs = clock.getNowMs();
      const {model} = search;
      const ends = listCandidates(search)
        .filter(({modelState}) =>
          model === undefined ? true : modelState.models.has(model),
        )
        .map(({upstream}) => backoffs.getEndMs(upstream, nowMs) ?? nowMs);
      const leftMs = Math.min(...ends) - nowMs;
      return ends.length > 0 && leftMs > 0 ? leftMs : undefined;
    },
    describeWaiting: nowMs => {
      const described = new Map<
        string,
        WaitingRequests & {streamsByVersion: Map<string, number>}
      >();
      for (const {search, needsLoad} of waiting) {
        const {model, softwareVersion, arrivedAtMs} = search;
        if (model === undefined) continue;
        const known = described.get(model) ?? {
          count: 0,
          oldestMs: 0,
          streamsByVersion: new Map<string, number>(),
        };
        described.set(model, known);
        known.count += 1;
        known.oldestMs = Math.max(known.oldestMs, nowMs - arrivedAtMs);
        if (softwareVersion === undefined || !needsLoad) continue;
        const {streamsByVersion} = known;
        const count = streamsByVersion.get(softwareVersion) ?? 0;
        streamsByVersion.set(softwareVersion, count + 1);
      }
      return described;
    },
  };
}
