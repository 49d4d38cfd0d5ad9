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
import type {
  DirectoryChanges,
  DirectoryList,
  MalformedEntry,
  StoreFailure,
} from './types';

const WATCH_WAIT_MS = 10_000;

const FAILURE = {code: StoreFailureCode.NoAnswer, reason: 'silent'};
const LIST = 'list';

/**
 * Holds one entry, whose content is the revision. Calls fail during an outage;
 * a watch also fails if it would have to transfer more than one version.
 */
class SlowDirectory extends Directory<string> {
  /** Lists, and the waits of watches, in the order of the calls. */
  readonly calls: Array<number | typeof LIST> = [];
  revision = 1;
  malformed: MalformedEntry[] = [];
  private isDown = false;
  private endWatch: (() => void) | undefined;
  private heldList: Promise<void> | undefined;
  private sendWatch: (() => void) | undefined;

  setDown(isDown: boolean): void {
    this.isDown = isDown;
    if (isDown) this.endWatch?.();
  }

  /** Holds the response to the next list back until the result is called. */
  pauseNextList(): () => void {
    let release = (): void => undefined;
    this.heldList = new Promise(resolve => (release = resolve));
    return () => release();
  }

  /** Sends the newest version to the waiting watch. */
  sendChange(): void {
    this.revision += 1;
    this.sendWatch?.();
  }

  async list(): Promise<Either<StoreFailure, DirectoryList<string>>> {
    this.calls.push(LIST);
    if (this.isDown) return Left(FAILURE);
    const listed = {
      revision: this.revision,
      items: new Map([['entry', `${this.revision}`]]),
      malformed: this.malformed,
    };
    const held = this.heldList;
    this.heldList = undefined;
    if (held !== undefined) await held;
    return Right(listed);
  }

  watch(
    revision: number,
    waitMs: number,
  ): Promise<Either<StoreFailure, DirectoryChanges<string>>> {
    this.calls.push(waitMs);
    if (this.isDown || this.revision - revision > 1) {
      return Promise.resolve(Left(FAILURE));
    }
    return new Promise(resolve => {
      this.endWatch = () => resolve(Left(FAILURE));
      this.sendWatch = () =>
        resolve(
          Right({
            revision: this.revision,
            changes: [{name: 'entry', item: `${this.revision}`}],
            malformed: [],
          }),
        );
    });
  }
}

describe('directory watcher', () => {
  const start = async (directory: SlowDirectory) => {
    const clock = createManualClock();
    const lines: string[] = [];
    const states: boolean[] = [];
    const items: string[] = [];
    const watcher = createDirectoryWatcher({
      name: 'test',
      directory,
      watchWaitMs: WATCH_WAIT_MS,
      retryDelayMs: 100,
      getBatchDelayMs: () => 0,
      clock,
      logger: createLogger({
        level: LogLevel.Info,
        fields: {},
        write: line => void lines.push(line),
        getWallMs: clock.getWallMs,
      }),
      onList: listed => items.push(...listed.values()),
      onChange: (_name, item) => void items.push(item ?? ''),
      onBatchEnd: () => undefined,
      onConnectionChange: isConnected => states.push(isConnected),
    });
    const run = async (turns: number): Promise<void> => {
      for (let turn = 0; turn < turns; turn += 1) {
        clock.runFor(100);
        for (let tick = 0; tick < 10; tick += 1) await Promise.resolve();
      }
    };
    watcher.start();
    return {watcher, states, items, lines, run};
  };

  // A long watch after a failure would hide for its whole wait that the store
  // responds again.
  it('calls without waiting until the store responds again', async () => {
    const directory = new SlowDirectory();
    const {watcher, states, run} = await start(directory);
    await run(1);
    directory.setDown(true);
    await run(3);
    directory.setDown(false);
    await run(3);
    expect(directory.calls.slice(0, 2)).toEqual([LIST, WATCH_WAIT_MS]);
    const waiting = directory.calls.filter(call => call === WATCH_WAIT_MS);
    expect(waiting).toHaveLength(2);
    expect(directory.calls.at(-1)).toBe(WATCH_WAIT_MS);
    expect(directory.calls.length).toBeGreaterThan(5);
    expect(states).toEqual([false, true]);
    watcher.stop();
  });

  it('applies the newest version soon after an outage with many versions', async () => {
    const directory = new SlowDirectory();
    const {watcher, items, run} = await start(directory);
    await run(1);
    expect(items).toEqual(['1']);
    directory.setDown(true);
    await run(2);
    directory.revision = 12;
    directory.setDown(false);
    await run(2);
    expect(items).toEqual(['1', '12']);
    watcher.stop();
  });

  it('applies no list that is older than changes already passed on', async () => {
    const directory = new SlowDirectory();
    const {watcher, items, run} = await start(directory);
    await run(1);
    const release = directory.pauseNextList();
    const refreshed = watcher.refresh();
    directory.sendChange();
    await run(1);
    expect(items).toEqual(['1', '2']);
    directory.setDown(true);
    await run(1);
    release();
    await refreshed;
    expect(items).toEqual(['1', '2']);
    expect(watcher.getRevision()).toBe(2);
    watcher.stop();
  });

  // Guards against lines that blame the store for the stop of the process.
  it('reports no failure of a watch that its own stop ends', async () => {
    const directory = new SlowDirectory();
    const {watcher, states, lines, run} = await start(directory);
    await run(1);
    watcher.stop();
    // The connections are closed under the watch, as at the end of a process.
    directory.setDown(true);
    await run(1);
    expect(lines).toEqual([]);
    expect(states).toEqual([]);
  });

  // What another writer left would fill the log: long names and reasons, and
  // entries that change all the time.
  it('writes short lines about malformed entries, and each one once', async () => {
    const directory = new SlowDirectory();
    const long = 'x'.repeat(100_000);
    directory.malformed = [
      {name: long, reason: long},
      {name: 'a', reason: 'wrong'},
      {name: 'a', reason: 'wrong'},
    ];
    const {watcher, lines, run} = await start(directory);
    await run(1);
    await watcher.refresh();
    expect(lines).toHaveLength(2);
    for (const line of lines) expect(line.length).toBeLessThan(1_000);
    watcher.stop();
  });

  it('remembers a bounded number of malformed entries', async () => {
    const directory = new SlowDirectory();
    const {watcher, lines, run} = await start(directory);
    await run(1);
    for (let index = 0; index < 20; index += 1) {
      directory.malformed = Array.from({length: 1_000}, (_item, item) => ({
        name: `${index}/${item}`,
        reason: 'wrong',
      }));
      await watcher.refresh();
    }
    expect(lines).toHaveLength(20_000);
    // The newest ones are remembered, the oldest ones are not.
    await watcher.refresh();
    expect(lines).toHaveLength(20_000);
    directory.malformed = [{name: '0/0', reason: 'wrong'}];
    await watcher.refresh();
    expect(lines).toHaveLength(20_001);
    watcher.stop();
  });
});
