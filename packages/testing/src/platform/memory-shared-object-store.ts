/** In-memory store of shared objects, for tests in one process. */
import {SharedObjectStore, StoreFailureCode} from '@siskinplank/directory';
import type {
  SharedObject,
  SharedObjectChange,
  SharedObjectChanges,
  SharedObjectList,
  StoreFailure,
} from '@siskinplank/directory';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

type StoreResult<T> = Promise<Either<StoreFailure, T>>;

interface LoggedChange extends SharedObjectChange {
  kind: string;
  revision: number;
}

const REVISIONS_PER_ERA = 1_000_000;

/** A store that keeps all changes and is always available. */
export class MemorySharedObjectStore extends SharedObjectStore {
  private era = 1;
  private revision = 1;
  private objects = new Map<string, SharedObject>();
  private history: LoggedChange[] = [];
  private waiting: Array<() => void> = [];
  private readonly observers: Array<(era: number) => void> = [];

  getEra(): number {
    return this.era;
  }

  getRevisionEra(revision: number): number {
    return Math.floor(revision / REVISIONS_PER_ERA) + 1;
  }

  observeRestores(observer: (era: number) => void): void {
    this.observers.push(observer);
  }

  takeCopy(): ReadonlyMap<string, SharedObject> {
    return new Map(this.objects);
  }

  /** Begins a new era with the objects of the copy; watches must list again. */
  restore(copy: ReadonlyMap<string, SharedObject>): void {
    this.era += 1;
    this.revision += REVISIONS_PER_ERA;
    const {revision} = this;
    this.objects = new Map(
      [...copy].map(([key, object]) => [key, {...object, revision}]),
    );
    this.history = [];
    this.notifyWatches();
    for (const observer of this.observers) observer(this.era);
  }

  listObjects(kind: string): StoreResult<SharedObjectList> {
    const items = [...this.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object);
    return Promise.resolve(Right({revision: this.revision, items}));
  }

  /** Waits without a time limit until an object of the kind changes. */
  async watchObjects(
    kind: string,
    revision: number,
  ): StoreResult<SharedObjectChanges> {
    const {era} = this;
    for (;;) {
      if (this.era !== era) {
        return Left({code: StoreFailureCode.HistoryLost, reason: 'restored'});
      }
      const changes = this.history.filter(
        change => change.kind === kind && change.revision > revision,
      );
      if (changes.length > 0) return Right({revision: this.revision, changes});
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
  }

  createObject(
    kind: string,
    name: string,
    content: unknown,
  ): StoreResult<SharedObject> {
    const current = this.objects.get(`${kind}/${name}`);
    if (current !== undefined) return this.refuse(current);
    return this.write(kind, name, content);
  }

  replaceObject(
    kind: string,
    name: string,
    content: unknown,
    revision: number,
  ): StoreResult<SharedObject> {
    const current = this.objects.get(`${kind}/${name}`);
    if (current?.revision !== revision) return this.refuse(current);
    return this.write(kind, name, content);
  }

  deleteObject(
    kind: string,
    name: string,
    revision: number,
  ): StoreResult<void> {
    const current = this.objects.get(`${kind}/${name}`);
    if (current?.revision !== revision) return this.refuse(current);
    this.objects.delete(`${kind}/${name}`);
    this.recordChange(kind, current, true);
    return Promise.resolve(Right(undefined));
  }

  private refuse<T>(current: SharedObject | undefined): StoreResult<T> {
    return Promise.resolve(
      Left({
        code:
          current === undefined
            ? StoreFailureCode.NotFound
            : StoreFailureCode.Conflict,
        reason: 'another revision',
        ...(current === undefined ? {} : {current}),
      }),
    );
  }

  private write(
    kind: string,
    name: string,
    content: unknown,
  ): StoreResult<SharedObject> {
    const object = {name, content, revision: this.revision + 1};
    this.objects.set(`${kind}/${name}`, object);
    this.recordChange(kind, object, false);
    return Promise.resolve(Right(object));
  }

  private recordChange(
    kind: string,
    object: SharedObject,
    isRemoved: boolean,
  ): void {
    this.revision += 1;
    this.history.push({kind, object, isRemoved, revision: this.revision});
    this.notifyWatches();
  }

  private notifyWatches(): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const wake of waiting) wake();
  }
}
