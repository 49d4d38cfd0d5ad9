/** Log events of the gateway role. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const GATEWAY_STARTED = defineEvent(
  6000,
  LogLevel.Info,
  'gateway accepts requests',
);
export const GATEWAY_DRAIN_STARTED = defineEvent(
  6001,
  LogLevel.Info,
  'gateway is draining: no longer ready, finishing open requests',
);
export const GATEWAY_STOPPED = defineEvent(
  6002,
  LogLevel.Info,
  'gateway stopped',
);
export const CONFIGURATION_APPLIED = defineEvent(
  6010,
  LogLevel.Info,
  'configuration applied',
);
export const CONFIGURATION_OLDER = defineEvent(
  6011,
  LogLevel.Error,
  'store returned an older configuration; keeping the newer one',
);
export const CONFIGURATION_LOST = defineEvent(
  6012,
  LogLevel.Warn,
  'store does not show a newer configuration that a peer applies; not ready and serving no keys until it does',
);
export const UPSTREAM_CHANGED = defineEvent(
  6020,
  LogLevel.Info,
  'upstream was added, changed its state or was removed',
);
export const UPSTREAM_ENTRY_EXPIRED = defineEvent(
  6021,
  LogLevel.Warn,
  'entry of an upstream is missing after a store outage or restore; still using the upstream for a grace period',
);
export const UPSTREAM_ENTRY_DOUBTED = defineEvent(
  6023,
  LogLevel.Warn,
  'restored store shows an upstream that was removed; not using it until it writes its entry or the entry stays',
);
export const REQUEST_ENDED = defineEvent(6030, LogLevel.Info, 'request ended');
export const RESPONSE_UNSENT = defineEvent(
  6033,
  LogLevel.Info,
  'connection of the caller ended before the response was written',
);
export const BYTES_UNANSWERED = defineEvent(
  6034,
  LogLevel.Info,
  'caller sent bytes on a connection that was closed here; they are not answered',
);
export const ATTEMPT_ENDED = defineEvent(
  6031,
  LogLevel.Info,
  'attempt at an upstream produced no response for the caller',
);
export const REQUEST_FAILED_OVER = defineEvent(
  6032,
  LogLevel.Warn,
  'request fails over from an unresponsive upstream to another one',
);
export const RESPONSE_CUT = defineEvent(
  6035,
  LogLevel.Warn,
  'response that has begun is cut, since the request has no further attempt',
);
export const UPSTREAM_LIMIT_CHANGED = defineEvent(
  6022,
  LogLevel.Warn,
  'limit that an upstream names for all gateways began, changed or ended',
);
export const UPSTREAM_DECLARED_LEAVING = defineEvent(
  6024,
  LogLevel.Info,
  'upstream leaves or has ended by its responses; sending it no more requests',
);
export const UPSTREAM_BACKED_OFF = defineEvent(
  6025,
  LogLevel.Warn,
  'upstream turned a request away and wants nothing from this gateway for a time',
);
export const UPSTREAM_ENDED = defineEvent(
  6050,
  LogLevel.Warn,
  'upstream ended while requests waited for its answer',
);
export const PROMPT_BLAMED = defineEvent(
  6051,
  LogLevel.Warn,
  'prompt parts are blamed for the end of upstreams; refusing prompts with them',
);
export const PROMPT_BLAME_LIFTED = defineEvent(
  6052,
  LogLevel.Warn,
  'prompt parts are not blamed any more',
);
export const REQUEST_TESTED = defineEvent(
  6053,
  LogLevel.Info,
  'refused request, or one with blamed prompt parts, is sent as a test',
);
export const REQUEST_REFUSED = defineEvent(
  6054,
  LogLevel.Warn,
  'upstreams ended under a request; refusing it for a while',
);
export const REQUEST_CLEARED = defineEvent(
  6055,
  LogLevel.Warn,
  'upstream answered a request that was refused; sending it again',
);
export const VERSIONS_CHANGED = defineEvent(
  6060,
  LogLevel.Info,
  'software versions by which streams may have begun changed',
);
export const ORIGINS_LOADED = defineEvent(
  6061,
  LogLevel.Info,
  'read the stored origins of streams',
);
export const ORIGINS_UNREADABLE = defineEvent(
  6062,
  LogLevel.Warn,
  'could not read stored origins of streams',
);
export const ORIGINS_UNWRITTEN = defineEvent(
  6063,
  LogLevel.Warn,
  'could not store the origins of streams; trying again',
);
export const LINK_KEY_FAILED = defineEvent(
  6040,
  LogLevel.Warn,
  'could not read the key of the links between gateways; retrying',
);
export const PROCESS_PAUSED = defineEvent(
  6041,
  LogLevel.Warn,
  'process was paused or the wall clock jumped; confirming the configuration again',
);
export const EVENT_LOOP_LATE = defineEvent(
  6042,
  LogLevel.Warn,
  'event loop was late: nothing was read in the meantime',
);
export const CONNECTIONS_WAIT = defineEvent(
  6043,
  LogLevel.Warn,
  'new connections wait to be accepted',
);
