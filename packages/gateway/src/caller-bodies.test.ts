import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import {measureLongestTurn} from '@siskinplank/testing';
import {Left, Right} from 'purify-ts';
import {afterEach, describe, expect, it} from 'vitest';
import {RefusalCode} from './refusals';
import {createRequestHandler} from './request-handler';
import type {RequestHandlerOptions} from './request-handler';

const MAX_BODY_BYTES = 1_000_000;
const MAX_RECEIVED_BYTES = 33_554_432;
const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const BYTE_CHUNK = '1\r\nx\r\n';
/** Longest delay of other work. */
const MAX_TURN_MS = 120;
const TIMEOUT_MS = 25_000;

describe('body of a caller', () => {
  const clock = createSystemClock();
  const callers = new Set<Socket>();
  let server: Server | undefined;

  afterEach(() => {
    for (const caller of callers) caller.destroy();
    callers.clear();
    server?.closeAllConnections();
    server?.close();
  });

  /** Starts a handler that answers each complete body with status 429. */
  const startHandler = async (
    maxBytes = MAX_RECEIVED_BYTES,
    answerMs = 0,
  ): Promise<{
    port: number;
    receiveBudget: ReturnType<typeof createReceiveBudget>;
  }> => {
    const receiveBudget = createReceiveBudget({maxBytes});
    const route = {name: 'r', services: [{service: 's', weight: 1}]};
    const account = {name: 'a', countsTokens: false};
    const handler = createRequestHandler({
      configuration: {
        getAgeMs: () => 0,
        mayBeLost: () => false,
        getTable: () => ({
          configuration: {
            version: 1,
            accounts: [account],
            limits: {maxBodyBytes: MAX_BODY_BYTES},
          },
          findRoute: () => route,
          findAccount: () => account,
        }),
      },
      limiter: {
        take: (
          _account: unknown,
          _request: unknown,
          _patienceMs: number,
          onTaken: (taken: unknown) => void,
        ) => {
          const refusal = {code: RefusalCode.OverLimit, retryAfterMs: 100};
          if (answerMs === 0) onTaken(Left(refusal));
          else setTimeout(() => onTaken(Left(refusal)), answerMs);
        },
      },
      origins: {findOrigin: () => undefined},
      pool: {receiveBudget},
      format: {
        decodeRequest: () => Right({key: 'k', attemptId: 'i'}),
        encodeGatewayHeaders: (_id: string, retryAfterMs?: number) =>
          retryAfterMs === undefined ? [] : ['Retry-After', '1'],
      },
      maxConfigurationAgeMs: 1_000,
      clock,
      arrivals: {takeArrivalMs: (_socket: unknown, nowMs: number) => nowMs},
      random: {getNext: () => 0.5},
      logger: {log: () => undefined},
      metrics: {recordRequest: () => undefined},
      isLeaving: () => false,
      getShutdown: () => undefined,
      onArrival: () => undefined,
    } as unknown as RequestHandlerOptions);
    const started = createServer(handler.handle);
    server = started;
    await new Promise<void>(resolve =>
      started.listen(0, '127.0.0.1', () => resolve()),
    );
    return {port: (started.address() as AddressInfo).port, receiveBudget};
  };

  const openCaller = (port: number) => {
    const socket = connect(port, '127.0.0.1');
    callers.add(socket);
    const seen = {text: '', isClosed: false, sentBytes: 0};
    socket.on('error', () => undefined);
    socket.on('close', () => (seen.isClosed = true));
    socket.on('data', data => (seen.text += data.toString()));
    return {socket, seen};
  };

  const waitUntil = (
    isDone: () => boolean,
    limitMs = 15_000,
  ): Promise<number> => {
    const endsAtMs = clock.getNowMs() + limitMs;
    return measureLongestTurn(
      clock,
      () => isDone() || clock.getNowMs() >= endsAtMs,
    );
  };

  it('is received in chunks', async () => {
    const {port, receiveBudget} = await startHandler();
    const {socket, seen} = openCaller(port);
    socket.write(`${HEAD}5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n`);
    await waitUntil(() => seen.text !== '');
    expect(seen.text).toMatch(/^HTTP\/1.1 429 /);
    expect(receiveBudget.getReadings().usedBytes).toBe(0);
  });

  it('that is too large is refused before its end', async () => {
    const {port} = await startHandler();
    const {socket, seen} = openCaller(port);
    socket.write(HEAD);
    const chunk = `${(600_000).toString(16)}\r\n${'x'.repeat(600_000)}\r\n`;
    socket.write(chunk + chunk);
    await waitUntil(() => seen.text !== '', 3_000);
    expect(seen.text).toMatch(/^HTTP\/1.1 413 /);
    expect(seen.isClosed).toBe(false);
    socket.write('0\r\n\r\n');
    socket.write(`${HEAD}0\r\n\r\n`);
    await waitUntil(() => seen.text.includes(' 429 '), 3_000);
    expect(seen.text).toMatch(/ 429 /);
  });

  it('announced as too large is refused before it is sent', async () => {
    const {port} = await startHandler();
    const {socket, seen} = openCaller(port);
    socket.write(
      'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000001\r\n\r\n',
    );
    await waitUntil(() => seen.text !== '', 3_000);
    expect(seen.text).toMatch(/^HTTP\/1.1 413 /);
  });

  it(
    'without end ends the connection after the refusal',
    async () => {
      const {port} = await startHandler();
      const {socket, seen} = openCaller(port);
      const chunk = `10000\r\n${'x'.repeat(65_536)}\r\n`;
      const send = (): void => {
        while (!socket.destroyed && seen.sentBytes < 200_000_000) {
          seen.sentBytes += chunk.length;
          if (!socket.write(chunk)) break;
        }
      };
      socket.write(HEAD);
      socket.on('drain', send);
      send();
      await waitUntil(() => seen.isClosed, 5_000);
      expect(seen.text).toMatch(/^HTTP\/1.1 413 /);
      expect(seen.isClosed).toBe(true);
      expect(seen.sentBytes).toBeLessThan(50_000_000);
    },
    TIMEOUT_MS,
  );

  it(
    'that stops after the refusal ends the connection',
    async () => {
      const {port} = await startHandler();
      const {socket, seen} = openCaller(port);
      socket.write(
        'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000001\r\n\r\n',
      );
      await waitUntil(() => seen.isClosed, 8_000);
      expect(seen.text).toMatch(/^HTTP\/1.1 413 /);
      expect(seen.isClosed).toBe(true);
    },
    TIMEOUT_MS,
  );

  it(
    'that stops leaves an earlier request on the connection its answer',
    async () => {
      const {port} = await startHandler(MAX_RECEIVED_BYTES, 6_000);
      const {socket, seen} = openCaller(port);
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
      socket.write(
        'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000001\r\n\r\n',
      );
      await waitUntil(() => seen.isClosed, 9_000);
      expect(seen.text).toMatch(/^HTTP\/1.1 429 [^]*HTTP\/1.1 413 /);
      expect(seen.isClosed).toBe(true);
    },
    TIMEOUT_MS,
  );

  it(
    'in one-byte chunks holds up no other work',
    async () => {
      const {port} = await startHandler();
      const {socket, seen} = openCaller(port);
      // Written piece by piece, so that the turns of the caller are short.
      const piece = Buffer.from(BYTE_CHUNK.repeat(10_000));
      const send = async (): Promise<void> => {
        socket.write(HEAD);
        for (let count = 0; count < 90; count += 1) {
          if (!socket.write(piece)) await once(socket, 'drain');
        }
        socket.write('0\r\n\r\n');
      };
      void send();
      const longestMs = await waitUntil(() => seen.text !== '');
      expect(seen.text).toMatch(/^HTTP\/1.1 429 /);
      expect(longestMs).toBeLessThan(MAX_TURN_MS);
    },
    TIMEOUT_MS,
  );

  it('is refused with a true 503 when memory is short', async () => {
    const {port, receiveBudget} = await startHandler(1_500_000);
    const opened = [0, 1, 2].map(() => openCaller(port));
    for (const {socket} of opened) {
      socket.write(
        `${HEAD}${(700_000).toString(16)}\r\n${'x'.repeat(700_000)}`,
      );
    }
    await waitUntil(() => opened.some(({seen}) => seen.text !== ''), 3_000);
    const texts = opened.map(({seen}) => seen.text).filter(text => text !== '');
    expect(texts.length).toBeGreaterThan(0);
    expect(texts[0]).toMatch(/^HTTP\/1.1 503 [^]*Retry-After/);
    const {usedBytes} = receiveBudget.getReadings();
    expect(usedBytes).toBeLessThanOrEqual(1_500_000);
    for (const {socket} of opened) socket.destroy();
    await waitUntil(() => receiveBudget.getReadings().usedBytes === 0, 3_000);
    expect(receiveBudget.getReadings().usedBytes).toBe(0);
  });
});
