/**
 * Links to side processes. Up to `MAX_STANDING_LINKS` upstreams, an entry
 * process keeps a link to each. With more upstreams it keeps standing links to
 * a subset, which differs between entry hosts, and opens further links on
 * demand for the models that are requested.
 */
import type {Clock, Timer} from '@siskinplank/foundation';
import type {ConfigurationView} from '@siskinplank/configuration';
import {computeTreePosition, rankMembers} from '@siskinplank/membership';
import type {MembershipView} from '@siskinplank/membership';
import {MessageType, ProcessRole, TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import type {NetworkAddress, Upstream} from '@siskinplank/resources';
import type {
  CandidateSources,
  LoadTable,
  RoutingCandidate,
} from '@siskinplank/routing';
import type {EntrySettings} from '@siskinplank/settings';
import type {Link, PeerNetwork} from '@siskinplank/transport';
import {chooseStandingUpstreams, MAX_STANDING_LINKS} from './standing';

/** Dependencies of the links. */
export interface SideLinksOptions {
  settings: EntrySettings;
  clock: Clock;
  network: PeerNetwork;
  configuration: ConfigurationView;
  membership: MembershipView;
  loads: LoadTable;
}

/** Links of one entry process to side processes. */
export interface SideLinks {
  start(): void;
  stop(): void;
  /** Updates the standing links after a change of the upstreams. */
  reconcile(): void;
  acquireLink(
    address: NetworkAddress,
    timeoutMs: number,
  ): Promise<Link | undefined>;
  /** Opens links to upstreams that hold a repeatedly requested model. */
  recordDemand(
    target: RequestTarget,
    candidates: readonly RoutingCandidate[],
    nowMs: number,
  ): void;
  /** Chooser of load targets; undefined while all upstreams are linked. */
  getLoadTargetChooser(): CandidateSources['chooseLoadTargets'];
  /** Links all upstreams, or only the standing subset. */
  setFullView(isFull: boolean): void;
  /** Whether nearly all upstreams have a recent load report. */
  isViewComplete(nowMs: number): boolean;
  /** Greatest age of a load report that counts as recent. */
  getReportAgeLimitMs(): number;
  /** Requests a full load report, unless one was just requested. */
  requestReport(link: Link, nowMs: number): void;
}

/** Links on demand; the least recently used are closed first. */
const MAX_DEMAND_LINKS = 96;
const DEMAND_LINK_IDLE_MS = 120_000;
/** A second request for a model within this time opens links to upstreams. */
const REPEAT_WINDOW_MS = 60_000;
/** Upstreams with a requested model to link, so that routing has a choice. */
const LINKS_PER_MODEL = 2;
/** Upstreams on which a model without a placement may be loaded. */
const LOAD_TARGETS_PER_MODEL = 2;
const SWEEP_PERIOD_MS = 5_000;
/**
 * The report period on links without requests grows by this for each link, so
 * that reports of about 150 bytes take about 4 KB/s on all links together.
 */
const QUIET_PERIOD_MS_PER_LINK = 40;
const MAX_QUIET_PERIOD_MS = 20_000;
/**
 * Age limit of a report at `REPORT_PERIOD_MS`. A longer period raises it by twice
 * the difference, which allows for two missed periods and some delay.
 */
const MIN_REPORT_AGE_LIMIT_MS = 10_000;
/** Period of load reports without a LoadSubscribe message. */
const REPORT_PERIOD_MS = 1_000;
/** Relative change of the report period above which it is sent again. */
const PERIOD_TOLERANCE = 0.25;
const REPORT_REQUEST_GAP_MS = 1_000;
const COMPLETE_VIEW_FRACTION = 0.9;

const formatAddress = ({host, port}: NetworkAddress): string =>
  `${host}:${port}`;

/** Creates the links; nothing is opened before `start`. */
export function createSideLinks(options: SideLinksOptions): SideLinks {
  const {clock, network, configuration, membership, loads} = options;
  const self = options.settings.process;
  let upstreams = new Map<string, Upstream>();
  let standing = new Map<string, NetworkAddress>();
  /** Time of the last use of each link on demand, by address. */
  const lastUsedAtMs = new Map<string, number>();
  const reportRequestedAtMs = new Map<string, number>();
  const modelRequestedAtMs = new Map<string, number>();
  const loadTargets = new Map<string, ReadonlySet<string>>();
  let isFullView = false;
  let sentPeriodMs = REPORT_PERIOD_MS;
  let sweepTimer: Timer | undefined;
  let unsubscribe: (() => void) | undefined;

  const isPartlyLinked = (): boolean => upstreams.size > MAX_STANDING_LINKS;

  const sendPeriod = (link: Link): void => {
    link.send({type: MessageType.LoadSubscribe, quietPeriodMs: sentPeriodMs});
  };

  const listSideLinks = (): Link[] =>
    network.listLinks().filter(({peer}) => peer.role === ProcessRole.Side);

  const updatePeriod = (): void => {
    const count = Math.max(standing.size, listSideLinks().length);
    const periodMs = Math.min(
      MAX_QUIET_PERIOD_MS,
      Math.max(REPORT_PERIOD_MS, count * QUIET_PERIOD_MS_PER_LINK),
    );
    const change = Math.abs(periodMs - sentPeriodMs);
    if (change <= sentPeriodMs * PERIOD_TOLERANCE) return;
    sentPeriodMs = periodMs;
    listSideLinks().forEach(sendPeriod);
  };

  /** Addresses that the relay tree of the cluster uses; they stay linked. */
  const listTreeAddresses = (nowMs: number): Set<string> => {
    const members = membership.listMembers(nowMs);
    const {uplinks} = computeTreePosition(members, self);
    return new Set(uplinks.map(formatAddress));
  };

  const releaseUnused = (nowMs: number): void => {
    if (!isPartlyLinked() || isFullView) return;
    const treeAddresses = listTreeAddresses(nowMs);
    const demandLinked = [...upstreams.values()].filter(
      ({side}) =>
        !standing.has(formatAddress(side)) &&
        network.getLink(side) !== undefined,
    );
    const getLastUsedAtMs = ({side}: Upstream): number =>
      lastUsedAtMs.get(formatAddress(side)) ?? -Infinity;
    demandLinked.sort((a, b) => getLastUsedAtMs(b) - getLastUsedAtMs(a));
    demandLinked.forEach((upstream, index) => {
      const key = formatAddress(upstream.side);
      const isRecent = nowMs - getLastUsedAtMs(upstream) < DEMAND_LINK_IDLE_MS;
      if (isRecent && index < MAX_DEMAND_LINKS) return;
      if (treeAddresses.has(key)) return;
      if (loads.getLoad(upstream.name, nowMs).openRequests > 0) return;
      lastUsedAtMs.delete(key);
      network.disconnect(upstream.side);
      loads.removeReport(upstream.name);
    });
  };

  const reconcile = (): void => {
    const objects = configuration.listObjects(ResourceKind.Upstream);
    const previous = upstreams;
    upstreams = new Map(objects.map(({name, value}) => [name, value]));
    loadTargets.clear();
    const chosen =
      isFullView || !isPartlyLinked()
        ? [...upstreams.values()]
        : chooseStandingUpstreams([...upstreams.values()], self);
    const nextStanding = new Map(
      chosen.map(({side}) => [formatAddress(side), side] as const),
    );
    for (const [key, address] of nextStanding) {
      if (!standing.has(key)) network.connect(address);
    }
    const present = new Set(
      [...upstreams.values()].map(({side}) => formatAddress(side)),
    );
    for (const {side} of previous.values()) {
      const key = formatAddress(side);
      if (present.has(key)) continue;
      lastUsedAtMs.delete(key);
      network.disconnect(side);
    }
    standing = nextStanding;
    loads.removeUnlisted(new Set(upstreams.keys()));
    updatePeriod();
  };

  const chooseLoadTargets = (
    model: string,
    candidates: readonly Upstream[],
  ): ReadonlySet<string> => {
    const found = loadTargets.get(model);
    if (found !== undefined) return found;
    const names = rankMembers(candidates, model).map(({name}) => name);
    const chosen = new Set(names.slice(0, LOAD_TARGETS_PER_MODEL));
    loadTargets.set(model, chosen);
    return chosen;
  };

  const getReportAgeLimitMs = (): number =>
    MIN_REPORT_AGE_LIMIT_MS + 2 * (sentPeriodMs - REPORT_PERIOD_MS);

  const recordUse = (address: NetworkAddress, nowMs: number): void => {
    const key = formatAddress(address);
    if (!standing.has(key)) lastUsedAtMs.set(key, nowMs);
  };

  return {
    start: () => {
      unsubscribe = network.observeLinks({
        onLinkOpen: link => {
          const isSide = link.peer.role === ProcessRole.Side;
          if (isSide && sentPeriodMs > REPORT_PERIOD_MS) sendPeriod(link);
        },
        onLinkClose: link => void reportRequestedAtMs.delete(link.id),
      });
      reconcile();
      sweepTimer = clock.startInterval(SWEEP_PERIOD_MS, () => {
        const nowMs = clock.getNowMs();
        releaseUnused(nowMs);
        updatePeriod();
        for (const [model, atMs] of modelRequestedAtMs) {
          if (nowMs - atMs > REPEAT_WINDOW_MS) modelRequestedAtMs.delete(model);
        }
      });
    },
    stop: () => {
      unsubscribe?.();
      sweepTimer?.cancel();
      for (const {side} of upstreams.values()) network.disconnect(side);
      upstreams.clear();
      standing.clear();
    },
    reconcile,
    acquireLink: (address, timeoutMs) => {
      recordUse(address, clock.getNowMs());
      return network.acquireLink(address, timeoutMs);
    },
    recordDemand: (target, candidates, nowMs) => {
      if (!isPartlyLinked() || target.type !== TargetType.Model) return;
      const lastMs = modelRequestedAtMs.get(target.model) ?? -Infinity;
      modelRequestedAtMs.set(target.model, nowMs);
      if (nowMs - lastMs > REPEAT_WINDOW_MS) return;
      const placed = candidates
        .filter(candidate => candidate.isPlaced)
        .map(candidate => candidate.upstream);
      const isLocal = ({region}: Upstream): boolean => region === self.region;
      const local = placed.filter(isLocal);
      const ranked = rankMembers(local.length > 0 ? local : placed, self.name);
      for (const {side} of ranked.slice(0, LINKS_PER_MODEL)) {
        recordUse(side, nowMs);
        network.connect(side);
      }
    },
    getLoadTargetChooser: () =>
      isPartlyLinked() ? chooseLoadTargets : undefined,
    setFullView: isFull => {
      if (isFull === isFullView) return;
      isFullView = isFull;
      reconcile();
    },
    isViewComplete: nowMs => {
      const reported = loads
        .listReports(nowMs)
        .filter(({ageMs}) => ageMs <= getReportAgeLimitMs());
      return reported.length >= upstreams.size * COMPLETE_VIEW_FRACTION;
    },
    getReportAgeLimitMs,
    requestReport: (link, nowMs) => {
      const lastMs = reportRequestedAtMs.get(link.id) ?? -Infinity;
      if (nowMs - lastMs < REPORT_REQUEST_GAP_MS) return;
      reportRequestedAtMs.set(link.id, nowMs);
      sendPeriod(link);
    },
  };
}
