/** A connection to an upstream, for one request at a time. */
import {Socket} from 'node:net';
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock} from '@siskinplank/foundation';
import {createByteAccumulator} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {Either} from 'purify-ts';
import type {ReadScheduler} from './read-scheduler';
import type {ResponseHead} from './response-head';
import {MAX_HEAD_BYTES, createResponseParser} from './response-parser';
import {ExchangeFailureCode, HeadVerdict} from './types';
import type {
  Exchange,
  ExchangeObserver,
  ExchangeRequest,
  ExchangeTarget,
} from './types';

/** Settings and callbacks that a connection gets from its pool. */
export interface ConnectionOptions {
  target: ExchangeTarget;
  /** Longest time to establish the connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Idle timeout if the upstream announces none, in milliseconds. */
  defaultIdleMs: number;
  /** Memory for incomplete response heads. */
  receiveBudget: ReceiveBudget;
  reads: ReadScheduler;
  clock: Clock;
  /** Called before received bytes are handled. */
  onRead(): void;
  /** Called for the head of each response, before the exchange's observer. */
  onHead(head: ResponseHead): void;
  /** Called when the connection is ready for another request. */
  onIdle(connection: Connection): void;
  onClose(connection: Connection): void;
}

/** A connection that is being established or is open. */
export interface Connection {
  readonly target: ExchangeTarget;
  /** Sends a request; must not be called while another is in flight. */
  send(request: ExchangeRequest, observer: ExchangeObserver): Exchange;
  /** Whether the connection is idle and within its idle timeout at `nowMs`. */
  isUsable(nowMs: number): boolean;
  /**
   * Whether the connection is established and read from, so that its end would
   * have been seen.
   */
  isOpen(): boolean;
  close(): void;
}

/**
 * An idle connection is no longer reused this long before the timeout that the
 * upstream announces, so that the upstream does not close the connection while
 * a request is on its way.
 */
const IDLE_MARGIN_MS = 500;
/** Limits of the responses to earlier requests that are skipped. */
const MAX_SKIPPED_RESPONSES = 16;
const MAX_SKIPPED_BYTES = 1_048_576;
const KEEP_ALIVE_TIMEOUT = /(?:^|[,;\s])timeout=(\d{1,6})/i;
const MILLISECONDS_PER_SECOND = 1_000;

function parseIdleMs(head: ResponseHead, defaultIdleMs: number): number {
  const match = KEEP_ALIVE_TIMEOUT.exec(head.headers.get('keep-alive') ?? '');
  if (match === null) return defaultIdleMs;
  const announcedMs = Number(match[1]) * MILLISECONDS_PER_SECOND;
  return Math.max(0, announcedMs - IDLE_MARGIN_MS);
}

function encodeRequest(request: ExchangeRequest): Buffer {
  const lines = [`${request.method} ${request.target} HTTP/1.1`];
  for (let index = 0; index + 1 < request.headers.length; index += 2) {
    lines.push(`${request.headers[index]}: ${request.headers[index + 1]}`);
  }
  const {body} = request;
  if (body !== undefined) lines.push(`Content-Length: ${body.length}`);
  const head = Buffer.from(lines.join('\r\n') + '\r\n\r\n', 'latin1');
  return body === undefined ? head : Buffer.concat([head, body]);
}

interface InFlightExchange {
  request: ExchangeRequest;
  observer: ExchangeObserver;
  isSent: boolean;
  /** Whether the accepted response is being read. */
  isAccepted: boolean;
  /** Whether the response being read belongs to an earlier request. */
  isSkipping: boolean;
  skippedResponses: number;
  skippedBytes: number;
}

