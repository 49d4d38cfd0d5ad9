/** Log events of the side process. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const SIDE_STARTED = defineEvent(
  2000,
  LogLevel.Info,
  'side process started',
);
export const DRAIN_STARTED = defineEvent(2001, LogLevel.Info, 'drain started');
export const DRAIN_ENDED = defineEvent(2002, LogLevel.Info, 'drain ended');
export const ATTEMPT_REFUSED = defineEvent(
  2003,
  LogLevel.Debug,
  'attempt refused',
);
export const UPSTREAM_DISCONNECTED = defineEvent(
  2004,
  LogLevel.Warn,
  'upstream connection closed during a response',
);
export const GENERATION_RESUMED = defineEvent(
  2005,
  LogLevel.Info,
  'generation resumed at the engine',
);
export const ENGINE_RESTARTED = defineEvent(
  2006,
  LogLevel.Warn,
  'engine generation changed; memory ledger reset',
);
export const STATUS_FAILED = defineEvent(
  2007,
  LogLevel.Warn,
  'engine status could not be read',
);
export const ORDER_SENT = defineEvent(2008, LogLevel.Info, 'order sent');
export const ORDER_REFUSED = defineEvent(
  2009,
  LogLevel.Warn,
  'engine rejected an order',
);
export const ORDER_FAILED = defineEvent(
  2010,
  LogLevel.Warn,
  'engine did not reply to an order; resending it later',
);
export const INTENT_WRITE_FAILED = defineEvent(
  2011,
  LogLevel.Warn,
  'order intent could not be stored',
);
export const INTENTS_ADOPTED = defineEvent(
  2012,
  LogLevel.Info,
  'adopted unresolved order intents',
);
export const LOAD_FAILED = defineEvent(
  2013,
  LogLevel.Warn,
  'a load failed at the engine; retrying later',
);
export const MEMORY_OVERCOMMITTED = defineEvent(
  2014,
  LogLevel.Error,
  'engine reports more allocated memory than it has',
);
export const CACHE_EVENTS_FAILED = defineEvent(
  2015,
  LogLevel.Debug,
  'cache events could not be read',
);
export const EPOCH_STALE = defineEvent(
  2016,
  LogLevel.Warn,
  'engine has a newer fencing token; no orders until the lease epoch changes',
);
export const FENCE_FAILED = defineEvent(
  2017,
  LogLevel.Warn,
  'engine did not accept the new fencing token; no orders until it does',
);
export const RESERVE_ADOPTED = defineEvent(
  2018,
  LogLevel.Info,
  'sending no-op orders under the reserved ids of a predecessor',
);
export const RESERVE_WRITE_FAILED = defineEvent(
  2019,
  LogLevel.Warn,
  'reserved order ids could not be stored; retrying',
);
export const RESERVED_ID_TAKEN = defineEvent(
  2020,
  LogLevel.Info,
  'order intent could not be stored; using a reserved order id',
);
export const UPSTREAM_ENDED = defineEvent(
  2021,
  LogLevel.Warn,
  'upstream ended before it answered these requests',
);
