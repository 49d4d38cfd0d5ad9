import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {afterEach, describe, expect, it} from 'vitest';
import {handleCallerErrors} from './caller-errors';
import {createIdleConnections} from './idle-connections';

const REQUEST = 'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi';
const CHUNKED = 'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked';
const HEADER_TIMEOUT_MS = 60;
const CHECK_PERIOD_MS = 20;
const ANSWER_MS = 300;
const LATE_HEAD = 'POST /b HT';
const NO_REQUEST = '\u0000\r\n\r\n';

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

async function listen(startsAtOnce: boolean): Promise<number> {
  const started = createServer(
    {requestTimeout: 0, connectionsCheckingInterval: CHECK_PERIOD_MS},
    (request, response) => {
      if (startsAtOnce) response.write('begun, ');
      request.resume().on('end', () => {
        setTimeout(() => response.end('done'), ANSWER_MS);
      });
    },
  );
  started.headersTimeout = HEADER_TIMEOUT_MS;
  server = started;
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

/** Returns what the server sends until `until`, or until it closes. */
function sendAndRead(
  port: number,
  sent: string,
  until?: string,
): Promise<string> {
  return new Promise(resolve => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(sent));
    socket.on('data', data => {
      received += String(data);
      if (until !== undefined && received.includes(until)) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
  });
}

describe('input that is no request', () => {
  // A 408 would promise that the first request has not run.
  it.each([
    ['a late head', LATE_HEAD, false],
    ['a late head, begun', LATE_HEAD, true],
    ['bytes that are no request', NO_REQUEST, false],
    ['bytes that are no request, begun', NO_REQUEST, true],
  ])('leaves the request before %s its response', async (_, rest, isBegun) => {
    const port = await listen(isBegun);
    const received = await sendAndRead(port, REQUEST + rest, 'done');
    expect(received).toContain('HTTP/1.1 200 OK');
    expect(received).toContain('done');
    expect(received.split('HTTP/1.1').length).toBe(2);
  });

  it('ends its connection once the request before it is answered', async () => {
    const port = await listen(false);
    const startedAt = process.uptime();
    expect(await sendAndRead(port, REQUEST + NO_REQUEST)).toContain('done');
    const tookMs = (process.uptime() - startedAt) * 1_000;
    expect(tookMs).toBeLessThan(10 * ANSWER_MS);
  });

  // Its upstream would work on for nobody.
  it.each([
    ['a late head', LATE_HEAD],
    ['bytes that are no request', NO_REQUEST],
  ])('does not hide that its caller leaves after %s', async (_, rest) => {
    const port = await listen(false);
    const wasWritten = new Promise<boolean>(resolve =>
      server?.on('request', (_request, response) => {
        response.on('close', () => resolve(response.writableFinished));
      }),
    );
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(REQUEST + rest);
      setTimeout(() => socket.end(), ANSWER_MS / 2);
    });
    socket.on('error', () => undefined);
    expect(await wasWritten).toBe(false);
    socket.destroy();
  });

  it.each([
    ['a late head', LATE_HEAD, '408'],
    ['bytes that are no request', NO_REQUEST, '400'],
    ['a body in broken chunks', `${CHUNKED}\r\n\r\nno size\r\n`, '400'],
  ])('is refused at once: %s', async (_, sent, status) => {
    const port = await listen(false);
    expect(await sendAndRead(port, sent)).toContain(`HTTP/1.1 ${status} `);
  });
});
