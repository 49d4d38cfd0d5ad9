/** Log events of the admin API. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const ADMIN_LISTENING = defineEvent(
  4000,
  LogLevel.Info,
  'admin API listening',
);
export const CHANGE_ACCEPTED = defineEvent(
  4001,
  LogLevel.Info,
  'configuration change accepted',
);
export const CHANGE_REJECTED = defineEvent(
  4002,
  LogLevel.Warn,
  'configuration change rejected',
);
export const AUDIT_INCOMPLETE = defineEvent(
  4003,
  LogLevel.Error,
  'audit record not updated after the change; its version stays 0',
);
export const OPERATOR_UNAUTHENTICATED = defineEvent(
  4004,
  LogLevel.Warn,
  'operator call without valid credentials',
);
