/**
 * In-memory object store whose failed calls may have taken effect, or may take
 * effect later. Unlike `DelayedStore`, it interleaves calls by promise turns
 * without a clock, and its state can be replaced by an earlier one.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Random} from '@siskinplank/foundation';
import {PlatformErrorCode, PlatformStore} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  ObjectList,
  PlatformError,
  WatchBatch,
} from '@siskinplank/platform-client';
import type {
  ResourceKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';

/** Store whose calls fail with unknown outcomes. */
export class MemoryStore extends PlatformStore {
  /** Share of calls that fail; set to 0 to let all work finish. */
  faultShare = 0;
  isDown = false;
  /** Called for each deletion that takes effect. */
  onDeleted: (object: StoredObject) => void = () => undefined;
  /** Called for each write that takes effect. */
  onWritten: (object: StoredObject) => void = () => undefined;
  private revision = 0;
  private readonly objects = new Map<string, StoredObject>();
  private readonly late: Array<() => void> = [];

  constructor(private readonly random: Random) {
    super();
  }

  /** Applies writes that were delayed. */
  applyDelayedWrites(): void {
    for (const write of this.late.splice(0)) write();
  }

  override async getObject<K extends ResourceKind>(
    kind: K,
    name: string,
  ): Promise<Either<PlatformError, StoredObject<K> | undefined>> {
    await this.waitTurn();
    if (this.isDown || this.hasFault()) {
      return makeError(PlatformErrorCode.Unavailable);
    }
    return Right(
      this.objects.get(`${kind}/${name}`) as StoredObject<K> | undefined,
    );
  }

  override async putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Promise<Either<PlatformError, StoredObject<K>>> {
    await this.waitTurn();
    if (this.isDown) return makeError(PlatformErrorCode.Unavailable);
    const write = (): Either<PlatformError, StoredObject<K>> =>
      this.apply(kind, name, value, expected);
    if (!this.hasFault()) {
      const result = write();
      await this.waitTurn();
      return result;
    }
    const fault = this.random.getInteger(3);
    if (fault === 0) write();
    if (fault === 1) this.late.push(write);
    return makeError(PlatformErrorCode.OutcomeUnknown);
  }

  override async listObjects<K extends ResourceKind>(
    kind: K,
  ): Promise<Either<PlatformError, ObjectList<K>>> {
    await this.waitTurn();
    if (this.isDown || this.hasFault()) {
      return makeError(PlatformErrorCode.Unavailable);
    }
    const items = this.listStored(kind);
    await this.waitTurn();
    return Right({revision: this.revision, items});
  }

  override async deleteObject(
    kind: ResourceKind,
    name: string,
    expectedVersion: number,
  ): Promise<Either<PlatformError, void>> {
    await this.waitTurn();
    if (this.isDown) return makeError(PlatformErrorCode.Unavailable);
    const write = (): Either<PlatformError, void> =>
      this.applyDelete(kind, name, expectedVersion);
    if (!this.hasFault()) return write();
    const fault = this.random.getInteger(3);
    if (fault === 0) write();
    if (fault === 1) this.late.push(write);
    return makeError(PlatformErrorCode.OutcomeUnknown);
  }

  /** Lists the objects of a kind, without injected faults. */
  listStored<K extends ResourceKind>(kind: K): Array<StoredObject<K>> {
    return [...this.objects.values()].filter(
      object => object.kind === kind,
    ) as unknown as Array<StoredObject<K>>;
  }

  /** Replaces the state, like a restore from a backup. */
  replaceState(objects: readonly StoredObject[], revision: number): void {
    this.objects.clear();
    for (const object of objects) {
      this.objects.set(`${object.kind}/${object.name}`, object);
    }
    this.revision = revision;
  }

  getRevision(): number {
    return this.revision;
  }

  override async watchObjects(): Promise<Either<PlatformError, WatchBatch>> {
    return makeError(PlatformErrorCode.Invalid);
  }

  override async listHosts(): Promise<Either<PlatformError, never>> {
    return makeError(PlatformErrorCode.Invalid);
  }

  override isAvailable(): boolean {
    return !this.isDown;
  }

  override async close(): Promise<void> {
    this.applyDelayedWrites();
  }

  private apply<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Either<PlatformError, StoredObject<K>> {
    const key = `${kind}/${name}`;
    const current = this.objects.get(key);
    if ((current?.version ?? 'absent') !== expected) {
      return Left({
        code: PlatformErrorCode.Conflict,
        message: 'conflict',
        current: current ?? null,
      });
    }
    this.revision += 1;
    const object = {kind, name, version: this.revision, value};
    this.objects.set(key, object as unknown as StoredObject);
    this.onWritten(object as unknown as StoredObject);
    return Right(object);
  }

  private applyDelete(
    kind: ResourceKind,
    name: string,
    expected: number,
  ): Either<PlatformError, void> {
    const key = `${kind}/${name}`;
    const current = this.objects.get(key);
    if (current === undefined) return Right(undefined);
    if (current.version !== expected) {
      return Left({
        code: PlatformErrorCode.Conflict,
        message: 'conflict',
        current,
      });
    }
    this.revision += 1;
    this.objects.delete(key);
    this.onDeleted(current);
    return Right(undefined);
  }

  private hasFault(): boolean {
    return this.random.getNext() < this.faultShare;
  }

  private async waitTurn(): Promise<void> {
    const turns = this.random.getInteger(4);
    for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
  }
}

function makeError(code: PlatformErrorCode): Either<PlatformError, never> {
  return Left({code, message: code});
}
