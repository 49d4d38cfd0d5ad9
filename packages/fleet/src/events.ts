/** Log events of the fleet. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const GATEWAY_REGISTERED = defineEvent(
  6200,
  LogLevel.Info,
  'gateway is registered',
);
export const REGISTRATION_FAILED = defineEvent(
  6201,
  LogLevel.Warn,
  'registration failed; it is retried',
);
export const PEER_UNRESPONSIVE = defineEvent(
  6202,
  LogLevel.Warn,
  'gateway is unresponsive; its last state is not used any more',
);
export const PEER_SEEN = defineEvent(
  6203,
  LogLevel.Info,
  'received the first state of a gateway process',
);
export const PEER_LEAVING = defineEvent(
  6204,
  LogLevel.Info,
  'gateway says that it stops',
);
export const ORDER_TERM_STARTED = defineEvent(
  6210,
  LogLevel.Info,
  'this gateway became the order leader',
);
export const ORDER_TERM_ENDED = defineEvent(
  6211,
  LogLevel.Warn,
  'this gateway is no longer the order leader',
);
export const ORDER_LEASE_WRITE_FAILED = defineEvent(
  6212,
  LogLevel.Info,
  'could not write the order lease',
);
export const EXPIRED_REGISTRATION_REMOVED = defineEvent(
  6213,
  LogLevel.Info,
  'tried to remove the expired registration of a gateway',
);
export const REGISTRATION_REMOVED = defineEvent(
  6214,
  LogLevel.Warn,
  'registration of this gateway was removed; registering again',
);
export const REGISTRATION_LOST = defineEvent(
  6215,
  LogLevel.Warn,
  'restored store lacks the registration of this gateway; registering again',
);
export const ORDER_TERM_RENEWED = defineEvent(
  6216,
  LogLevel.Info,
  'order leader wrote its lease again under a token of the new era',
);
