/** Decodes a body in the chunked transfer coding (RFC 9112, section 7.1). */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** State of one body. */
export interface ChunkedDecoder {
  /**
   * Decodes `bytes` from `offset` to the end of the body and returns the offset
   * it has reached, or Left with the reason if the coding is invalid.
   */
  decode(bytes: Buffer, offset: number): Either<string, number>;
  /** Whether the last chunk and the trailer were decoded. */
  isComplete(): boolean;
}

enum ChunkState {
  Size,
  Padding,
  Extension,
  SizeEnd,
  Data,
  DataCr,
  DataLf,
  Trailer,
  Complete,
}

/** Padding and extensions of all chunks; Node.js has the same limit. */
const MAX_EXTENSION_BYTES = 16_384;
const MAX_TRAILER_BYTES = 16_384;
const MAX_SIZE_DIGITS = 8;
const HEX_BASE = 16;
const CR = 0x0d;
const LF = 0x0a;
const SPACE = 0x20;
const TAB = 0x09;
const SEMICOLON = 0x3b;
const DIGIT_0 = 0x30;
const LETTER_A = 0x61;
/** Turns an upper-case letter into a lower-case one. */
const LOWER_CASE_BIT = 0x20;

/** Returns the value of a hexadecimal digit, -1 for another character. */
function parseHexDigit(byte: number): number {
  const decimal = byte - DIGIT_0;
  if (decimal >= 0 && decimal <= 9) return decimal;
  const letter = (byte | LOWER_CASE_BIT) - LETTER_A;
  return letter >= 0 && letter < 6 ? letter + 10 : -1;
}

/** Chunks up to this size are copied byte by byte, which costs less. */
const MAX_SMALL_BYTES = 32;

/** Joins the data of the chunks of one read, which may be thousands. */
function createDataJoiner(onData: (data: Buffer) => void): {
  /** Adds what `bytes` has from `start` to `end`. */
  add(bytes: Buffer, start: number, end: number): void;
  flush(): void;
} {
  let source: Buffer | undefined;
  let firstStart = 0;
  let firstEnd = 0;
  /** Copies of all parts, once there is more than one. */
  let joined: Buffer | undefined;
  let length = 0;

  const copyPart = (
    into: Buffer,
    bytes: Buffer,
    start: number,
    end: number,
  ): void => {
    if (end - start > MAX_SMALL_BYTES) {
      length += bytes.copy(into, length, start, end);
      return;
    }
    for (let index = start; index < end; index += 1) {
      into[length] = bytes[index];
      length += 1;
    }
  };

  return {
    add: (bytes, start, end) => {
      if (source === undefined) {
        source = bytes;
        firstStart = start;
        firstEnd = end;
        return;
      }
      if (joined === undefined) {
        joined = Buffer.allocUnsafe(bytes.length - firstStart);
        length = 0;
        copyPart(joined, bytes, firstStart, firstEnd);
      }
      copyPart(joined, bytes, start, end);
    },
    flush: () => {
      const data =
        joined?.subarray(0, length) ?? source?.subarray(firstStart, firstEnd);
      source = undefined;
      joined = undefined;
      if (data !== undefined) onData(data);
    },
  };
}

/**
 * Creates a decoder.
 *
 * @param onData gets the data of each read once, however many chunks it has.
 */
export function createChunkedDecoder(
  onData: (data: Buffer) => void,
): ChunkedDecoder {
  const joiner = createDataJoiner(onData);
  let state = ChunkState.Size;
  let sizeDigits = 0;
  let remainingBytes = 0;
  let extensionBytes = 0;
  let trailerBytes = 0;
  let trailerLineBytes = 0;
  let isAfterCr = false;

  const readSize = (byte: number): string | undefined => {
    const digit = parseHexDigit(byte);
    if (digit >= 0) {
      sizeDigits += 1;
      remainingBytes = remainingBytes * HEX_BASE + digit;
      return sizeDigits > MAX_SIZE_DIGITS ? 'malformed chunk size' : undefined;
    }
    return sizeDigits === 0 ? 'malformed chunk size' : readPadding(byte);
  };

  const readPadding = (byte: number): string | undefined => {
    if (byte === CR) state = ChunkState.SizeEnd;
    else if (byte === SEMICOLON) state = ChunkState.Extension;
    else if (byte === SPACE || byte === TAB) state = ChunkState.Padding;
    else return 'malformed chunk size';
    return countExtension();
  };

  const readExtension = (byte: number): string | undefined => {
    if (byte === LF) return 'malformed chunk size';
    if (byte === CR) state = ChunkState.SizeEnd;
    return countExtension();
  };

  const countExtension = (): string | undefined => {
    if (state === ChunkState.SizeEnd) return undefined;
    extensionBytes += 1;
    return extensionBytes > MAX_EXTENSION_BYTES
      ? 'chunk extensions are too long'
      : undefined;
  };

  const endSize = (byte: number): string | undefined => {
    if (byte !== LF) return 'malformed chunk size';
    state = remainingBytes === 0 ? ChunkState.Trailer : ChunkState.Data;
    return undefined;
  };

  const endData = (byte: number): string | undefined => {
    const isCr = state === ChunkState.DataCr;
    if (byte !== (isCr ? CR : LF)) return 'chunk is longer than its size';
    state = isCr ? ChunkState.DataLf : ChunkState.Size;
    sizeDigits = 0;
    return undefined;
  };

  const readTrailer = (byte: number): string | undefined => {
    trailerBytes += 1;
    if (trailerBytes > MAX_TRAILER_BYTES) return 'trailer is too long';
    const isLineEnd = byte === LF && isAfterCr;
    isAfterCr = byte === CR;
    if (!isLineEnd) {
      trailerLineBytes += 1;
      return undefined;
    }
    // Only its CR was counted.
    if (trailerLineBytes === 1) state = ChunkState.Complete;
    trailerLineBytes = 0;
    return undefined;
  };

  /** Reads one byte outside of the data; returns the fault, if any. */
  const readByte = (byte: number): string | undefined => {
    switch (state) {
      case ChunkState.Size:
        return readSize(byte);
      case ChunkState.Padding:
        return readPadding(byte);
      case ChunkState.Extension:
        return readExtension(byte);
      case ChunkState.SizeEnd:
        return endSize(byte);
      case ChunkState.Trailer:
        return readTrailer(byte);
      default:
        return endData(byte);
    }
  };

  const readData = (bytes: Buffer, offset: number): number => {
    const end = Math.min(bytes.length, offset + remainingBytes);
    joiner.add(bytes, offset, end);
    remainingBytes -= end - offset;
    if (remainingBytes === 0) state = ChunkState.DataCr;
    return end;
  };

  return {
    decode: (bytes, offset) => {
      let index = offset;
      let fault: string | undefined;
      while (index < bytes.length && state !== ChunkState.Complete) {
        if (state === ChunkState.Data) {
          index = readData(bytes, index);
          continue;
        }
        fault = readByte(bytes[index]);
        if (fault !== undefined) break;
        index += 1;
      }
      joiner.flush();
      return fault === undefined ? Right(index) : Left(fault);
    },
    isComplete: () => state === ChunkState.Complete,
  };
}
