import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {afterEach, describe, expect, it} from 'vitest';
import {createHttpCaller} from './http-call';
import type {HttpCaller} from './http-call';

const TIMEOUT_MS = 800;

describe('timeouts of HTTP calls', () => {
  const clock = createSystemClock();
  let server: Server | undefined;
  let caller: HttpCaller | undefined;

  afterEach(async () => {
    await caller?.close();
    server?.closeAllConnections();
    server?.close();
  });

  const callServer = async (
    reply: (response: ServerResponse) => Promise<void>,
  ) => {
    const started = createServer((_request, response) => void reply(response));
    server = started;
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = started.address() as AddressInfo;
    caller = createHttpCaller({host: '127.0.0.1', port}, clock);
    const startedAtMs = clock.getNowMs();
    const result = await caller.send({
      method: 'GET',
      path: '/',
      timeoutMs: TIMEOUT_MS,
    });
    return {result, tookMs: clock.getNowMs() - startedAtMs};
  };

  it('reads a reply that arrives steadily for longer than the timeout', async () => {
    const {result} = await callServer(async response => {
      response.write('[1');
      for (let part = 0; part < 12; part += 1) {
        await clock.waitMs(TIMEOUT_MS / 8);
        response.write(',1');
      }
      response.end(']');
    });
    expect(result.map(({body}) => body).extract()).toEqual(Array(13).fill(1));
  });

  // Guards against a reply without a valid status, and against a write that
  // counts as unsent.
  it.each(['000', '099', '101', '600', '999', '20', '2000', '+20', 'x'])(
    'takes the status %s for no reply',
    async status => {
      const {result} = await callServer(async response => {
        response.socket?.write(
          `HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`,
        );
      });
      const {isUnsent, message} = result.swap().unsafeCoerce();
      expect(isUnsent).toBe(false);
      expect(message).not.toContain('assert');
    },
  );

  it('gives up on a reply that stops', async () => {
    const {result, tookMs} = await callServer(async response => {
      response.write('[1');
    });
    expect(result.isLeft()).toBe(true);
    expect(tookMs).toBeLessThan(TIMEOUT_MS * 4);
  });

  it('gives up on a reply without end', async () => {
    const {result} = await callServer(async response => {
      while (!response.destroyed) {
        response.write('[1');
        await clock.waitMs(TIMEOUT_MS / 8);
      }
    });
    expect(result.isLeft()).toBe(true);
  });
});

describe('long replies to HTTP calls', () => {
  const clock = createSystemClock();
  /** Longest delay of other work. */
  const MAX_TURN_MS = 120;
  let server: Server | undefined;
  let caller: HttpCaller | undefined;

  afterEach(async () => {
    await caller?.close();
    server?.closeAllConnections();
    server?.close();
  });

  const startCaller = async (
    reply: (response: ServerResponse) => void,
    receiveBudget?: ReceiveBudget,
  ): Promise<HttpCaller> => {
    const started = createServer((_request, response) => reply(response));
    server = started;
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = started.address() as AddressInfo;
    caller = createHttpCaller({host: '127.0.0.1', port}, clock, receiveBudget);
    return caller;
  };

  it.each([
    ['in one-byte chunks', '1\r\nx\r\n'.repeat(500_000) + '0\r\n\r\n'],
    ['of nested values', `3d0900\r\n${'['.repeat(4_000_000)}\r\n0\r\n\r\n`],
  ])('do not hold up other work: %s', async (_name, text) => {
    const started = await startCaller(response => {
      response.socket?.write(
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${text}`,
      );
    });
    let isDone = false;
    const sent = started
      .send({method: 'GET', path: '/', timeoutMs: 5_000})
      .finally(() => {
        isDone = true;
      });
    let longestMs = 0;
    let formerMs = clock.getNowMs();
    while (!isDone) {
      await clock.waitMs(1);
      const nowMs = clock.getNowMs();
      longestMs = Math.max(longestMs, nowMs - formerMs);
      formerMs = nowMs;
    }
    expect(longestMs).toBeLessThan(MAX_TURN_MS);
    expect((await sent).map(({body}) => body).extract()).toBeUndefined();
  });

  it('give way to other messages of the process', async () => {
    const receiveBudget = createReceiveBudget({maxBytes: 100_000});
    const started = await startCaller(
      response => void response.end(' '.repeat(300_000)),
      receiveBudget,
    );
    const sent = await started.send({
      method: 'GET',
      path: '/',
      timeoutMs: TIMEOUT_MS,
    });
    expect(sent.isLeft()).toBe(true);
    expect(receiveBudget.getReadings().usedBytes).toBe(0);
  });
});
