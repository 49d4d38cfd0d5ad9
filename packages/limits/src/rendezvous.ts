/** Assignment of accounts to buckets and of buckets to coordinators. */
import {createHash} from 'node:crypto';

function hashText(text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, 6);
}

/** Number of an account's bucket, below `buckets`. */
export function hashBucket(account: string, buckets: number): number {
  return hashText(`account/${account}`) % buckets;
}

/**
 * Host names in the order of rendezvous hashing for `key`, best first. It is
 * meant to be replaced by `rankMembers` of `membership`, which orders names
 * differently.
 */
export function rankHosts(key: string, names: readonly string[]): string[] {
  return names
    .map(name => ({name, score: hashText(`${key}/${name}`)}))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(ranked => ranked.name);
}

/** Coordinator of a bucket: the first host by rendezvous hashing. */
export function chooseCoordinator(
  bucket: number,
  names: readonly string[],
): string | undefined {
  return rankHosts(`bucket-${bucket}`, names)[0];
}
