import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import {afterEach, describe, expect, it} from 'vitest';
import {OrderAnswer, createEngineClient} from './engine-client';
import type {EngineClient} from './engine-client';

const clock = createSystemClock();
/** Twice the timeout of an engine call. */
const MAX_CALL_MS = 4_000;
const TIMEOUT_MS = 20_000;
const STATUS = {
  totalMemoryMiB: 1,
  usedMemoryMiB: 0,
  models: [],
  adapters: [],
  reportedAtMs: 0,
  generation: 1,
};

describe('engine client', () => {
  let server: Server | undefined;
  let client: EngineClient | undefined;
  const budget = createReceiveBudget({maxBytes: 33_554_432});

  afterEach(async () => {
    await client?.close();
    server?.closeAllConnections();
    server?.close();
  });

  const startClient = async (
    answer: (response: ServerResponse) => void,
  ): Promise<EngineClient> => {
    const started = createServer((_request, response) => {
      response.on('error', () => undefined);
      answer(response);
    });
    server = started;
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = started.address() as AddressInfo;
    client = createEngineClient({host: '127.0.0.1', port}, budget);
    return client;
  };

  /** Returns the sent bytes when the call ends, undefined if it does not. */
  const callEngine = async (
    status: number,
    size: number,
    periodMs: number,
  ): Promise<number | undefined> => {
    let sentBytes = 0;
    const engine = await startClient(response => {
      response.writeHead(status);
      const send = (): void => {
        if (response.destroyed) return;
        sentBytes += size;
        response.write(Buffer.alloc(size, ' '));
        clock.startTimer(periodMs, send);
      };
      send();
    });
    const ended = engine.fetchStatus().then(outcome => {
      expect(outcome.isLeft()).toBe(true);
      return sentBytes;
    });
    return Promise.race([
      ended,
      clock.waitMs(MAX_CALL_MS).then(() => undefined),
    ]);
  };

  // Guards against a status without end, which would use up the memory.
  it.each([200, 500])(
    'gives up an endless answer with status %i',
    async status => {
      const sentBytes = await callEngine(status, 200_000, 1);
      expect(sentBytes).toBeLessThan(16_000_000);
      expect(budget.getReadings().usedBytes).toBe(0);
    },
    TIMEOUT_MS,
  );

  // Guards against calls that never end, after which no status is fetched.
  it.each([200, 500])(
    'gives up an answer that arrives byte by byte with status %i',
    async status => {
      expect(await callEngine(status, 1, 100)).toBeDefined();
    },
    TIMEOUT_MS,
  );

  // Guards against a failure of this process as the reason that is logged, and
  // against an order that counts as rejected though the engine may have it.
  it.each(['000', '099', '101', '600', '999', '20', '2000', '+20', 'x'])(
    'takes the status %s for no reply',
    async status => {
      const text = JSON.stringify(STATUS);
      const engine = await startClient(response => {
        response.socket?.write(
          `HTTP/1.1 ${status} X\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
        );
      });
      const fetched = await engine.fetchStatus();
      expect(fetched.swap().unsafeCoerce()).toMatch(
        /^malformed (status \d+|response)$|does not match the HTTP/,
      );
      const order = await engine.sendRole('order-1', 'both', 1);
      expect(order).toBe(OrderAnswer.Unknown);
    },
  );

  // Guards against a limit that would reject a sound status.
  it('reads a status in parts', async () => {
    const engine = await startClient(response => {
      const text = JSON.stringify(STATUS);
      response.writeHead(200);
      response.write(text.slice(0, 10));
      clock.startTimer(20, () => void response.end(text.slice(10)));
    });
    expect((await engine.fetchStatus()).extract()).toEqual(STATUS);
    expect(budget.getReadings().usedBytes).toBe(0);
  });
});
