/** Log events of the links. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const LINK_OPENED = defineEvent(1100, LogLevel.Info, 'link opened');
export const LINK_CLOSED = defineEvent(1101, LogLevel.Info, 'link closed');
export const LINK_REJECTED = defineEvent(
  1102,
  LogLevel.Warn,
  'handshake rejected',
);
export const LINK_DIAL_FAILED = defineEvent(
  1103,
  LogLevel.Debug,
  'link attempt failed; retrying with backoff',
);
export const FRAME_MALFORMED = defineEvent(
  1104,
  LogLevel.Warn,
  'malformed frame; closing its link',
);
export const LISTENER_STARTED = defineEvent(
  1105,
  LogLevel.Info,
  'accepting links',
);
