/** Delayed load reports of the engine stand-in. */
import {getMonotonicMs} from './control';

/** History of status samples, to report them with a delay. */
export interface StatusHistory<T> {
  /** The newest sample at least `lagMs` old, or else the oldest sample. */
  getSample(lagMs: number): T;
  stop(): void;
}

const SAMPLE_PERIOD_MS = 25;
const MAX_SAMPLES = 4_000;

/** Samples `takeSample` periodically. */
export function createStatusHistory<T>(
  takeSample: () => T | undefined,
  firstSample: T,
): StatusHistory<T> {
  const samples = [{atMs: getMonotonicMs(), sample: firstSample}];
  const timer = setInterval(() => {
    const sample = takeSample();
    if (sample === undefined) return;
    samples.push({atMs: getMonotonicMs(), sample});
    if (samples.length > MAX_SAMPLES) samples.shift();
  }, SAMPLE_PERIOD_MS);
  timer.unref();
  return {
    getSample: lagMs => {
      const live = lagMs <= 0 ? takeSample() : undefined;
      if (live !== undefined) return live;
      const untilMs = getMonotonicMs() - lagMs;
      const found = samples.findLast(({atMs}) => atMs <= untilMs);
      return (found ?? samples[0]).sample;
    },
    stop: () => clearInterval(timer),
  };
}
