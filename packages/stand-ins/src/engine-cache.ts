/** Prefix cache of the engine stand-in and its delayed, incomplete events. */
import {getMonotonicMs} from './control';
import {PREFIX_BLOCK_TOKENS} from './engine-tokens';

/** A published change of the cache. */
export interface CacheEvent {
  sequence: number;
  type: 'stored' | 'removed';
  prefixHash: string;
  /** Tokens of the prefix up to the end of the block. */
  tokens: number;
}

/** Options of `createPrefixCache`. */
export interface PrefixCacheOptions {
  /** Capacity in prompt tokens; each block counts PREFIX_BLOCK_TOKENS. */
  capacityTokens: number;
  /** Delay between a change and its event. */
  eventLagMs: number;
  /** Omits every n-th event; 0 omits none. */
  eventGapEvery: number;
}

/** LRU cache of prompt prefix blocks. */
export interface PrefixCache {
  /** Stores the blocks; returns the number of leading ones already cached. */
  admitBlocks(hashes: readonly string[]): number;
  listEvents(from: number): {next: number; events: CacheEvent[]};
  getTokenCount(): number;
}

const MAX_EVENTS = 10_000;

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  /** Prefix length in tokens by hash, least recently used first. */
  const blocks = new Map<string, number>();
  let events: Array<CacheEvent & {atMs: number}> = [];
  let nextSequence = 0;
  const appendEvent = (
    type: CacheEvent['type'],
    prefixHash: string,
    tokens: number,
  ): void => {
    const sequence = nextSequence;
    nextSequence += 1;
    const {eventGapEvery} = options;
    if (eventGapEvery > 0 && sequence % eventGapEvery === eventGapEvery - 1) {
      return;
    }
    events.push({sequence, type, prefixHash, tokens, atMs: getMonotonicMs()});
    if (events.length > MAX_EVENTS) events = events.slice(MAX_EVENTS / 2);
  };
  const evictBlocks = (): void => {
    const capacity = Math.floor(options.capacityTokens / PREFIX_BLOCK_TOKENS);
    for (const [hash, tokens] of blocks) {
      if (blocks.size <= capacity) return;
      blocks.delete(hash);
      appendEvent('removed', hash, tokens);
    }
  };
  return {
    admitBlocks: hashes => {
      let hits = 0;
      while (hits < hashes.length && blocks.has(hashes[hits])) hits += 1;
      // Longest first, so that the common start of prompts is evicted last.
      for (let index = hashes.length - 1; index >= 0; index -= 1) {
        const hash = hashes[index];
        const tokens = (index + 1) * PREFIX_BLOCK_TOKENS;
        const isAdded = !blocks.delete(hash);
        blocks.set(hash, tokens);
        if (isAdded) appendEvent('stored', hash, tokens);
      }
      evictBlocks();
      return hits;
    },
    listEvents: from => {
      const visibleUntilMs = getMonotonicMs() - options.eventLagMs;
      const visible = events.filter(
        event => event.sequence >= from && event.atMs <= visibleUntilMs,
      );
      const last = visible.at(-1);
      return {
        next: last === undefined ? from : last.sequence + 1,
        events: visible.map(({sequence, type, prefixHash, tokens}) => ({
          sequence,
          type,
          prefixHash,
          tokens,
        })),
      };
    },
    getTokenCount: () => blocks.size * PREFIX_BLOCK_TOKENS,
  };
}
