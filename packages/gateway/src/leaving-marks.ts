/** Incarnations of upstreams that must not receive requests any more. */
import {formatIncarnation} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';

type Incarnation = Pick<Upstream, 'id' | 'startedAtMs'>;

/** A leaving incarnation, as gateways report it to each other. */
export type LeavingUpstream = readonly [
  id: string,
  startedAtMs: number,
  /** Store revision, and era of the store, at which it was known to leave. */
  revision: number,
  era: number,
  /**
   * Whether it never becomes ready again, since it was draining, said that it
   * leaves, or a later incarnation has started.
   */
  isFinal: boolean,
];

/** Leaving incarnations and since when each is known. */
export interface LeavingMarks {
  /** Returns false if there is a mark that says as much. */
  add(report: LeavingUpstream, nowMs: number): boolean;
  get(incarnation: Incarnation): LeavingUpstream | undefined;
  remove(incarnation: Incarnation): void;
  /** Marks to send to the other gateways. */
  listReports(
    nowMs: number,
    isShownReady: (incarnation: Incarnation) => boolean,
  ): LeavingUpstream[];
}

/** Time for which a mark is sent to the other gateways. */
const BROADCAST_MS = 15_000;
/** Far above the age of the copies that the store may return from. */
const RETENTION_MS = 300_000;

/** Creates an empty set of marks. */
export function createLeavingMarks(): LeavingMarks {
  const marks = new Map<string, {report: LeavingUpstream; atMs: number}>();
  return {
    add: (report, nowMs) => {
      const [id, startedAtMs, , , isFinal] = report;
      const key = formatIncarnation({id, startedAtMs});
      const known = marks.get(key);
      const [, , , , isKnownFinal] = known?.report ?? [];
      if (isKnownFinal === true || (isKnownFinal === false && !isFinal)) {
        return false;
      }
      marks.set(key, {report, atMs: nowMs});
      return true;
    },
    get: incarnation => marks.get(formatIncarnation(incarnation))?.report,
    remove: incarnation => void marks.delete(formatIncarnation(incarnation)),
    listReports: (nowMs, isShownReady) => {
      const reports: LeavingUpstream[] = [];
      for (const [key, {report, atMs}] of [...marks]) {
        const [id, startedAtMs] = report;
        // A gateway that started after a restore knows only the copy.
        const isDisputed = isShownReady({id, startedAtMs});
        if (isDisputed) marks.set(key, {report, atMs: nowMs});
        if (isDisputed || nowMs - atMs < BROADCAST_MS) reports.push(report);
        else if (nowMs - atMs >= RETENTION_MS) marks.delete(key);
      }
      return reports;
    },
  };
}
