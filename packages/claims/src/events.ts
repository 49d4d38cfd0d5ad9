/** Log events of the idempotency claims. */
import {LogLevel, defineEvent} from '@siskinplank/foundation';

export const CLAIM_OUTCOME_UNKNOWN = defineEvent(
  1600,
  LogLevel.Warn,
  'outcome of a claim write is unknown; the claim is being released',
);
export const CLAIM_REPAIRED = defineEvent(
  1601,
  LogLevel.Info,
  'claim with an unknown write outcome was released',
);
export const CLAIM_WRITE_POSTPONED = defineEvent(
  1602,
  LogLevel.Warn,
  'state of a claim was not written; the write is retried',
);
export const CLAIM_LOST = defineEvent(
  1603,
  LogLevel.Error,
  'claim was replaced by another one while this process held it',
);
export const CLAIM_WRITE_REFUSED = defineEvent(
  1604,
  LogLevel.Error,
  'platform rejected the state of a claim, or its reply is invalid',
);
export const CLAIM_WRITES_ABANDONED = defineEvent(
  1605,
  LogLevel.Warn,
  'process stops with unfinished writes of claims',
);
export const CLAIM_SWEEP_STARTED = defineEvent(
  1606,
  LogLevel.Info,
  'process starts deleting the old claims of a shard',
);
export const CLAIM_SWEEP_POSTPONED = defineEvent(
  1607,
  LogLevel.Warn,
  'platform unavailable; the deletion of old claims is postponed',
);
export const CLAIM_SWEEP_REPLACED = defineEvent(
  1608,
  LogLevel.Info,
  'another process updated the sweep state of a shard; it is read again',
);
export const CLAIM_SWEEP_REFUSED = defineEvent(
  1609,
  LogLevel.Error,
  'platform rejected a call that deletes old claims, or its reply is invalid',
);
export const CLAIM_PASS_ENDED = defineEvent(
  1610,
  LogLevel.Debug,
  'pass over a shard of claims ended',
);
