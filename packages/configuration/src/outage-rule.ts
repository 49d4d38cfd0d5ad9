/** Decides from the reports of watchers whether the platform is down. */

/** Identity of a failure domain. */
export interface DomainId {
  region: string;
  failureDomain: string;
}

/** What a process knows about which processes reach the platform. */
export interface OutageEvidence {
  ownName: string;
  /** Domains that had live processes within the grace time. */
  domains: readonly DomainId[];
  /** Current reports, at most one per reporter; this process may be one. */
  reports: ReadonlyArray<DomainId & {reporter: string}>;
}

/** Rule that decides whether reports establish an outage of the platform. */
export abstract class OutageRule {
  abstract isOutage(evidence: OutageEvidence): boolean;
}

/** Map key with the region, since domains of two regions may share a name. */
export function formatDomainKey({region, failureDomain}: DomainId): string {
  return JSON.stringify([region, failureDomain]);
}

/**
 * Requires reports from every region and from more than half of all domains,
 * at least one of them by another process. A domain without a report may still
 * reach the platform, so it counts against an outage. Processes that are cut
 * off together all report an outage, so a few reports are no proof.
 */
export class MajorityOutageRule extends OutageRule {
  isOutage({ownName, domains, reports}: OutageEvidence): boolean {
    if (!reports.some(({reporter}) => reporter !== ownName)) return false;
    const reportingKeys = new Set(reports.map(formatDomainKey));
    const reportingDomains = domains.filter(domain =>
      reportingKeys.has(formatDomainKey(domain)),
    );
    if (reportingDomains.length * 2 <= domains.length) return false;
    const regions = new Set(reportingDomains.map(({region}) => region));
    return domains.every(({region}) => regions.has(region));
  }
}
