/** Log events of the idempotency claims. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const CLAIM_OUTCOME_UNKNOWN = defineEvent(
  1600,
  LogLevel.Warn,
  'claim may have been written; it is being released',
);
export const CLAIM_REPAIRED = defineEvent(
  1601,
  LogLevel.Info,
  'claim of unknown outcome was released',
);
export const CLAIM_WRITE_POSTPONED = defineEvent(
  1602,
  LogLevel.Warn,
  'platform did not take the state of a claim; the write is retried',
);
export const CLAIM_LOST = defineEvent(
  1603,
  LogLevel.Error,
  'claim was replaced while it was held',
);
export const CLAIM_WRITE_REFUSED = defineEvent(
  1604,
  LogLevel.Error,
  'platform refused the state of a claim',
);
export const CLAIM_WRITES_ABANDONED = defineEvent(
  1605,
  LogLevel.Warn,
  'process stops before all claims were written',
);
export const CLAIM_SWEEP_STARTED = defineEvent(
  1606,
  LogLevel.Info,
  'process deletes the old claims of a shard from now on',
);
export const CLAIM_SWEEP_POSTPONED = defineEvent(
  1607,
  LogLevel.Warn,
  'platform cannot be used; the deletion of old claims waits',
);
export const CLAIM_SWEEP_REPLACED = defineEvent(
  1608,
  LogLevel.Info,
  'another process wrote the ages of a shard of claims; they are read again',
);
export const CLAIM_SWEEP_REFUSED = defineEvent(
  1609,
  LogLevel.Error,
  'platform did not answer a call that deletes old claims as expected',
);
export const CLAIM_PASS_ENDED = defineEvent(
  1610,
  LogLevel.Debug,
  'pass over a shard of the claims ended',
);
