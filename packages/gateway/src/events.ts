/** Log events of the gateway role. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const GATEWAY_STARTED = defineEvent(
  6000,
  LogLevel.Info,
  'gateway accepts callers',
);
export const GATEWAY_DRAIN_STARTED = defineEvent(
  6001,
  LogLevel.Info,
  'gateway is not ready any more and finishes open requests',
);
export const GATEWAY_STOPPED = defineEvent(
  6002,
  LogLevel.Info,
  'gateway stopped',
);
export const CONFIGURATION_APPLIED = defineEvent(
  6010,
  LogLevel.Info,
  'configuration is in force',
);
export const CONFIGURATION_OLDER = defineEvent(
  6011,
  LogLevel.Error,
  'store shows an older configuration; the newer one stays in force',
);
export const UPSTREAM_CHANGED = defineEvent(
  6020,
  LogLevel.Info,
  'upstream appeared, changed its state or left',
);
export const UPSTREAM_ENTRY_EXPIRED = defineEvent(
  6021,
  LogLevel.Warn,
  'entry of an upstream vanished around an outage of the store; it is used a little longer',
);
export const REQUEST_ENDED = defineEvent(6030, LogLevel.Info, 'request ended');
export const ATTEMPT_ENDED = defineEvent(
  6031,
  LogLevel.Info,
  'attempt at an upstream gave no answer for the caller',
);
export const REQUEST_FAILED_OVER = defineEvent(
  6032,
  LogLevel.Warn,
  'request leaves a silent upstream for another one',
);
export const LINK_KEY_FAILED = defineEvent(
  6040,
  LogLevel.Warn,
  'key of the links between gateways could not be read; trying again',
);
export const PROCESS_PAUSED = defineEvent(
  6041,
  LogLevel.Warn,
  'process was paused or the time of day jumped; keys are confirmed anew',
);
