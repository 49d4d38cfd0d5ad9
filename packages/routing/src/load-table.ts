/** Last load report of each upstream and the requests this process has open there. */
import type {LoadSummary, MessageOf, MessageType} from '@siskinplank/messages';

/** What the table knows of one upstream. */
export interface UpstreamLoad {
  load: LoadSummary | undefined;
  loadAgeMs: number;
  openRequests: number;
  openTokens: number;
  /** Prompt prefixes that this process sent there lately. */
  sentPrefixes: ReadonlySet<string>;
}

/** A load report and its age. */
export interface AgedReport {
  load: LoadSummary;
  ageMs: number;
}

/** Load of all upstreams as one entry host sees it. */
export interface LoadTable {
  /** Keeps a report unless a later one of the same upstream is known. */
  recordReport(load: LoadSummary, nowMs: number): void;
  /**
   * Applies what changed since the last report; false when it does not follow
   * that report, so that a full one is needed.
   */
  recordUpdate(
    update: MessageOf<MessageType.LoadUpdate>,
    nowMs: number,
  ): boolean;
  /** Forgets the report of an upstream that reports no longer. */
  removeReport(upstream: string): void;
  /** Counts an open request; the returned function ends it, once. */
  openRequest(upstream: string, tokens: number): () => void;
  /** Remembers prefixes whose cache a finished request has filled. */
  recordPrefixes(upstream: string, hashes: readonly string[]): void;
  getLoad(upstream: string, nowMs: number): UpstreamLoad;
  /** The last report of each upstream. */
  listReports(nowMs: number): readonly AgedReport[];
  /** Forgets upstreams that are not in `names` and have nothing open. */
  removeUnlisted(names: ReadonlySet<string>): void;
}

interface Row {
  load: LoadSummary | undefined;
  receivedAtMs: number;
  openRequests: number;
  openTokens: number;
  /** In order of their last use. */
  sentPrefixes: Set<string>;
}

/** Prefixes remembered for each upstream; the oldest are forgotten first. */
const MAX_SENT_PREFIXES = 2_048;

/** As many as a side process reports; the oldest are forgotten first. */
const MAX_CACHED_PREFIXES = 256;

const NO_PREFIXES: ReadonlySet<string> = new Set();

/**
 * Reports are numbered by each start of a side process, so a lower number may
 * come from a restarted one. It is accepted once the last report is this old.
 */
const RESTART_AGE_MS = 3_000;

function mergePrefixes(
  known: string[],
  added: readonly string[] = [],
  removed: readonly string[] = [],
): string[] {
  if (added.length + removed.length === 0) return known;
  const gone = new Set([...removed, ...added]);
  return [...known.filter(hash => !gone.has(hash)), ...added].slice(
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
