import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createManualClock, createSystemClock} from '@siskinplank/foundation';
import {afterEach, describe, expect, it} from 'vitest';
import {handleCallerErrors} from './caller-errors';
import {createIdleConnections} from './idle-connections';
import {installLingeringClose} from './lingering-close';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const NO_REQUEST = '\u0000\r\n\r\n';
/** More than the kernel buffers of both sides hold. */
const BODY_BYTES = 16_777_216;
/** The kernel buffers are full and the process waits. */
const FILLED_MS = 200;
/** Pause of the slow caller between two reads. */
const READ_PAUSE_MS = 1;
/** Node.js reads no more of a connection with so many unwritten responses. */
const PAUSING_REQUESTS = 3;
/** Longest time for which a connection is read after its close. */
const MAX_LINGER_MS = 5_000;
const HEAD_END = '\r\n\r\n';

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** Starts a server that closes each connection with its first response. */
async function listen(): Promise<number> {
  const started = createServer((_request, response) => {
    response.writeHead(200, {
      connection: 'close',
      'content-length': BODY_BYTES,
    });
    response.end(Buffer.alloc(BODY_BYTES));
  });
  server = started;
  installLingeringClose(started, createSystemClock());
  handleCallerErrors(
    started,
    createIdleConnections(started, createSystemClock()),
  );
  await new Promise<void>(resolve =>
    started.listen(0, '127.0.0.1', () => resolve()),
  );
  const address = started.address();
  return typeof address === 'object' && address ? address.port : 0;
}

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

async function open(port: number): Promise<Socket> {
  const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  socket.on('error', () => undefined);
  await new Promise<void>(resolve => socket.once('connect', resolve));
  return socket.pause();
}

/** Reads with pauses until the connection ends; returns the body's bytes. */
function readSlowly(socket: Socket): Promise<number> {
  return new Promise(resolve => {
    let received = 0;
    let headBytes = 0;
    socket.on('data', (data: Buffer) => {
      if (headBytes === 0) headBytes = data.indexOf(HEAD_END) + HEAD_END.length;
      received += data.length;
      socket.pause();
      setTimeout(() => socket.resume(), READ_PAUSE_MS);
    });
    const end = (): void => {
      socket.destroy();
      resolve(received - headBytes);
    };
    socket.once('end', end);
    socket.once('close', end);
    socket.resume();
  });
}

describe('close with the response', () => {
  it.each([
    ['another request', REQUEST, 0],
    ['several requests', REQUEST.repeat(3), 0],
    ['bytes that are no request', NO_REQUEST, 0],
    ['a late request', REQUEST, FILLED_MS],
    ['late bytes that are no request', NO_REQUEST, FILLED_MS],
  ])(
    'drops nothing of a response that precedes %s',
    async (_, sent, delayMs) => {
      const socket = await open(await listen());
      socket.write(REQUEST);
      await wait(delayMs);
      socket.write(sent);
      await wait(FILLED_MS);
      expect(await readSlowly(socket)).toBe(BODY_BYTES);
    },
  );

  it('drops nothing of a response when it closes with unread requests', async () => {
    const socket = await open(await listen());
    for (let index = 0; index < PAUSING_REQUESTS; index += 1) {
      socket.write(REQUEST);
      await wait(FILLED_MS / 2);
    }
    socket.write(REQUEST);
    await wait(FILLED_MS);
    expect(await readSlowly(socket)).toBe(BODY_BYTES);
  });

  it('drops nothing of a response when its caller sends while it reads', async () => {
    const socket = await open(await listen());
    socket.write(REQUEST);
    await wait(FILLED_MS);
    socket.on('data', () => socket.write('\r\n'));
    expect(await readSlowly(socket)).toBe(BODY_BYTES);
  });
});

describe('close at the idle time-out', () => {
  // A caller repeats a request that must not run twice only if it was not read.
  it('does not read a request that follows it', async () => {
    const port = await listen();
    const started = server as Server;
    started.removeAllListeners('request');
    started.on('request', (_request, response) => void response.end('ok'));
    started.keepAliveTimeout = 1;
    const accepted = once(started, 'connection');
    const socket = await open(port);
    const [connection] = (await accepted) as [Socket];
    const reset = new Promise<string>(resolve =>
      socket.once('error', ({code}: NodeJS.ErrnoException) =>
        resolve(code ?? ''),
      ),
    );
    socket.resume();
    socket.write(REQUEST);
    await once(socket, 'end');
    const {bytesRead} = connection;
    socket.write(REQUEST);
    await wait(FILLED_MS);
    // A reset after the end is reported by the next write.
    socket.write(REQUEST);
    const late = wait(FILLED_MS).then(() => 'none');
    expect(await Promise.race([reset, late])).toMatch(/ECONNRESET|EPIPE/);
    expect(connection.bytesRead).toBe(bytesRead);
  });
});

describe('lingering connections', () => {
  // Guards against descriptors that callers hold for good.
  it('end after a time though their callers do not close', async () => {
    const clock = createManualClock();
    const started = createServer((_request, response) => {
      response.writeHead(200, {connection: 'close'});
      response.end('ok');
    });
    server = started;
    const lingering = installLingeringClose(started, clock);
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    const socket = await open((started.address() as AddressInfo).port);
    socket.resume();
    socket.write(REQUEST);
    await once(socket, 'end');
    clock.runFor(MAX_LINGER_MS - 1);
    await wait(FILLED_MS);
    expect(lingering.count()).toBe(1);
    clock.runFor(1);
    await wait(FILLED_MS);
    expect(lingering.count()).toBe(0);
    socket.destroy();
  });
});
