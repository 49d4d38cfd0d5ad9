/**
 * Ages of platform revisions. The revision is one counter for the whole store
 * and grows with every write, so a claim whose version is at most a revision
 * observed some time ago has not changed since then. Ages are sums of durations
 * that sweepers measured with monotonic clocks; wall-clock times of different
 * hosts are never compared.
 */
import type {ClaimSweep} from '@siskinplank/resources';

/** A revision and a lower bound of the time since it was reached. */
export type AgeMark = ClaimSweep['marks'][number];

/** Periods derived from the retention. */
export interface SweepPeriods {
  retentionMs: number;
  /** Time between marks: a claim may be kept longer by at most this much. */
  markSpacingMs: number;
  /** Time between writes of the marks. */
  saveMs: number;
  /**
   * Longest time added to the ages between two writes. Longer outages of the
   * platform and times without a sweeper are not counted beyond it, so that
   * repeated requests that could not be sent meanwhile still find their claims.
   */
  maxStepMs: number;
  /** Time between listed pages of names. */
  pageMs: number;
  /** Least time between the starts of passes. */
  passMs: number;
}

const MARKS_PER_RETENTION = 24;
const MAX_SAVE_MS = 60_000;
const MAX_PAGE_MS = 10_000;
/** Fraction of each step not counted; clocks may run some 100 ppm too fast. */
const DRIFT_MARGIN = 0.01;

/** Derives the periods from the retention. */
export function computePeriods(retentionMs: number): SweepPeriods {
  const markSpacingMs = retentionMs / MARKS_PER_RETENTION;
  const saveMs = Math.min(MAX_SAVE_MS, markSpacingMs);
  return {
    retentionMs,
    markSpacingMs,
    saveMs,
    maxStepMs: 2 * saveMs,
    pageMs: Math.min(MAX_PAGE_MS, markSpacingMs / 2),
    passMs: markSpacingMs,
  };
}

/** Adds a further step to the ages, counted with at most `maxStepMs`. */
export function accrueAges(
  marks: readonly AgeMark[],
  elapsedMs: number,
  periods: SweepPeriods,
): AgeMark[] {
  const stepMs = Math.max(0, Math.min(elapsedMs, periods.maxStepMs));
  const countedMs = stepMs * (1 - DRIFT_MARGIN);
  return marks.map(({revision, ageMs}) => ({
    revision,
    ageMs: ageMs + countedMs,
  }));
}

/** Finds the highest revision at least as old as the retention; 0 if none. */
export function findExpiredRevision(
  marks: readonly AgeMark[],
  retentionMs: number,
): number {
  const expired = marks.filter(({ageMs}) => ageMs >= retentionMs);
  return expired.at(-1)?.revision ?? 0;
}

/**
 * Adds a mark for `revision` when the newest mark is old enough, and removes
 * marks below the highest expired revision.
 */
export function appendMark(
  marks: readonly AgeMark[],
  revision: number,
  ageMs: number,
  periods: SweepPeriods,
): AgeMark[] {
  const expired = findExpiredRevision(marks, periods.retentionMs);
  const kept = marks.filter(mark => mark.revision >= expired);
  const newest = kept.at(-1);
  if (newest !== undefined && newest.ageMs < periods.markSpacingMs) return kept;
  return [...kept, {revision, ageMs}];
}
