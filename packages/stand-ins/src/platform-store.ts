/** Object store of the platform stand-in; all objects share one revision. */

/** An object as the platform returns it. */
export interface PlatformObject {
  kind: string;
  name: string;
  version: number;
  value: unknown;
}

/** One change as a watch returns it. */
export interface PlatformEvent {
  type: 'put' | 'delete';
  kind: string;
  name: string;
  version: number;
  value?: unknown;
}

/** Outcome of a conditional write. */
export type WriteResult =
  | {written: true; version: number}
  | {written: false; current: PlatformObject | null};

/** The store and its change log. */
export interface ObjectTable {
  getRevision(): number;
  /** Lowest revision that a watch may start from. */
  getOldestWatchable(): number;
  getObject(kind: string, name: string): PlatformObject | undefined;
  listObjects(kind: string): PlatformObject[];
  /** At most `limit` objects of a kind with names after `after`, by name. */
  listPage(kind: string, after: string, limit: number): PlatformObject[];
  /** `expected` is a version, or null when the object must be absent. */
  putObject(
    kind: string,
    name: string,
    value: unknown,
    expected: number | null,
  ): WriteResult;
  deleteObject(kind: string, name: string, expected: number): WriteResult;
  listEvents(kinds: ReadonlySet<string>, from: number): PlatformEvent[];
  /** Discards the changes up to and including `revision`. */
  compact(revision: number): void;
  /** Calls `listener` on each change until the returned function is called. */
  subscribe(listener: () => void): () => void;
}

/** Creates an empty store that keeps the last `maxEvents` changes. */
export function createObjectTable(maxEvents: number): ObjectTable {
  const objects = new Map<string, Map<string, PlatformObject>>();
  const listeners = new Set<() => void>();
  let events: PlatformEvent[] = [];
  let revision = 0;
  let oldestWatchable = 0;
  const getTable = (kind: string): Map<string, PlatformObject> => {
    const table = objects.get(kind) ?? new Map<string, PlatformObject>();
    objects.set(kind, table);
    return table;
  };
  const compact = (untilRevision: number): void => {
    oldestWatchable = Math.max(
      oldestWatchable,
      Math.min(untilRevision, revision),
    );
    events = events.filter(event => event.version > oldestWatchable);
  };
  const appendEvent = (event: PlatformEvent): void => {
    events.push(event);
    const oldest = events.length > maxEvents ? events.shift() : undefined;
    if (oldest !== undefined) oldestWatchable = oldest.version;
    for (const listener of [...listeners]) listener();
  };
  return {
    getRevision: () => revision,
    getOldestWatchable: () => oldestWatchable,
    getObject: (kind, name) => objects.get(kind)?.get(name),
    listObjects: kind =>
      [...(objects.get(kind)?.values() ?? [])].sort((a, b) =>
        a.name < b.name ? -1 : 1,
      ),
    listPage: (kind, after, limit) =>
      [...(objects.get(kind)?.values() ?? [])]
        .filter(object => object.name > after)
        .sort((a, b) => (a.name < b.name ? -1 : 1))
        .slice(0, limit),
    putObject: (kind, name, value, expected) => {
      const table = getTable(kind);
      const current = table.get(name);
      if ((current?.version ?? null) !== expected) {
        return {written: false, current: current ?? null};
      }
      revision += 1;
      table.set(name, {kind, name, version: revision, value});
      appendEvent({type: 'put', kind, name, version: revision, value});
      return {written: true, version: revision};
    },
    deleteObject: (kind, name, expected) => {
      const table = getTable(kind);
      const current = table.get(name);
      if (current === undefined || current.version !== expected) {
        return {written: false, current: current ?? null};
      }
      revision += 1;
      table.delete(name);
      appendEvent({type: 'delete', kind, name, version: revision});
      return {written: true, version: revision};
    },
    listEvents: (kinds, from) =>
      events.filter(event => event.version > from && kinds.has(event.kind)),
    compact,
    subscribe: listener => {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
  };
}
