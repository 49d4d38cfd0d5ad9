/** Log events of placement. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

/** Numbered events, 1700 to 1799. */
export const PLACEMENT_EVENTS = {
  placementWritten: defineEvent(
    1700,
    LogLevel.Info,
    'placement of an upstream changed',
  ),
  writeFailed: defineEvent(
    1701,
    LogLevel.Warn,
    'placement write failed; the round ends',
  ),
  superseded: defineEvent(
    1702,
    LogLevel.Warn,
    'placement has a higher epoch than the held lease; the round ends',
  ),
  leaseLost: defineEvent(
    1703,
    LogLevel.Warn,
    'placement lease ended during a round; the round ends',
  ),
} as const;
