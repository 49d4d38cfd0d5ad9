/** The demand estimate follows slow changes and damps bursts. */
import {expect, it} from 'vitest';
import {createDemandEstimator} from './demand-estimator';

const STEP_MS = 1_000;

function runSamples(
  getRate: (atMs: number) => number,
  durationMs: number,
): number {
  const estimator = createDemandEstimator();
  for (let atMs = 0; atMs <= durationMs; atMs += STEP_MS) {
    const sample = {model: 'm', tokensPerSecond: getRate(atMs)};
    estimator.recordSamples([sample], atMs);
  }
  return estimator.listEstimates()[0].tokensPerSecond;
}

// Guards against placement that lags behind a tenfold rise within an hour.
it('follows a tenfold rise over an hour', () => {
  const estimate = runSamples(
    atMs => 10 * 10 ** Math.min(1, Math.max(0, atMs - 3_600_000) / 3_600_000),
    7_200_000,
  );
  expect(estimate).toBeGreaterThan(70);
});

// Guards against model loads for a short burst: an estimate of twice the demand
// makes the policy evict other models.
it('stays below twice the demand in a burst of 20 s', () => {
  const estimate = runSamples(atMs => (atMs > 3_600_000 ? 100 : 10), 3_620_000);
  expect(estimate).toBeLessThan(20);
});
