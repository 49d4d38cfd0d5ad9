/** Variant: orders count as idempotent requests and are sent again. */
import type {ConfigurationReplica} from '@siskinplank/configuration';
import {ResourceKind} from '@siskinplank/resources';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

function markIdempotent<K extends ConfigurationKind>(
  object: StoredObject<K>,
): StoredObject<K> {
  if ((object.kind as ResourceKind) !== ResourceKind.Route) return object;
  return {...object, value: {...object.value, idempotent: true}};
}

function wrapReplica(replica: ConfigurationReplica): ConfigurationReplica {
  return {
    ...replica,
    getObject: (kind, name) => {
      const object = replica.getObject(kind, name);
      return object === undefined ? undefined : markIdempotent(object);
    },
    listObjects: kind => replica.listObjects(kind).map(markIdempotent),
  };
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'configuration', wrapReplica),
});
