/** HTTP requests with a total timeout and a limited reply size. */
import {Either, Left, Right} from 'purify-ts';
import {Pool} from 'undici';
import type {Clock} from '@siskinplank/foundation';
import type {NetworkAddress} from '@siskinplank/resources';

/**
 * Largest reply. Values are at most 1 MB; a list contains all objects of a
 * kind, expected to be up to some thousands of small ones.
 */
const MAX_REPLY_BYTES = 64 * 1024 * 1024;
/** Each pending watch uses a connection; the rest is for short calls. */
const MAX_CONNECTIONS = 16;

/** A request with its total timeout. */
export interface HttpRequest {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string;
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

async function readBody(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
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
      const timer = clock.startTimer(request.timeoutMs, () =>
        controller.abort(),
      );
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
        const text = await readBody(reply.body);
        const body = Either.encase(() => JSON.parse(text) as unknown).orDefault(
          undefined,
        );
        return Right({status: reply.statusCode, body});
      } catch (error) {
        return Left(describeFailure(error));
      } finally {
        timer.cancel();
      }
    },
    close: () => pool.destroy(),
  };
}
