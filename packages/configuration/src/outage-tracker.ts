/** Tracks outage reports and the failure domains that must send them. */
import {MemberState} from '@siskinplank/messages';
import type {Member, OutageReports} from '@siskinplank/messages';
import {formatDomainKey} from './outage-rule';
import type {DomainId, OutageEvidence, OutageRule} from './outage-rule';

/** Outage reports and failure domains known to one process. */
export interface OutageTracker {
  /** Replaces the domains with live members in the local membership view. */
  setMembers(members: readonly Member[], nowMs: number): void;
  /**
   * Records reports that a peer sent at `sentMs`; true when one of them is new
   * or newer by more than 100 ms.
   */
  recordReports(reports: OutageReports, sentMs: number): boolean;
  /**
   * Makes the reports to send to `receiver`, without its own; undefined when
   * there are none.
   */
  makeReports(
    nowMs: number,
    confirmedMs: number | undefined,
    receiver: string,
  ): OutageReports | undefined;
  collectEvidence(
    nowMs: number,
    confirmedMs: number | undefined,
  ): OutageEvidence;
  isOutage(nowMs: number, confirmedMs: number | undefined): boolean;
}

/** Options of `createOutageTracker`. */
export interface OutageTrackerOptions extends DomainId {
  ownName: string;
  /** Age up to which a report counts, in milliseconds. */
  reportLifetimeMs: number;
  /**
   * Time in milliseconds for which a domain without live processes still counts
   * among those that must report.
   */
  outageGraceMs: number;
  rule: OutageRule;
  /** Start of the last failed call of this process; undefined if no outage. */
  getOwnOutageAtMs: () => number | undefined;
}

/** A failure domain and when it last had a live process. */
interface Domain extends DomainId {
  lastLiveMs: number;
}

interface Report extends DomainId {
  reporter: string;
  atMs: number;
}

/** Limit of domains and of reports; the planned two-year size has 7 domains. */
const MAX_ENTRIES = 256;
/** A report that is newer by no more than this is not relayed. */
const MIN_NEWER_MS = 100;

/** Creates a tracker that knows only the domain of this process. */
export function createOutageTracker(
  options: OutageTrackerOptions,
): OutageTracker {
  const {ownName, region, failureDomain, reportLifetimeMs} = options;
  const own: DomainId = {region, failureDomain};
  const domains = new Map<string, Domain>();
  const reports = new Map<string, Report>();
  let live: readonly DomainId[] = [own];

  const recordDomain = (domain: DomainId, lastLiveMs: number): void => {
    const key = formatDomainKey(domain);
    const known = domains.get(key);
    if (known !== undefined)
      known.lastLiveMs = Math.max(known.lastLiveMs, lastLiveMs);
    else if (domains.size < MAX_ENTRIES) {
      domains.set(key, {
        region: domain.region,
        failureDomain: domain.failureDomain,
        lastLiveMs,
      });
    }
  };

  /**
   * Domains that had a live process within the grace time before the last
   * confirmation. Counted from now, a process that stays cut off would drop the
   * domains it cannot reach and then see an outage.
   */
  const listDomains = (
    nowMs: number,
    confirmedMs: number | undefined,
  ): Domain[] => {
    for (const domain of live) recordDomain(domain, nowMs);
    const referenceMs = Math.min(nowMs, confirmedMs ?? nowMs);
    for (const [key, {lastLiveMs}] of domains) {
      if (lastLiveMs < referenceMs - options.outageGraceMs) domains.delete(key);
    }
    return [...domains.values()];
  };

  const listReports = (nowMs: number): Report[] => {
    for (const [reporter, {atMs}] of reports) {
      if (nowMs - atMs > reportLifetimeMs) reports.delete(reporter);
    }
    const ownMs = options.getOwnOutageAtMs();
    const isCurrent = ownMs !== undefined && nowMs - ownMs <= reportLifetimeMs;
    return isCurrent
      ? [...reports.values(), {...own, reporter: ownName, atMs: ownMs}]
      : [...reports.values()];
  };

  /** The newest report of each domain. */
  const listNewestByDomain = (candidates: readonly Report[]): Report[] => {
    const newest = new Map<string, Report>();
    for (const report of candidates) {
      const key = formatDomainKey(report);
      const other = newest.get(key);
      if (other === undefined || other.atMs < report.atMs) {
        newest.set(key, report);
      }
    }
    return [...newest.values()];
  };

  const recordReport = (report: Report): boolean => {
    const {reporter, atMs} = report;
    if (reporter === ownName) return false;
    const known = reports.get(reporter);
    if (known === undefined && reports.size >= MAX_ENTRIES) return false;
    if (known !== undefined && known.atMs >= atMs) return false;
    reports.set(reporter, report);
    return known === undefined || atMs - known.atMs > MIN_NEWER_MS;
  };

  const collectEvidence: OutageTracker['collectEvidence'] = (
    nowMs,
    confirmedMs,
  ) => ({
    ownName,
    domains: listDomains(nowMs, confirmedMs),
    reports: listReports(nowMs),
  });

  return {
    setMembers: (members, nowMs) => {
      for (const domain of live) recordDomain(domain, nowMs);
      const liveByKey = new Map([[formatDomainKey(own), own]]);
      for (const member of members) {
        if (member.state !== MemberState.Live) continue;
        liveByKey.set(formatDomainKey(member), {
          region: member.region,
          failureDomain: member.failureDomain,
        });
      }
      live = [...liveByKey.values()];
    },
    recordReports: (message, sentMs) => {
      const listedDomains = message.domains.map(
        ([domainRegion, name, ageMs]) => {
          const domain = {region: domainRegion, failureDomain: name};
          recordDomain(domain, sentMs - ageMs);
          return domain;
        },
      );
      let isNews = false;
      for (const [index, reporter, ageMs] of message.reports) {
        const domain = listedDomains.at(index);
        if (domain === undefined) continue;
        const atMs = sentMs - ageMs;
        if (recordReport({...domain, reporter, atMs})) isNews = true;
      }
      return isNews;
    },
    makeReports: (nowMs, confirmedMs, receiver) => {
      const included = listNewestByDomain(
        listReports(nowMs).filter(({reporter}) => reporter !== receiver),
      );
      if (included.length === 0) return undefined;
      for (const report of included) recordDomain(report, report.atMs);
      const known = listDomains(nowMs, confirmedMs);
      const indexes = new Map(
        known.map((domain, index) => [formatDomainKey(domain), index]),
      );
      // Rounded so that an outage is less likely: domains appear live more
      // recently, reports appear older.
      return {
        domains: known.map(domain => [
          domain.region,
          domain.failureDomain,
          Math.max(0, Math.floor(nowMs - domain.lastLiveMs)),
        ]),
        reports: included.flatMap((report): OutageReports['reports'] => {
          const index = indexes.get(formatDomainKey(report));
          const ageMs = Math.max(0, Math.ceil(nowMs - report.atMs));
          return index === undefined ? [] : [[index, report.reporter, ageMs]];
        }),
      };
    },
    collectEvidence,
    isOutage: (nowMs, confirmedMs) =>
      options.rule.isOutage(collectEvidence(nowMs, confirmedMs)),
  };
}
