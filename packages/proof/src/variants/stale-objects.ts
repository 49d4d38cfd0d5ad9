/** Replica that keeps each object of one kind at its first version. */
import type {
  ConfigurationChange,
  ConfigurationReplica,
} from '@siskinplank/configuration';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';

/** Wraps a replica so that changes of `staleKind` never arrive. */
export function makeStaleReplica(
  replica: ConfigurationReplica,
  staleKind: ConfigurationKind,
): ConfigurationReplica {
  const firstSeen = new Map<string, StoredObject<ConfigurationKind>>();
  const keepFirst = <K extends ConfigurationKind>(
    found: StoredObject<K>,
  ): StoredObject<K> => {
    const first = firstSeen.get(found.name) ?? found;
    firstSeen.set(found.name, first as StoredObject<ConfigurationKind>);
    return first as StoredObject<K>;
  };
  /** Whether a change is of an object that is kept at its first version. */
  const isRepeated = ({kind, name, object}: ConfigurationChange): boolean => {
    if (kind !== staleKind) return false;
    if (firstSeen.has(name)) return true;
    if (object !== undefined) firstSeen.set(name, object);
    return false;
  };
  return {
    ...replica,
    getObject: <K extends ConfigurationKind>(kind: K, name: string) => {
      const found = replica.getObject(kind, name);
      const isStale = kind === staleKind && found !== undefined;
      return isStale ? keepFirst(found) : found;
    },
    listObjects: <K extends ConfigurationKind>(kind: K) => {
      const found = replica.listObjects(kind);
      return kind === staleKind ? found.map(keepFirst) : found;
    },
    subscribe: handler =>
      replica.subscribe(changes =>
        handler(changes.filter(change => !isRepeated(change))),
      ),
  };
}
