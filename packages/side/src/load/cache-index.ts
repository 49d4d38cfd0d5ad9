/** Estimates which prompt prefixes the engine caches, up to a limit. */
import type {CacheEvents} from '../orders/engine-client';
import {MAX_CACHED_PREFIXES} from '../constants';

/** Index of cached prefixes. */
export interface CacheIndex {
  /** Sequence number of the next event to fetch. */
  getNextSequence(): number;
  /** Applies events; missing ones only make the estimate less accurate. */
  applyEvents(batch: CacheEvents): void;
  /** Removes all prefixes after a restart of the engine. */
  reset(): void;
  listPrefixes(): string[];
}

/** Creates an empty index. */
export function createCacheIndex(): CacheIndex {
  const prefixes = new Set<string>();
  let next = 0;
  return {
    getNextSequence: () => next,
    applyEvents: batch => {
      for (const event of batch.events) {
        prefixes.delete(event.prefixHash);
        if (event.type === 'stored') prefixes.add(event.prefixHash);
      }
      for (const oldest of prefixes) {
        if (prefixes.size <= MAX_CACHED_PREFIXES) break;
        prefixes.delete(oldest);
      }
      next = batch.next;
    },
    reset: () => {
      prefixes.clear();
      next = 0;
    },
    listPrefixes: () => [...prefixes],
  };
}
