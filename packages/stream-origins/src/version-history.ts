/**
 * Software versions that have served each service lately; likewise the services
 * to which each route has led.
 */
import {ORIGIN_KEEP_MS} from './origin-table';

/** The versions, by service. */
export interface VersionHistory {
  /** Notes a version that served at a time. */
  observe(service: string, softwareVersion: string, seenAtMs: number): void;
  /** Versions that streams may have begun by that still go on, in order. */
  listRecent(service: string, nowMs: number): string[];
  /** Whether the service has more than one recent version. */
  isMixed(service: string, nowMs: number): boolean;
  /** By service and recent version: milliseconds since it was last seen. */
  describeAges(nowMs: number): Record<string, Record<string, number>>;
  /** The recent versions of all services. */
  describe(nowMs: number): Record<string, string[]>;
  /** The recent versions of the services that have more than one. */
  describeMixed(nowMs: number): Record<string, string[]>;
}

/** Creates a history without versions. */
export function createVersionHistory(): VersionHistory {
  /** When each version was last seen, by service and version. */
  const services = new Map<string, Map<string, number>>();

  const listRecent = (service: string, nowMs: number): string[] => {
    const versions = services.get(service);
    if (versions === undefined) return [];
    for (const [version, seenAtMs] of versions) {
      if (nowMs - seenAtMs > ORIGIN_KEEP_MS) versions.delete(version);
    }
    return [...versions.keys()].sort();
  };

  return {
    observe: (service, softwareVersion, seenAtMs) => {
      const versions = services.get(service) ?? new Map<string, number>();
      services.set(service, versions);
      const formerMs = versions.get(softwareVersion) ?? -Infinity;
      versions.set(softwareVersion, Math.max(formerMs, seenAtMs));
    },
    listRecent,
    isMixed: (service, nowMs) => listRecent(service, nowMs).length > 1,
    describeAges: nowMs =>
      Object.fromEntries(
        [...services].map(([service, versions]) => [
          service,
          Object.fromEntries(
            listRecent(service, nowMs).map(version => [
              version,
              nowMs - (versions.get(version) ?? nowMs),
            ]),
          ),
        ]),
      ),
    describeMixed: nowMs => {
      const mixed: Array<[string, string[]]> = [];
      for (const [service, versions] of services) {
        if (versions.size < 2) continue;
        const recent = listRecent(service, nowMs);
        if (recent.length > 1) mixed.push([service, recent]);
      }
      return Object.fromEntries(mixed);
    },
    describe: nowMs =>
      Object.fromEntries(
        [...services.keys()].map(service => [
          service,
          listRecent(service, nowMs),
        ]),
      ),
  };
}
