import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createSystemClock, createTurnMonitor} from '@siskinplank/foundation';
import type {LogEvent, Logger} from '@siskinplank/foundation';
import {BYTES_UNANSWERED} from './events';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createCallerListener} from './caller-listener';
import type {CallerListener} from './caller-listener';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const SHORT_MS = 100;
const LONG_MS = 10_000;
/** What Node.js adds to the idle timeout. */
const IDLE_MARGIN_MS = 1_000;
/** Longer than a connection rests before it is closed. */
const REST_MS = 700;

const logged: Array<[LogEvent, object | undefined]> = [];
const logger: Logger = {
  log: (event, fields) => void logged.push([event, fields]),
  withFields: () => logger,
};
let listener: CallerListener | undefined;
let socket: Socket | undefined;

beforeEach(() => void logged.splice(0));

afterEach(async () => {
  socket?.destroy();
  await listener?.close();
});

function findFreePort(): Promise<number> {
  return new Promise(resolve => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

function wait(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Sends a request; resolves to the response or to how the connection ended. */
function send(on: Socket): Promise<string> {
  if (on.readableEnded) return Promise.resolve('closed');
  return new Promise(resolve => {
    on.once('data', data => resolve(String(data)));
    on.once('error', error => resolve(error.message));
    on.once('close', () => resolve('closed'));
    on.write(REQUEST);
  });
}

async function openConnection(): Promise<Socket> {
  const port = await findFreePort();
  const started = createCallerListener({
    settings: {
      caller: {address: {host: '127.0.0.1', port}, maxHeaderBytes: 16_384},
      process: {
        name: 'gateway-1',
        failureDomain: 'a',
        region: 'default',
        cpuShare: 1,
        cpuSpeed: 1,
        memoryMb: 256,
      },
    },
    clock: createSystemClock(),
    logger,
    turns: createTurnMonitor({usualGapMs: 5}),
    onAcceptWait: () => undefined,
  });
  listener = started;
  await started.start((_incoming, outgoing) => outgoing.end('ok'));
  const opened = connect(port, '127.0.0.1');
  socket = opened;
  await new Promise<void>(resolve => opened.once('connect', resolve));
  return opened;
}

function applyIdleTimeout(idleTimeoutMs: number): void {
  listener?.applyLimits({
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    headerTimeoutMs: 3_000,
    idleTimeoutMs,
  });
}

describe('listener for callers', () => {
  it('keeps a connection open that was idle when the idle timeout was raised', async () => {
    const opened = await openConnection();
    applyIdleTimeout(SHORT_MS);
    expect(await send(opened)).toContain('200 OK');
    applyIdleTimeout(LONG_MS);
    await wait(SHORT_MS + IDLE_MARGIN_MS + SHORT_MS);
    expect(await send(opened)).toContain('200 OK');
  });

  it('keeps a connection open that was idle when the idle timeout was lowered', async () => {
    const opened = await openConnection();
    applyIdleTimeout(LONG_MS);
    expect(await send(opened)).toContain('200 OK');
    applyIdleTimeout(SHORT_MS);
    await wait(SHORT_MS + IDLE_MARGIN_MS + SHORT_MS);
    expect(await send(opened)).toContain('200 OK');
  });

  it('logs a request that crossed the close of its connection', async () => {
    const opened = await openConnection();
    applyIdleTimeout(LONG_MS);
    expect(await send(opened)).toContain('200 OK');
    opened.pause();
    listener?.endConnections();
    opened.write(REQUEST);
    await wait(SHORT_MS);
    opened.resume();
    await vi.waitFor(() =>
      expect(logged).toEqual([
        [
          BYTES_UNANSWERED,
          {bytes: REQUEST.length, closedAgoMs: expect.any(Number)},
        ],
      ]),
    );
  });

  // A caller repeats a request that must not run twice only if it was not read.
  it('leaves a request unread that crosses the close of idle connections', async () => {
    const opened = await openConnection();
    applyIdleTimeout(LONG_MS);
    expect(await send(opened)).toContain('200 OK');
    await wait(REST_MS);
    await listener?.closeIdle();
    expect(await send(opened)).not.toContain('200 OK');
    await listener?.close();
    expect(logged).toEqual([]);
  });

  it('leaves a request unread that crosses the last close of connections', async () => {
    const opened = await openConnection();
    await listener?.readArrived();
    listener?.endConnections();
    expect(await send(opened)).not.toContain('200 OK');
    await listener?.close();
    expect(logged).toEqual([]);
  });

  it('answers a request that follows a response closely as it closes idle connections', async () => {
    const opened = await openConnection();
    applyIdleTimeout(LONG_MS);
    expect(await send(opened)).toContain('200 OK');
    await listener?.closeIdle();
    expect(await send(opened)).toContain('200 OK');
  });
});
