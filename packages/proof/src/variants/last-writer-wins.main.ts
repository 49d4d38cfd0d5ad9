/** Variant: a route is written over whatever version the platform has. */
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {PlatformStore} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

function makeOverwritingStore(store: PlatformStore): PlatformStore {
  const putObject: PlatformStore['putObject'] = async (
    kind,
    name,
    value,
    expected,
  ) => {
    const written = await store.putObject(kind, name, value, expected);
    if ((kind as ResourceKind) !== ResourceKind.Route) return written;
    return written.caseOf({
      Left: error =>
        error.code === PlatformErrorCode.Conflict && error.current
          ? putObject(kind, name, value, error.current.version)
          : Promise.resolve(written),
      Right: () => Promise.resolve(written),
    });
  };
  return new Proxy(store, {
    get: (target, name) => {
      if (name === 'putObject') return putObject;
      const value: unknown = Reflect.get(target, name);
      return typeof value === 'function'
        ? (value as () => unknown).bind(target)
        : value;
    },
  });
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'store', makeOverwritingStore),
});
