/** Times functions in this process. */
import {createSystemClock} from '@siskinplank/foundation';

const clock = createSystemClock();

/** Time of one call in microseconds. */
export interface Timing {
  medianUs: number;
  p99Us: number;
}

const WARM_UP_RUNS = 3;
/** A timing lasts at least this long, so that the clock's step is small. */
const MIN_BATCH_MS = 0.2;

/** Times `run`, batched so that short calls are measurable. */
export function measureCall(run: () => unknown, samples = 60): Timing {
  for (let index = 0; index < WARM_UP_RUNS; index += 1) run();
  let batch = 1;
  for (;;) {
    const startMs = clock.getNowMs();
    for (let index = 0; index < batch; index += 1) run();
    if (clock.getNowMs() - startMs >= MIN_BATCH_MS) break;
    batch *= 2;
  }
  const times: number[] = [];
  for (let sample = 0; sample < samples; sample += 1) {
    const startMs = clock.getNowMs();
    for (let index = 0; index < batch; index += 1) run();
    times.push(((clock.getNowMs() - startMs) * 1_000) / batch);
  }
  times.sort((a, b) => a - b);
  return {
    medianUs: times[Math.floor(samples / 2)],
    p99Us: times[Math.floor(samples * 0.99)],
  };
}

/** Processor time of an asynchronous run, in milliseconds. */
export async function measureProcessorMs(
  run: () => Promise<void>,
): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const {user, system} = process.cpuUsage(before);
  return (user + system) / 1_000;
}
