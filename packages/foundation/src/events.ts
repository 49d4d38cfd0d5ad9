/** Log events of the logger itself. */
import {LogLevel, defineEvent} from './logger';

export const LOG_LINES_DROPPED = defineEvent(
  1000,
  LogLevel.Warn,
  'log lines were dropped because the reader was too slow',
);
