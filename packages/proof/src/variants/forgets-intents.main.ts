/** Variant: a side process ignores the orders of its predecessors. */
import {Right} from 'purify-ts';
import {ResourceKind} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

await runVariant({
  customizeSide: container =>
    replacePart(
      container,
      'store',
      store =>
        new Proxy(store, {
          get: (target, name) => {
            const value: unknown = Reflect.get(target, name);
            if (typeof value !== 'function') return value;
            const call = value as (...input: unknown[]) => unknown;
            return (...input: unknown[]) =>
              name === 'listObjects' && input[0] === ResourceKind.OrderIntent
                ? Promise.resolve(Right({revision: 0, items: []}))
                : call.apply(target, input);
          },
        }),
    ),
});
