/**
 * Links to side processes. Up to `MAX_STANDING_LINKS` upstreams are all linked.
 * Beyond that an entry process keeps links to a part of them, which differs
 * between entry hosts, and opens others for the models that its requests name.
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

/** What the links are chosen and kept with. */
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
  /** Chooses the standing links anew after a change of the upstreams. */
  reconcile(): void;
  acquireLink(
    address: NetworkAddress,
    timeoutMs: number,
  ): Promise<Link | undefined>;
  /** Keeps links to upstreams of a model that is asked for repeatedly. */
  recordDemand(
    target: RequestTarget,
    candidates: readonly RoutingCandidate[],
    nowMs: number,
  ): void;
  /** Undefined while all upstreams are linked. */
  getLoadTargetChooser(): CandidateSources['chooseLoadTargets'];
  setFullView(isFull: boolean): void;
  isViewComplete(nowMs: number): boolean;
  /** Age up to which a load report of a live upstream may be. */
  getReportAgeLimitMs(): number;
  /** Asks for a full load report, unless one was just asked for. */
  requestReport(link: Link, nowMs: number): void;
}

/** Links beyond the standing ones; the longest unused are closed first. */
const MAX_DEMAND_LINKS = 96;
const DEMAND_LINK_IDLE_MS = 120_000;
/** Time in which a second request for a model opens links ahead. */
const REPEAT_MS = 60_000;
/** Upstreams of a model to keep linked, so that there are two to choose of. */
const LINKS_PER_MODEL = 2;
/** Upstreams on which a model that is placed nowhere is loaded on demand. */
const HOMES_PER_MODEL = 2;
const SWEEP_PERIOD_MS = 5_000;
/**
 * Quiet links report this seldom for each of them, so that their reports of
 * about 150 bytes take 4 KB/s in all.
 */
const QUIET_MS_PER_LINK = 40;
const MAX_QUIET_PERIOD_MS = 20_000;
/** Missed reports allow for two periods and some delay. */
const MIN_REPORT_AGE_LIMIT_MS = 10_000;
/** Period at which side processes report unasked. */
const REPORT_PERIOD_MS = 1_000;
/** Change of the period that is worth a message to each side process. */
const PERIOD_TOLERANCE = 0.25;
const REPORT_REQUEST_GAP_MS = 1_000;
const COMPLETE_SHARE = 0.9;

const formatAddress = ({host, port}: NetworkAddress): string =>
  `${host}:${port}`;

