import {Directory, StoreFailureCode} from '@siskinplank/directory';
import type {
  DirectoryChanges,
  DirectoryList,
  StoreFailure,
} from '@siskinplank/directory';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Above all revisions of one era. */
const REVISIONS_PER_ERA = 1_000;

/**
 * A directory in memory. Its pending watch ends when an entry changes, at
 * `endWatch`, and as lost history when the store is restored.
 */
export class FakeDirectory<T> extends Directory<T> {
  readonly items = new Map<string, T>();
  listCount = 0;
  era = 1;
  private number = 1;
  private answer:
    ((changes: Either<StoreFailure, DirectoryChanges<T>>) => void) | undefined;

  get revision(): number {
    return this.era * REVISIONS_PER_ERA + this.number;
  }

  list(): Promise<Either<StoreFailure, DirectoryList<T>>> {
    this.listCount += 1;
    return Promise.resolve(
      Right({
        revision: this.revision,
        items: new Map(this.items),
        malformed: [],
      }),
    );
  }

  watch(): Promise<Either<StoreFailure, DirectoryChanges<T>>> {
    return new Promise(resolve => {
      this.answer = resolve;
    });
  }

  /** Ends the watch at the end of its wait. */
  endWatch(): void {
    this.answer?.(Right({revision: this.revision, changes: [], malformed: []}));
  }

  setEntry(name: string, item: T | undefined): void {
    this.number += 1;
    if (item === undefined) this.items.delete(name);
    else this.items.set(name, item);
    const changes = [{name, item}];
    this.answer?.(Right({revision: this.revision, changes, malformed: []}));
  }

  /** Replaces all entries by those of an older copy. */
  restore(copy: ReadonlyMap<string, T>): void {
    this.era += 1;
    this.number = 1;
    this.items.clear();
    copy.forEach((item, name) => this.items.set(name, item));
    const reason = 'restored';
    this.answer?.(Left({code: StoreFailureCode.HistoryLost, reason}));
  }
}
