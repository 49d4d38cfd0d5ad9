/** Log events of orders to upstreams. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const PLACEMENT_CHANGE_STARTED = defineEvent(
  6300,
  LogLevel.Info,
  'model is moved onto an upstream',
);
export const PLACEMENT_CHANGE_ENDED = defineEvent(
  6301,
  LogLevel.Info,
  'move of a model ended',
);
export const ORDER_ENDED = defineEvent(
  6302,
  LogLevel.Info,
  'order to an upstream ended',
);
export const REPORT_FAILED = defineEvent(
  6303,
  LogLevel.Warn,
  'upstream gave no report',
);
export const REPORT_RECOVERED = defineEvent(
  6304,
  LogLevel.Info,
  'upstream gives reports again',
);
