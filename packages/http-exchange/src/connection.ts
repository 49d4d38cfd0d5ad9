/** One connection to an upstream; it carries one request at a time. */
import {connect} from 'node:net';
import type {Clock} from '@siskinplank/foundation';
import {createResponseParser} from './response-parser';
import type {ResponseHead} from './response-parser';
import {ExchangeFailureCode, HeadVerdict} from './types';
import type {
  Exchange,
  ExchangeObserver,
  ExchangeRequest,
  ExchangeTarget,
} from './types';

/** What a connection needs of its pool. */
export interface ConnectionOptions {
  target: ExchangeTarget;
  /** Longest wait for the connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Time for which an unused connection is kept without a word of the peer. */
  defaultIdleMs: number;
  clock: Clock;
  /** The connection can take another request. */
  onIdle(connection: Connection): void;
  onClose(connection: Connection): void;
}

/** A connection, from its opening on. */
export interface Connection {
  readonly target: ExchangeTarget;
  /** Sends a request; only when none is in flight. */
  send(request: ExchangeRequest, observer: ExchangeObserver): Exchange;
  /** Whether an unused connection can be expected to be open at `nowMs`. */
  isUsable(nowMs: number): boolean;
  close(): void;
}

/**
 * Time before the announced end of an unused connection from which on it is
 * not used any more, so that a request does not cross the upstream's close.
 */
const IDLE_MARGIN_MS = 500;
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

interface Flight {
  request: ExchangeRequest;
  observer: ExchangeObserver;
  isSent: boolean;
  /** Whether the accepted response is being read. */
  isAccepted: boolean;
  /** Whether the response being read belongs to an earlier request. */
  isSkipping: boolean;
}

/** Opens a connection. */
export function createConnection(options: ConnectionOptions): Connection {
  const {target, clock} = options;
  const socket = connect({
    host: target.host,
    port: target.port,
    noDelay: true,
    allowHalfOpen: true,
  });
  let isConnected = false;
  let isClosed = false;
  let servedCount = 0;
  let flight: Flight | undefined;
  let keepsAlive = true;
  let idleMs = options.defaultIdleMs;
  let idleSinceMs = 0;

  const close = (): void => {
    if (isClosed) return;
    isClosed = true;
    connectTimer.cancel();
    socket.destroy();
    options.onClose(connection);
  };

  const fail = (code: ExchangeFailureCode, reason: string): void => {
    const failed = flight;
    flight = undefined;
    close();
    if (failed === undefined) return;
    failed.observer.onFailure({
      code: failed.isSent ? code : ExchangeFailureCode.NotConnected,
      reason,
      wasReused: servedCount > 0,
    });
  };

  const parser = createResponseParser(
    {
      onHead: head => {
        if (flight === undefined) return;
        keepsAlive = head.keepsAlive;
        idleMs = parseIdleMs(head, options.defaultIdleMs);
        const verdict = flight.observer.onHead(head);
        if (verdict === HeadVerdict.Accept) flight.isAccepted = true;
        else if (verdict === HeadVerdict.Skip) flight.isSkipping = true;
        else fail(ExchangeFailureCode.Malformed, 'unusable response');
      },
      onBody: piece => {
        if (flight?.isAccepted) flight.observer.onData(piece);
      },
      onEnd: () => {
        const ended = flight;
        if (ended === undefined) return;
        if (ended.isSkipping) {
          ended.isSkipping = false;
          return;
        }
        flight = undefined;
        servedCount += 1;
        // A response that comes before the whole request was written leaves
        // the rest of the body on the way.
        if (!keepsAlive || socket.writableLength > 0) close();
        else idleSinceMs = clock.getNowMs();
        ended.observer.onEnd();
      },
    },
    () => flight?.request.method === 'HEAD',
  );

  const write = (): void => {
    if (flight === undefined || flight.isSent) return;
    flight.isSent = true;
    flight.observer.onSend();
    socket.write(encodeRequest(flight.request));
  };

  const connectTimer = clock.startTimer(options.connectTimeoutMs, () =>
    fail(ExchangeFailureCode.NotConnected, 'no connection in time'),
  );

  socket.on('connect', () => {
    isConnected = true;
    connectTimer.cancel();
    write();
  });
  socket.on('data', (bytes: Buffer) => {
    let rest = bytes;
    while (rest.length > 0) {
      if (flight === undefined) {
        // Nothing was asked: the bytes belong to no request.
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
    if (flight === undefined && !isClosed) options.onIdle(connection);
  });
  const handleEnd = (): void => {
    if (flight === undefined) {
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
    // libuv reports a reset that arrives together with data as an orderly end.
    // The error is still pending at the socket, and a write of nothing shows it.
    socket.write(Buffer.alloc(0), error => {
      if (error) fail(ExchangeFailureCode.BrokenOff, error.message);
      else handleEnd();
    });
  });
  socket.on('error', error =>
    fail(ExchangeFailureCode.BrokenOff, error.message),
  );
  socket.on('close', () =>
    fail(ExchangeFailureCode.BrokenOff, 'connection closed'),
  );

  const connection: Connection = {
    target,
    send: (request, observer) => {
      const started: Flight = {
        request,
        observer,
        isSent: false,
        isAccepted: false,
        isSkipping: false,
      };
      flight = started;
      if (isConnected) write();
      return {
        cancel: () => {
          if (flight !== started) return;
          flight = undefined;
          close();
        },
        pause: () => void (flight === started && socket.pause()),
        resume: () => void (flight === started && socket.resume()),
      };
    },
    isUsable: nowMs =>
      !isClosed &&
      isConnected &&
      flight === undefined &&
      nowMs - idleSinceMs < idleMs,
    close,
  };
  return connection;
}
