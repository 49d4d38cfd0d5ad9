import {describe, expect, it} from 'vitest';
import {createDurationEstimator} from './duration-estimate';
import type {DurationEstimator} from './duration-estimate';

const PLAIN = {maxOutputTokens: undefined, needsCertainty: true};

describe('estimate of the duration of a request', () => {
  it('is unknown before a request was answered', () => {
    expect(createDurationEstimator().estimateMs(PLAIN)).toBeUndefined();
  });

  it('approaches the duration of requests that all take the same time', () => {
    const estimator = createDurationEstimator();
    for (let index = 0; index < 40; index += 1) {
      estimator.record({
        firstByteMs: 200,
        totalMs: 200,
        maxOutputTokens: undefined,
      });
    }
    expect(estimator.estimateMs(PLAIN)).toBeCloseTo(200, 1);
  });

  it('grows with the length that a stream may have', () => {
    const estimator = createDurationEstimator();
    for (let index = 0; index < 40; index += 1) {
      const maxOutputTokens = index % 2 === 0 ? 100 : 200;
      estimator.record({
        firstByteMs: 300,
        totalMs: 300 + maxOutputTokens * 15,
        maxOutputTokens,
      });
    }
    const estimate = estimator.estimateMs({
      maxOutputTokens: 400,
      needsCertainty: true,
    });
    expect(estimate).toBeCloseTo(300 + 400 * 15, 0);
  });

  // Estimates near the mean would be too short for every other request.
  it('allows for the spread, more so if certainty is needed', () => {
    const estimator = createDurationEstimator();
    for (let index = 0; index < 40; index += 1) {
      const totalMs = index % 4 === 0 ? 700 : 300;
      estimator.record({
        firstByteMs: totalMs,
        totalMs,
        maxOutputTokens: undefined,
      });
    }
    const certainMs = estimator.estimateMs(PLAIN) ?? 0;
    const usualMs =
      estimator.estimateMs({...PLAIN, needsCertainty: false}) ?? 0;
    expect(usualMs).toBeGreaterThan(600);
    expect(certainMs).toBeGreaterThan(800);
  });

  it('follows upstreams that become slower', () => {
    const estimator = createDurationEstimator();
    for (let index = 0; index < 40; index += 1) {
      const totalMs = index < 20 ? 200 : 2_000;
      estimator.record({
        firstByteMs: totalMs,
        totalMs,
        maxOutputTokens: undefined,
      });
    }
    expect(estimator.estimateMs(PLAIN)).toBeGreaterThan(1_900);
  });
});

describe('longest duration of a request', () => {
  /** Time of estimates for which no request is open. */
  const NOW_MS = 0;
  const STREAM = {model: 'm0', maxOutputTokens: 100, needsCertainty: true};

  const createRecorded = (
    durationsMs: readonly number[],
  ): DurationEstimator => {
    const estimator = createDurationEstimator();
    for (const totalMs of durationsMs) {
      const {model, maxOutputTokens} = STREAM;
      estimator.record({model, firstByteMs: 200, totalMs, maxOutputTokens});
    }
    return estimator;
  };

  /** Durations from `fromMs` to `toMs`. */
  const makeRange = (fromMs: number, toMs: number, count = 20): number[] =>
    Array.from(
      {length: count},
      (_, index) => fromMs + ((toMs - fromMs) * index) / (count - 1),
    );

  it('is unknown while few requests of the model were answered', () => {
    const estimator = createRecorded(makeRange(500, 600, 3));
    expect(estimator.estimateLongestMs(STREAM, NOW_MS)).toBeUndefined();
  });

  it('is that of requests that all take the same time', () => {
    const estimator = createRecorded(makeRange(1_200, 1_210));
    expect(estimator.estimateLongestMs(STREAM, NOW_MS)).toBeCloseTo(1_225, 1);
  });

  it('exceeds the longest of varying durations', () => {
    const estimator = createRecorded(makeRange(500, 2_000));
    expect(estimator.estimateLongestMs(STREAM, NOW_MS)).toBeCloseTo(4_250, 1);
  });

  it('takes no model for as fast as another one', () => {
    const estimator = createRecorded(makeRange(500, 600));
    const slow = {...STREAM, model: 'm1'};
    expect(estimator.estimateLongestMs(slow, NOW_MS)).toBeUndefined();
    for (const totalMs of makeRange(3_000, 4_000)) {
      const {model, maxOutputTokens} = slow;
      estimator.record({model, firstByteMs: 200, totalMs, maxOutputTokens});
    }
    expect(estimator.estimateLongestMs(slow, NOW_MS)).toBeCloseTo(5_500, 1);
    expect(estimator.estimateLongestMs(STREAM, NOW_MS)).toBeCloseTo(750, 1);
  });

  it('is no shorter than the age of an open request of the model', () => {
    const estimator = createRecorded(makeRange(500, 500));
    estimator.addOpen({model: 'm1', startedAtMs: 0});
    expect(estimator.estimateLongestMs(STREAM, 4_000)).toBeCloseTo(500, 1);
    estimator.addOpen({model: 'm0', startedAtMs: 1_000});
    expect(estimator.estimateLongestMs(STREAM, 4_000)).toBeCloseTo(6_750, 1);
  });

  it('grows with a larger maximum, and keeps with a smaller one', () => {
    const estimator = createRecorded(makeRange(1_200, 1_200));
    const larger = {...STREAM, maxOutputTokens: 300};
    const smaller = {...STREAM, maxOutputTokens: 10};
    expect(estimator.estimateLongestMs(larger, NOW_MS)).toBeCloseTo(3_200, 1);
    expect(estimator.estimateLongestMs(smaller, NOW_MS)).toBeCloseTo(1_200, 1);
  });

  it('forgets durations of long ago', () => {
    const estimator = createRecorded([9_000, ...makeRange(500, 600, 100)]);
    expect(estimator.estimateLongestMs(STREAM, NOW_MS)).toBeCloseTo(710, 1);
  });
});
