/**
 * Ages of revisions of the platform. The revision is one counter for the whole
 * store and grows with every write, so a claim whose version is at most a
 * revision that was seen some time ago has not changed since then. Ages are
 * sums of durations that sweepers measured on their own monotonic clocks;
 * wall-clock times of different hosts are never compared.
 */
import type {ClaimSweep} from '@siskinplank/resources';

/** A revision and the time that has passed at least since it was reached. */
export type AgeMark = ClaimSweep['marks'][number];

/** Periods that follow from the retention. */
export interface SweepPeriods {
  retentionMs: number;
  /** Distance of marks, the most by which a claim is kept longer. */
  markSpacingMs: number;
  /** Time between writes of the ages. */
  saveMs: number;
  /**
   * Most that is added to the ages between two writes. The time of an outage
   * of the platform, or without a sweeper, is not counted beyond it, so that
   * repeats that could not be sent meanwhile still find their claims.
   */
  maxStepMs: number;
  /** Time between pages of names, and least time between passes. */
  pageMs: number;
  passMs: number;
}

const MARKS_PER_RETENTION = 24;
const MAX_SAVE_MS = 60_000;
const MAX_PAGE_MS = 10_000;
/** Part of each step left out, for clocks that run too fast (some 100 ppm). */
const DRIFT_MARGIN = 0.01;

/** Derives the periods of a retention. */
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

/** Ages after a further step, which counts at most `longestStepMs`. */
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

/** Highest revision that was reached at least the retention ago; 0 if none. */
export function findExpiredRevision(
  marks: readonly AgeMark[],
  retentionMs: number,
): number {
  const expired = marks.filter(({ageMs}) => ageMs >= retentionMs);
  return expired.at(-1)?.revision ?? 0;
}

/**
 * Adds a mark for `revision` when the newest is old enough, and leaves out
 * those that an older age of a higher revision makes useless.
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
