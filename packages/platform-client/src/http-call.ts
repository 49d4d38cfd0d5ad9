/** HTTP requests with limits for waits, for the transfer and for its size. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {Pool} from 'undici';
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock, Timer} from '@siskinplank/foundation';
import {rejectMalformedStatus} from '@siskinplank/http-exchange';
import {
  BufferFault,
  createByteAccumulator,
  createReceiveBudget,
  parseJson,
  readStream,
} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import type {NetworkAddress} from '@siskinplank/resources';

/**
 * Largest reply. Values are at most 1 MB; a list contains all objects of a
 * kind, expected to be up to some thousands of small ones.
 */
const MAX_REPLY_BYTES = 64 * 1024 * 1024;
/** Unread bytes of a body, each of which may be a buffer of its own. */
const MAX_UNREAD_BYTES = 16_384;
/** One deep object must not fail the list of all others. */
const MAX_DEPTH = 32_768;
const SOURCE = 'platform';
const EVICTED = 'the reply gave way to other messages';
/** Each pending watch uses a connection; the rest is for short calls. */
const MAX_CONNECTIONS = 16;

/**
 * Longest transfer of a body, as a multiple of the timeout. A list on a slow
 * link takes longer than the timeout, and would not end if it were repeated.
 */
const MAX_TRANSFER_TIMEOUTS = 8;

/** A request with its timeout. */
export interface HttpRequest {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Longest wait for the head of the reply and for more of its body. */
  timeoutMs: number;
  /** Ends the request at once when it aborts. */
  signal?: AbortSignal;
}

/** A complete reply; `body` is parsed JSON, undefined when it is malformed. */
export interface HttpReply {
  status: number;
  body: unknown;
}

/** A request without a complete reply. */
export interface HttpFailure {
  message: string;
  /** True only when the request cannot have reached the platform. */
  isUnsent: boolean;
}

/** Sends requests to one address. */
export interface HttpCaller {
  send(request: HttpRequest): Promise<Either<HttpFailure, HttpReply>>;
  close(): Promise<void>;
}

/** Error codes of connections that were never established. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function describeFailure(error: unknown): HttpFailure {
  const code = (error as {code?: string}).code ?? '';
  return {
    message: `${code} ${String(error)}`,
    isUnsent: UNSENT_CODES.has(code),
  };
}

/**
 * Creates a caller with its own connection pool.
 *
 * @param receiveBudget memory for incomplete replies; by default that of one
 *     largest reply for all calls of this caller.
 */
export function createHttpCaller(
  address: NetworkAddress,
  clock: Clock,
  receiveBudget: ReceiveBudget = createReceiveBudget({
    maxBytes: MAX_REPLY_BYTES,
  }),
): HttpCaller {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  const pool = new Pool(`http://${host}:${address.port}`, {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
  });
  const dispatcher = pool.compose(rejectMalformedStatus);
  return {
    send: async request => {
      const controller = new AbortController();
      const abortRequest = (): void => controller.abort();
      request.signal?.addEventListener('abort', abortRequest);
      const startAbortTimer = (delayMs: number): Timer =>
        startWaitTimer(clock, delayMs, () => controller.abort());
      let timer = startAbortTimer(request.timeoutMs);
      let transferTimer: Timer | undefined;
      let progressAtMs = 0;
      /** Aborts after a pause; a timer for each small chunk would cost more. */
      const checkProgress = (): void => {
        const idleMs = clock.getNowMs() - progressAtMs;
        if (idleMs >= request.timeoutMs) {
          controller.abort();
          return;
        }
        const leftMs = request.timeoutMs - idleMs;
        timer = startWaitTimer(clock, leftMs, checkProgress);
      };
      const accumulator = createByteAccumulator({
        maxBytes: MAX_REPLY_BYTES,
        reservation: receiveBudget.open(SOURCE, () =>
          controller.abort(new Error(EVICTED)),
        ),
      });
      try {
        const reply = await dispatcher.request({
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body,
          signal: controller.signal,
          headersTimeout: 0,
          bodyTimeout: 0,
          highWaterMark: MAX_UNREAD_BYTES,
        });
        transferTimer = startAbortTimer(
          request.timeoutMs * MAX_TRANSFER_TIMEOUTS,
        );
        timer.cancel();
        progressAtMs = clock.getNowMs();
        checkProgress();
        const read = await readStream(reply.body, accumulator, () => {
          progressAtMs = clock.getNowMs();
        });
        if (read.extract() === BufferFault.Evicted) {
          return Left({message: EVICTED, isUnsent: false});
        }
        const body = read
          .chain(bytes => parseJson(bytes.toString(), MAX_DEPTH))
          .toMaybe()
          .extract();
        return Right({status: reply.statusCode, body});
      } catch (error) {
        return Left(describeFailure(error));
      } finally {
        timer.cancel();
        transferTimer?.cancel();
        request.signal?.removeEventListener('abort', abortRequest);
      }
    },
    close: () => pool.destroy(),
  };
}
