/**
 * Sends a request to one upstream after another until it succeeds or may not be
 * retried.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Logger} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Usage} from '@siskinplank/messages';
import {RunState} from '@siskinplank/resources';
import type {EntrySettings} from '@siskinplank/settings';
import type {Delivery} from '../caller/delivery';
import type {PoisonGuard} from '../deadly-requests/poison-guard';
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

/** Dependencies of the dispatcher. */
export interface DispatchDependencies
  extends SelectionDependencies, AttemptDependencies, RetryDependencies {
  settings: EntrySettings;
  logger: Logger;
  metrics: EntryMetrics;
  poisonGuard: Pick<PoisonGuard, 'guardRequest'>;
}

/** A complete response, delivered or buffered by the delivery. */
export interface DispatchSuccess {
  usage: Usage | undefined;
}

/** Dispatches requests to upstreams. */
export interface Dispatcher {
  /**
   * Resolves when the complete response has arrived, or with a refusal whose
   * run state covers all attempts. The abort reason of `signal` must be a
   * Refusal. `reserveRetry` reserves tokens for the attempt after one that may
   * have run; without it such an attempt isn't retried.
   */
  dispatchRequest(
    request: CallerRequest,
    delivery: Delivery,
    signal: AbortSignal,
    reserveRetry?: () => Promise<boolean>,
  ): Promise<Either<Refusal, DispatchSuccess>>;
}

/** Time to connect to a side process before another upstream is tried. */
const LINK_TIMEOUT_MS = 1_000;

/** Creates the dispatcher. */
export function createDispatcher(deps: DispatchDependencies): Dispatcher {
  const {clock, settings} = deps;
  const selectUpstream = createUpstreamSelector(deps);
  const runAttempt = createAttemptRunner(deps);
  const retries = createRetryRules(deps);

  return {
    dispatchRequest: async (request, delivery, signal, reserveRetry) => {
      deps.budget.recordRequest();
      const guard = deps.poisonGuard.guardRequest(request);
      const progress = createProgress();
      const refuse = (refusal: Refusal): Either<Refusal, never> =>
        Left(makeFinalRefusal(progress, refusal));
      for (;;) {
        if (signal.aborted) return refuse(signal.reason as Refusal);
        const leftMs = request.deadlineAtMs - clock.getNowMs();
        if (leftMs <= 0) return refuse(makeDeadlineRefusal());
        const poisoned = guard.check(clock.getNowMs());
        if (poisoned !== undefined) {
          const hasNotRun = progress.runState === RunState.NotRun;
          return refuse(
            hasNotRun ? poisoned : (progress.lastFailure ?? poisoned),
          );
        }
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
        const waitMs = Math.min(LINK_TIMEOUT_MS, leftMs);
        const link = await deps.sideLinks.acquireLink(upstream.side, waitMs);
        if (signal.aborted) continue;
        if (link === undefined) {
          recordUnreachable(progress, upstream.name);
          continue;
        }
        const destination = {upstream, link, hopsLeft: progress.hopsLeft};
        const outcome = await runAttempt(
          request,
          delivery,
          signal,
          destination,
        );
        deps.metrics.countAttempt(outcome);
        if (outcome.isRight()) {
          const requestKey = guard.recordAnswer(clock.getNowMs());
          if (requestKey !== undefined) {
            link.send({type: MessageType.RequestAnswered, requestKey});
          }
          deps.loads.recordPrefixes(upstream.name, request.prefixHashes);
          return Right(outcome.extract());
        }
        const failure = outcome.swap().unsafeCoerce();
        recordFailure(progress, upstream.name, failure);
        if (signal.aborted) continue;
        if (guard.check(clock.getNowMs()) !== undefined) continue;
        if (!retries.mayRetry(request, delivery, progress, failure)) {
          return refuse(failure);
        }
        const isReserved =
          failure.runState === RunState.NotRun || (await reserveRetry?.());
        if (!isReserved) return refuse(failure);
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
