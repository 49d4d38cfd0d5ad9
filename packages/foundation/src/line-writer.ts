/** Writes lines to a file descriptor without ever waiting for its reader. */
import {write} from 'node:fs';
import type {Clock} from './clock';

/** What `createLineWriter` needs. */
export interface LineWriterOptions {
  /** 1 is standard output. */
  fileDescriptor: number;
  clock: Clock;
  /** Lines beyond this many unwritten bytes are dropped. */
  maxBufferedBytes: number;
  /** Longest time that a line waits for others, in milliseconds. */
  flushDelayMs: number;
  /** Tells how many lines were dropped, once writing goes on. */
  onDropped(count: number): void;
}

/** A buffer of lines on their way out. */
export interface LineWriter {
  writeLine(line: string): void;
  /** Resolves when everything is written. */
  flush(): Promise<void>;
}

/** Creates a writer; it writes on a thread of libuv's pool. */
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

  const writeRest = (bytes: Buffer, offset: number): void => {
    write(fileDescriptor, bytes, offset, undefined, null, (error, written) => {
      const nextOffset = offset + written;
      if (error === null && nextOffset < bytes.length) {
        writeRest(bytes, nextOffset);
        return;
      }
      // A reader that is gone takes no more lines; there is nobody to tell.
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
    writeRest(bytes, 0);
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