/** Opens a connection. */
export function createConnection(options: ConnectionOptions): Connection {
  const {target, clock} = options;
  const socket = new Socket({allowHalfOpen: true}).setNoDelay();
  // An address that cannot exist, such as one with a port above 65535, throws.
  Either.encase(() =>
    socket.connect({host: target.host, port: target.port}),
  ).ifLeft(error => void socket.destroy(error));
  let isConnected = false;
  let isClosed = false;
  let servedCount = 0;
  let inFlight: InFlightExchange | undefined;
  let keepsAlive = true;
  let idleMs = options.defaultIdleMs;
  let idleSinceMs = 0;
  /** Whether the observer reads no more for now. */
  let isPaused = false;
  /** Whether bytes that were received wait for their turn. */
  let isWaiting = false;

  const close = (): void => {
    if (isClosed) return;
    isClosed = true;
    connectTimer.cancel();
    headReservation.release();
    socket.destroy();
    options.onClose(connection);
  };

  const fail = (code: ExchangeFailureCode, reason: string): void => {
    const failed = inFlight;
    inFlight = undefined;
    close();
    if (failed === undefined) return;
    failed.observer.onFailure({
      code: failed.isSent ? code : ExchangeFailureCode.NotConnected,
      reason,
      wasReused: servedCount > 0,
    });
  };

  const resumeReading = (): void => {
    if (!isPaused && !isWaiting) socket.resume();
  };

  /** Puts `bytes` back until the other connections had their turn. */
  const deferRead = (bytes: Buffer): void => {
    isWaiting = true;
    socket.pause();
    socket.unshift(bytes);
    options.reads.enqueue(target.key, bytes.length, () => {
      isWaiting = false;
      resumeReading();
    });
  };

  const headReservation = options.receiveBudget.open(target.key, () =>
    fail(ExchangeFailureCode.Malformed, 'head gave way to other messages'),
  );

  const skipResponse = (exchange: InFlightExchange): void => {
    exchange.isSkipping = true;
    exchange.skippedResponses += 1;
    if (exchange.skippedResponses <= MAX_SKIPPED_RESPONSES) return;
    fail(ExchangeFailureCode.Malformed, 'too many responses to other requests');
  };

  const skipBytes = (exchange: InFlightExchange, count: number): void => {
    exchange.skippedBytes += count;
    if (exchange.skippedBytes <= MAX_SKIPPED_BYTES) return;
    fail(ExchangeFailureCode.Malformed, 'response to another request is long');
  };

  const parser = createResponseParser({
    headBytes: createByteAccumulator({
      maxBytes: MAX_HEAD_BYTES,
      reservation: headReservation,
    }),
    isHeadRequest: () => inFlight?.request.method === 'HEAD',
    sink: {
      onHead: head => {
        options.onHead(head);
        if (inFlight === undefined) return;
        keepsAlive = head.keepsAlive;
        idleMs = parseIdleMs(head, options.defaultIdleMs);
        const isReused = servedCount > 0 || inFlight.skippedResponses > 0;
        const verdict = inFlight.observer.onHead(head, isReused);
        if (verdict === HeadVerdict.Accept) inFlight.isAccepted = true;
        else if (verdict === HeadVerdict.Skip) skipResponse(inFlight);
        else fail(ExchangeFailureCode.Malformed, 'unusable response');
      },
      onBody: chunk => {
        if (inFlight === undefined) return;
        if (inFlight.isAccepted) inFlight.observer.onData(chunk);
        else skipBytes(inFlight, chunk.length);
      },
      onEnd: () => {
        const ended = inFlight;
        if (ended === undefined) return;
        if (ended.isSkipping) {
          ended.isSkipping = false;
          return;
        }
        inFlight = undefined;
        servedCount += 1;
        isPaused = false;
        resumeReading();
        // When the response comes before the whole request has been written,
        // the rest of the request body is still queued on this connection.
        if (!keepsAlive || socket.writableLength > 0) close();
        else idleSinceMs = clock.getNowMs();
        ended.observer.onEnd();
      },
    },
  });

  const write = (): void => {
    if (inFlight === undefined || inFlight.isSent) return;
    inFlight.isSent = true;
    inFlight.observer.onSend();
    socket.write(encodeRequest(inFlight.request));
  };

  const connectTimer = startWaitTimer(clock, options.connectTimeoutMs, () =>
    fail(ExchangeFailureCode.NotConnected, 'no connection in time'),
  );

  socket.on('connect', () => {
    isConnected = true;
    connectTimer.cancel();
    write();
  });
  const handleBytes = (bytes: Buffer): void => {
    options.onRead();
    let rest = bytes;
    while (rest.length > 0) {
      if (inFlight === undefined) {
        // No request is in flight, so these bytes cannot be matched to one.
        close();
        return;
      }
      const read = parser.execute(rest);
      if (read.isLeft()) {
        fail(ExchangeFailureCode.Malformed, String(read.extract()));
        return;
      }
      rest = rest.subarray(read.unsafeCoerce());
    }
    if (inFlight === undefined && !isClosed) options.onIdle(connection);
  };
  socket.on('data', (bytes: Buffer) => {
    if (options.reads.tryTake(target.key, bytes.length)) handleBytes(bytes);
    else deferRead(bytes);
  });
  const handleEnd = (): void => {
    if (inFlight === undefined) {
      close();
      return;
    }
    const finished = parser.finish();
    const reason = finished.isLeft()
      ? String(finished.extract())
      : 'connection ended without a response';
    fail(ExchangeFailureCode.BrokenOff, reason);
  };

  socket.on('end', () => {
    if (!parser.isCloseDelimited()) {
      handleEnd();
      return;
    }
    // libuv reports a reset that arrives together with data as a normal end.
    // The error is still pending on the socket; an empty write returns it.
    socket.write(Buffer.alloc(0), error => {
      if (error) fail(ExchangeFailureCode.BrokenOff, error.message);
      else handleEnd();
    });
  });
  socket.on('error', error => {
    // Bytes that wait for their turn arrived before the reset.
    const rest = isWaiting && !isClosed ? (socket.read() as unknown) : null;
    if (rest instanceof Buffer) handleBytes(rest);
    fail(ExchangeFailureCode.BrokenOff, error.message);
  });
  socket.on('close', () =>
    fail(ExchangeFailureCode.BrokenOff, 'connection closed'),
  );

  const connection: Connection = {
    target,
    send: (request, observer) => {
      const started: InFlightExchange = {
        request,
        observer,
        isSent: false,
        isAccepted: false,
        isSkipping: false,
        skippedResponses: 0,
        skippedBytes: 0,
      };
      inFlight = started;
      if (isConnected) write();
      return {
        cancel: () => {
          if (inFlight !== started) return;
          inFlight = undefined;
          close();
        },
        pause: () => {
          if (inFlight !== started) return;
          isPaused = true;
          socket.pause();
        },
        resume: () => {
          if (inFlight !== started) return;
          isPaused = false;
          resumeReading();
        },
      };
    },
    isUsable: nowMs =>
      !isClosed &&
      !isWaiting &&
      isConnected &&
      inFlight === undefined &&
      nowMs - idleSinceMs < idleMs,
    isOpen: () => isConnected && !isClosed && !isWaiting && !isPaused,
    close,
  };
  return connection;
}
