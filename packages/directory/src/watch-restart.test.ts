import {
  LogLevel,
  createLogger,
  createManualClock,
} from '@siskinplank/foundation';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createDirectoryWatcher} from './directory-watcher';
import type {DirectoryWatcher} from './directory-watcher';
import {createStoreHealth} from './store-health';
import {Directory, StoreFailureCode} from './types';
import type {DirectoryChanges, DirectoryList, StoreFailure} from './types';

const LONG_WAIT_MS = 10_000;
const RETRY_DELAY_MS = 200;
const MAX_ANSWER_DELAY_MS = 150;
const STEP_MS = 10;
const FAILURE = {code: StoreFailureCode.NoAnswer, reason: 'no answer'};

type Watched = Either<StoreFailure, DirectoryChanges<string>>;

/** Holds one entry, whose content is the revision. */
class SilentDirectory extends Directory<string> {
  revision = 1;
  /** Whether watches get no answer, neither new nor waiting ones. */
  isSilent = false;
  readonly waits: number[] = [];
  private answerWatch: ((watched: Watched) => void) | undefined;

  list(): Promise<Either<StoreFailure, DirectoryList<string>>> {
    const items = new Map([['entry', `${this.revision}`]]);
    const {revision} = this;
    return Promise.resolve(Right({revision, items, malformed: []}));
  }

  watch(
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Either<StoreFailure, DirectoryChanges<string>>> {
    this.waits.push(waitMs);
    return new Promise(resolve => {
      signal?.addEventListener('abort', () => resolve(Left(FAILURE)));
      if (this.isSilent) return;
      if (waitMs === 0 || from < this.revision) resolve(this.describeChange());
      else this.answerWatch = resolve;
    });
  }

  startSilence(): void {
    this.isSilent = true;
    this.answerWatch = undefined;
  }

  sendChange(): void {
    this.revision += 1;
    this.answerWatch?.(this.describeChange());
  }

  /** Ends the waiting watch as a reset connection does. */
  reset(): void {
    this.answerWatch?.(Left(FAILURE));
  }

  private describeChange(): Watched {
    const {revision} = this;
    const changes = [{name: 'entry', item: `${revision}`}];
    return Right({revision, changes, malformed: []});
  }
}

describe('watches of one process', () => {
  const clock = createManualClock();
  let watchers: DirectoryWatcher[];
  let short: SilentDirectory;
  let long: SilentDirectory;
  let items: string[];

  const run = async (durationMs: number): Promise<void> => {
    for (let spentMs = 0; spentMs < durationMs; spentMs += STEP_MS) {
      clock.runFor(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
      for (let tick = 0; tick < 20; tick += 1) await Promise.resolve();
    }
  };

  beforeEach(async () => {
    const storeHealth = createStoreHealth();
    items = [];
    short = new SilentDirectory();
    long = new SilentDirectory();
    watchers = [short, long].map(directory =>
      createDirectoryWatcher({
        name: directory === short ? 'short' : 'long',
        directory,
        watchWaitMs: LONG_WAIT_MS,
        retryDelayMs: RETRY_DELAY_MS,
        getBatchDelayMs: () => 0,
        storeHealth,
        maxAnswerDelayMs: directory === long ? MAX_ANSWER_DELAY_MS : undefined,
        clock,
        logger: createLogger({
          level: LogLevel.Error,
          fields: {},
          write: () => undefined,
          getWallMs: clock.getWallMs,
        }),
        onList: listed => {
          if (directory === long) items.push(...listed.values());
        },
        onChange: (_name, item) => {
          if (directory === long) items.push(item ?? '');
        },
        onBatchEnd: () => undefined,
      }),
    );
    for (const watcher of watchers) watcher.start();
    await run(100);
  });

  afterEach(() => {
    for (const watcher of watchers) watcher.stop();
  });

  // Guards against changes that stay hidden until the wait of a watch ends
  // whose answer was lost while the store was silent.
  it('are all restarted when one of them shows that the store is back', async () => {
    long.startSilence();
    await run(500);
    short.reset();
    long.isSilent = false;
    long.revision = 7;
    await run(RETRY_DELAY_MS + 100);
    expect(items.at(-1)).toBe('7');
    long.sendChange();
    await run(100);
    expect(items.at(-1)).toBe('8');
    // Asked without a wait first, so that the age of the copy is known at once.
    expect(long.waits.slice(0, 3)).toEqual([LONG_WAIT_MS, 0, LONG_WAIT_MS]);
  });

  // Guards against changes that stay hidden though no call failed, because no
  // other answer was due while the store was silent.
  it('are restarted when another one shows a revision that they did not', async () => {
    long.startSilence();
    long.revision = 7;
    await run(500);
    long.isSilent = false;
    short.revision = 7;
    short.sendChange();
    await run(MAX_ANSWER_DELAY_MS + 50);
    expect(items.at(-1)).toBe('7');
    expect(long.waits).toEqual([LONG_WAIT_MS, 0, LONG_WAIT_MS]);
    // The lost answer shows that others may be lost too.
    expect(short.waits).toEqual([LONG_WAIT_MS, LONG_WAIT_MS, 0, LONG_WAIT_MS]);
  });

  it('are restarted once for a series of changes of another kind', async () => {
    for (let change = 0; change < 10; change += 1) {
      short.sendChange();
      await run(100);
    }
    expect(long.waits).toEqual([LONG_WAIT_MS, 0, LONG_WAIT_MS]);
  });

  it('go on when they were sent after the store was back', async () => {
    long.reset();
    short.reset();
    await run(RETRY_DELAY_MS + 100);
    expect(long.waits).toEqual([LONG_WAIT_MS, LONG_WAIT_MS]);
    expect(short.waits).toEqual([LONG_WAIT_MS, LONG_WAIT_MS]);
  });
});
