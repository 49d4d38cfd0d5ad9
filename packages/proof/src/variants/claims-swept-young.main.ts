/** Variant: the deletion of old claims treats every claim as old. */
import {ResourceKind} from '@siskinplank/resources';
import type {ClaimSweep} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

/** Makes every revision look older than any retention. */
function replaceMarks(value: ClaimSweep): ClaimSweep {
  const mark = {revision: Number.MAX_SAFE_INTEGER, ageMs: 1e12};
  return {...value, marks: [mark]};
}

await runVariant({
  customizeEntry: container =>
    replacePart(
      container,
      'store',
      store =>
        new Proxy(store, {
          get: (target, name) => {
            const value: unknown = Reflect.get(target, name);
            if (typeof value !== 'function') return value;
            const call = value as (...input: unknown[]) => unknown;
            return (...input: unknown[]) => {
              const [kind, key, object, expected] = input;
              return name === 'putObject' && kind === ResourceKind.ClaimSweep
                ? call.call(
                    target,
                    kind,
                    key,
                    replaceMarks(object as ClaimSweep),
                    expected,
                  )
                : call.apply(target, input);
            };
          },
        }),
    ),
});
