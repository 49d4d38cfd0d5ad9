import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
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
