/** Runs a request at one upstream after another until an outcome is final. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Logger} from '@siskinplank/foundation';
import type {Usage} from '@siskinplank/messages';
import {RunState} from '@siskinplank/resources';
import type {EntrySettings} from '@siskinplank/settings';
import type {Delivery} from '../caller/delivery';
import {REQUEST_RETRIED} from '../events';
import type {EntryMetrics} from '../metrics';
import type {Refusal} from '../refusals';
import {
  createProgress,
  makeDeadlineRefusal,
  makeFinalRefusal,
  makeNoUpstreamRefusal,
  recordFailure,
  recordUnreachable,
} from './progress';
import {createRetryRules} from './retry';
import type {RetryDependencies} from './retry';
import {createAttemptRunner} from './run-attempt';
import type {AttemptDependencies} from './run-attempt';
import {createUpstreamSelector} from './select';
import type {SelectionDependencies} from './select';
import type {CallerRequest} from './types';

/** What the dispatcher works with. */
export interface DispatchDependencies
  extends SelectionDependencies, AttemptDependencies, RetryDependencies {
  settings: EntrySettings;
  logger: Logger;
  metrics: EntryMetrics;
}

/** A response that was delivered or is held whole by the delivery. */
export interface DispatchSuccess {
  usage: Usage | undefined;
}

/** Runs requests at upstreams. */
export interface Dispatcher {
  /**
   * Resolves when the response has arrived whole, or with a refusal whose run
   * state covers all attempts. `signal` carries a
   * Refusal as its reason. `reserveRepeat` pays for an attempt after one that
   * may have run; without it there is none.
   */
  dispatchRequest(
    request: CallerRequest,
    delivery: Delivery,
    signal: AbortSignal,
    reserveRetry?: () => Promise<boolean>,
  ): Promise<Either<Refusal, DispatchSuccess>>;
}

/** Time to reach a side process before another upstream is tried. */
const LINK_WAIT_MS = 1_000;

/** Creates the dispatcher. */
export function createDispatcher(deps: DispatchDependencies): Dispatcher {
  const {clock, settings} = deps;
  const selectUpstream = createUpstreamSelector(deps);
  const runAttempt = createAttemptRunner(deps);
  const retries = createRetryRules(deps);

  return {
    dispatchRequest: async (request, delivery, signal, reserveRetry) => {
      deps.budget.recordRequest();
      const progress = createProgress();
      const refuse = (refusal: Refusal): Either<Refusal, never> =>
        Left(makeFinalRefusal(progress, refusal));
      for (;;) {
        if (signal.aborted) return refuse(signal.reason as Refusal);
        const leftMs = request.deadlineAtMs - clock.getNowMs();
        if (leftMs <= 0) return refuse(makeDeadlineRefusal());
        const upstream = selectUpstream(request, progress);
        if (
          upstream === undefined ||
          progress.unreachable > settings.retries.maxAttempts
        ) {
          if (!retries.mayWaitForUpstream(request, progress)) {
            return refuse(progress.lastFailure ?? makeNoUpstreamRefusal());
          }
          await retries.waitForUpstream(request, progress);
          continue;
        }
        const waitMs = Math.min(LINK_WAIT_MS, leftMs);
        const link = await deps.sideLinks.acquireLink(upstream.side, waitMs);
        if (signal.aborted) continue;
        if (link === undefined) {
          recordUnreachable(progress, upstream.name);
          continue;
        }
        const place = {upstream, link, hopsLeft: progress.hopsLeft};
        const outcome = await runAttempt(request, delivery, signal, place);
        deps.metrics.countAttempt(outcome);
        if (outcome.isRight()) {
          deps.loads.recordPrefixes(upstream.name, request.prefixHashes);
          return Right(outcome.extract());
        }
        const failure = outcome.swap().unsafeCoerce();
        recordFailure(progress, upstream.name, failure);
        if (signal.aborted) continue;
        if (!retries.mayRetry(request, delivery, progress, failure)) {
          return refuse(failure);
        }
        const isPaid =
          failure.runState === RunState.NotRun || (await reserveRetry?.());
        if (!isPaid) return refuse(failure);
        deps.logger.log(REQUEST_RETRIED, {
          requestId: request.requestId,
          upstream: upstream.name,
          code: failure.code,
        });
        deps.metrics.countRetry();
        delivery.reset();
        await retries.waitBeforeRetry(request, progress);
      }
    },
  };
}
