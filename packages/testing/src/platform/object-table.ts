/** Objects, versions and change events of an in-memory platform. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  PlatformError,
  WatchEvent,
} from '@siskinplank/platform-client';
import type {
  ResourceKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';

/**
 * State that the in-memory stores share. Each call takes effect at once; the
 * stores add delays, outages and lost replies.
 */
export class ObjectTable {
  /** Version of the last change; 0 before the first one. */
  revision = 0;
  /** Objects by `kind/name`. */
  readonly objects = new Map<string, StoredObject>();
  /** All changes in the order of their versions. */
  readonly events: WatchEvent[] = [];
  private readonly waiters = new Set<() => void>();

  findObject<K extends ResourceKind>(
    kind: K,
    name: string,
  ): StoredObject<K> | undefined {
    return this.objects.get(`${kind}/${name}`) as unknown as
      StoredObject<K> | undefined;
  }

  listObjects<K extends ResourceKind>(kind: K): Array<StoredObject<K>> {
    return [...this.objects.values()].filter(
      object => object.kind === kind,
    ) as unknown as Array<StoredObject<K>>;
  }

  /** Writes if the version matches, else fails with `Conflict`. */
  putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Either<PlatformError, StoredObject<K>> {
    return this.checkVersion(kind, name, expected).map(() =>
      this.putDirectly(kind, name, value),
    );
  }

  /** Deletes if the version matches, else fails with `Conflict`. */
  deleteObject(
    kind: ResourceKind,
    name: string,
    expectedVersion: number,
  ): Either<PlatformError, void> {
    return this.checkVersion(kind, name, expectedVersion).map(() =>
      this.deleteDirectly(kind, name),
    );
  }

  /** Writes without a condition, as another client's change. */
  putDirectly<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
  ): StoredObject<K> {
    this.revision += 1;
    const version = this.revision;
    const object: StoredObject<K> = {kind, name, version, value};
    this.objects.set(`${kind}/${name}`, object as unknown as StoredObject);
    this.events.push({type: 'put', kind, name, version, value});
    this.notifyWaiters();
    return object;
  }

  /** Deletes without a condition, as another client's change. */
  deleteDirectly(kind: ResourceKind, name: string): void {
    this.revision += 1;
    this.objects.delete(`${kind}/${name}`);
    this.events.push({type: 'delete', kind, name, version: this.revision});
    this.notifyWaiters();
  }

  /** Changes of the kinds after `fromRevision`, oldest first. */
  listEvents(
    kinds: readonly ResourceKind[],
    fromRevision: number,
  ): WatchEvent[] {
    const found: WatchEvent[] = [];
    for (let index = this.events.length - 1; index >= 0; index -= 1) {
      const event = this.events[index];
      if (event.version <= fromRevision) break;
      if (kinds.includes(event.kind)) found.push(event);
    }
    return found.reverse();
  }

  /** Waits for a change after which `isDone` holds, at most `waitMs`. */
  waitForChange(
    clock: Clock,
    waitMs: number,
    isDone: () => boolean,
  ): Promise<void> {
    return new Promise<void>(resolve => {
      const finish = (): void => {
        this.waiters.delete(check);
        resolve();
      };
      const check = (): void => {
        if (isDone()) finish();
      };
      this.waiters.add(check);
      clock.startTimer(waitMs, finish);
    });
  }

  /** Lets waiting calls check their condition again. */
  notifyWaiters(): void {
    for (const waiter of [...this.waiters]) waiter();
  }

  private checkVersion(
    kind: ResourceKind,
    name: string,
    expected: ExpectedVersion,
  ): Either<PlatformError, void> {
    const current = this.findObject(kind, name);
    if ((current?.version ?? 'absent') === expected) return Right(undefined);
    return Left({
      code: PlatformErrorCode.Conflict,
      message: 'conflict',
      current: current ?? null,
    });
  }
}
