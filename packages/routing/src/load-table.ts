/** Last load report and local open requests of each upstream. */
import type {LoadSummary, MessageOf, MessageType} from '@siskinplank/messages';

/** Load of one upstream. */
export interface UpstreamLoad {
  /** Last load report; absent before the first one. */
  load: LoadSummary | undefined;
  /** Time since the load report; `Infinity` without one. */
  loadAgeMs: number;
  /** Open requests of this process and their estimated tokens. */
  openRequests: number;
  openTokens: number;
  /** Hashes of prompt prefixes that this process recently sent there. */
  sentPrefixes: ReadonlySet<string>;
}

/** A load report and its age. */
export interface AgedReport {
  load: LoadSummary;
  ageMs: number;
}

/** Load of all upstreams as known to this process. */
export interface LoadTable {
  /** Stores a report unless a later one of the same upstream is stored. */
  recordReport(load: LoadSummary, nowMs: number): void;
  /**
   * Applies an update to the last report. Returns false when there is no report
   * with a lower sequence number, so that a full report is needed.
   */
  recordUpdate(
    update: MessageOf<MessageType.LoadUpdate>,
    nowMs: number,
  ): boolean;
  /** Removes the report of an upstream that stopped reporting. */
  removeReport(upstream: string): void;
  /** Counts an open request; the first call of the result ends it. */
  openRequest(upstream: string, tokens: number): () => void;
  /** Records prefixes that a finished request has put into the cache. */
  recordPrefixes(upstream: string, hashes: readonly string[]): void;
  getLoad(upstream: string, nowMs: number): UpstreamLoad;
  /** Lists the last report of each upstream. */
  listReports(nowMs: number): readonly AgedReport[];
  /** Removes upstreams that are not in `names` and have no open requests. */
  removeUnlisted(names: ReadonlySet<string>): void;
}

interface Row {
  load: LoadSummary | undefined;
  receivedAtMs: number;
  openRequests: number;
  openTokens: number;
  /** Least recently used first. */
  sentPrefixes: Set<string>;
}

/** Sent prefixes kept for each upstream; the least recently used go first. */
const MAX_SENT_PREFIXES = 2_048;

/** Limit that side processes use too; the oldest are removed first. */
const MAX_CACHED_PREFIXES = 256;

const NO_PREFIXES: ReadonlySet<string> = new Set();

/**
 * A restarted side process numbers its reports from the start again, so a lower
 * sequence number is accepted once the last report is this old.
 */
const RESTART_AGE_MS = 3_000;

function mergePrefixes(
  known: string[],
  added: readonly string[] = [],
  removed: readonly string[] = [],
): string[] {
  if (added.length + removed.length === 0) return known;
  const replaced = new Set([...removed, ...added]);
  return [...known.filter(hash => !replaced.has(hash)), ...added].slice(
    -MAX_CACHED_PREFIXES,
  );
}

/** Creates an empty load table. */
export function createLoadTable(): LoadTable {
  const rows = new Map<string, Row>();

  const getRow = (upstream: string): Row => {
    const known = rows.get(upstream);
    if (known !== undefined) return known;
    const row: Row = {
      load: undefined,
      receivedAtMs: 0,
      openRequests: 0,
      openTokens: 0,
      sentPrefixes: new Set(),
    };
    rows.set(upstream, row);
    return row;
  };

  return {
    recordReport: (load, nowMs) => {
      const row = getRow(load.upstream);
      const isOlder =
        row.load !== undefined &&
        load.sequence < row.load.sequence &&
        nowMs - row.receivedAtMs < RESTART_AGE_MS;
      if (isOlder) return;
      row.load = load;
      row.receivedAtMs = nowMs;
    },
    recordUpdate: (update, nowMs) => {
      const row = rows.get(update.upstream);
      if (row?.load === undefined || update.sequence <= row.load.sequence) {
        return false;
      }
      const {load} = row;
      row.load = {
        ...load,
        sequence: update.sequence,
        state: update.state,
        queuedRequests: update.queuedRequests,
        queuedTokens: update.queuedTokens,
        running: update.running,
        freeMemoryMiB: update.freeMemoryMiB,
        demand: update.demand ?? load.demand,
        cachedPrefixes: mergePrefixes(
          load.cachedPrefixes,
          update.addedPrefixes,
          update.removedPrefixes,
        ),
      };
      row.receivedAtMs = nowMs;
      return true;
    },
    removeReport: upstream => {
      const row = rows.get(upstream);
      if (row !== undefined) row.load = undefined;
    },
    openRequest: (upstream, tokens) => {
      const row = getRow(upstream);
      row.openRequests += 1;
      row.openTokens += tokens;
      let isOpen = true;
      return () => {
        if (!isOpen) return;
        isOpen = false;
        row.openRequests -= 1;
        row.openTokens -= tokens;
      };
    },
    recordPrefixes: (upstream, hashes) => {
      const {sentPrefixes} = getRow(upstream);
      for (const hash of hashes) {
        sentPrefixes.delete(hash);
        sentPrefixes.add(hash);
      }
      for (const oldest of sentPrefixes) {
        if (sentPrefixes.size <= MAX_SENT_PREFIXES) return;
        sentPrefixes.delete(oldest);
      }
    },
    getLoad: (upstream, nowMs) => {
      const row = rows.get(upstream);
      return {
        load: row?.load,
        loadAgeMs:
          row?.load === undefined ? Infinity : nowMs - row.receivedAtMs,
        openRequests: row?.openRequests ?? 0,
        openTokens: row?.openTokens ?? 0,
        sentPrefixes: row?.sentPrefixes ?? NO_PREFIXES,
      };
    },
    listReports: nowMs =>
      [...rows.values()].flatMap(({load, receivedAtMs}) =>
        load === undefined ? [] : [{load, ageMs: nowMs - receivedAtMs}],
      ),
    removeUnlisted: names => {
      for (const [name, row] of rows) {
        if (!names.has(name) && row.openRequests === 0) rows.delete(name);
      }
    },
  };
}
