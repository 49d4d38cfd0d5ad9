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
  'registration failed and is repeated',
);
export const PEER_UNRESPONSIVE = defineEvent(
  6202,
  LogLevel.Warn,
  'nothing heard from a gateway; its state is not used any more',
);
export const PEER_SEEN = defineEvent(
  6203,
  LogLevel.Info,
  'gateway is heard of',
);
export const ORDER_TERM_STARTED = defineEvent(
  6210,
  LogLevel.Info,
  'this gateway gives the orders from now on',
);
export const ORDER_TERM_ENDED = defineEvent(
  6211,
  LogLevel.Warn,
  'this gateway gives no more orders',
);
export const ORDER_LEASE_WRITE_FAILED = defineEvent(
  6212,
  LogLevel.Info,
  'lease of the orders could not be written',
);
export const EXPIRED_REGISTRATION_REMOVED = defineEvent(
  6213,
  LogLevel.Info,
  'registration of a gateway that was silent for long is removed',
);
export const REGISTRATION_REMOVED = defineEvent(
  6214,
  LogLevel.Warn,
  'own registration was removed; this gateway registers again',
);
