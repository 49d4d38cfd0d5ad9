/**
 * Sends load reports to the linked entry processes. A report lists the models
 * and adapters of the upstream only when they changed. An entry process that
 * asked for fewer reports gets cached prefixes only while it sends requests.
 */
import type {Clock, Timer} from '@siskinplank/foundation';
import {MessageType, ProcessRole} from '@siskinplank/messages';
import type {LoadSummary} from '@siskinplank/messages';
import type {Link, PeerNetwork} from '@siskinplank/transport';
import {
  ACTIVE_LINK_MS,
  MIN_LOAD_REPORT_INTERVAL_MS,
  LOAD_REPORT_PERIOD_MS,
  MAX_PREFIXES_PER_REPORT,
} from '../constants';

/** Sends load reports. */
export interface LoadReporter {
  start(): void;
  stop(): void;
  /** Sends a report to all entry processes now. */
  reportAll(): void;
  /** Sends a report on one link unless it got one very recently. */
  reportTo(link: Link): void;
}

type Summary = Omit<LoadSummary, 'sequence'>;

/** Reports sent on a link and requests received on it. */
interface LinkHistory {
  /** Undefined until the entry process asks for fewer reports. */
  quietPeriodMs: number | undefined;
  sentMs: number;
  /** Time of the last request on the link. */
  requestMs: number;
  /** Time of the last report that could include demand and prefixes. */
  detailMs: number;
  contentKey: string | undefined;
  demandKey: string | undefined;
  prefixes: Set<string>;
}

function formatContent(summary: Summary): string {
  const {maxConcurrency, models, loadingModels, adapters} = summary;
  return JSON.stringify([maxConcurrency, models, loadingModels, adapters]);
}

