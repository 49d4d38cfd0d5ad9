/** Tracks when the replica was last confirmed as current. */
import {FreshnessState} from '@siskinplank/messages';
import type {Freshness} from '@siskinplank/messages';

/** Age reported before the first confirmation; greater than any limit. */
export const NEVER_CONFIRMED_MS = 1e12;

/** Freshness of the replica of one process. */
export interface FreshnessTracker {
  /**
   * Records that the replica was complete at `atMs`; true when this is newer
   * than the last confirmation.
   */
  recordConfirmation(atMs: number): boolean;
  getConfirmedMs(): number | undefined;
  getFreshness(nowMs: number): Freshness;
}

/** Creates a tracker without any confirmation. */
export function createFreshnessTracker(options: {
  freshnessMs: number;
  /**
   * Greatest age of the last confirmation at which reports of an outage count.
   * The processes that report it may be cut off from others that still reach
   * the platform.
   */
  outageGraceMs: number;
  isOutage: (nowMs: number, confirmedMs: number) => boolean;
}): FreshnessTracker {
  const {freshnessMs, outageGraceMs, isOutage} = options;
  let confirmedMs: number | undefined;

  return {
    recordConfirmation: atMs => {
      if (confirmedMs !== undefined && atMs <= confirmedMs) return false;
      confirmedMs = atMs;
      return true;
    },
    getConfirmedMs: () => confirmedMs,
    getFreshness: nowMs => {
      if (confirmedMs === undefined) {
        return {state: FreshnessState.Isolated, ageMs: NEVER_CONFIRMED_MS};
      }
      const ageMs = Math.max(0, nowMs - confirmedMs);
      if (ageMs <= freshnessMs) return {state: FreshnessState.Confirmed, ageMs};
      const isPlatformDown =
        ageMs <= outageGraceMs && isOutage(nowMs, confirmedMs);
      return {
        state: isPlatformDown
          ? FreshnessState.PlatformDown
          : FreshnessState.Isolated,
        ageMs,
      };
    },
  };
}
