/** Seeded pseudo-random numbers and secure random identifiers. */
import {randomBytes} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded pseudo-random numbers; not for secrets. */
export interface Random {
  /** Returns a number in [0, 1). */
  getNext(): number;
  /** Returns an integer in [0, limit). */
  getInteger(limit: number): number;
}

const UINT32_RANGE = 0x1_0000_0000;

/** Increment of SplitMix: an odd constant near 2^32 / golden ratio. */
const GOLDEN_GAMMA = 0x9e3779b9;

/**
 * Mixes all 32 bits of a seed. The initial state of xoroshiro128+ is the seed
 * itself, so without mixing adjacent seeds give nearly the same first numbers.
 * Uses the finalizer fmix32 of MurmurHash3 (Austin Appleby, public domain),
 * after the increment of SplitMix (Steele, Lea and Flood, 2014), without which
 * a seed of 0 would stay 0.
 */
function hashSeed(seed: number): number {
  let hash = (seed + GOLDEN_GAMMA) | 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return hash ^ (hash >>> 16);
}

/**
 * Creates a generator. Only the low 32 bits of an integer `seed` are used; the
 * default seed comes from the operating system.
 */
export function createRandom(
  seed: number = randomBytes(4).readInt32LE(0),
): Random {
  const generator = xoroshiro128plus(hashSeed(seed));
  const getNext = (): number => (generator.next() >>> 0) / UINT32_RANGE;
  return {
    getNext,
    getInteger: limit => Math.floor(getNext() * limit),
  };
}

/** Makes a secure random identifier of `byteCount` bytes in hexadecimal. */
export function makeSecureId(byteCount = 16): string {
  return randomBytes(byteCount).toString('hex');
}
