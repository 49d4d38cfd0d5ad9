/** An upstream that answers each request with scripted bytes. */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** A request as the upstream received it. */
export interface ScriptedRequest {
  attemptId: string;
  lastEventId: number;
  /** Number of earlier requests on the same connection. */
  earlierOnConnection: number;
  socket: Socket;
}

/** A running upstream. */
export interface ScriptedUpstream {
  readonly id: string;
  readonly port: number;
  /** Requests other than reports, in order. */
  readonly requests: ScriptedRequest[];
  /** Sets what answers the requests. */
  setScript(script: (request: ScriptedRequest) => void): void;
  close(): Promise<void>;
}

const HEAD_END = '\r\n\r\n';

function readHeader(head: string, name: string): string {
  const line = head
    .split('\r\n')
    .find(text => text.toLowerCase().startsWith(`${name}:`));
  return line?.slice(name.length + 1).trim() ?? '';
}

/** Starts an upstream whose reports list `models`. */
export async function startScriptedUpstream(
  id: string,
  models: readonly string[],
): Promise<ScriptedUpstream> {
  const requests: ScriptedRequest[] = [];
  const sockets = new Set<Socket>();
  let script: (request: ScriptedRequest) => void = () => undefined;

  const answerReport = (socket: Socket): void => {
    const body = JSON.stringify({
      models: models.map(name => ({name, version: 1, adapters: []})),
      sequence: 0,
    });
    socket.write(
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}${HEAD_END}${body}`,
    );
  };

  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let received = '';
    let count = 0;
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      for (;;) {
        const end = received.indexOf(HEAD_END);
        if (end < 0) return;
        const head = received.slice(0, end);
        const length = Number(readHeader(head, 'content-length'));
        const total = end + HEAD_END.length + length;
        if (received.length < total) return;
        received = received.slice(total);
        if (head.startsWith('GET /-/report')) {
          answerReport(socket);
          continue;
        }
        const request: ScriptedRequest = {
          attemptId: readHeader(head, 'x-attempt-id'),
          lastEventId: Number(readHeader(head, 'last-event-id')),
          earlierOnConnection: count,
          socket,
        };
        count += 1;
        requests.push(request);
        script(request);
      }
    });
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  return {
    id,
    port: (server.address() as AddressInfo).port,
    requests,
    setScript: next => {
      script = next;
    },
    close: () =>
      new Promise(resolve => {
        for (const socket of sockets) socket.destroy();
        server.close(() => resolve());
      }),
  };
}
