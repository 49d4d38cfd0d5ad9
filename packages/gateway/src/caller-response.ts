/** Writes one response to a caller; a partial one never looks complete. */
import type {ServerResponse} from 'node:http';
import type {ResponseHead} from '@siskinplank/http-exchange';

/** The response side of one caller request. */
export interface CallerResponse {
  /** Sends a response of the gateway itself, without a body. */
  sendStatus(status: number, headers: readonly string[]): void;
  /** Sends an upstream's head and complete body. */
  sendWhole(head: ResponseHead, body: Buffer): void;
  /**
   * Sends an upstream's head; the body follows in chunks.
   *
   * @param keepsLength whether the upstream's length applies to the body, which
   *     it does not when another upstream may continue it.
   */
  startStream(head: ResponseHead, keepsLength: boolean): void;
  /** Writes a chunk; false asks the caller to pause until `onDrain`. */
  writeChunk(chunk: Buffer): boolean;
  endStream(): void;
  /** Closes the connection, so that the caller sees an incomplete response. */
  abort(): void;
  /** Whether the head was written. */
  hasStarted(): boolean;
  onDrain(callback: () => void): void;
}

/** Hop-by-hop headers, which Node sets for the caller's connection. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

function copyHeaders(head: ResponseHead, withLength: boolean): string[] {
  const headers: string[] = [];
  for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
    const name = head.rawHeaders[index].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name)) continue;
    if (name === 'content-length' && !withLength) continue;
    headers.push(head.rawHeaders[index], head.rawHeaders[index + 1]);
  }
  return headers;
}

/**
 * Wraps a response.
 *
 * @param shouldClose whether to close the caller's connection after it.
 */
export function createCallerResponse(
  response: ServerResponse,
  shouldClose: () => boolean,
): CallerResponse {
  response.sendDate = false;

  const writeHead = (
    status: number,
    reason: string | undefined,
    headers: string[],
  ): void => {
    if (shouldClose()) response.shouldKeepAlive = false;
    if (reason === undefined) response.writeHead(status, headers);
    else response.writeHead(status, reason, headers);
  };

  return {
    sendStatus: (status, headers) => {
      if (response.headersSent || response.destroyed) return;
      writeHead(status, undefined, [...headers, 'Content-Length', '0']);
      response.end();
    },
    sendWhole: (head, body) => {
      if (response.headersSent || response.destroyed) return;
      const headers = copyHeaders(head, false);
      writeHead(head.status, head.reason, [
        ...headers,
        'Content-Length',
        String(head.contentLength ?? body.length),
      ]);
      response.end(body);
    },
    startStream: (head, keepsLength) => {
      if (response.headersSent || response.destroyed) return;
      writeHead(head.status, head.reason, copyHeaders(head, keepsLength));
    },
    writeChunk: chunk => response.write(chunk),
    endStream: () => void response.end(),
    abort: () => void response.destroy(),
    hasStarted: () => response.headersSent,
    onDrain: callback => void response.on('drain', callback),
  };
}
