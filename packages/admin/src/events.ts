/** Log events of the operators' interface. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const ADMIN_LISTENING = defineEvent(
  4000,
  LogLevel.Info,
  'admin interface listening',
);
export const CHANGE_ACCEPTED = defineEvent(
  4001,
  LogLevel.Info,
  'configuration change accepted',
);
export const CHANGE_REJECTED = defineEvent(
  4002,
  LogLevel.Warn,
  'configuration change refused',
);
export const AUDIT_INCOMPLETE = defineEvent(
  4003,
  LogLevel.Error,
  'audit record could not be completed; it keeps version 0',
);
export const OPERATOR_UNAUTHENTICATED = defineEvent(
  4004,
  LogLevel.Warn,
  'operator call without valid credentials',
);
