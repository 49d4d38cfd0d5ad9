/** Log line of a request that ended. */
import type {Logger} from '@siskinplank/foundation';
import type {CallerRequest} from '@siskinplank/serving';
import type {LimitReadings} from '@siskinplank/token-shares';
import type {AdmittedTarget} from './admission';
import type {CallerClose} from './caller-close';
import {REQUEST_ENDED} from './events';
import type {Refusal} from './refusals';
import type {SessionOutcome} from './session-types';

/** A request that ended, and what decided it. */
export interface RequestEnd {
  attemptId: string;
  /** Undefined if its head could not be decoded. */
  request: CallerRequest | undefined;
  status: number;
  refusal: Refusal | undefined;
  outcome: Partial<SessionOutcome>;
  admission: Partial<AdmittedTarget>;
  /** Model, with the adapter after a slash. */
  modelKey: string | undefined;
  tokens: number | undefined;
  limit: LimitReadings | undefined;
  totalMs: number;
  /** Time from the arrival of the request until it was read. */
  unreadMs: number;
  configurationVersion: number | undefined;
  configurationAgeMs: number;
  /** Undefined unless the connection ended before the response was written. */
  close: CallerClose | undefined;
}

/** Logs the end of a request. */
export function logRequestEnd(logger: Logger, end: RequestEnd): void {
  const {outcome, admission, limit, refusal} = end;
  const {firstByteMs} = outcome;
  logger.log(REQUEST_ENDED, {
    request: end.attemptId,
    resumes: end.request?.resumedAttemptId,
    lastEvent: end.request?.lastEventId,
    origin: admission.originSource,
    originVersion: admission.softwareVersion,
    status: end.status,
    tokens: end.tokens,
    limitPerSecond: limit?.ratePerSecond,
    ownLevel: limit && Math.round(limit.ownLevel),
    tokenHome: limit?.home,
    code: refusal?.code,
    retryAfterMs: refusal?.retryAfterMs,
    route: admission.route?.name,
    account: admission.account?.name,
    service: admission.service,
    model: end.modelKey,
    upstream: outcome.upstreamId,
    softwareVersion: outcome.softwareVersion,
    attempts: outcome.attempts,
    firstByteMs:
      firstByteMs === undefined ? undefined : Math.round(firstByteMs),
    totalMs: Math.round(end.totalMs),
    unreadMs: Math.round(end.unreadMs),
    configuration: end.configurationVersion,
    configurationAgeMs: Math.round(end.configurationAgeMs),
    ...end.close,
  });
}
