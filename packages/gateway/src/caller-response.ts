/** Writes one response to a caller, so that a partial one never looks whole. */
import type {ServerResponse} from 'node:http';
import type {ResponseHead} from '@siskinplank/http-exchange';

/** The response side of one caller request. */
export interface CallerResponse {
  /** Answers at once with an own status and no body. */
  sendStatus(status: number, headers: readonly string[]): void;
  /** Answers with an upstream's head and whole body. */
  sendWhole(head: ResponseHead, body: Buffer): void;
  /** Starts an upstream's response whose body follows in pieces. */
  startStream(head: ResponseHead): void;
  /** Writes a piece; false asks to pause until `onDrain`. */
  writeChunk(piece: Buffer): boolean;
  endStream(): void;
  /** Closes the connection so that the response is seen as broken off. */
  abort(): void;
  /** Whether a head was written. */
  hasStarted(): boolean;
  onDrain(callback: () => void): void;
}

/** Headers of one hop, which the caller's connection sets anew. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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
    if (HOP_HEADERS.has(name)) continue;
    if (name === 'content-length' && !withLength) continue;
    headers.push(head.rawHeaders[index], head.rawHeaders[index + 1]);
  }
  return headers;
}

/**
 * Wraps a response.
 *
 * @param shouldClose whether the caller's connection is to end after it.
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
    startStream: head => {
      if (response.headersSent || response.destroyed) return;
      writeHead(head.status, head.reason, copyHeaders(head, true));
    },
    writeChunk: piece => response.write(piece),
    endStream: () => void response.end(),
    abort: () => void response.destroy(),
    hasStarted: () => response.headersSent,
    onDrain: callback => void response.on('drain', callback),
  };
}
