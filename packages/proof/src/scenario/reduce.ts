/** Makes a failing list smaller by leaving parts of it out. */

/** Returns whether the shorter list still fails. */
export type FailureTest<T> = (items: readonly T[]) => Promise<boolean>;

/**
 * Leaves out ever smaller parts as long as the rest fails. Makes at most
 * `maxRuns` tests; the result is never empty unless `items` is.
 */
export async function findSmallerList<T>(
  items: readonly T[],
  maxRuns: number,
  isFailing: FailureTest<T>,
): Promise<readonly T[]> {
  let current = items;
  let size = Math.ceil(current.length / 2);
  let runs = 0;
  while (size >= 1 && current.length > 1) {
    let isSmaller = false;
    for (let from = 0; from < current.length; from += size) {
      const rest = current.filter(
        (_, index) => index < from || index >= from + size,
      );
      if (rest.length === 0) continue;
      if (runs >= maxRuns) return current;
      runs += 1;
      if (!(await isFailing(rest))) continue;
      current = rest;
      isSmaller = true;
      break;
    }
    if (!isSmaller) size = size === 1 ? 0 : Math.ceil(size / 2);
  }
  return current;
}

/** Names of the checks that found the violations; each text ends with one. */
export function listBrokenChecks(
  violations: readonly string[],
): ReadonlySet<string> {
  const names = violations.map(text => /\((\w+)\)$/.exec(text)?.[1]);
  return new Set(names.filter(name => name !== undefined));
}

/** Whether a run breaks a check that the run before the reduction broke. */
export function isSameFailure(
  violations: readonly string[],
  former: readonly string[],
): boolean {
  const names = listBrokenChecks(former);
  return [...listBrokenChecks(violations)].some(name => names.has(name));
}
