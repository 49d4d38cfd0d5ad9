/** Connection of one process to an in-memory store, with faults. */
import {SharedObjectStore, StoreFailureCode} from '@siskinplank/directory';
import type {
  SharedObject,
  SharedObjectChanges,
  SharedObjectList,
  StoreFailure,
} from '@siskinplank/directory';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {MemorySharedObjectStore} from './memory-shared-object-store';

type StoreResult<T> = Promise<Either<StoreFailure, T>>;

const NO_ANSWER: StoreFailure = {
  code: StoreFailureCode.NoAnswer,
  reason: 'no connection',
};
const FORMER_ERA = 'revision of a former era';

/** Learns of a new era only by the responses that this connection receives. */
export class StoreConnection extends SharedObjectStore {
  isCut = false;
  /** Whether writes fail without an effect. */
  refusesWrites = false;
  /** Whether writes are carried out, but not acknowledged. */
  losesAcknowledgements = false;
  private era: number;
  private readonly observers: Array<(era: number) => void> = [];

  constructor(private readonly objects: MemorySharedObjectStore) {
    super();
    this.era = objects.getEra();
  }

  getEra(): number {
    return this.era;
  }

  getRevisionEra(revision: number): number {
    return this.objects.getRevisionEra(revision);
  }

  observeRestores(observer: (era: number) => void): void {
    this.observers.push(observer);
  }

  listObjects(kind: string): StoreResult<SharedObjectList> {
    return this.sendCall(() => this.objects.listObjects(kind));
  }

  watchObjects(
    kind: string,
    revision: number,
  ): StoreResult<SharedObjectChanges> {
    if (this.isOfFormerEra(revision)) {
      const code = StoreFailureCode.HistoryLost;
      return Promise.resolve(Left({code, reason: FORMER_ERA}));
    }
    return this.sendCall(() => this.objects.watchObjects(kind, revision));
  }

  createObject(
    kind: string,
    name: string,
    content: unknown,
  ): StoreResult<SharedObject> {
    return this.sendWrite(() => this.objects.createObject(kind, name, content));
  }

  replaceObject(
    kind: string,
    name: string,
    content: unknown,
    revision: number,
  ): StoreResult<SharedObject> {
    return this.sendWrite(
      () => this.objects.replaceObject(kind, name, content, revision),
      revision,
    );
  }

  deleteObject(
    kind: string,
    name: string,
    revision: number,
  ): StoreResult<void> {
    return this.sendWrite(
      () => this.objects.deleteObject(kind, name, revision),
      revision,
    );
  }

  private isOfFormerEra(revision: number): boolean {
    return this.getRevisionEra(revision) < this.era;
  }

  private async sendWrite<T>(
    send: () => StoreResult<T>,
    revision?: number,
  ): StoreResult<T> {
    if (this.refusesWrites) return Left(NO_ANSWER);
    if (revision !== undefined && this.isOfFormerEra(revision)) {
      return Left({code: StoreFailureCode.Conflict, reason: FORMER_ERA});
    }
    const result = await this.sendCall(send);
    return this.losesAcknowledgements ? Left(NO_ANSWER) : result;
  }

  private async sendCall<T>(send: () => StoreResult<T>): StoreResult<T> {
    if (this.isCut) return Left(NO_ANSWER);
    const era = this.objects.getEra();
    const result = await send();
    if (this.isCut) return Left(NO_ANSWER);
    this.updateEra(this.objects.getEra());
    // A watch that ends in a later era has failed already.
    return result.chain(value =>
      era < this.era ? Left(NO_ANSWER) : Right(value),
    );
  }

  private updateEra(era: number): void {
    if (era <= this.era) return;
    this.era = era;
    for (const observer of this.observers) observer(era);
  }
}
