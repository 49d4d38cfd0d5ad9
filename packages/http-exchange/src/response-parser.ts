/**
 * Incremental parser of HTTP/1.1 responses (RFC 9112). The HTTP clients of
 * Node.js and undici take the next response on a connection as the response to
 * the request in flight. This parser leaves the matching to its sink, so that
 * a delayed duplicate response to an earlier request can be skipped.
 */
import {isInterimStatus} from '@siskinplank/foundation';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ByteAccumulator} from '@siskinplank/receive-buffers';
import {createChunkedDecoder} from './chunked-decoder';
import type {ChunkedDecoder} from './chunked-decoder';
import {hasNoBody, parseHead} from './response-head';
import type {ParsedHead, ResponseHead} from './response-head';

/** Receives the parts of each response in order. */
export interface ResponseSink {
  onHead(head: ResponseHead): void;
  /** Gets the body bytes of each read once, however they are framed. */
  onBody(data: Buffer): void;
  onEnd(): void;
}

/** What `createResponseParser` needs. */
export interface ResponseParserOptions {
  sink: ResponseSink;
  /** Holds the bytes of an incomplete head. */
  headBytes: ByteAccumulator;
  /** Whether the request in flight is a HEAD request, without a body. */
  isHeadRequest(): boolean;
}

/** Parser state of one connection. */
export interface ResponseParser {
  /**
   * Parses `bytes` up to the end of the current response and returns the
   * number of bytes read, or Left with the reason if the response is invalid.
   */
  execute(bytes: Buffer): Either<string, number>;
  /** Handles the end of the connection; Left if it cut a response short. */
  finish(): Either<string, void>;
  /** Whether the current response ends when the connection ends. */
  isCloseDelimited(): boolean;
  /** Whether the parser is between responses, with no bytes of the next one. */
  isIdle(): boolean;
}

enum ParserState {
  Head,
  FixedBody,
  UntilClose,
  Chunked,
}

/** Largest head; Node.js and undici have the same limit. */
export const MAX_HEAD_BYTES = 16_384;
/** Interim responses before a final one. */
const MAX_INTERIM_RESPONSES = 16;
const CR = 0x0d;
const LF = 0x0a;
/** Length of the two line ends after the last line of a head. */
const HEAD_END_BYTES = 4;

/** Creates a parser. */
export function createResponseParser(
  options: ResponseParserOptions,
): ResponseParser {
  const {sink, headBytes} = options;
  let state = ParserState.Head;
  /** Bytes of CR LF CR LF that end what was read of the head. */
  let headEndBytes = 0;
  let remainingBytes = 0;
  let interimCount = 0;
  let hasEnded = false;
  let chunks: ChunkedDecoder | undefined;

  const endResponse = (): void => {
    state = ParserState.Head;
    chunks = undefined;
    interimCount = 0;
    hasEnded = true;
    sink.onEnd();
  };

  const startBody = ({head, isChunked}: ParsedHead): void => {
    // Interim responses (RFC 9110, section 15.2) are skipped; the final
    // response follows.
    if (isInterimStatus(head.status)) {
      interimCount += 1;
      return;
    }
    const isEmpty =
      hasNoBody(head.status, options.isHeadRequest()) ||
      (!isChunked && head.contentLength === 0);
    if (isEmpty) {
      sink.onHead(head);
      endResponse();
      return;
    }
    if (isChunked) {
      state = ParserState.Chunked;
      chunks = createChunkedDecoder(sink.onBody);
    } else if (head.contentLength !== undefined) {
      state = ParserState.FixedBody;
      remainingBytes = head.contentLength;
    } else {
      state = ParserState.UntilClose;
    }
    sink.onHead(head);
  };

  /** Returns the offset behind the end of the head, or 0. */
  const findHeadEnd = (bytes: Buffer, offset: number): number => {
    for (let index = offset; index < bytes.length; index += 1) {
      const byte = bytes[index];
      const isAfterCr = headEndBytes % 2 === 1;
      if (byte === LF && isAfterCr) headEndBytes += 1;
      else if (byte === CR) headEndBytes = headEndBytes === 2 ? 3 : 1;
      else headEndBytes = 0;
      if (headEndBytes < HEAD_END_BYTES) continue;
      headEndBytes = 0;
      return index + 1;
    }
    return 0;
  };

  const readHead = (bytes: Buffer, offset: number): Either<string, number> => {
    const end = findHeadEnd(bytes, offset);
    const part = bytes.subarray(offset, end === 0 ? bytes.length : end);
    // Most heads arrive in one read and need not be copied.
    const isWhole = end > 0 && headBytes.getLength() === 0;
    const kept = isWhole ? Right(undefined) : headBytes.append(part);
    if (kept.isLeft()) return Left(`head: ${String(kept.extract())}`);
    if (end === 0) return Right(bytes.length);
    const whole = isWhole ? part : headBytes.take();
    if (whole.length > MAX_HEAD_BYTES) return Left('head is too long');
    const text = whole.toString('latin1', 0, whole.length - HEAD_END_BYTES);
    return parseHead(text).chain(parsed => {
      startBody(parsed);
      return interimCount > MAX_INTERIM_RESPONSES
        ? Left('too many interim responses')
        : Right(end);
    });
  };

  const readFixed = (bytes: Buffer, offset: number): number => {
    const end = Math.min(bytes.length, offset + remainingBytes);
    remainingBytes -= end - offset;
    sink.onBody(bytes.subarray(offset, end));
    if (remainingBytes === 0) endResponse();
    return end;
  };

  const readChunked = (
    bytes: Buffer,
    offset: number,
  ): Either<string, number> => {
    const decoder = chunks;
    if (decoder === undefined) return Left('body without a decoder');
    return decoder.decode(bytes, offset).ifRight(() => {
      if (decoder.isComplete()) endResponse();
    });
  };

  const readStep = (bytes: Buffer, offset: number): Either<string, number> => {
    switch (state) {
      case ParserState.Head:
        return readHead(bytes, offset);
      case ParserState.FixedBody:
        return Right(readFixed(bytes, offset));
      case ParserState.UntilClose:
        sink.onBody(bytes.subarray(offset));
        return Right(bytes.length);
      default:
        return readChunked(bytes, offset);
    }
  };

  const isIdle = (): boolean =>
    state === ParserState.Head && headBytes.getLength() === 0;

  return {
    execute: bytes => {
      let offset = 0;
      hasEnded = false;
      while (offset < bytes.length && !hasEnded) {
        const step = readStep(bytes, offset);
        if (step.isLeft()) return step;
        offset = step.unsafeCoerce();
      }
      return Right(offset);
    },
    finish: () => {
      if (state === ParserState.UntilClose) {
        endResponse();
        return Right(undefined);
      }
      return isIdle() ? Right(undefined) : Left('response was broken off');
    },
    isCloseDelimited: () => state === ParserState.UntilClose,
    isIdle,
  };
}
