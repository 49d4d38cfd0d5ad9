/** HTTP requests with limits for waits, for the transfer and for its size. */
import {Either, Left, Right} from 'purify-ts';
import {Pool} from 'undici';
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock, Timer} from '@siskinplank/foundation';
import type {NetworkAddress} from '@siskinplank/resources';

/**
 * Largest reply. Values are at most 1 MB; a list contains all objects of a
 * kind, expected to be up to some thousands of small ones.
 */
const MAX_REPLY_BYTES = 64 * 1024 * 1024;
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

async function readBody(
  body: AsyncIterable<Buffer>,
  onProgress: () => void,
): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    onProgress();
    size += chunk.length;
    if (size > MAX_REPLY_BYTES) return '';
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Creates a caller with its own connection pool. */
export function createHttpCaller(
  address: NetworkAddress,
  clock: Clock,
): HttpCaller {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  const pool = new Pool(`http://${host}:${address.port}`, {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
  });
  return {
    send: async request => {
      const controller = new AbortController();
      const startAbortTimer = (delayMs: number): Timer =>
        startWaitTimer(clock, delayMs, () => controller.abort());
      let timer = startAbortTimer(request.timeoutMs);
      let transferTimer: Timer | undefined;
      try {
        const reply = await pool.request({
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body,
          signal: controller.signal,
          headersTimeout: 0,
          bodyTimeout: 0,
        });
        transferTimer = startAbortTimer(
          request.timeoutMs * MAX_TRANSFER_TIMEOUTS,
        );
        const text = await readBody(reply.body, () => {
          timer.cancel();
          timer = startAbortTimer(request.timeoutMs);
        });
        const body = Either.encase(() => JSON.parse(text) as unknown).orDefault(
          undefined,
        );
        return Right({status: reply.statusCode, body});
      } catch (error) {
        return Left(describeFailure(error));
      } finally {
        timer.cancel();
        transferTimer?.cancel();
      }
    },
    close: () => pool.destroy(),
  };
}
