/** Failure domains that must report an outage, and the reports themselves. */
import {MemberState} from '@siskinplank/messages';
import type {Member, OutageReports} from '@siskinplank/messages';
import {formatDomainKey} from './outage-rule';
import type {DomainId, OutageEvidence, OutageRule} from './outage-rule';

/** Outage reports as known to one process. */
export interface OutageTracker {
  /** Replaces the domains that have live members in the own view. */
  setMembers(members: readonly Member[], nowMs: number): void;
  /** Takes over what a peer sent at `sentMs`; true when a report is news. */
  recordReports(reports: OutageReports, sentMs: number): boolean;
  /** For a peer, without its own report; undefined when there is no report. */
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

/** What `createOutageTracker` needs. */
export interface OutageTrackerOptions extends DomainId {
  ownName: string;
  /** Age up to which a report counts, in milliseconds. */
  reportLifetimeMs: number;
  /** Time for which a domain without live processes must still report. */
  outageGraceMs: number;
  rule: OutageRule;
  /** When this process last failed to reach the platform, as its watcher. */
  getOwnOutageAtMs: () => number | undefined;
}

interface Domain extends DomainId {
  liveMs: number;
}

interface Report extends DomainId {
  reporter: string;
  atMs: number;
}

/** Bound of the message; the two-year size has 7 domains. */
const MAX_ENTRIES = 256;
/** A report that is newer by less than this is not worth a message. */
const NEWS_MS = 100;

/** Creates a tracker that knows the own domain only. */
export function createOutageTracker(
  options: OutageTrackerOptions,
): OutageTracker {
  const {ownName, region, failureDomain, reportLifetimeMs} = options;
  const own: DomainId = {region, failureDomain};
  const domains = new Map<string, Domain>();
  const reports = new Map<string, Report>();
  let live: readonly DomainId[] = [own];

  const recordDomain = (place: DomainId, liveMs: number): void => {
    const key = formatDomainKey(place);
    const known = domains.get(key);
    if (known !== undefined) known.liveMs = Math.max(known.liveMs, liveMs);
    else if (domains.size < MAX_ENTRIES) {
      domains.set(key, {
        region: place.region,
        failureDomain: place.failureDomain,
        liveMs,
      });
    }
  };

  /**
   * The grace time counts back from the last confirmation, so that a cut that
   * lasts does not make this process forget the domains outside.
   */
  const listDomains = (
    nowMs: number,
    confirmedMs: number | undefined,
  ): Domain[] => {
    for (const place of live) recordDomain(place, nowMs);
    const sinceMs = Math.min(nowMs, confirmedMs ?? nowMs);
    for (const [key, {liveMs}] of domains) {
      if (liveMs < sinceMs - options.outageGraceMs) domains.delete(key);
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
  const listNewest = (found: readonly Report[]): Report[] => {
    const newest = new Map<string, Report>();
    for (const report of found) {
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
    return known === undefined || atMs - known.atMs > NEWS_MS;
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
      for (const place of live) recordDomain(place, nowMs);
      const places = new Map([[formatDomainKey(own), own]]);
      for (const member of members) {
        if (member.state !== MemberState.Live) continue;
        places.set(formatDomainKey(member), {
          region: member.region,
          failureDomain: member.failureDomain,
        });
      }
      live = [...places.values()];
    },
    recordReports: (message, sentMs) => {
      const places = message.domains.map(([placeRegion, name, ageMs]) => {
        const place = {region: placeRegion, failureDomain: name};
        recordDomain(place, sentMs - ageMs);
        return place;
      });
      let isNews = false;
      for (const [index, reporter, ageMs] of message.reports) {
        const place = places.at(index);
        if (place === undefined) continue;
        const atMs = sentMs - ageMs;
        if (recordReport({...place, reporter, atMs})) isNews = true;
      }
      return isNews;
    },
    makeReports: (nowMs, confirmedMs, receiver) => {
      const sent = listNewest(
        listReports(nowMs).filter(({reporter}) => reporter !== receiver),
      );
      if (sent.length === 0) return undefined;
      for (const report of sent) recordDomain(report, report.atMs);
      const known = listDomains(nowMs, confirmedMs);
      const indexes = new Map(
        known.map((domain, index) => [formatDomainKey(domain), index]),
      );
      // Rounded to the strict side: a domain seems live later, a report older.
      return {
        domains: known.map(domain => [
          domain.region,
          domain.failureDomain,
          Math.max(0, Math.floor(nowMs - domain.liveMs)),
        ]),
        reports: sent.flatMap((report): OutageReports['reports'] => {
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
