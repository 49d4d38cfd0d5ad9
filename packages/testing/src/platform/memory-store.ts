/** In-memory platform whose calls resolve without delay. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock} from '@siskinplank/foundation';
import {PlatformErrorCode, PlatformStore} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  ListedHost,
  ObjectList,
  PlatformError,
  WatchBatch,
} from '@siskinplank/platform-client';
import type {
  ResourceKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';
import {ObjectTable} from './object-table';

/** State of the platform, shared by the stores of all simulated processes. */
export class MemoryPlatform extends ObjectTable {
  /** Watches from an older revision fail with `Compacted`. */
  compactedTo = 0;
  /** Fails all calls with `Unavailable`. */
  isDown = false;
  hosts: ListedHost[] = [];
  /** Names of the calls so far, in order. */
  calls: string[] = [];
}

const DOWN: PlatformError = {
  code: PlatformErrorCode.Unavailable,
  message: 'down',
};

/** One process's connection to the platform. */
export class MemoryStore extends PlatformStore {
  /** Makes the platform unreachable for this process only. */
  isCut = false;

  constructor(
    readonly platform: MemoryPlatform,
    private readonly clock: Clock,
  ) {
    super();
  }

  private check(call: string): Either<PlatformError, void> {
    this.platform.calls.push(call);
    return this.isAvailable() ? Right(undefined) : Left(DOWN);
  }

  override async getObject<K extends ResourceKind>(kind: K, name: string) {
    return this.check('get').map(() => this.platform.findObject(kind, name));
  }

  override async listObjects<K extends ResourceKind>(
    kind: K,
  ): Promise<Either<PlatformError, ObjectList<K>>> {
    return this.check('list').map(() => ({
      revision: this.platform.revision,
      items: this.platform.listObjects(kind),
    }));
  }

  override async putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Promise<Either<PlatformError, StoredObject<K>>> {
    return this.check('put').chain(() =>
      this.platform.putObject(kind, name, value, expected),
    );
  }

  override async deleteObject(
    kind: ResourceKind,
    name: string,
    expectedVersion: number,
  ): Promise<Either<PlatformError, void>> {
    return this.check('delete').chain(() =>
      this.platform.deleteObject(kind, name, expectedVersion),
    );
  }

  override async watchObjects(
    kinds: readonly ResourceKind[],
    fromRevision: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchBatch>> {
    const {platform} = this;
    const checked = this.check('watch');
    if (checked.isLeft()) return Left(DOWN);
    if (fromRevision < platform.compactedTo) {
      return Left({code: PlatformErrorCode.Compacted, message: 'compacted'});
    }
    const hasEvents = (): boolean =>
      platform.listEvents(kinds, fromRevision).length > 0;
    if (waitMs > 0 && !hasEvents()) {
      await platform.waitForChange(this.clock, waitMs, hasEvents);
    }
    if (!this.isAvailable()) return Left(DOWN);
    const events = platform.listEvents(kinds, fromRevision);
    return Right({revision: platform.revision, events});
  }

  override async listHosts() {
    return this.check('hosts').map(() => this.platform.hosts);
  }

  override isAvailable(): boolean {
    return !this.platform.isDown && !this.isCut;
  }

  override async close(): Promise<void> {}
}
