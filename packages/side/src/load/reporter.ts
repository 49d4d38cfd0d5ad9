/**
 * Sends load reports to the linked entry processes. A report names the contents
 * of the upstream only when they changed, and cached prefixes only to entry
 * processes that send requests here.
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
  /** Reports to all entry processes now. */
  reportAll(): void;
  /** Reports on one link unless it just got a report. */
  reportTo(link: Link): void;
}

type Summary = Omit<LoadSummary, 'sequence'>;

/** What was sent on a link. */
interface LinkReports {
  /** Undefined until the entry process asks for fewer reports. */
  quietPeriodMs: number | undefined;
  sentMs: number;
  /** Last request on the link. */
  requestMs: number;
  /** Last report with demand and prefixes. */
  detailMs: number;
  contentKey: string | undefined;
  demandKey: string | undefined;
  prefixes: Set<string>;
}

function formatContent(summary: Summary): string {
  const {maxConcurrency, models, loadingModels, adapters} = summary;
  return JSON.stringify([maxConcurrency, models, loadingModels, adapters]);
}

/** Creates the reporter; `summarize` describes the present load. */
export function createLoadReporter(
  network: PeerNetwork,
  clock: Clock,
  summarize: () => Summary,
): LoadReporter {
  const reports = new Map<string, LinkReports>();
  // Above those of an earlier start, whose reports receivers may still hold.
  let sequence = Math.max(0, Math.floor(clock.getWallMs()));
  let timer: Timer | undefined;
  const cancels: Array<() => void> = [];

  const ensureReports = (link: Link): LinkReports => {
    const known = reports.get(link.id);
    if (known !== undefined) return known;
    const created: LinkReports = {
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

  const isActive = (known: LinkReports, nowMs: number): boolean =>
    known.quietPeriodMs === undefined ||
    nowMs - known.requestMs < ACTIVE_LINK_MS;

  const sendFull = (link: Link, known: LinkReports, summary: Summary): void => {
    const isFirst = known.contentKey === undefined;
    const {cachedPrefixes} = summary;
    // The first report may be to a process that is about to ask for fewer.
    const prefixes =
      isFirst || known.quietPeriodMs !== undefined
        ? cachedPrefixes.slice(-MAX_PREFIXES_PER_REPORT)
        : cachedPrefixes;
    known.prefixes = new Set(prefixes);
    const load = {...summary, cachedPrefixes: prefixes, sequence: ++sequence};
    link.send({type: MessageType.LoadReport, load});
  };

  /** New and gone prefixes; a bounded number of them where reports are few. */
  const takePrefixChanges = (
    known: LinkReports,
    current: readonly string[],
  ) => {
    const added = current.filter(hash => !known.prefixes.has(hash));
    const sent =
      known.quietPeriodMs === undefined
        ? added
        : added.slice(-MAX_PREFIXES_PER_REPORT);
    const present = new Set(current);
    const removed = [...known.prefixes].filter(hash => !present.has(hash));
    for (const hash of sent) known.prefixes.add(hash);
    for (const hash of removed) known.prefixes.delete(hash);
    return {
      ...(sent.length > 0 && {addedPrefixes: sent}),
      // Without these the receiver forgets its oldest ones.
      ...(removed.length > 0 &&
        known.quietPeriodMs === undefined && {removedPrefixes: removed}),
    };
  };

  const sendUpdate = (
    link: Link,
    known: LinkReports,
    summary: Summary,
    nowMs: number,
  ): void => {
    const {upstream, state, queuedRequests, queuedTokens} = summary;
    const {running, freeMemoryMiB, demand, cachedPrefixes} = summary;
    const isDetailed = nowMs - known.detailMs >= (known.quietPeriodMs ?? 0);
    const demandKey = JSON.stringify(demand);
    const hasDemand = isDetailed && demandKey !== known.demandKey;
    if (hasDemand) known.demandKey = demandKey;
    if (isDetailed) known.detailMs = nowMs;
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
        isActive(known, nowMs) &&
        takePrefixChanges(known, cachedPrefixes)),
    });
  };

  const send = (link: Link, summary: Summary): void => {
    const nowMs = clock.getNowMs();
    const known = ensureReports(link);
    const contentKey = formatContent(summary);
    known.sentMs = nowMs;
    if (known.contentKey === contentKey) {
      sendUpdate(link, known, summary, nowMs);
      return;
    }
    sendFull(link, known, summary);
    known.contentKey = contentKey;
    known.detailMs = nowMs;
    known.demandKey = JSON.stringify(summary.demand);
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
      const known = ensureReports(link);
      const isDue =
        isActive(known, nowMs) ||
        nowMs - known.sentMs >= (known.quietPeriodMs ?? 0) ||
        known.contentKey !== contentKey;
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
          ensureReports(link).requestMs = clock.getNowMs();
        }),
        network.subscribe([MessageType.LoadSubscribe], (link, message) => {
          const known = ensureReports(link);
          const {quietPeriodMs} = message;
          known.quietPeriodMs =
            quietPeriodMs > LOAD_REPORT_PERIOD_MS ? quietPeriodMs : undefined;
          // The receiver may lack the report that updates refer to.
          known.contentKey = undefined;
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
      const sinceMs = clock.getNowMs() - ensureReports(link).sentMs;
      if (sinceMs >= MIN_LOAD_REPORT_INTERVAL_MS) send(link, summarize());
    },
  };
}
