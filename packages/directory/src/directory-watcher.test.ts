import {
  LogLevel,
  createLogger,
  createManualClock,
} from '@siskinplank/foundation';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createDirectoryWatcher} from './directory-watcher';
import {Directory, StoreFailureCode} from './types';
import type {DirectoryChanges, DirectoryList, StoreFailure} from './types';

const WATCH_WAIT_MS = 10_000;

/** Fails watches as scripted, then responds without changes. */
class ScriptedDirectory extends Directory<string> {
  readonly waits: number[] = [];

  constructor(private readonly script: StoreFailure[]) {
    super();
  }

  list(): Promise<Either<StoreFailure, DirectoryList<string>>> {
    return Promise.resolve(
      Right({revision: 1, items: new Map(), malformed: []}),
    );
  }

  watch(
    _revision: number,
    waitMs: number,
  ): Promise<Either<StoreFailure, DirectoryChanges<string>>> {
    this.waits.push(waitMs);
    const failure = this.script.shift();
    if (failure !== undefined) return Promise.resolve(Left(failure));
    if (this.waits.length > 4) return new Promise(() => undefined);
    return Promise.resolve(Right({revision: 1, changes: [], malformed: []}));
  }
}

describe('directory watcher', () => {
  // A long watch after a failure would hide for its whole wait that the store
  // responds again.
  it('watches without waiting until the store responds again', async () => {
    const clock = createManualClock();
    const failure = {code: StoreFailureCode.NoAnswer, reason: 'silent'};
    const directory = new ScriptedDirectory([failure, failure]);
    const states: boolean[] = [];
    const watcher = createDirectoryWatcher({
      name: 'test',
      directory,
      watchWaitMs: WATCH_WAIT_MS,
      retryDelayMs: 100,
      batchDelayMs: 0,
      clock,
      logger: createLogger({
        level: LogLevel.Info,
        fields: {},
        write: () => undefined,
        getWallMs: clock.getWallMs,
      }),
      onList: () => undefined,
      onChange: () => undefined,
      onBatchEnd: () => undefined,
      onConnectionChange: isConnected => states.push(isConnected),
    });
    watcher.start();
    for (let turn = 0; turn < 50; turn += 1) {
      clock.runFor(100);
      await Promise.resolve();
    }
    expect(directory.waits).toEqual([
      WATCH_WAIT_MS,
      0,
      0,
      WATCH_WAIT_MS,
      WATCH_WAIT_MS,
    ]);
    expect(states).toEqual([false, true]);
    watcher.stop();
  });
});
