import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {createUpstreamClient} from './upstream-client';
import type {UpstreamClient, UpstreamResponse} from './upstream-client';

const clock = createSystemClock();
/** Above the time for which a client reads a body that it doesn't need. */
const MAX_DRAIN_MS = 5_000;
const TIMEOUT_MS = 20_000;

describe('upstream client', () => {
  let server: Server | undefined;
  let client: UpstreamClient | undefined;

  afterEach(async () => {
    await client?.close();
    server?.closeAllConnections();
    server?.close();
  });

  const startClient = async (
    answer: (response: ServerResponse) => void,
  ): Promise<UpstreamClient> => {
    const started = createServer((_request, response) => {
      response.on('error', () => undefined);
      answer(response);
    });
    server = started;
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = started.address() as AddressInfo;
    client = createUpstreamClient({host: '127.0.0.1', port}, 1);
    return client;
  };

  const resume = async (): Promise<UpstreamResponse> => {
    const signal = new AbortController().signal;
    const resumed = await client?.resumeGeneration('g', 0, {}, signal);
    return resumed?.extract() as UpstreamResponse;
  };

  // Guards against an unneeded body without end, or that stalls, which would
  // keep its attempt and its connection for good.
  it.each([
    ['does not end', 16_384],
    ['stalls', 0],
  ])(
    'gives up an unneeded body that %s',
    async (_name, size) => {
      let isClosed = false;
      await startClient(response => {
        response.on('close', () => {
          isClosed = true;
        });
        response.writeHead(404);
        response.write('x');
        const send = (): void => {
          while (size > 0 && !isClosed && response.write('x'.repeat(size)));
        };
        response.on('drain', send);
        send();
      });
      const response = await resume();
      let isDrained = false;
      const drained = response.drain().then(() => {
        isDrained = true;
      });
      await Promise.race([drained, clock.waitMs(MAX_DRAIN_MS)]);
      expect(isDrained).toBe(true);
      await vi.waitFor(() => expect(isClosed).toBe(true));
    },
    TIMEOUT_MS,
  );

  // Guards against an answer with a status that no message to an entry process
  // may have, and against a request that counts as not run.
  it.each(['000', '099', '101', '600', '999', '20', '2000', '+20', 'x'])(
    'fails a request that was handed over after status %s',
    async status => {
      let isClosed = false;
      await startClient(response => {
        response.socket?.on('close', () => {
          isClosed = true;
        });
        response.socket?.write(
          `HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`,
        );
      });
      for (const idempotent of [true, false]) {
        const sent = await client?.send({
          method: 'POST',
          path: '/',
          headers: {},
          body: undefined,
          idempotent,
          signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        const failure = sent?.swap().unsafeCoerce();
        expect(failure).toMatchObject({isHandedOver: true});
        expect(failure?.message).not.toContain('assert');
      }
      await vi.waitFor(() => expect(isClosed).toBe(true));
    },
  );

  // Guards against a drain that breaks connections which could be reused.
  it('keeps the connection of a short body', async () => {
    const ports = new Set<number | undefined>();
    await startClient(response => {
      ports.add(response.socket?.remotePort);
      response.writeHead(404).end('unknown');
    });
    for (let count = 0; count < 3; count += 1) {
      await (await resume()).drain();
    }
    expect(ports.size).toBe(1);
  });
});
