/** Continuous batching of the engine stand-in. */
import {getMonotonicMs} from './control';
import type {PrefixCache} from './engine-cache';
import {PREFIX_BLOCK_BYTES, computePrefixHashes} from './engine-tokens';
import type {ExpectedCompletion} from './engine-tokens';

/** Progress of a generation. */
export enum GenerationState {
  Waiting = 'waiting',
  Running = 'running',
  Finished = 'finished',
  Cancelled = 'cancelled',
}

/** One generation, kept until it can no longer be resumed. */
export interface Generation {
  id: string;
  model: string;
  adapter: string;
  prompt: string;
  /** Text that the prefix hashes cover. */
  prefixText: string;
  promptTokens: number;
  cachedTokens: number;
  maxTokens: number;
  /** Lower numbers run first. */
  priority: number;
  isChat: boolean;
  includeUsage: boolean;
  completion: ExpectedCompletion;
  /** Tokens produced so far. */
  produced: number;
  state: GenerationState;
  prefillEndsAtMs: number;
  /** Called when tokens are produced or the generation ends. */
  listeners: Set<() => void>;
}

/** Parameters of the batching model; times before `timeScale` is applied. */
export interface BatchOptions {
  timeScale: number;
  /** Time of a decoding step of one sequence. */
  tokenMs: number;
  /** Fraction of `tokenMs` that each further sequence adds to a step. */
  batchSlope: number;
  prefillMsPerToken: number;
  maxBatch: number;
}

/** The batch and its queue. */
export interface Batch {
  enqueueGeneration(generation: Generation): void;
  cancelGeneration(generation: Generation): void;
  countRunning(): number;
  countWaiting(): number;
  /** Stops token production for a time. */
  pauseFor(durationMs: number): void;
  stop(): void;
}

/** Shorter steps are run several in one timer tick. */
const MIN_TICK_MS = 2;
/** Bounds the steps to catch up after the process was suspended. */
const MAX_STEPS_IN_TICK = 2_000;

/** Caches a prompt; returns the number of its tokens already cached. */
function storePrompt(generation: Generation, cache: PrefixCache): number {
  const {model, adapter, prefixText, promptTokens} = generation;
  const scope = adapter === '' ? model : adapter;
  const hits = cache.admitBlocks(computePrefixHashes(scope, prefixText));
  const cachedFraction =
    (hits * PREFIX_BLOCK_BYTES) / Buffer.byteLength(prefixText);
  return hits === 0 ? 0 : Math.floor(promptTokens * cachedFraction);
}

/** Creates an idle batch. */
export function createBatch(
  options: BatchOptions,
  cache: PrefixCache,
  onEnd: (generation: Generation) => void,
): Batch {
  const {timeScale, maxBatch} = options;
  const running = new Set<Generation>();
  let waiting: Generation[] = [];
  let timer: NodeJS.Timeout | undefined;
  let lastStepMs = 0;
  let pausedUntilMs = 0;
  let isStopped = false;

  const computeStepMs = (): number =>
    options.tokenMs *
    (1 + options.batchSlope * Math.max(0, running.size - 1)) *
    timeScale;
  const admitQueued = (nowMs: number): void => {
    while (running.size < maxBatch) {
      const generation = waiting.shift();
      if (generation === undefined) return;
      generation.cachedTokens = storePrompt(generation, cache);
      const uncached = generation.promptTokens - generation.cachedTokens;
      generation.prefillEndsAtMs =
        nowMs + uncached * options.prefillMsPerToken * timeScale;
      generation.state = GenerationState.Running;
      running.add(generation);
    }
  };
  const finishGeneration = (
    generation: Generation,
    state: GenerationState,
  ): void => {
    running.delete(generation);
    generation.state = state;
    for (const listener of [...generation.listeners]) listener();
    onEnd(generation);
  };
  const runStep = (stepAtMs: number, progressed: Set<Generation>): void => {
    for (const generation of [...running]) {
      if (generation.prefillEndsAtMs > stepAtMs) continue;
      generation.produced += 1;
      progressed.add(generation);
      if (generation.produced >= generation.completion.tokens.length) {
        running.delete(generation);
      }
    }
    admitQueued(stepAtMs);
  };
  const tick = (): void => {
    timer = undefined;
    const nowMs = getMonotonicMs();
    if (nowMs < pausedUntilMs) {
      lastStepMs = nowMs;
      scheduleTick();
      return;
    }
    const progressed = new Set<Generation>();
    let steps = 0;
    for (; running.size > 0 && steps < MAX_STEPS_IN_TICK; steps += 1) {
      const stepMs = computeStepMs();
      if (lastStepMs + stepMs > nowMs) break;
      lastStepMs += stepMs;
      runStep(lastStepMs, progressed);
    }
    if (steps === MAX_STEPS_IN_TICK) lastStepMs = nowMs;
    for (const generation of progressed) {
      const isDone = generation.produced >= generation.completion.tokens.length;
      if (isDone) finishGeneration(generation, GenerationState.Finished);
      else for (const listener of [...generation.listeners]) listener();
    }
    scheduleTick();
  };
  const scheduleTick = (): void => {
    if (isStopped || timer !== undefined || running.size === 0) return;
    timer = setTimeout(tick, Math.max(MIN_TICK_MS, computeStepMs()));
  };
  return {
    enqueueGeneration: generation => {
      const index = waiting.findIndex(
        other => other.priority > generation.priority,
      );
      if (index === -1) waiting.push(generation);
      else waiting.splice(index, 0, generation);
      const nowMs = getMonotonicMs();
      if (running.size === 0) lastStepMs = nowMs;
      admitQueued(nowMs);
      scheduleTick();
    },
    cancelGeneration: generation => {
      waiting = waiting.filter(other => other !== generation);
      finishGeneration(generation, GenerationState.Cancelled);
      admitQueued(getMonotonicMs());
    },
    countRunning: () => running.size,
    countWaiting: () => waiting.length,
    pauseFor: durationMs => {
      pausedUntilMs = getMonotonicMs() + durationMs;
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
