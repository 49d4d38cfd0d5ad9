/** What one gateway knows of each upstream's load. */
import type {Upstream} from '@siskinplank/serving';

/** An upstream with the requests that this gateway has open at it. */
export interface UpstreamEntry {
  upstream: Upstream;
  /** Requests sent and not answered to the end. */
  openCount: number;
}

/** Entries of the upstreams that may be used. */
export interface UpstreamTable {
  /** Replaces the upstreams; counts of those that stay are kept. */
  setUpstreams(upstreams: Iterable<Upstream>): void;
  getEntry(id: string): UpstreamEntry | undefined;
  listService(service: string): readonly UpstreamEntry[];
  listEntries(): Iterable<UpstreamEntry>;
}

/** Creates an empty table. */
export function createUpstreamTable(): UpstreamTable {
  let entries = new Map<string, UpstreamEntry>();
  let byService = new Map<string, UpstreamEntry[]>();
  return {
    setUpstreams: upstreams => {
      const former = entries;
      entries = new Map();
      byService = new Map();
      for (const upstream of upstreams) {
        const known = former.get(upstream.id);
        const isSame =
          known !== undefined &&
          known.upstream.startedAtMs === upstream.startedAtMs;
        const entry = isSame ? known : {upstream, openCount: 0};
        entry.upstream = upstream;
        entries.set(upstream.id, entry);
        const group = byService.get(upstream.service);
        if (group === undefined) byService.set(upstream.service, [entry]);
        else group.push(entry);
      }
    },
    getEntry: id => entries.get(id),
    listService: service => byService.get(service) ?? [],
    listEntries: () => entries.values(),
  };
}
