/**
 * In-memory platform with random delays on the process's own clock, outages
 * and replies that are lost after the write. In contrast, calls of
 * `MemoryStore` take no time.
 */
import type {Clock, Random} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  PlatformError,
} from '@siskinplank/platform-client';
import type {
  ResourceKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {ObjectTable} from './object-table';
import {SingleObjectStore} from './single-object-store';

/** State of the platform, shared by the stores of all simulated processes. */
export class DelayedPlatform extends ObjectTable {
  /** Fails all calls with `Unavailable`. */
  isDown = false;
  /** Chance that the reply of a write is lost after it took effect. */
  lostReplyRate = 0;
  /** Largest delay of a request, and of a reply. */
  maxDelayMs = 5;
  /** Number of next writes that fail because another process wrote first. */
  conflictingWrites = 0;
}

/** One process's connection to the platform. */
export class DelayedStore extends SingleObjectStore {
  constructor(
    private readonly platform: DelayedPlatform,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    super();
  }

  private waitDelay(): Promise<void> {
    return this.clock.waitMs(this.random.getNext() * this.platform.maxDelayMs);
  }

  override async getObject<K extends ResourceKind>(
    kind: K,
    name: string,
  ): Promise<Either<PlatformError, StoredObject<K> | undefined>> {
    await this.waitDelay();
    if (this.platform.isDown) return fail(PlatformErrorCode.Unavailable);
    const found = this.platform.findObject(kind, name);
    await this.waitDelay();
    return Right(found);
  }

  override async putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Promise<Either<PlatformError, StoredObject<K>>> {
    await this.waitDelay();
    if (this.platform.isDown) return fail(PlatformErrorCode.Unavailable);
    if (this.platform.conflictingWrites > 0) {
      this.platform.conflictingWrites -= 1;
      return fail(PlatformErrorCode.Conflict);
    }
    const result = this.platform.putObject(kind, name, value, expected);
    const isLost =
      result.isRight() && this.random.getNext() < this.platform.lostReplyRate;
    await this.waitDelay();
    return isLost ? fail(PlatformErrorCode.OutcomeUnknown) : result;
  }

  override isAvailable(): boolean {
    return !this.platform.isDown;
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

function fail(code: PlatformErrorCode): Either<PlatformError, never> {
  return Left({code, message: code});
}
