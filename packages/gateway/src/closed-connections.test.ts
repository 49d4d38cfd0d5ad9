import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {ServerResponse} from 'node:http';
import {createSystemClock, createTurnMonitor} from '@siskinplank/foundation';
import type {Logger} from '@siskinplank/foundation';
import {afterEach, describe, expect, it} from 'vitest';
import {createCallerListener} from './caller-listener';
import type {CallerListener} from './caller-listener';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const logger: Logger = {log: () => undefined, withFields: () => logger};
const clock = createSystemClock();
const sockets: Socket[] = [];
let listener: CallerListener;
let port = 0;

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
function findFreePort(): Promise<number> {
  return new Promise(resolve => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const {port: free} = server.address() as AddressInfo;
      server.close(() => resolve(free));
    });
  });
}
async function listen(
  handle: (outgoing: ServerResponse) => void,
): Promise<void> {
  port = await findFreePort();
  listener = createCallerListener({
    settings: {
      caller: {address: {host: '127.0.0.1', port}, maxHeaderBytes: 16_384},
      process: {
        name: 'g',
        failureDomain: 'a',
        region: 'r',
        cpuShare: 1,
        cpuSpeed: 1,
        memoryMb: 256,
      },
    } as never,
    clock,
    logger,
    turns: createTurnMonitor({usualGapMs: 5}),
    onAcceptWait: () => undefined,
  });
  await listener.start((_incoming, outgoing) => handle(outgoing));
  listener.applyLimits({
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 30_000,
    idleTimeoutMs: 30_000,
  });
}
async function open(): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  sockets.push(socket);
  socket.on('error', () => undefined);
  await new Promise<void>(resolve => socket.once('connect', resolve));
  return socket;
}
function collect(socket: Socket): {bytes: number; ended: Promise<string>} {
  const state = {bytes: 0, ended: Promise.resolve('')};
  state.ended = new Promise(resolve => {
    socket.on('data', data => void (state.bytes += data.length));
    socket.once('end', () => resolve('end'));
    socket.once('error', error => resolve(error.message));
    socket.once('close', () => resolve('close'));
  });
  return state;
}
afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  listener.closeAllConnections();
});

describe('connections that a stop closes', () => {
  const RESPONSE_BYTES = 3_000_000;

  const receive = async (socket: Socket): Promise<number> => {
    const received = collect(socket);
    socket.resume();
    await Promise.race([received.ended, wait(1_500)]);
    return received.bytes;
  };

  // Guards against a reset that drops the end of a response that is being sent.
  it('bring long responses whole though the caller sends on', async () => {
    await listen(outgoing => outgoing.end(Buffer.alloc(RESPONSE_BYTES)));
    const socket = (await open()).pause();
    socket.write(REQUEST);
    await wait(800);
    await listener.closeIdle();
    socket.write(REQUEST);
    await wait(100);
    expect(await receive(socket)).toBeGreaterThanOrEqual(RESPONSE_BYTES);
  });

  it('bring last responses whole though the caller sends on', async () => {
    await listen(outgoing => {
      outgoing.shouldKeepAlive = false;
      outgoing.end(Buffer.alloc(RESPONSE_BYTES));
    });
    const socket = (await open()).pause();
    socket.write(REQUEST);
    await wait(800);
    listener.endConnections();
    socket.write(REQUEST);
    await wait(100);
    expect(await receive(socket)).toBeGreaterThanOrEqual(RESPONSE_BYTES);
  });
});
