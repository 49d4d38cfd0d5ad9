/**
 * Splits a server-sent event stream of an engine into complete events and reads
 * its usage. An interrupted stream can thus be resumed at the next event.
 */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createEventSplitter} from '@siskinplank/http-exchange';
import type {Usage} from '@siskinplank/messages';
import {createByteAccumulator, parseJson} from '@siskinplank/receive-buffers';
import type {BufferFault, Reservation} from '@siskinplank/receive-buffers';
import {MAX_PARSED_BYTES} from '../constants';

const EMPTY = new Uint8Array(0);
const LINE_FEED = '\n';
const DONE_DATA = '[DONE]';

/** Reader of one event stream; its position outlives a lost connection. */
export interface EventsReader {
  /**
   * Adds bytes; returns the bytes of all events that are now complete. After a
   * fault nothing more may be pushed.
   */
  push(data: Uint8Array): Either<BufferFault, Uint8Array>;
  /** Drops an incomplete event before the stream is resumed. */
  reset(): void;
  /** Number of the first event that is not complete yet. */
  getNextOffset(): number;
  /** Whether the final event was seen. */
  isComplete(): boolean;
  getUsage(): Usage | undefined;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Reads the OpenAI `usage` member of a JSON text. */
export function parseUsage(text: string): Usage | undefined {
  const value = parseJson(text).toMaybe().extractNullable() as {
    usage?: {prompt_tokens?: unknown; completion_tokens?: unknown};
  } | null;
  const promptTokens = value?.usage?.prompt_tokens;
  const completionTokens = value?.usage?.completion_tokens;
  return isCount(promptTokens) && isCount(completionTokens)
    ? {promptTokens, completionTokens}
    : undefined;
}

/**
 * Creates a reader at the start of a stream.
 *
 * @param reservation holds the bytes of an incomplete event.
 */
export function createEventsReader(reservation: Reservation): EventsReader {
  const pending = createByteAccumulator({
    maxBytes: MAX_PARSED_BYTES,
    reservation,
  });
  let splitter = createEventSplitter(pending);
  let nextOffset = 0;
  let isComplete = false;
  let usage: Usage | undefined;

  const readLine = (line: string): void => {
    if (line.startsWith('id:')) {
      const id = Number(line.slice(3).trim());
      if (isCount(id)) nextOffset = Math.max(nextOffset, id + 1);
    }
    if (!line.startsWith('data:')) return;
    const data = line.slice(5).trim();
    if (data === DONE_DATA) isComplete = true;
    else if (data.includes('"usage"')) usage = parseUsage(data) ?? usage;
  };

  const readEvents = (text: string): void => {
    let start = 0;
    while (start < text.length) {
      const end = text.indexOf(LINE_FEED, start);
      const lineEnd = end < 0 ? text.length : end;
      if (lineEnd > start) readLine(text.slice(start, lineEnd));
      start = lineEnd + 1;
    }
  };

  const splitEvents = (data: Uint8Array): Either<BufferFault, Uint8Array> =>
    splitter
      .push(Buffer.from(data.buffer, data.byteOffset, data.byteLength))
      .map(batch => {
        if (batch === undefined) return EMPTY;
        readEvents(batch.bytes.toString('utf8'));
        return batch.bytes;
      });

  return {
    push: data => {
      const pendingBytes = pending.getLength();
      if (pendingBytes + data.byteLength <= MAX_PARSED_BYTES) {
        return splitEvents(data);
      }
      // An event above the limit is passed on unparsed instead of buffered.
      const kept = pending.take();
      if (data.byteLength > MAX_PARSED_BYTES) {
        return Right(Buffer.concat([kept, data]));
      }
      return splitEvents(data).map(whole => Buffer.concat([kept, whole]));
    },
    reset: () => {
      pending.clear();
      splitter = createEventSplitter(pending);
    },
    getNextOffset: () => nextOffset,
    isComplete: () => isComplete,
    getUsage: () => usage,
  };
}
