/** Log events of the platform client. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const CIRCUIT_OPENED = defineEvent(
  1200,
  LogLevel.Warn,
  'circuit to the platform opened after repeated failures',
);
export const CIRCUIT_CLOSED = defineEvent(
  1201,
  LogLevel.Info,
  'circuit to the platform closed again',
);
export const OBJECT_SKIPPED = defineEvent(
  1202,
  LogLevel.Error,
  'stored object does not match its schema and is left out',
);
export const REPLY_MALFORMED = defineEvent(
  1203,
  LogLevel.Error,
  'platform reply does not match its schema',
);
export const REPLY_LOST = defineEvent(
  1204,
  LogLevel.Warn,
  'no reply to a write; reading the object back',
);
export const LEASE_ACQUIRED = defineEvent(
  1210,
  LogLevel.Info,
  'lease acquired',
);
export const LEASE_LOST = defineEvent(1211, LogLevel.Warn, 'lease lost');
export const LEASE_RELEASED = defineEvent(
  1212,
  LogLevel.Info,
  'lease released',
);
