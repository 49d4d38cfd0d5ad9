/** Store whose calls can be paused before and after they take effect. */
import type {Either} from 'purify-ts';
import {PlatformStore} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  ObjectList,
  PlatformError,
  VersionPage,
  WatchBatch,
} from '@siskinplank/platform-client';
import type {
  ResourceKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';
import type {MemoryStore} from './memory-store';

/** Forwards calls while it is not frozen; records their names. */
export class FreezableStore extends PlatformStore {
  readonly calls: string[] = [];
  private waiting: Array<() => void> = [];
  private isFrozen = false;

  constructor(private readonly store: MemoryStore) {
    super();
  }

  freeze(): void {
    this.isFrozen = true;
  }

  thaw(): void {
    this.isFrozen = false;
    for (const resume of this.waiting.splice(0)) resume();
  }

  /** Runs `callback` now, or once the store is thawed. */
  runThawed(callback: () => void): void {
    if (this.isFrozen) this.waiting.push(callback);
    else callback();
  }

  private async runCall<T>(name: string, call: () => Promise<T>): Promise<T> {
    await this.waitForThaw();
    this.calls.push(name);
    const result = await call();
    await this.waitForThaw();
    return result;
  }

  private async waitForThaw(): Promise<void> {
    while (this.isFrozen) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
  }

  override getObject<K extends ResourceKind>(
    kind: K,
    name: string,
  ): Promise<Either<PlatformError, StoredObject<K> | undefined>> {
    return this.runCall('get', () => this.store.getObject(kind, name));
  }

  override listObjects<K extends ResourceKind>(
    kind: K,
  ): Promise<Either<PlatformError, ObjectList<K>>> {
    return this.runCall('list', () => this.store.listObjects(kind));
  }

  override listVersions(
    kind: ResourceKind,
    after: string,
    limit: number,
  ): Promise<Either<PlatformError, VersionPage>> {
    return this.runCall('page', () =>
      this.store.listVersions(kind, after, limit),
    );
  }

  override putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Promise<Either<PlatformError, StoredObject<K>>> {
    return this.runCall('put', () =>
      this.store.putObject(kind, name, value, expected),
    );
  }

  override deleteObject(
    kind: ResourceKind,
    name: string,
    expectedVersion: number,
  ): Promise<Either<PlatformError, void>> {
    return this.runCall('delete', () =>
      this.store.deleteObject(kind, name, expectedVersion),
    );
  }

  override watchObjects(): Promise<Either<PlatformError, WatchBatch>> {
    return this.store.watchObjects();
  }

  override listHosts(): Promise<Either<PlatformError, never>> {
    return this.store.listHosts();
  }

  override isAvailable(): boolean {
    return this.store.isAvailable();
  }

  override close(): Promise<void> {
    return this.store.close();
  }
}
