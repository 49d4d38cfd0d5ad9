/** Log events of the role life cycle. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const ROLE_STARTED = defineEvent(5000, LogLevel.Info, 'role started');
export const ROLE_DRAINING = defineEvent(
  5001,
  LogLevel.Info,
  'graceful shutdown started',
);
export const ROLE_STOPPED = defineEvent(5002, LogLevel.Info, 'role stopped');
export const ROLE_FAILED = defineEvent(
  5003,
  LogLevel.Error,
  'role could not start or reload its settings',
);
export const ROLE_RELOADED = defineEvent(
  5004,
  LogLevel.Info,
  'settings reloaded',
);
export const ROLE_CRASHED = defineEvent(
  5005,
  LogLevel.Error,
  'role ends because of an error that nothing handled',
);
