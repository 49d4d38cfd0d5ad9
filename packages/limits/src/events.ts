/** Log events of the limiter. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

/** The numbered events, 1500 to 1599. */
export const LIMIT_EVENTS = {
  unitsChanged: defineEvent(1500, LogLevel.Info, 'share units changed'),
  tableWriteFailed: defineEvent(
    1501,
    LogLevel.Warn,
    'share table update failed; it will be repeated',
  ),
  leaseExpired: defineEvent(
    1502,
    LogLevel.Error,
    'share lease ended without a renewal; no tokens can be spent',
  ),
  holderReclaimed: defineEvent(
    1503,
    LogLevel.Info,
    'share units of a holder without renewals were reclaimed',
  ),
  loanDropped: defineEvent(
    1504,
    LogLevel.Info,
    'a loan was not renewed in time and no longer counts',
  ),
  coordinatorUnreachable: defineEvent(
    1505,
    LogLevel.Warn,
    'the coordinator did not answer; using the own share',
  ),
  unitCountDiffers: defineEvent(
    1506,
    LogLevel.Warn,
    'the share table has another unit count than the settings; the table counts',
  ),
} as const;
