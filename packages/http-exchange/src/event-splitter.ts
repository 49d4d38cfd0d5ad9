/** Splits a stream of server-sent events into whole events. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {BufferFault} from '@siskinplank/receive-buffers';
import type {ByteAccumulator} from '@siskinplank/receive-buffers';

/** Whole events that a chunk completed. */
export interface EventBatch {
  /** The events as sent, each with the blank line that ends it. */
  bytes: Buffer;
  /** Value of the last `id` field; undefined when there is none. */
  lastEventId: string | undefined;
}

/** Buffers the bytes of one stream until an event is complete. */
export interface EventSplitter {
  /**
   * Returns the events that `chunk` completes, undefined if there are none.
   * After a fault nothing more may be pushed.
   */
  push(chunk: Buffer): Either<BufferFault, EventBatch | undefined>;
  /** Number of buffered bytes of the incomplete last event. */
  getPendingBytes(): number;
}

/** What the last bytes are the beginning of. */
enum LineEnd {
  None,
  Cr,
  Lf,
  CrLf,
  CrLfCr,
}

const CR = 0x0d;
const LF = 0x0a;
const SPACE = 0x20;
const ID_FIELD = 'id:';
const ID_FIELD_LINE = '\nid:';
/** Blank lines in a row, without an event; a longer run is no stream. */
const MAX_BLANK_BYTES = 16_384;
const NO_EVENTS: Either<BufferFault, EventBatch | undefined> = Right(undefined);

function hasField(events: Buffer): boolean {
  return events.some(byte => byte !== CR && byte !== LF);
}

function readField(bytes: Buffer, from: number): string {
  let end = from;
  while (end < bytes.length && bytes[end] !== CR && bytes[end] !== LF) end += 1;
  const start = bytes[from] === SPACE ? from + 1 : from;
  return bytes.toString('latin1', start, Math.max(start, end));
}

function findLastEventId(events: Buffer): string | undefined {
  let from = events.length;
  while (from > 0) {
    const line = events.lastIndexOf(ID_FIELD_LINE, from - 1, 'latin1');
    if (line < 0) break;
    const id = readField(events, line + ID_FIELD_LINE.length);
    if (id !== '') return id;
    from = line;
  }
  const isFirstLine =
    events.toString('latin1', 0, ID_FIELD.length) === ID_FIELD;
  return (isFirstLine && readField(events, ID_FIELD.length)) || undefined;
}

/**
 * Creates a splitter; lines end with LF or CRLF.
 *
 * @param pending holds the incomplete last event.
 */
export function createEventSplitter(pending: ByteAccumulator): EventSplitter {
  let lineEnd = LineEnd.None;
  let blankBytes = 0;

  const advance = (byte: number): boolean => {
    if (byte === CR) {
      lineEnd = lineEnd === LineEnd.CrLf ? LineEnd.CrLfCr : LineEnd.Cr;
      return false;
    }
    if (byte !== LF) {
      lineEnd = LineEnd.None;
      return false;
    }
    const isBlankLine =
      lineEnd === LineEnd.Lf ||
      lineEnd === LineEnd.CrLf ||
      lineEnd === LineEnd.CrLfCr;
    if (isBlankLine) lineEnd = LineEnd.None;
    else lineEnd = lineEnd === LineEnd.Cr ? LineEnd.CrLf : LineEnd.Lf;
    return isBlankLine;
  };

  /** Returns the offset behind the last event that ends in `chunk`, or 0. */
  const findLastEnd = (chunk: Buffer): number => {
    let end = 0;
    for (let index = 0; index < chunk.length; index += 1) {
      if (advance(chunk[index])) end = index + 1;
    }
    return end;
  };

  const takeEvents = (chunk: Buffer, end: number): Buffer => {
    const rest = chunk.subarray(0, end);
    if (pending.getLength() === 0) return rest;
    return Buffer.concat([pending.take(), rest]);
  };

  return {
    push: chunk => {
      const end = findLastEnd(chunk);
      if (end === 0) return pending.append(chunk).chain(() => NO_EVENTS);
      const bytes = takeEvents(chunk, end);
      blankBytes = hasField(bytes) ? 0 : blankBytes + bytes.length;
      if (blankBytes > MAX_BLANK_BYTES) return Left(BufferFault.TooLong);
      const batch = {bytes, lastEventId: findLastEventId(bytes)};
      const rest = chunk.subarray(end);
      if (rest.length === 0) return Right(batch);
      return pending.append(rest).map(() => batch);
    },
    getPendingBytes: () => pending.getLength(),
  };
}
