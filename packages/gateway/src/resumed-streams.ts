/** Where a request runs that resumes a stream, and how long it may wait. */
import {computeTokenWaitMs} from '@siskinplank/dispatch';
import type {UpstreamTable} from '@siskinplank/dispatch';
import {isResumingStream} from '@siskinplank/serving';
import type {CallerRequest, Route} from '@siskinplank/serving';
import {OriginVerdictType} from '@siskinplank/stream-origins';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {computeDeadlineAtMs} from './admission';
import type {AdmittedTarget} from './admission';
import {RefusalCode} from './refusals';
import type {Refusal} from './refusals';
import type {StreamOrigins} from './stream-origins';

/** Retry-After while the stored origins of streams, or the upstreams, are read. */
const LOADING_RETRY_MS = 200;

/**
 * Narrows the target of a request that resumes a stream to the service and the
 * version that began it, or refuses the request if they are not known or gone.
 */
export function resolveTarget(
  {
    origins,
    upstreams,
  }: {
    origins: StreamOrigins;
    upstreams: Pick<UpstreamTable, 'listServiceUpstreams'>;
  },
  request: CallerRequest,
  target: AdmittedTarget,
  sinceMs: number,
  nowMs: number,
): Either<Refusal, AdmittedTarget> {
  const verdict = origins.findOrigin(request, target, sinceMs, nowMs);
  if (verdict === undefined) return Right(target);
  switch (verdict.type) {
    case OriginVerdictType.Unknown:
      return Left({
        code: RefusalCode.OriginUnknown,
        retryAfterMs: origins.isLoaded() ? undefined : LOADING_RETRY_MS,
      });
    case OriginVerdictType.NotServed:
      return Left({code: RefusalCode.VersionNotServed});
    case OriginVerdictType.Known: {
      const {service, softwareVersion} = verdict.origin;
      const entries = upstreams.listServiceUpstreams(service);
      // The process may have started just now.
      if (entries.length === 0) {
        const retryAfterMs = LOADING_RETRY_MS;
        return Left({code: RefusalCode.NoUpstream, retryAfterMs});
      }
      const isServed = entries.some(
        ({upstream}) => upstream.softwareVersion === softwareVersion,
      );
      return isServed
        ? Right({
            ...target,
            service,
            softwareVersion,
            originSource: verdict.source,
          })
        : Left({code: RefusalCode.VersionNotServed});
    }
  }
}

/** Longest time for which a request waits for tokens of its account from now. */
export function computePatienceMs(
  request: CallerRequest,
  route: Route,
  arrivedAtMs: number,
  nowMs: number,
): number {
  return computeTokenWaitMs({
    ...route,
    isResuming: isResumingStream(request, route),
    arrivedAtMs,
    deadlineAtMs: computeDeadlineAtMs(request, route, arrivedAtMs),
    nowMs,
  });
}
