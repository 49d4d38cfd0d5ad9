/** Log events of directory watchers. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const DIRECTORY_DISCONNECTED = defineEvent(
  6100,
  LogLevel.Warn,
  'store does not respond; last known entries stay in use',
);
export const DIRECTORY_RECONNECTED = defineEvent(
  6101,
  LogLevel.Info,
  'store responds again',
);
export const ENTRY_MALFORMED = defineEvent(
  6102,
  LogLevel.Warn,
  'entry of the store cannot be decoded and is ignored',
);
export const STORE_RESTORED = defineEvent(
  6103,
  LogLevel.Warn,
  'store was restored from an older copy; listing everything again',
);
export const WATCH_RESTARTED = defineEvent(
  6104,
  LogLevel.Info,
  'watch may have lost its answer; sending it again',
);
