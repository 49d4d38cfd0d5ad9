/** Shards of claim names, which split the deletions between entry hosts. */

/** Shards, one for each first digit of the hexadecimal names of claims. */
export const SWEEP_SHARDS: readonly string[] = [...'0123456789abcdef'];

/** Makes the name of the ClaimSweep object of a shard. */
export function makeSweepName(shard: string): string {
  return `claims-${shard}`;
}
