/** Splits a stream of server-sent events into whole events. */

/** One event with its bytes as sent, including the blank line that ends it. */
export interface StreamEvent {
  bytes: Buffer;
  /** Value of its `id` field; undefined when it has none. */
  id: string | undefined;
}

/** Buffers the bytes of one stream until an event is complete. */
export interface EventSplitter {
  /** Returns the events that `chunk` completes, in order. */
  push(chunk: Buffer): StreamEvent[];
  /** Number of buffered bytes of the incomplete last event. */
  getPendingBytes(): number;
}

const BLANK_LINE = '\n\n';
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/;

/** Creates a splitter; lines end with LF or CRLF. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);

  const findEnd = (bytes: Buffer, from: number): number => {
    const plain = bytes.indexOf(BLANK_LINE, from);
    const carriage = bytes.indexOf('\r\n\r\n', from);
    const plainEnd = plain < 0 ? -1 : plain + BLANK_LINE.length;
    const carriageEnd = carriage < 0 ? -1 : carriage + 4;
    if (plainEnd < 0) return carriageEnd;
    if (carriageEnd < 0) return plainEnd;
    return Math.min(plainEnd, carriageEnd);
  };

  return {
    push: chunk => {
      const bytes =
        pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const events: StreamEvent[] = [];
      let offset = 0;
      for (;;) {
        const end = findEnd(bytes, offset);
        if (end < 0) break;
        const event = bytes.subarray(offset, end);
        const id = ID_FIELD.exec(event.toString('latin1'))?.[1];
        events.push({bytes: event, id});
        offset = end;
      }
      pending = bytes.subarray(offset);
      return events;
    },
    getPendingBytes: () => pending.length,
  };
}
