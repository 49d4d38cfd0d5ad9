/** Handles what callers send that can't be read as a request. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {IdleConnections} from './idle-connections';

/** Parser errors begin with it. */
const PARSER_ERROR_PREFIX = 'HPE_';
const LATE_HEAD_ERROR = 'ERR_HTTP_REQUEST_TIMEOUT';
const DEFAULT_STATUS_LINE = '400 Bad Request';
const STATUS_LINES: ReadonlyMap<string, string> = new Map([
  [LATE_HEAD_ERROR, '408 Request Timeout'],
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
]);

function refuseInput(socket: Socket, code: string): void {
  const statusLine = STATUS_LINES.get(code) ?? DEFAULT_STATUS_LINE;
  if (socket.writable) {
    socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroySoon();
}

/**
 * Answers the requests that precede what can't be read. Node.js would send its
 * error as the response to the first of them, or end a response that has begun.
 */
export function handleCallerErrors(
  server: Server,
  idle: Pick<IdleConnections, 'closeWhenAnswered'>,
): void {
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const code = error.code ?? '';
    const isInput =
      code === LATE_HEAD_ERROR || code.startsWith(PARSER_ERROR_PREFIX);
    const hasCallerLeft = socket.readableEnded;
    if (!isInput || hasCallerLeft) socket.destroy(error);
    else if (!idle.closeWhenAnswered(socket)) refuseInput(socket, code);
  });
}
