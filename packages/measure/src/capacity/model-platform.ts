/**
 * Modelled platform that counts calls by kind in each second. Its stores are
 * apart from `MemoryStore`, because a call takes time and passes the real
 * circuit, and because pending watches end when the platform goes down.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock, Random} from '@siskinplank/foundation';
// The model keeps the real circuit, since it decides the calls of an outage.
import {ObjectTable} from '@siskinplank/testing';
import {
  CircuitPermit,
  createCircuit,
} from '../../../platform-client/src/circuit';
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

/** State of the modelled platform, shared by all its clients. */
export class ModelPlatform extends ObjectTable {
  isDown = false;
  hosts: ListedHost[] = [];
  /** Calls by second since the last reset, then by kind. */
  readonly calls = new Map<number, Map<string, number>>();
  /** Conditional writes that conflicted with another one. */
  conflicts = 0;

  /** Creates an empty platform; a call takes half to 1.5 times `latencyMs`. */
  constructor(readonly latencyMs = 5) {
    super();
  }
}

const DOWN: PlatformError = {
  code: PlatformErrorCode.Unavailable,
  message: 'down',
};

/** The platform as one modelled process reaches it. */
export class ModelStore extends PlatformStore {
  private readonly circuit;

  constructor(
    private readonly platform: ModelPlatform,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly canReach: () => boolean = () => true,
  ) {
    super();
    this.circuit = createCircuit({
      random,
      onOpen: () => undefined,
      onClose: () => undefined,
    });
  }

  private async countCall(kind: string): Promise<boolean> {
    const {platform, clock, random, circuit} = this;
    if (circuit.acquirePermit(clock.getNowMs()) === CircuitPermit.Denied) {
      return false;
    }
    const second = Math.floor(clock.getNowMs() / 1_000);
    const bySecond = platform.calls.get(second) ?? new Map<string, number>();
    platform.calls.set(second, bySecond);
    bySecond.set(kind, (bySecond.get(kind) ?? 0) + 1);
    await clock.waitMs(platform.latencyMs * (0.5 + random.getNext()));
    const isReached = this.isReachable();
    if (isReached) circuit.recordSuccess();
    else circuit.recordFailure(clock.getNowMs());
    return isReached;
  }

  private isReachable(): boolean {
    return !this.platform.isDown && this.canReach();
  }

  override async getObject<K extends ResourceKind>(
    kind: K,
    name: string,
  ): Promise<Either<PlatformError, StoredObject<K> | undefined>> {
    if (!(await this.countCall('get'))) return Left(DOWN);
    return Right(this.platform.findObject(kind, name));
  }

  override async listObjects<K extends ResourceKind>(
    kind: K,
  ): Promise<Either<PlatformError, ObjectList<K>>> {
    if (!(await this.countCall('list'))) return Left(DOWN);
    const {platform} = this;
    return Right({
      revision: platform.revision,
      items: platform.listObjects(kind),
    });
  }

  override async putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Promise<Either<PlatformError, StoredObject<K>>> {
    if (!(await this.countCall('put'))) return Left(DOWN);
    const result = this.platform.putObject(kind, name, value, expected);
    if (result.isLeft()) this.platform.conflicts += 1;
    return result;
  }

  override async deleteObject(
    kind: ResourceKind,
    name: string,
    expectedVersion: number,
  ): Promise<Either<PlatformError, void>> {
    if (!(await this.countCall('delete'))) return Left(DOWN);
    return this.platform.deleteObject(kind, name, expectedVersion);
  }

  override async watchObjects(
    kinds: readonly ResourceKind[],
    fromRevision: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchBatch>> {
    const {platform, clock} = this;
    if (!(await this.countCall('watch'))) return Left(DOWN);
    const hasEvents = (): boolean =>
      platform.listEvents(kinds, fromRevision).length > 0;
    if (waitMs > 0 && !hasEvents()) {
      await platform.waitForChange(
        clock,
        waitMs,
        () => platform.isDown || hasEvents(),
      );
    }
    if (!this.isReachable()) {
      this.circuit.recordFailure(clock.getNowMs());
      return Left(DOWN);
    }
    const events = platform.listEvents(kinds, fromRevision);
    return Right({revision: platform.revision, events});
  }

  override async listHosts(): Promise<
    Either<PlatformError, readonly ListedHost[]>
  > {
    if (!(await this.countCall('hosts'))) return Left(DOWN);
    return Right(this.platform.hosts);
  }

  override isAvailable(): boolean {
    return this.circuit.isHealthy();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
