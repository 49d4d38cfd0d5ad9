/** Which upstreams began the streams of the last minute, by attempt. */

/** Where a stream began. */
export interface StreamOrigin {
  service: string;
  /** Version of the upstreams' software, not of the weights. */
  softwareVersion: string;
}

/**
 * Time for which an origin is kept after its last use. Callers wait 25 s at
 * most from the first attempt to the last event; a stream that began before a
 * pause of its gateway may be resumed later than that.
 */
export const ORIGIN_KEEP_MS = 60_000;
/** A caller that has the last event of a stream may not have read its end. */
const COMPLETED_KEEP_MS = 2_000;
/** Ids of attempts are 16 characters long; longer ones are neither kept nor sent. */
export const MAX_ATTEMPT_ID_LENGTH = 256;
/** About 16 MB; a gateway of the largest deployment learns 280 a second. */
const MAX_ORIGINS = 50_000;

/** The origins that a gateway knows. */
export interface OriginTable {
  /** Adds the origin of a stream that this gateway began or resumed. */
  addOwn(attemptId: string, origin: StreamOrigin, nowMs: number): void;
  /** Adds an origin that another gateway, the reporter, has sent or stored. */
  addReported(
    attemptId: string,
    origin: StreamOrigin,
    reporter: string,
    nowMs: number,
  ): void;
  /** Makes an origin of a process that is gone an own one, unless it is one. */
  takeOver(attemptId: string, origin: StreamOrigin, nowMs: number): void;
  /** Notes that the response of an own attempt was sent whole. */
  complete(attemptId: string, nowMs: number): void;
  find(attemptId: string, nowMs: number): StreamOrigin | undefined;
  /** Own origins that were added at `sinceMs` or later, oldest first. */
  listOwnSince(sinceMs: number, nowMs: number): Array<[string, StreamOrigin]>;
  /** Own origins of streams that callers may still resume, oldest first. */
  listOwnOpen(nowMs: number): Array<[string, StreamOrigin]>;
  /** Origins that the reporter has sent or stored, oldest first. */
  listReportedBy(
    reporter: string,
    nowMs: number,
  ): Array<[string, StreamOrigin]>;
  /** Gateways that have sent or stored origins that are kept. */
  listReporters(nowMs: number): string[];
  /** Number of origins, those that are no longer found included. */
  count(): number;
}

interface KnownOrigin {
  origin: StreamOrigin;
  addedAtMs: number;
  /** Gateway that reported it; undefined for an own one. */
  reporter: string | undefined;
  completedAtMs: number;
}

/** Creates a table without origins. */
export function createOriginTable(maxOrigins = MAX_ORIGINS): OriginTable {
  /** Oldest first. */
  const known = new Map<string, KnownOrigin>();

  const isExpired = ({addedAtMs}: KnownOrigin, nowMs: number): boolean =>
    nowMs - addedAtMs > ORIGIN_KEEP_MS;

  const removeOldest = (nowMs: number): void => {
    for (const [attemptId, item] of known) {
      if (known.size <= maxOrigins && !isExpired(item, nowMs)) return;
      known.delete(attemptId);
    }
  };

  const add = (
    attemptId: string,
    origin: StreamOrigin,
    reporter: string | undefined,
    nowMs: number,
  ): void => {
    if (attemptId.length > MAX_ATTEMPT_ID_LENGTH) return;
    known.delete(attemptId);
    known.set(attemptId, {
      origin,
      addedAtMs: nowMs,
      reporter,
      completedAtMs: Infinity,
    });
    removeOldest(nowMs);
  };

  const isOwn = ({reporter}: KnownOrigin): boolean => reporter === undefined;

  const listSelected = (
    select: (item: KnownOrigin) => boolean,
    nowMs: number,
  ): Array<[string, StreamOrigin]> => {
    removeOldest(nowMs);
    const listed: Array<[string, StreamOrigin]> = [];
    for (const [attemptId, item] of known) {
      if (select(item)) listed.push([attemptId, item.origin]);
    }
    return listed;
  };

  return {
    addOwn: (attemptId, origin, nowMs) =>
      add(attemptId, origin, undefined, nowMs),
    addReported: (attemptId, origin, reporter, nowMs) => {
      // The first report is kept: a later one is the same or a mistake.
      if (known.has(attemptId)) return;
      add(attemptId, origin, reporter, nowMs);
    },
    takeOver: (attemptId, origin, nowMs) => {
      const item = known.get(attemptId);
      if (item !== undefined && isOwn(item)) return;
      add(attemptId, item?.origin ?? origin, undefined, nowMs);
    },
    complete: (attemptId, nowMs) => {
      const item = known.get(attemptId);
      if (item !== undefined) item.completedAtMs = nowMs;
    },
    find: (attemptId, nowMs) => {
      const item = known.get(attemptId);
      return item === undefined || isExpired(item, nowMs)
        ? undefined
        : item.origin;
    },
    listOwnSince: (sinceMs, nowMs) =>
      listSelected(item => isOwn(item) && item.addedAtMs >= sinceMs, nowMs),
    listOwnOpen: nowMs =>
      listSelected(
        item => isOwn(item) && nowMs - item.completedAtMs < COMPLETED_KEEP_MS,
        nowMs,
      ),
    listReportedBy: (reporter, nowMs) =>
      listSelected(item => item.reporter === reporter, nowMs),
    listReporters: nowMs => {
      removeOldest(nowMs);
      const reporters = new Set<string>();
      for (const {reporter} of known.values()) {
        if (reporter !== undefined) reporters.add(reporter);
      }
      return [...reporters];
    },
    count: () => known.size,
  };
}