/** Creates the links; nothing is opened before `start`. */
export function createSideLinks(options: SideLinksOptions): SideLinks {
  const {clock, network, configuration, membership, loads} = options;
  const self = options.settings.process;
  let upstreams = new Map<string, Upstream>();
  let standing = new Map<string, NetworkAddress>();
  /** Time of the last use of links beyond the standing ones. */
  const usedMs = new Map<string, number>();
  const askedMs = new Map<string, number>();
  const requestedMs = new Map<string, number>();
  const homes = new Map<string, ReadonlySet<string>>();
  let isFullView = false;
  let sentPeriodMs = REPORT_PERIOD_MS;
  let sweepTimer: Timer | undefined;
  let unsubscribe: (() => void) | undefined;

  const isPartial = (): boolean => upstreams.size > MAX_STANDING_LINKS;

  const sendPeriod = (link: Link): void => {
    link.send({type: MessageType.LoadSubscribe, quietPeriodMs: sentPeriodMs});
  };

  const listSideLinks = (): Link[] =>
    network.listLinks().filter(({peer}) => peer.role === ProcessRole.Side);

  const updatePeriod = (): void => {
    const count = Math.max(standing.size, listSideLinks().length);
    const periodMs = Math.min(
      MAX_QUIET_PERIOD_MS,
      Math.max(REPORT_PERIOD_MS, count * QUIET_MS_PER_LINK),
    );
    const change = Math.abs(periodMs - sentPeriodMs);
    if (change <= sentPeriodMs * PERIOD_TOLERANCE) return;
    sentPeriodMs = periodMs;
    listSideLinks().forEach(sendPeriod);
  };

  /** Addresses that the relay tree uses, whose links are not ours to close. */
  const listTreeAddresses = (nowMs: number): Set<string> => {
    const members = membership.listMembers(nowMs);
    const {uplinks} = computeTreePosition(members, self);
    return new Set(uplinks.map(formatAddress));
  };

  const releaseUnused = (nowMs: number): void => {
    if (!isPartial() || isFullView) return;
    const inUse = listTreeAddresses(nowMs);
    const others = [...upstreams.values()].filter(
      ({side}) =>
        !standing.has(formatAddress(side)) &&
        network.getLink(side) !== undefined,
    );
    const getUsedMs = ({side}: Upstream): number =>
      usedMs.get(formatAddress(side)) ?? -Infinity;
    others.sort((a, b) => getUsedMs(b) - getUsedMs(a));
    others.forEach((upstream, index) => {
      const key = formatAddress(upstream.side);
      const isRecent = nowMs - getUsedMs(upstream) < DEMAND_LINK_IDLE_MS;
      if (isRecent && index < MAX_DEMAND_LINKS) return;
      if (inUse.has(key)) return;
      if (loads.getLoad(upstream.name, nowMs).openRequests > 0) return;
      usedMs.delete(key);
      network.disconnect(upstream.side);
      loads.removeReport(upstream.name);
    });
  };

  const reconcile = (): void => {
    const objects = configuration.listObjects(ResourceKind.Upstream);
    const known = upstreams;
    upstreams = new Map(objects.map(({name, value}) => [name, value]));
    homes.clear();
    const chosen =
      isFullView || !isPartial()
        ? [...upstreams.values()]
        : chooseStandingUpstreams([...upstreams.values()], self);
    const wanted = new Map(
      chosen.map(({side}) => [formatAddress(side), side] as const),
    );
    for (const [key, address] of wanted) {
      if (!standing.has(key)) network.connect(address);
    }
    const present = new Set(
      [...upstreams.values()].map(({side}) => formatAddress(side)),
    );
    for (const {side} of known.values()) {
      const key = formatAddress(side);
      if (present.has(key)) continue;
      usedMs.delete(key);
      network.disconnect(side);
    }
    standing = wanted;
    loads.removeUnlisted(new Set(upstreams.keys()));
    updatePeriod();
  };

  const chooseHomes = (
    model: string,
    candidates: readonly Upstream[],
  ): ReadonlySet<string> => {
    const found = homes.get(model);
    if (found !== undefined) return found;
    const names = rankMembers(candidates, model).map(({name}) => name);
    const chosen = new Set(names.slice(0, HOMES_PER_MODEL));
    homes.set(model, chosen);
    return chosen;
  };

  const getReportAgeLimitMs = (): number =>
    MIN_REPORT_AGE_LIMIT_MS + 2 * (sentPeriodMs - REPORT_PERIOD_MS);

  const touch = (address: NetworkAddress, nowMs: number): void => {
    const key = formatAddress(address);
    if (!standing.has(key)) usedMs.set(key, nowMs);
  };

  return {
    start: () => {
      unsubscribe = network.observeLinks({
        onLinkOpen: link => {
          const isSide = link.peer.role === ProcessRole.Side;
          if (isSide && sentPeriodMs > REPORT_PERIOD_MS) sendPeriod(link);
        },
        onLinkClose: link => void askedMs.delete(link.id),
      });
      reconcile();
      sweepTimer = clock.startInterval(SWEEP_PERIOD_MS, () => {
        const nowMs = clock.getNowMs();
        releaseUnused(nowMs);
        updatePeriod();
        for (const [model, atMs] of requestedMs) {
          if (nowMs - atMs > REPEAT_MS) requestedMs.delete(model);
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
      touch(address, clock.getNowMs());
      return network.acquireLink(address, timeoutMs);
    },
    recordDemand: (target, candidates, nowMs) => {
      if (!isPartial() || target.type !== TargetType.Model) return;
      const lastMs = requestedMs.get(target.model) ?? -Infinity;
      requestedMs.set(target.model, nowMs);
      if (nowMs - lastMs > REPEAT_MS) return;
      const placed = candidates
        .filter(candidate => candidate.isPlaced)
        .map(candidate => candidate.upstream);
      const isLocal = ({region}: Upstream): boolean => region === self.region;
      const local = placed.filter(isLocal);
      const ranked = rankMembers(local.length > 0 ? local : placed, self.name);
      for (const {side} of ranked.slice(0, LINKS_PER_MODEL)) {
        touch(side, nowMs);
        network.connect(side);
      }
    },
    getLoadTargetChooser: () => (isPartial() ? chooseHomes : undefined),
    setFullView: isFull => {
      if (isFull === isFullView) return;
      isFullView = isFull;
      reconcile();
    },
    isViewComplete: nowMs => {
      const reported = loads
        .listReports(nowMs)
        .filter(({ageMs}) => ageMs <= getReportAgeLimitMs());
      return reported.length >= upstreams.size * COMPLETE_SHARE;
    },
    getReportAgeLimitMs,
    requestReport: (link, nowMs) => {
      const lastMs = askedMs.get(link.id) ?? -Infinity;
      if (nowMs - lastMs < REPORT_REQUEST_GAP_MS) return;
      askedMs.set(link.id, nowMs);
      sendPeriod(link);
    },
  };
}
