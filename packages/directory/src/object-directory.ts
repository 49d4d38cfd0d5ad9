/** Directory of the decoded objects of one kind. */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {Directory} from './types';
import type {
  DirectoryChanges,
  DirectoryList,
  MalformedEntry,
  SharedObject,
  SharedObjectChange,
  SharedObjectStore,
  StoreFailure,
} from './types';

/** Decodes an object; Left holds the reason on error. */
export type DecodeObject<T> = (object: SharedObject) => Either<string, T>;

/**
 * Leaves out versions that a later one replaces, since decoding a large object
 * is slow. The last version before a removal is kept, as its state says why the
 * object was removed.
 */
function skipReplaced(
  changes: readonly SharedObjectChange[],
): SharedObjectChange[] {
  const next = new Map<string, SharedObjectChange>();
  const kept: SharedObjectChange[] = [];
  for (const change of [...changes].reverse()) {
    const {name} = change.object;
    const later = next.get(name);
    next.set(name, change);
    if (later === undefined || later.isRemoved) kept.push(change);
  }
  return kept.reverse();
}

class ObjectDirectory<T> extends Directory<T> {
  constructor(
    private readonly objects: SharedObjectStore,
    private readonly kind: string,
    private readonly decode: DecodeObject<T>,
  ) {
    super();
  }

  async list(): Promise<Either<StoreFailure, DirectoryList<T>>> {
    const listed = await this.objects.listObjects(this.kind);
    return listed.map(({revision, items}) => {
      const malformed: MalformedEntry[] = [];
      const decoded = new Map<string, T>();
      for (const object of items) {
        const item = this.decodeObject(object, malformed);
        if (item !== undefined) decoded.set(object.name, item);
      }
      return {revision, items: decoded, malformed};
    });
  }

  async watch(
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Either<StoreFailure, DirectoryChanges<T>>> {
    const watched = await this.objects.watchObjects(
      this.kind,
      revision,
      waitMs,
      signal,
    );
    return watched.map(({revision: asOf, changes}) => {
      const malformed: MalformedEntry[] = [];
      return {
        revision: asOf,
        malformed,
        changes: skipReplaced(changes).map(({object, isRemoved}) => ({
          name: object.name,
          item: isRemoved ? undefined : this.decodeObject(object, malformed),
        })),
      };
    });
  }

  private decodeObject(
    object: SharedObject,
    malformed: MalformedEntry[],
  ): T | undefined {
    const decoded =
      object.malformed === undefined
        ? this.decode(object)
        : Left<string, T>(object.malformed);
    return decoded
      .ifLeft(reason => malformed.push({name: object.name, reason}))
      .toMaybe()
      .extract();
  }
}

/** Creates a directory of the objects of `kind`. */
export function createObjectDirectory<T>(
  objects: SharedObjectStore,
  kind: string,
  decode: DecodeObject<T>,
): Directory<T> {
  return new ObjectDirectory(objects, kind, decode);
}
