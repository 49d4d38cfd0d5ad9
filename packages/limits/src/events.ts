/** Log events of the limiter. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

/** The numbered events, 1500 to 1599. */
export const LIMIT_EVENTS = {
  unitsChanged: defineEvent(1500, LogLevel.Info, 'share units changed'),
  tableWriteFailed: defineEvent(
    1501,
    LogLevel.Warn,
    'share table update failed; it will be retried',
  ),
  leaseExpired: defineEvent(
    1502,
    LogLevel.Error,
    'share lease expired without a renewal; no tokens can be spent',
  ),
  holderReclaimed: defineEvent(
    1503,
    LogLevel.Info,
    'share units of a holder without renewals were reclaimed',
  ),
  loanDropped: defineEvent(
    1504,
    LogLevel.Info,
    'loan dropped because it was not renewed in time',
  ),
  coordinatorUnreachable: defineEvent(
    1505,
    LogLevel.Warn,
    'the coordinator is unreachable; using the local share',
  ),
  unitCountDiffers: defineEvent(
    1506,
    LogLevel.Warn,
    'unit counts of the share table and the settings differ; using the table',
  ),
} as const;
