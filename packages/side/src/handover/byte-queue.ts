/**
 * Bytes that are sent and then acknowledged in order, in one buffer: chunks
 * that were received may be as small as one byte.
 */
import type {Reservation} from '@siskinplank/receive-buffers';

/** Queue of bytes. */
export interface ByteQueue {
  /** Copies `bytes`; returns false if the memory is needed elsewhere. */
  append(bytes: Uint8Array): boolean;
  /** Copies a part, whose offset is counted from the first kept byte. */
  copy(offset: number, length: number): Buffer<ArrayBuffer>;
  /** Drops the first `count` bytes. */
  drop(count: number): void;
  clear(): void;
  getLength(): number;
}

const MIN_CAPACITY = 512;
/** Larger steps would hold much unused memory in each of many responses. */
const MAX_STEP_BYTES = 65_536;
const EMPTY = Buffer.alloc(0);

/** Creates an empty queue. */
export function createByteQueue(reservation: Reservation): ByteQueue {
  let buffer: Buffer = EMPTY;
  let start = 0;
  let length = 0;

  const clear = (): void => {
    buffer = EMPTY;
    start = 0;
    length = 0;
    reservation.release();
  };

  /** Moves the bytes to the start of a buffer with room for `needed`. */
  const makeRoom = (needed: number): boolean => {
    const isHalfUnused = needed <= buffer.length / 2;
    if (isHalfUnused && start > 0) {
      buffer.copyWithin(0, start, start + length);
      start = 0;
      return true;
    }
    const step = Math.min(Math.max(length, MIN_CAPACITY), MAX_STEP_BYTES);
    const capacity = Math.max(needed, length + step);
    if (!reservation.resize(capacity)) return false;
    const grown = Buffer.allocUnsafeSlow(capacity);
    grown.set(buffer.subarray(start, start + length));
    buffer = grown;
    start = 0;
    return true;
  };

  return {
    append: bytes => {
      const end = start + length;
      if (end + bytes.length > buffer.length) {
        if (!makeRoom(length + bytes.length)) {
          clear();
          return false;
        }
      }
      buffer.set(bytes, start + length);
      length += bytes.length;
      return true;
    },
    copy: (offset, count) => {
      const from = start + offset;
      return Buffer.from(buffer.subarray(from, from + count));
    },
    drop: count => {
      start += count;
      length -= count;
      if (length === 0) clear();
    },
    clear,
    getLength: () => length,
  };
}
