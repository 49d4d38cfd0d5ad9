/** Buffered line writer that never blocks on a slow reader. */
import {write} from 'node:fs';
import type {Clock} from './clock';

/** Part of `fs.write` that the writer uses. */
export type WriteBytes = (
  fileDescriptor: number,
  bytes: Buffer,
  offset: number,
  onWritten: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Options of `createLineWriter`. */
export interface LineWriterOptions {
  /** For example 1 for standard output. */
  fileDescriptor: number;
  clock: Clock;
  /** Lines that would exceed this many buffered bytes are dropped. */
  maxBufferedBytes: number;
  /** Longest time that a line is buffered before a write, in milliseconds. */
  flushDelayMs: number;
  /** Called with the number of dropped lines after a write that succeeds. */
  onDropped(count: number): void;
  /** The default is `fs.write`. */
  writeBytes?: WriteBytes;
}

/** Buffers lines and writes them asynchronously. */
export interface LineWriter {
  writeLine(line: string): void;
  /**
   * Resolves when all buffered lines are written or lost, at the latest after
   * `timeoutMs`.
   */
  flush(timeoutMs: number): Promise<void>;
}

/** Delay before bytes that a full pipe did not take are written again. */
const FULL_PIPE_DELAY_MS = 20;
const LINE_END = 0x0a;

/** Writes at the current position of the file. */
const writeAtPosition: WriteBytes = (
  fileDescriptor,
  bytes,
  offset,
  onWritten,
) => write(fileDescriptor, bytes, offset, undefined, null, onWritten);

function countLines(bytes: Buffer): number {
  let count = 0;
  for (const byte of bytes) if (byte === LINE_END) count += 1;
  return count;
}

/** Creates a line writer; the writes run on libuv's thread pool. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const {clock, fileDescriptor, writeBytes = writeAtPosition} = options;
  let lines: string[] = [];
  let bufferedBytes = 0;
  let droppedCount = 0;
  let isScheduled = false;
  let isWriting = false;
  const waiters = new Set<() => void>();

  const resolveWaiters = (): void => {
    for (const resolve of [...waiters]) resolve();
  };

  /** The report is a line, so it would fail as long as writes do. */
  const reportDropped = (): void => {
    if (droppedCount === 0) return;
    const count = droppedCount;
    droppedCount = 0;
    options.onDropped(count);
  };

  const writeFrom = (bytes: Buffer, offset: number): void => {
    writeBytes(fileDescriptor, bytes, offset, (error, written) => {
      // A pipe is full if its reader is slow and it does not block.
      if (error?.code === 'EAGAIN') {
        clock.startTimer(FULL_PIPE_DELAY_MS, () => writeFrom(bytes, offset));
        return;
      }
      const nextOffset = offset + written;
      if (error === null && nextOffset < bytes.length) {
        writeFrom(bytes, nextOffset);
        return;
      }
      if (error === null) reportDropped();
      else droppedCount += countLines(bytes.subarray(offset));
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
    flush: timeoutMs =>
      new Promise(resolve => {
        const end = (): void => {
          timer.cancel();
          waiters.delete(end);
          resolve();
        };
        const timer = clock.startTimer(timeoutMs, end);
        waiters.add(end);
        writeBuffered();
        if (!isWriting) resolveWaiters();
      }),
  };
}
