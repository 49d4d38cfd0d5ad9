/** State of the engine stand-in between two crashes. */
import {getMonotonicMs} from './control';
import type {StandInLog} from './control';
import {GenerationState, createBatch} from './engine-batch';
import type {Batch, Generation} from './engine-batch';
import {createPrefixCache} from './engine-cache';
import type {PrefixCache} from './engine-cache';
import {createEngineMemory} from './engine-memory';
import type {EngineMemory, MemoryRecord} from './engine-memory';
import {computeExpectedCompletion, extractTokens} from './engine-tokens';
import type {EngineConfig} from './engine-types';

/** Input of a new generation. */
export interface GenerationInput {
  id: string;
  model: string;
  adapter: string;
  prompt: string;
  prefixText: string;
  maxTokens: number;
  priority: number;
  isChat: boolean;
  includeUsage: boolean;
  /** Tokens that another engine produced before the import. */
  produced?: number;
}

/** State that is lost when the engine crashes. */
export interface EngineState {
  /** Changes with each start. */
  generationNumber: string;
  memory: EngineMemory;
  cache: PrefixCache;
  batch: Batch;
  /** Engine time: milliseconds since this start. */
  getEngineMs(): number;
  findGeneration(id: string): Generation | undefined;
  startGeneration(input: GenerationInput): Generation;
  cancelGeneration(generation: Generation, reason: string): void;
  /** Counts a reader until the returned function is called. */
  registerReader(generation: Generation): () => void;
  stop(): void;
}

/** Creates the state of a freshly started engine. */
export function createEngineState(
  config: EngineConfig,
  log: StandInLog,
  record: MemoryRecord,
  generationNumber: string,
): EngineState {
  const generations = new Map<string, Generation>();
  const readers = new Map<Generation, number>();
  const resumeTimers = new Map<Generation, NodeJS.Timeout>();
  const startedAtMs = getMonotonicMs();
  const getEngineMs = (): number => getMonotonicMs() - startedAtMs;
  const isOpen = ({state}: Generation): boolean =>
    state === GenerationState.Waiting || state === GenerationState.Running;

  const cache = createPrefixCache({
    capacityTokens: config.prefixCacheTokens,
    eventLagMs: config.cacheEventLagMs,
    eventGapEvery: config.cacheEventGapEvery,
  });
  const batch = createBatch(config, cache, generation => {
    log.record('generation-ended', {
      generationId: generation.id,
      state: generation.state,
      produced: generation.produced,
      cachedTokens: generation.cachedTokens,
    });
    if ((readers.get(generation) ?? 0) === 0) startResumeTimer(generation);
  });
  const memory = createEngineMemory(
    config,
    log,
    record,
    (model, adapter) =>
      [...generations.values()].filter(
        generation =>
          isOpen(generation) &&
          generation.model === model &&
          (adapter === '' || generation.adapter === adapter),
      ).length,
    getEngineMs,
  );
  const cancelGeneration = (generation: Generation, reason: string): void => {
    log.record('generation-cancelled', {generationId: generation.id, reason});
    if (isOpen(generation)) batch.cancelGeneration(generation);
    clearTimeout(resumeTimers.get(generation));
    resumeTimers.delete(generation);
    readers.delete(generation);
    generations.delete(generation.id);
  };
  const startResumeTimer = (generation: Generation): void => {
    clearTimeout(resumeTimers.get(generation));
    const timer = setTimeout(() => {
      if (isOpen(generation)) cancelGeneration(generation, 'no reader');
      else {
        generations.delete(generation.id);
        readers.delete(generation);
        resumeTimers.delete(generation);
      }
    }, config.resumeGraceMs);
    resumeTimers.set(generation, timer);
  };
  return {
    generationNumber,
    memory,
    cache,
    batch,
    getEngineMs,
    findGeneration: id => generations.get(id),
    startGeneration: input => {
      const {produced = 0, ...fields} = input;
      const completion = computeExpectedCompletion(input);
      const generation: Generation = {
        ...fields,
        promptTokens: extractTokens(input.prompt).length,
        cachedTokens: 0,
        completion,
        // The last token is always produced here, so that the batch ends it.
        produced: Math.min(produced, completion.tokens.length - 1),
        state: GenerationState.Waiting,
        prefillEndsAtMs: 0,
        listeners: new Set(),
      };
      generations.set(input.id, generation);
      batch.enqueueGeneration(generation);
      return generation;
    },
    cancelGeneration,
    registerReader: generation => {
      clearTimeout(resumeTimers.get(generation));
      resumeTimers.delete(generation);
      readers.set(generation, (readers.get(generation) ?? 0) + 1);
      let isReading = true;
      return () => {
        if (!isReading || !generations.has(generation.id)) return;
        isReading = false;
        const remaining = (readers.get(generation) ?? 1) - 1;
        readers.set(generation, remaining);
        if (remaining === 0) startResumeTimer(generation);
      };
    },
    stop: () => {
      for (const timer of resumeTimers.values()) clearTimeout(timer);
      batch.stop();
      memory.stop();
    },
  };
}
