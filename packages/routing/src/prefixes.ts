/** Chained hashes of a prompt's prefixes, comparable between processes. */
import {createHash} from 'node:crypto';

/** Bytes of a prefix block, about 64 tokens. */
export const PREFIX_BLOCK_BYTES = 256;

/** Longest prefix that is hashed, in blocks; bounds the cost per request. */
export const MAX_PREFIX_BLOCKS = 64;

const HASH_HEX_LENGTH = 16;

/**
 * Hashes each prefix of whole blocks, longest first. The hash of a block
 * includes the hash before it, so equal hashes mean equal prefixes. `scope`
 * names the model or adapter, each of which has its own cache.
 */
export function hashPromptPrefixes(
  scope: string,
  prompt: Uint8Array,
): readonly string[] {
  const blockCount = Math.min(
    Math.floor(prompt.length / PREFIX_BLOCK_BYTES),
    MAX_PREFIX_BLOCKS,
  );
  const hashes: string[] = [];
  let previous = scope;
  for (let block = 0; block < blockCount; block += 1) {
    const start = block * PREFIX_BLOCK_BYTES;
    previous = createHash('sha256')
      .update(previous)
      .update('\0')
      .update(prompt.subarray(start, start + PREFIX_BLOCK_BYTES))
      .digest('hex')
      .slice(0, HASH_HEX_LENGTH);
    hashes.push(previous);
  }
  return hashes.reverse();
}
