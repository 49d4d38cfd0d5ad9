/** Log events of orders to upstreams. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const PLACEMENT_CHANGE_STARTED = defineEvent(
  6300,
  LogLevel.Info,
  'placement change started on an upstream',
);
export const PLACEMENT_CHANGE_ENDED = defineEvent(
  6301,
  LogLevel.Info,
  'placement change ended',
);
export const ORDER_ENDED = defineEvent(
  6302,
  LogLevel.Info,
  'order to an upstream ended',
);
export const REPORT_FAILED = defineEvent(
  6303,
  LogLevel.Warn,
  'failed to read the report of an upstream',
);
export const REPORT_RECOVERED = defineEvent(
  6304,
  LogLevel.Info,
  'reports of an upstream can be read again',
);
export const MODEL_NOT_PLACED = defineEvent(
  6305,
  LogLevel.Info,
  'no upstream was found for a load that a model would gain by',
);
