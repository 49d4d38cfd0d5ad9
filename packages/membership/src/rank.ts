/** Rendezvous hashing over members. */
import {createHash} from 'node:crypto';

/** Score of a member in rendezvous hashing for `key`: 64 hexadecimal digits. */
export function scoreMember(name: string, key: string): string {
  // The length marks where the name ends; otherwise `a:` with `b` and `a` with
  // `:b` would hash alike.
  return createHash('sha256')
    .update(`${name.length}:${name}:${key}`)
    .digest('hex');
}

/**
 * Orders members by rendezvous hash for `key`, highest score first. The
 * order depends only on the names; when a member is lost, the others keep
 * their relative order.
 */
export function rankMembers<M extends {readonly name: string}>(
  members: readonly M[],
  key: string,
): M[] {
  return members
    .map(member => ({member, score: scoreMember(member.name, key)}))
    .sort((left, right) => (left.score < right.score ? 1 : -1))
    .map(({member}) => member);
}
