/** Variant: a side process ignores the reserved order ids of its predecessors. */
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
              name === 'getObject' && input[0] === ResourceKind.OrderReserve
                ? Promise.resolve(Right(undefined))
                : call.apply(target, input);
          },
        }),
    ),
});
