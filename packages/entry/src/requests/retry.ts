/** Decides whether and when a failed request is retried. */
import type {ConfigurationView} from '@siskinplank/configuration';
import type {Clock, Random} from '@siskinplank/foundation';
import {RunState} from '@siskinplank/resources';
import {listActiveUpstreams} from '@siskinplank/routing';
import type {EntrySettings} from '@siskinplank/settings';
import type {AttemptFailure} from '../attempts/types';
import type {Delivery} from '../caller/delivery';
import type {RetryBudget} from '../retries/budget';
import {isTemporarilyUnavailable, isRetryable} from './progress';
import type {DispatchProgress} from './progress';
import type {CallerRequest} from './types';

/** Dependencies of the retry rules. */
export interface RetryDependencies {
  settings: Pick<EntrySettings, 'retries'>;
  clock: Clock;
  random: Random;
  configuration: ConfigurationView;
  budget: RetryBudget;
}

/** Decides on retries and waits before them. */
export interface RetryRules {
  /**
   * Whether the failed request may be retried. Takes a retry from the budget,
   * or a hop if the side process redirected the request to another upstream.
   */
  mayRetry(
    request: CallerRequest,
    delivery: Delivery,
    progress: DispatchProgress,
    failure: AttemptFailure,
  ): boolean;
  /** Whether an upstream that is unavailable now could serve the request. */
  mayWaitForUpstream(
    request: CallerRequest,
    progress: DispatchProgress,
  ): boolean;
  /** Waits before the next attempt, at most until the deadline. */
  waitBeforeRetry(
    request: CallerRequest,
    progress: DispatchProgress,
  ): Promise<void>;
  /** Waits for unavailable upstreams, at most until the deadline. */
  waitForUpstream(
    request: CallerRequest,
    progress: DispatchProgress,
  ): Promise<void>;
}

/** Mean wait before the first retry; it doubles with each further one. */
const RETRY_WAIT_MS = 20;

/**
 * Mean wait while all upstreams are unavailable; it doubles with each further
 * wait up to the maximum.
 */
const UPSTREAM_WAIT_MS = 50;
const MAX_UPSTREAM_WAIT_MS = 500;

/** Creates the retry rules. */
export function createRetryRules(deps: RetryDependencies): RetryRules {
  const {clock, random} = deps;

  const mayRetry = (
    request: CallerRequest,
    delivery: Delivery,
    progress: DispatchProgress,
    failure: AttemptFailure,
  ): boolean => {
    if (delivery.hasDelivered()) return false;
    if (failure.runState !== RunState.NotRun && !request.idempotent) {
      return false;
    }
    if (!isRetryable(failure)) return false;
    if (progress.redirect !== undefined) {
      // The hop limit bounds redirects, and they add no load by themselves, so
      // they need no retry budget.
      progress.hopsLeft -= 1;
      return true;
    }
    // A restarting upstream did no work for the request, and the wait before
    // the next attempt limits the rate, so this needs no retry budget.
    if (isTemporarilyUnavailable(failure)) return true;
    if (progress.attempts >= deps.settings.retries.maxAttempts) return false;
    return deps.budget.takeRetry(clock.getNowMs());
  };

  const waitBeforeRetry = async (
    request: CallerRequest,
    progress: DispatchProgress,
  ): Promise<void> => {
    if (progress.redirect !== undefined || progress.attempts === 0) return;
    const meanMs = RETRY_WAIT_MS * 2 ** (progress.attempts - 1);
    const leftMs = request.deadlineAtMs - clock.getNowMs();
    const waitMs = Math.min(meanMs * (0.5 + random.getNext()), leftMs);
    if (waitMs > 0) await clock.waitMs(waitMs);
  };

  const mayWaitForUpstream = (
    request: CallerRequest,
    progress: DispatchProgress,
  ): boolean =>
    listActiveUpstreams(request.target, deps.configuration).some(
      ({name}) => !progress.refused.has(name),
    );

  const waitForUpstream = async (
    request: CallerRequest,
    progress: DispatchProgress,
  ): Promise<void> => {
    const meanMs = Math.min(
      MAX_UPSTREAM_WAIT_MS,
      UPSTREAM_WAIT_MS * 2 ** progress.waits,
    );
    progress.waits += 1;
    const leftMs = request.deadlineAtMs - clock.getNowMs();
    await clock.waitMs(Math.min(meanMs * (0.5 + random.getNext()), leftMs));
    progress.draining.clear();
    progress.lost.clear();
    progress.unreachable = 0;
  };

  return {
    mayRetry,
    mayWaitForUpstream,
    waitBeforeRetry,
    waitForUpstream,
  };
}
