/**
 * Collects the bytes of one message in one buffer. Received chunks may be as
 * small as one byte, and kept separately, each would cost an object and keep
 * the whole read that it was a part of.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Reservation} from './receive-budget';

/** Why a message can't be collected any further. */
export enum BufferFault {
  TooLong = 'too-long',
  /** The memory is needed for other messages. */
  Evicted = 'evicted',
}

/** Options of `createByteAccumulator`. */
export interface ByteAccumulatorOptions {
  /** Largest number of collected bytes. */
  maxBytes: number;
  /** Share of the budget of the process. */
  reservation: Reservation;
}

/** The bytes of one message that is not complete yet. */
export interface ByteAccumulator {
  /** Copies `bytes`; after a fault the accumulator is empty. */
  append(bytes: Uint8Array): Either<BufferFault, void>;
  getLength(): number;
  /** Returns all bytes, which are counted no longer, and starts over. */
  take(): Buffer;
  /** Drops all bytes. */
  clear(): void;
}

const EMPTY = Buffer.alloc(0);
const APPENDED: Either<BufferFault, void> = Right(undefined);
/** First allocation for a message that arrives in small chunks. */
const MIN_CAPACITY = 512;

/** Unused part of a buffer, relative to its bytes, that is not worth a copy. */
const MAX_UNUSED_FRACTION = 0.25;

function copyBytes(bytes: Buffer): Buffer {
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
}

/** Creates an empty accumulator. */
export function createByteAccumulator(
  options: ByteAccumulatorOptions,
): ByteAccumulator {
  const {maxBytes, reservation} = options;
  let buffer: Buffer = EMPTY;
  let length = 0;

  const clear = (): void => {
    buffer = EMPTY;
    length = 0;
    reservation.release();
  };

  const grow = (needed: number): boolean => {
    if (needed <= buffer.length) return true;
    const doubled = Math.max(buffer.length * 2, MIN_CAPACITY);
    const capacity = Math.max(needed, Math.min(doubled, maxBytes));
    if (!reservation.resize(capacity)) return false;
    // Not from the shared pool, whose slabs small buffers would keep.
    const grown = Buffer.allocUnsafeSlow(capacity);
    grown.set(buffer.subarray(0, length));
    buffer = grown;
    return true;
  };

  return {
    append: bytes => {
      const needed = length + bytes.length;
      const fault = needed > maxBytes ? BufferFault.TooLong : undefined;
      if (fault !== undefined || !grow(needed)) {
        clear();
        return Left(fault ?? BufferFault.Evicted);
      }
      buffer.set(bytes, length);
      length = needed;
      return APPENDED;
    },
    getLength: () => length,
    take: () => {
      const bytes = buffer.subarray(0, length);
      const unusedBytes = buffer.length - length;
      clear();
      // A view keeps the unused rest, as long as the message is kept.
      return unusedBytes > length * MAX_UNUSED_FRACTION
        ? copyBytes(bytes)
        : bytes;
    },
    clear,
  };
}
