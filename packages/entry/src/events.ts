/** Log events of the entry role. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const ENTRY_STARTED = defineEvent(
  3000,
  LogLevel.Info,
  'entry process accepts requests from callers',
);
export const ENTRY_DRAIN_STARTED = defineEvent(
  3001,
  LogLevel.Info,
  'entry process starts a graceful shutdown',
);
export const ENTRY_DRAIN_ENDED = defineEvent(
  3002,
  LogLevel.Info,
  'entry process finished the graceful shutdown',
);
export const ENTRY_DRAIN_EXPIRED = defineEvent(
  3003,
  LogLevel.Warn,
  'grace period ended; open requests are aborted',
);
export const ATTEMPT_VIOLATION = defineEvent(
  3010,
  LogLevel.Error,
  'side process violated the response protocol',
);
export const ATTEMPT_LINK_LOST = defineEvent(
  3011,
  LogLevel.Warn,
  'link to the side process was lost during an attempt',
);
export const REQUEST_RETRIED = defineEvent(
  3012,
  LogLevel.Info,
  'request is retried',
);
export const REQUEST_POISONED = defineEvent(
  3013,
  LogLevel.Warn,
  'upstreams ended under a request; it is refused',
);
export const REQUEST_REVOKED = defineEvent(
  3020,
  LogLevel.Warn,
  'open requests aborted because their key or client account was withdrawn',
);
export const REQUEST_FAILED = defineEvent(
  3021,
  LogLevel.Error,
  'request handler failed unexpectedly',
);
