/** Log events of the membership view. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const MEMBER_JOINED = defineEvent(1400, LogLevel.Info, 'member joined');
export const MEMBER_SUSPECTED = defineEvent(
  1401,
  LogLevel.Warn,
  'no heartbeat from a member; it is suspect',
);
export const MEMBER_REMOVED = defineEvent(
  1402,
  LogLevel.Info,
  'member removed from the view',
);
export const OBSERVATION_RESTARTED = defineEvent(
  1403,
  LogLevel.Warn,
  'this process was frozen or lost all peers at once; suspecting none of them',
);
export const HOST_LIST_FAILED = defineEvent(
  1404,
  LogLevel.Warn,
  'host list could not be read',
);
export const MEMBER_LEAVING = defineEvent(
  1405,
  LogLevel.Info,
  'member is leaving',
);
