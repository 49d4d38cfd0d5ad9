import {describe, expect, it} from 'vitest';
import {createManualClock} from './clock';
import type {ManualClock} from './clock';
import {createLineWriter} from './line-writer';
import type {LineWriter, LineWriterOptions, WriteBytes} from './line-writer';

const FLUSH_DELAY_MS = 100;
const FLUSH_TIMEOUT_MS = 300;

interface Setup {
  clock: ManualClock;
  writer: LineWriter;
  dropped: number[];
}

function setUp(
  writeBytes: WriteBytes,
  options: Partial<LineWriterOptions> = {},
): Setup {
  const clock = createManualClock();
  const dropped: number[] = [];
  const writer = createLineWriter({
    fileDescriptor: 1,
    clock,
    maxBufferedBytes: 1_000,
    flushDelayMs: FLUSH_DELAY_MS,
    onDropped: count => void dropped.push(count),
    writeBytes,
    ...options,
  });
  return {clock, writer, dropped};
}

function makeError(code: string): NodeJS.ErrnoException {
  return Object.assign(new Error(code), {code});
}

describe('line writer', () => {
  // Guards against losing a batch when the reader of a non-blocking pipe is slow.
  it('writes again what a full pipe did not take', async () => {
    let text = '';
    let fullCount = 3;
    const {clock, writer, dropped} = setUp((_, bytes, offset, onWritten) => {
      fullCount -= 1;
      if (fullCount >= 0) {
        onWritten(makeError('EAGAIN'), 0);
        return;
      }
      const written = Math.min(4, bytes.length - offset);
      text += bytes.toString('utf8', offset, offset + written);
      onWritten(null, written);
    });
    writer.writeLine('first');
    writer.writeLine('second');
    const flushed = writer.flush(FLUSH_TIMEOUT_MS);
    clock.runFor(100);
    await flushed;
    expect(text).toBe('first\nsecond\n');
    expect(dropped).toEqual([]);
  });

  it('counts the lines that a failed write loses', async () => {
    let hasFailed = false;
    const {writer, dropped} = setUp((_, bytes, offset, onWritten) => {
      if (hasFailed) {
        onWritten(null, bytes.length - offset);
        return;
      }
      hasFailed = true;
      onWritten(makeError('EIO'), 0);
    });
    writer.writeLine('first');
    writer.writeLine('second');
    await writer.flush(FLUSH_TIMEOUT_MS);
    writer.writeLine('third');
    await writer.flush(FLUSH_TIMEOUT_MS);
    expect(dropped).toEqual([2]);
  });

  // Guards against a stop that waits for a reader which reads nothing more.
  it('waits no longer than its timeout for a reader that does not read', async () => {
    const {clock, writer} = setUp(() => undefined);
    writer.writeLine('line');
    let isFlushed = false;
    const flushed = writer.flush(FLUSH_TIMEOUT_MS).then(() => {
      isFlushed = true;
    });
    clock.runFor(FLUSH_TIMEOUT_MS - 1);
    await Promise.resolve();
    expect(isFlushed).toBe(false);
    clock.runFor(1);
    await flushed;
    expect(isFlushed).toBe(true);
  });

  // Guards against a busy loop when the reader of standard output is gone.
  it('does not report lost lines while writes fail', async () => {
    let writeCount = 0;
    const clock = createManualClock();
    const writer = createLineWriter({
      fileDescriptor: 1,
      clock,
      maxBufferedBytes: 1_000,
      flushDelayMs: FLUSH_DELAY_MS,
      onDropped: count => writer.writeLine(`dropped ${count}`),
      writeBytes: (_fileDescriptor, _bytes, _offset, onWritten) => {
        writeCount += 1;
        setImmediate(() => onWritten(makeError('EPIPE'), 0));
      },
    });
    const lines = ['first', 'second'];
    for (const line of lines) {
      writer.writeLine(line);
      clock.runFor(FLUSH_DELAY_MS);
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    expect(writeCount).toBe(lines.length);
  });
});
