/** Selects registered dependencies by name. */

/** Dependencies of almost every component. */
export const BASE_DEPENDENCIES = [
  'clock',
  'random',
  'logger',
  'metrics',
] as const;

/** Dependencies that the entry and side roles share. */
export const LINKED_ROLE_DEPENDENCIES = [
  ...BASE_DEPENDENCIES,
  'tracing',
  'identity',
  'receiveBudget',
  'network',
  'store',
  'membership',
  'configuration',
] as const;

/** Returns the named dependencies; only these are resolved. */
export function selectDependencies<C extends object, K extends keyof C>(
  cradle: C,
  names: readonly K[],
): Pick<C, K> {
  return Object.fromEntries(
    names.map(name => [name, cradle[name]]),
  ) as unknown as Pick<C, K>;
}
