/** Interface of the shared objects and of directories of decoded entries. */
import type {Either} from 'purify-ts';

/** Why a call to the store failed. */
export enum StoreFailureCode {
  /** No answer; a write may have been done or may be done later. */
  NoAnswer = 'no-answer',
  /** The store refused the call and did nothing. */
  Refused = 'refused',
  /** The object is not as the write expected, or exists already. */
  Conflict = 'conflict',
  NotFound = 'not-found',
  /** The history that a watch asked for is gone; list again. */
  HistoryLost = 'history-lost',
  /** An answer that cannot be understood. */
  Malformed = 'malformed',
}

/** A failed call. */
export interface StoreFailure {
  code: StoreFailureCode;
  reason: string;
  /** The object as it is, after a conflict that named it. */
  current?: SharedObject;
}

/** An object as stored; its content is not decoded. */
export interface SharedObject {
  name: string;
  /** Revision of its last change; one counter serves the whole store. */
  revision: number;
  content: unknown;
}

/** All objects of a kind at one revision. */
export interface SharedObjectList {
  revision: number;
  items: readonly SharedObject[];
}

/** One change of a kind. */
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

/** The store; reads are linearizable and each write changes one object. */
export abstract class SharedObjectStore {
  abstract listObjects(kind: string): StoreResult<SharedObjectList>;

  /** Waits up to `waitMs` for changes after `revision`. */
  abstract watchObjects(
    kind: string,
    revision: number,
    waitMs: number,
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

/** Changes after a revision; an item that is undefined is not usable any more. */
export interface DirectoryChanges<T> {
  revision: number;
  changes: ReadonlyArray<{name: string; item: T | undefined}>;
  malformed: readonly MalformedEntry[];
}

/** One kind of entries. */
export abstract class Directory<T> {
  abstract list(): StoreResult<DirectoryList<T>>;

  /** Waits up to `waitMs` for changes after `revision`. */
  abstract watch(
    revision: number,
    waitMs: number,
  ): StoreResult<DirectoryChanges<T>>;
}
