/** Log events of the configuration replica. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const COPY_LOADED = defineEvent(
  1300,
  LogLevel.Info,
  'configuration listed from the platform',
);
export const PLATFORM_OLDER = defineEvent(
  1301,
  LogLevel.Error,
  'platform is at an older revision than this replica; keeping the newer one',
);
export const ENTRY_MALFORMED = defineEvent(
  1302,
  LogLevel.Error,
  'configuration object from a peer does not match its schema',
);
export const FALLBACK_STARTED = defineEvent(
  1303,
  LogLevel.Warn,
  'no confirmation from peers; watching the platform directly',
);
export const FALLBACK_ENDED = defineEvent(
  1304,
  LogLevel.Info,
  'peers confirm the configuration again',
);
export const COPY_RECEIVED = defineEvent(
  1305,
  LogLevel.Info,
  'first full copy of the configuration received from a peer',
);
export const PLATFORM_UNREACHABLE = defineEvent(
  1306,
  LogLevel.Warn,
  'watch on the platform failed repeatedly; reporting an outage to peers',
);
export const OUTAGE_ESTABLISHED = defineEvent(
  1307,
  LogLevel.Warn,
  'outage of the platform established; keys are accepted unconfirmed for the grace time',
);
export const KEYS_STALE = defineEvent(
  1308,
  LogLevel.Warn,
  'configuration is unconfirmed and no outage of the platform is established; keys count as stale',
);
export const CONFIRMED_AGAIN = defineEvent(
  1309,
  LogLevel.Info,
  'configuration is confirmed again',
);
