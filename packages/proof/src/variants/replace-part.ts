/** Replaces a part of a container by a wrapped one. */
import {asFunction} from 'awilix';
import type {AwilixContainer} from 'awilix';

/** Registers `wrap` of the part in its place, for all parts that use it. */
export function replacePart<C extends object, K extends keyof C & string>(
  container: AwilixContainer<C>,
  name: K,
  wrap: (part: C[K]) => C[K],
): void {
  const original = container.getRegistration(name);
  if (original === null) return;
  const create = () => wrap(original.resolve(container) as C[K]);
  container.register(name, asFunction(create).singleton());
}
