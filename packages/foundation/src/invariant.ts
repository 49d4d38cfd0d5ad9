/** Invariants; a violation is the only failure that stops a process. */

/** Thrown when the state of the process is inconsistent. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/** Throws an `InvariantError` unless `condition` is truthy. */
export function assertInvariant(
  condition: unknown,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}

/** Throws an `InvariantError`; for unreachable branches. */
export function failInvariant(message: string): never {
  throw new InvariantError(message);
}
