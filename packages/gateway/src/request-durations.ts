/** Measures how long requests take, to decide which a stopping gateway starts. */
import {
  computeLastStartAtMs,
  createDurationEstimator,
} from '@siskinplank/dispatch';
import type {DurationEstimator} from '@siskinplank/dispatch';
import {RequestKind, canRepeat} from '@siskinplank/serving';
import type {CallerRequest, Route} from '@siskinplank/serving';

/** Times of a shutdown. */
export interface ShutdownTimes {
  /** When the gateway stops to accept connections. */
  noticeEndsAtMs: number;
  /** When open requests are ended. */
  stopAtMs: number;
}

/** A request and the time by which it has ended. */
export interface MeasuredRequest {
  request: Pick<CallerRequest, 'model' | 'maxOutputTokens'>;
  route: Route;
  deadlineAtMs: number;
}

/** The duration of one request, from its first attempt. */
export interface RequestDuration {
  startAttempt(nowMs: number): void;
  /** `firstByteAtMs` is undefined unless the response was a success. */
  end(firstByteAtMs: number | undefined, nowMs: number): void;
  /** Latest time to start the request. */
  getLastStartAtMs(shutdown: ShutdownTimes, nowMs: number): number;
}

/** The durations of all requests. */
export interface RequestDurations {
  measure(measured: MeasuredRequest): RequestDuration;
}

/** Creates a record without requests. */
export function createRequestDurations(): RequestDurations {
  const estimators = new Map<string, DurationEstimator>();

  const getEstimator = (route: Route): DurationEstimator => {
    const known = estimators.get(route.name);
    if (known !== undefined) return known;
    const estimator = createDurationEstimator();
    estimators.set(route.name, estimator);
    return estimator;
  };

  return {
    measure: ({request, route, deadlineAtMs}) => {
      const {model, maxOutputTokens} = request;
      const estimator = getEstimator(route);
      const needsCertainty =
        route.kind === RequestKind.Stream || !canRepeat(route);
      let startedAtMs: number | undefined;
      let removeOpen: (() => void) | undefined;
      return {
        startAttempt: nowMs => {
          if (startedAtMs !== undefined) return;
          startedAtMs = nowMs;
          removeOpen = estimator.addOpen({model, startedAtMs});
        },
        end: (firstByteAtMs, nowMs) => {
          removeOpen?.();
          if (startedAtMs === undefined || firstByteAtMs === undefined) return;
          estimator.record({
            model,
            firstByteMs: firstByteAtMs - startedAtMs,
            totalMs: nowMs - startedAtMs,
            maxOutputTokens,
          });
        },
        getLastStartAtMs: (shutdown, nowMs) => {
          const estimated = {model, maxOutputTokens, needsCertainty};
          return computeLastStartAtMs({
            ...shutdown,
            deadlineAtMs,
            expectedMs: estimator.estimateMs(estimated),
            longestMs: estimator.estimateLongestMs(estimated, nowMs),
            needsCertainty,
          });
        },
      };
    },
  };
}