/** Creates the reporter; `summarize` returns the current load. */
export function createLoadReporter(
  network: PeerNetwork,
  clock: Clock,
  summarize: () => Summary,
): LoadReporter {
  const reports = new Map<string, LinkHistory>();
  // Starts above the sequence numbers of an earlier run of this process, since
  // receivers may still have its reports.
  let sequence = Math.max(0, Math.floor(clock.getWallMs()));
  let timer: Timer | undefined;
  const cancels: Array<() => void> = [];

  const ensureHistory = (link: Link): LinkHistory => {
    const history = reports.get(link.id);
    if (history !== undefined) return history;
    const created: LinkHistory = {
      quietPeriodMs: undefined,
      sentMs: -Infinity,
      requestMs: -Infinity,
      detailMs: -Infinity,
      contentKey: undefined,
      demandKey: undefined,
      prefixes: new Set(),
    };
    reports.set(link.id, created);
    return created;
  };

  const isActive = (history: LinkHistory, nowMs: number): boolean =>
    history.quietPeriodMs === undefined ||
    nowMs - history.requestMs < ACTIVE_LINK_MS;

  const sendFull = (
    link: Link,
    history: LinkHistory,
    summary: Summary,
  ): void => {
    const isFirst = history.contentKey === undefined;
    const {cachedPrefixes} = summary;
    // The receiver of a first report may be about to ask for fewer reports.
    const prefixes =
      isFirst || history.quietPeriodMs !== undefined
        ? cachedPrefixes.slice(-MAX_PREFIXES_PER_REPORT)
        : cachedPrefixes;
    history.prefixes = new Set(prefixes);
    const load = {...summary, cachedPrefixes: prefixes, sequence: ++sequence};
    link.send({type: MessageType.LoadReport, load});
  };

  /** Added and removed prefixes; limited for a link with fewer reports. */
  const takePrefixChanges = (
    history: LinkHistory,
    current: readonly string[],
  ) => {
    const added = current.filter(hash => !history.prefixes.has(hash));
    const sent =
      history.quietPeriodMs === undefined
        ? added
        : added.slice(-MAX_PREFIXES_PER_REPORT);
    const present = new Set(current);
    const removed = [...history.prefixes].filter(hash => !present.has(hash));
    for (const hash of sent) history.prefixes.add(hash);
    for (const hash of removed) history.prefixes.delete(hash);
    return {
      ...(sent.length > 0 && {addedPrefixes: sent}),
      // A receiver that does not get these drops its oldest prefixes.
      ...(removed.length > 0 &&
        history.quietPeriodMs === undefined && {removedPrefixes: removed}),
    };
  };

  const sendUpdate = (
    link: Link,
    history: LinkHistory,
    summary: Summary,
    nowMs: number,
  ): void => {
    const {upstream, state, queuedRequests, queuedTokens} = summary;
    const {running, freeMemoryMiB, demand, cachedPrefixes} = summary;
    const isDetailed = nowMs - history.detailMs >= (history.quietPeriodMs ?? 0);
    const demandKey = JSON.stringify(demand);
    const hasDemand = isDetailed && demandKey !== history.demandKey;
    if (hasDemand) history.demandKey = demandKey;
    if (isDetailed) history.detailMs = nowMs;
    link.send({
      type: MessageType.LoadUpdate,
      upstream,
      sequence: ++sequence,
      state,
      queuedRequests,
      queuedTokens,
      running,
      freeMemoryMiB,
      ...(hasDemand && {demand}),
      ...(isDetailed &&
        isActive(history, nowMs) &&
        takePrefixChanges(history, cachedPrefixes)),
    });
  };

  const send = (link: Link, summary: Summary): void => {
    const nowMs = clock.getNowMs();
    const history = ensureHistory(link);
    const contentKey = formatContent(summary);
    history.sentMs = nowMs;
    if (history.contentKey === contentKey) {
      sendUpdate(link, history, summary, nowMs);
      return;
    }
    sendFull(link, history, summary);
    history.contentKey = contentKey;
    history.detailMs = nowMs;
    history.demandKey = JSON.stringify(summary.demand);
  };

  const listEntryLinks = (): Link[] =>
    network.listLinks().filter(link => link.peer.role === ProcessRole.Entry);

  const tick = (): void => {
    const links = listEntryLinks();
    if (links.length === 0) return;
    const nowMs = clock.getNowMs();
    const summary = summarize();
    const contentKey = formatContent(summary);
    for (const link of links) {
      const history = ensureHistory(link);
      const isDue =
        isActive(history, nowMs) ||
        nowMs - history.sentMs >= (history.quietPeriodMs ?? 0) ||
        history.contentKey !== contentKey;
      if (isDue) send(link, summary);
    }
  };

  return {
    start: () => {
      timer = clock.startInterval(LOAD_REPORT_PERIOD_MS, tick);
      cancels.push(
        network.observeLinks({
          onLinkOpen: link => {
            if (link.peer.role === ProcessRole.Entry) send(link, summarize());
          },
          onLinkClose: link => void reports.delete(link.id),
        }),
        network.subscribe([MessageType.RequestOpen], link => {
          ensureHistory(link).requestMs = clock.getNowMs();
        }),
        network.subscribe([MessageType.LoadSubscribe], (link, message) => {
          const history = ensureHistory(link);
          const {quietPeriodMs} = message;
          history.quietPeriodMs =
            quietPeriodMs > LOAD_REPORT_PERIOD_MS ? quietPeriodMs : undefined;
          // The receiver may not have the full report that updates refer to.
          history.contentKey = undefined;
          send(link, summarize());
        }),
      );
    },
    stop: () => {
      timer?.cancel();
      for (const cancel of cancels.splice(0)) cancel();
    },
    reportAll: () => {
      const summary = summarize();
      for (const link of listEntryLinks()) send(link, summary);
    },
    reportTo: link => {
      const sinceMs = clock.getNowMs() - ensureHistory(link).sentMs;
      if (sinceMs >= MIN_LOAD_REPORT_INTERVAL_MS) send(link, summarize());
    },
  };
}
