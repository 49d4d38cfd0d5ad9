/** Buffered line writer that never blocks on a slow reader. */
import {write} from 'node:fs';
import type {Clock} from './clock';

/** Options of `createLineWriter`. */
export interface LineWriterOptions {
  /** For example 1 for standard output. */
  fileDescriptor: number;
  clock: Clock;
  /** Lines that would exceed this many buffered bytes are dropped. */
  maxBufferedBytes: number;
  /** Longest time that a line is buffered before a write, in milliseconds. */
  flushDelayMs: number;
  /** Called with the number of dropped lines when the next write starts. */
  onDropped(count: number): void;
}

/** Buffers lines and writes them asynchronously. */
export interface LineWriter {
  writeLine(line: string): void;
  /** Resolves when all buffered lines are written or a write has failed. */
  flush(): Promise<void>;
}

/** Creates a line writer; the writes run on libuv's thread pool. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const {clock, fileDescriptor} = options;
  let lines: string[] = [];
  let bufferedBytes = 0;
  let droppedCount = 0;
  let isScheduled = false;
  let isWriting = false;
  const waiters: Array<() => void> = [];

  const resolveWaiters = (): void => {
    for (const resolve of waiters.splice(0)) resolve();
  };

  const writeFrom = (bytes: Buffer, offset: number): void => {
    write(fileDescriptor, bytes, offset, undefined, null, (error, written) => {
      const nextOffset = offset + written;
      if (error === null && nextOffset < bytes.length) {
        writeFrom(bytes, nextOffset);
        return;
      }
      // A failed write, such as to a closed pipe, has no place to be reported.
      isWriting = false;
      if (lines.length > 0) writeBuffered();
      else resolveWaiters();
    });
  };

  const writeBuffered = (): void => {
    isScheduled = false;
    if (isWriting || lines.length === 0) return;
    isWriting = true;
    const bytes = Buffer.from(lines.join('\n') + '\n');
    lines = [];
    bufferedBytes = 0;
    writeFrom(bytes, 0);
    if (droppedCount === 0) return;
    const count = droppedCount;
    droppedCount = 0;
    options.onDropped(count);
  };

  return {
    writeLine: line => {
      if (bufferedBytes + line.length > options.maxBufferedBytes) {
        droppedCount += 1;
        return;
      }
      lines.push(line);
      bufferedBytes += line.length + 1;
      if (isScheduled || isWriting) return;
      isScheduled = true;
      clock.startTimer(options.flushDelayMs, writeBuffered);
    },
    flush: () =>
      new Promise(resolve => {
        waiters.push(resolve);
        writeBuffered();
        if (!isWriting) resolveWaiters();
      }),
  };
}
