/** Variant: a side process stores no order ids for an outage. */
import {Left} from 'purify-ts';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

const code = PlatformErrorCode.Unavailable;

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
              name === 'putObject' && input[0] === ResourceKind.OrderReserve
                ? Promise.resolve(Left({code, message: code}))
                : call.apply(target, input);
          },
        }),
    ),
});
