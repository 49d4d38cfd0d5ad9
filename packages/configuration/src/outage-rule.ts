/** Decides from the reports of watchers whether the platform itself is down. */

/** A failure domain in its region. */
export interface DomainId {
  region: string;
  failureDomain: string;
}

/** What a process knows about the reach of the platform. */
export interface OutageEvidence {
  ownName: string;
  /** Domains known to have had live processes within the grace time. */
  domains: readonly DomainId[];
  /** Current reports, at most one for each reporter; may include the own. */
  reports: ReadonlyArray<DomainId & {reporter: string}>;
}

/** Rule by which reports count as an outage of the platform. */
export abstract class OutageRule {
  abstract isOutage(evidence: OutageEvidence): boolean;
}

/** Key of a domain; domains of two regions may have the same name. */
export function formatDomainKey({region, failureDomain}: DomainId): string {
  return JSON.stringify([region, failureDomain]);
}

/**
 * Needs reports from every region and from more than half of all domains,
 * at least one of them from another process. A silent domain may still reach
 * the platform, so it counts against an outage; processes that are cut off
 * together confirm each other's reports, which alone prove nothing.
 */
export class MajorityOutageRule extends OutageRule {
  isOutage({ownName, domains, reports}: OutageEvidence): boolean {
    if (!reports.some(({reporter}) => reporter !== ownName)) return false;
    const reporting = new Set(reports.map(formatDomainKey));
    const reached = domains.filter(domain =>
      reporting.has(formatDomainKey(domain)),
    );
    if (reached.length * 2 <= domains.length) return false;
    const regions = new Set(reached.map(({region}) => region));
    return domains.every(({region}) => regions.has(region));
  }
}
