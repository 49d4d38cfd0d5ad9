/** Interfaces of the store of shared objects and of directories of entries. */
import type {Either} from 'purify-ts';

/** Why a call to the store failed. */
export enum StoreFailureCode {
  /** No response; a write may have been applied or may still be applied. */
  NoAnswer = 'no-answer',
  /** The store refused the call and changed nothing. */
  Refused = 'refused',
  /** The object's revision differs, or the object to create exists already. */
  Conflict = 'conflict',
  NotFound = 'not-found',
  /** The store no longer has all changes after the revision; list again. */
  HistoryLost = 'history-lost',
  /** The response can't be decoded. */
  Malformed = 'malformed',
}

/** A failed call. */
export interface StoreFailure {
  code: StoreFailureCode;
  reason: string;
  /** Current object, if the response to a conflict contained it. */
  current?: SharedObject;
}

/** An object as stored; its content is not decoded. */
export interface SharedObject {
  name: string;
  /**
   * Store revision of the last change; all objects share one counter. Those of
   * a later era of the store are higher than all of earlier eras.
   */
  revision: number;
  content: unknown;
  /**
   * Why the object can't be decoded: then `name` may be empty, and `revision`
   * and `content` mean nothing.
   */
  malformed?: string;
}

/** All objects of a kind at one revision. */
export interface SharedObjectList {
  revision: number;
  items: readonly SharedObject[];
}

/** A change of one object. */
export interface SharedObjectChange {
  object: SharedObject;
  isRemoved: boolean;
}

/** Changes after a revision, complete up to `revision`. */
export interface SharedObjectChanges {
  revision: number;
  changes: readonly SharedObjectChange[];
}

type StoreResult<T> = Promise<Either<StoreFailure, T>>;

/**
 * Store of the objects that gateways share. Reads are linearizable, and each
 * write changes one object. A store that is restored from an older copy begins
 * a new era; only then does it lose writes that it has acknowledged. Calls that
 * name a revision of an earlier era, and responses of one, fail.
 */
export abstract class SharedObjectStore {
  /** Latest era that a response named; 0 before the first. */
  abstract getEra(): number;

  /** Era in which the store gave out a revision. */
  abstract getRevisionEra(revision: number): number;

  /** Registers a callback for each restore that a response shows. */
  abstract observeRestores(observer: (era: number) => void): void;

  abstract listObjects(kind: string): StoreResult<SharedObjectList>;

  /**
   * Waits up to `waitMs` for changes after `revision`. Fails at once when the
   * signal aborts.
   */
  abstract watchObjects(
    kind: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): StoreResult<SharedObjectChanges>;

  /** Fails with a conflict when the object exists. */
  abstract createObject(
    kind: string,
    name: string,
    content: unknown,
  ): StoreResult<SharedObject>;

  /** Replaces the content if the object still has `revision`. */
  abstract replaceObject(
    kind: string,
    name: string,
    content: unknown,
    revision: number,
  ): StoreResult<SharedObject>;

  abstract deleteObject(
    kind: string,
    name: string,
    revision: number,
  ): StoreResult<void>;
}

/** An entry that could not be decoded. */
export interface MalformedEntry {
  name: string;
  reason: string;
}

/** Decoded entries of a kind at one revision. */
export interface DirectoryList<T> {
  revision: number;
  items: ReadonlyMap<string, T>;
  malformed: readonly MalformedEntry[];
}

/** Changes after a revision; the item is undefined if removed or malformed. */
export interface DirectoryChanges<T> {
  revision: number;
  changes: ReadonlyArray<{name: string; item: T | undefined}>;
  malformed: readonly MalformedEntry[];
}

/** Read access to the decoded entries of one kind. */
export abstract class Directory<T> {
  abstract list(): StoreResult<DirectoryList<T>>;

  /**
   * Waits up to `waitMs` for changes after `revision`. Fails at once when the
   * signal aborts.
   */
  abstract watch(
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): StoreResult<DirectoryChanges<T>>;
}
