/** Measures what the code under test costs its own process. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Clock} from '@siskinplank/foundation';

const MICROSECONDS_PER_MILLISECOND = 1_000;
/** The memory of a buffer is freed some time after the buffer. */
const COLLECTIONS = 3;
const COLLECTION_PAUSE_MS = 100;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function readProcessorMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/**
 * Waits until `isDone` and returns the most processor time, in milliseconds,
 * that a turn of the event loop took. Processor time leaves out the waits for
 * other processes of the machine.
 */
export async function measureLongestTurn(
  clock: Clock,
  isDone: () => boolean,
): Promise<number> {
  let longestMs = 0;
  let formerMs = readProcessorMs();
  while (!isDone()) {
    await clock.waitMs(1);
    const nowMs = readProcessorMs();
    longestMs = Math.max(longestMs, nowMs - formerMs);
    formerMs = nowMs;
  }
  return longestMs;
}

/** Returns the bytes that are in use, of the heap and of buffers. */
export async function measureMemory(clock: Clock): Promise<number> {
  for (let round = 0; round < COLLECTIONS; round += 1) {
    collectGarbage();
    await clock.waitMs(COLLECTION_PAUSE_MS);
  }
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Returns the bytes in use above `before`, once the bytes in flight are read;
 * it stops measuring as soon as they are below `expectedBytes`.
 */
export async function measureHeld(
  clock: Clock,
  before: number,
  expectedBytes: number,
): Promise<number> {
  const MAX_ROUNDS = 10;
  let held = Infinity;
  for (let round = 0; round < MAX_ROUNDS && held >= expectedBytes; round += 1) {
    held = (await measureMemory(clock)) - before;
  }
  return held;
}
