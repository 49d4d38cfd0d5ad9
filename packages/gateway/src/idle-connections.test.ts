import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {afterEach, describe, expect, it} from 'vitest';
import {createIdleConnections} from './idle-connections';
import type {IdleConnections} from './idle-connections';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const BLOCKED_MS = 60;
/** What Node.js adds to the idle time-out. */
const IDLE_MARGIN_MS = 1_000;
/** More than the socket buffers of both sides hold. */
const LONG_BODY_BYTES = 16_777_216;

let server: Server | undefined;
let idle: IdleConnections | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

async function listen(body: string | Buffer = 'ok'): Promise<number> {
  const started = createServer((_request, response) => {
    response.writeHead(200, {'content-length': body.length});
    response.end(body);
  });
  server = started;
  idle = createIdleConnections(started, createSystemClock());
  await new Promise<void>(resolve =>
    started.listen(0, '127.0.0.1', () => resolve()),
  );
  const address = started.address();
  return typeof address === 'object' && address ? address.port : 0;
}

function readResponse(socket: Socket): Promise<string> {
  return new Promise(resolve => {
    socket.once('data', data => resolve(String(data)));
    socket.once('error', error => resolve(error.message));
    socket.once('close', () => resolve('closed'));
  });
}

/** Reads `byteCount` bytes, or what arrives before the connection closes. */
function readBytes(socket: Socket, byteCount: number): Promise<number> {
  return new Promise(resolve => {
    let received = 0;
    socket.on('data', data => {
      received += data.length;
      if (received >= byteCount) resolve(received);
    });
    socket.once('error', () => resolve(received));
    socket.once('close', () => resolve(received));
    socket.resume();
  });
}

/** Blocks the event loop, as a lack of processor time does. */
function pauseLoop(forMs = BLOCKED_MS): void {
  const endsAtMs = process.uptime() * 1_000 + forMs;
  while (process.uptime() * 1_000 < endsAtMs);
}

describe('closing of idle connections', () => {
  // The event loop accepts one connection in each turn, and none in the turn in
  // which the closing begins. The first test, as later ones begin with a poll.
  it('serves the requests of all connections that wait to be accepted', async () => {
    const port = await listen();
    const sockets: Socket[] = [];
    const answers: Array<Promise<string>> = [];
    for (let index = 0; index < 12; index += 1) {
      const socket = connect(port, '127.0.0.1');
      socket.write(REQUEST);
      sockets.push(socket);
      answers.push(readResponse(socket));
    }
    pauseLoop();
    const closed = idle?.close();
    for (const answer of answers) expect(await answer).toContain('200 OK');
    for (const socket of sockets) socket.destroy();
    await closed;
  });

  // Under load, requests arrive on keep-alive connections before a stopping
  // process has read them. Closing those connections would lose the requests.
  it.each([
    ['closes idle connections', 'closeIdle'],
    ['stops listening', 'close'],
  ] as const)(
    'serves a request that arrived before it %s',
    async (_name, close) => {
      const port = await listen();
      const socket = connect(port, '127.0.0.1');
      await new Promise<void>(resolve => socket.once('connect', resolve));
      socket.write(REQUEST);
      expect(await readResponse(socket)).toContain('200 OK');
      const answer = readResponse(socket);
      const closed = new Promise<void>(resolve => {
        // Timers run before sockets are read.
        setTimeout(() => {
          if (idle !== undefined) void idle[close]().then(resolve);
        }, BLOCKED_MS / 2);
      });
      socket.write(REQUEST);
      pauseLoop();
      expect(await answer).toContain('200 OK');
      socket.destroy();
      await closed;
    },
  );

  // Node.js takes a connection for idle as soon as its response has ended,
  // though a caller that reads slowly has not received all of it.
  it.each([
    ['closes idle connections', 'closeIdle'],
    ['stops listening', 'close'],
  ] as const)(
    'writes the rest of ended responses when it %s',
    async (_name, close) => {
      const port = await listen(Buffer.alloc(LONG_BODY_BYTES));
      const socket = connect(port, '127.0.0.1').pause();
      await new Promise<void>(resolve => socket.once('connect', resolve));
      socket.write(REQUEST + REQUEST);
      await new Promise<void>(resolve => setTimeout(resolve, BLOCKED_MS));
      const closed = idle?.[close]();
      await new Promise<void>(resolve => setTimeout(resolve, BLOCKED_MS));
      const received = readBytes(socket, 2 * LONG_BODY_BYTES);
      expect(await received).toBeGreaterThan(2 * LONG_BODY_BYTES);
      socket.destroy();
      await closed;
    },
  );

  // Timers run before sockets are read.
  it.each([
    ['while the event loop is late', BLOCKED_MS],
    ['after it is lowered', 10 * IDLE_MARGIN_MS],
  ])(
    'serves a request that arrived before the idle time-out %s',
    async (_name, timeoutMs) => {
      const port = await listen();
      const started = server as Server;
      started.keepAliveTimeout = timeoutMs;
      const socket = connect(port, '127.0.0.1');
      await new Promise<void>(resolve => socket.once('connect', resolve));
      socket.write(REQUEST);
      expect(await readResponse(socket)).toContain('200 OK');
      started.keepAliveTimeout = BLOCKED_MS;
      const answer = readResponse(socket);
      socket.write(REQUEST);
      pauseLoop(2 * IDLE_MARGIN_MS);
      expect(await answer).toContain('200 OK');
      socket.destroy();
    },
  );

  it('closes a connection at its idle time-out', async () => {
    const port = await listen();
    (server as Server).keepAliveTimeout = BLOCKED_MS;
    const socket = connect(port, '127.0.0.1');
    await new Promise<void>(resolve => socket.once('connect', resolve));
    socket.write(REQUEST);
    expect(await readResponse(socket)).toContain('200 OK');
    expect(await readResponse(socket)).toBe('closed');
  });

  it('closes a connection once its request is answered after closeIdle', async () => {
    const started = createServer((_request, response) => {
      setTimeout(() => response.end('ok'), BLOCKED_MS);
    });
    server = started;
    const connections = createIdleConnections(started, createSystemClock());
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    const address = started.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', data => {
      received += String(data);
    });
    const closed = new Promise<string>(resolve =>
      socket.once('close', () => resolve('closed')),
    );
    socket.write(REQUEST);
    await new Promise<void>(resolve => setTimeout(resolve, BLOCKED_MS / 2));
    await connections.closeIdle();
    const late = new Promise<string>(resolve =>
      setTimeout(() => resolve('open'), 2_000),
    );
    expect(await Promise.race([closed, late])).toBe('closed');
    expect(received).toContain('200 OK');
  });

  it('closes a connection whose body was read after its response', async () => {
    const started = createServer((request, response) => {
      response.writeHead(401, {'content-length': 0});
      response.end();
      request.resume();
    });
    server = started;
    const connections = createIdleConnections(started, createSystemClock());
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    const address = started.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    const socket = connect(port, '127.0.0.1');
    const closed = new Promise<string>(resolve =>
      socket.once('close', () => resolve('closed')),
    );
    const refused = readResponse(socket);
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n');
    expect(await refused).toContain('401');
    socket.write('0123456789');
    await new Promise<void>(resolve => setTimeout(resolve, BLOCKED_MS));
    await connections.closeIdle();
    const late = new Promise<string>(resolve =>
      setTimeout(() => resolve('open'), 2_000),
    );
    expect(await Promise.race([closed, late])).toBe('closed');
  });
});
