/** Metrics of the entry role; no label contains a key or an account. */
import type {Either} from 'purify-ts';
import type {Metrics} from '@siskinplank/foundation';
import type {AttemptFailure, AttemptSuccess} from './attempts/types';
import type {Refusal} from './refusals';

/** Counts requests, attempts, retries and refusals. */
export interface EntryMetrics {
  countRequest(status: number, durationMs: number): void;
  countRefusal(refusal: Refusal): void;
  countAttempt(outcome: Either<AttemptFailure, AttemptSuccess>): void;
  countRetry(): void;
  setOpenRequests(count: number): void;
  renderText(): Promise<string>;
}

const DURATION_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
];

/** Registers the metrics. */
export function createEntryMetrics(metrics: Metrics): EntryMetrics {
  const requests = metrics.createCounter(
    'entry_requests_total',
    'Answered requests by status code.',
    ['status'],
  );
  const durations = metrics.createHistogram(
    'entry_request_duration_seconds',
    'Time from the request to the end of its response.',
    DURATION_BUCKETS_SECONDS,
  );
  const refusals = metrics.createCounter(
    'entry_refusals_total',
    'Refused requests by reason and run state.',
    ['code', 'run_state'],
  );
  const attempts = metrics.createCounter(
    'entry_attempts_total',
    'Attempts at upstreams by outcome.',
    ['outcome'],
  );
  const retries = metrics.createCounter(
    'entry_retries_total',
    'Attempts after the first of a request.',
  );
  const open = metrics.createGauge('entry_open_requests', 'Open requests.');
  return {
    countRequest: (status, durationMs) => {
      requests.inc({status: String(status)});
      durations.observe(durationMs / 1_000);
    },
    countRefusal: refusal =>
      refusals.inc({code: refusal.code, run_state: refusal.runState}),
    countAttempt: outcome =>
      attempts.inc({
        outcome: outcome.isLeft() ? outcome.extract().code : 'completed',
      }),
    countRetry: () => retries.inc(),
    setOpenRequests: count => open.set(count),
    renderText: () => metrics.renderText(),
  };
}
