import {once} from 'node:events';
import {createServer, request as sendRequest} from 'node:http';
import type {IncomingMessage, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import {RequestKind} from '@siskinplank/serving';
import {OriginVerdictType} from '@siskinplank/stream-origins';
import {Left, Right} from 'purify-ts';
import {afterEach, describe, expect, it} from 'vitest';
import {RefusalCode} from './refusals';
import {createRequestHandler} from './request-handler';
import type {RequestHandlerOptions} from './request-handler';

const TARGET_MS = 500;
/** Past half the target latency, and well below the patience of callers. */
const UNREAD_MS = 400;

describe('request that resumes a stream', () => {
  let server: Server | undefined;

  afterEach(() => server?.close());

  /**
   * Sends a request that waited unread; the limiter refuses what is started.
   * Returns the status and the time that the limiter was given.
   */
  const runRequest = async (
    lastEventId?: string,
    {unreadMs = UNREAD_MS, readyAfterMs = 0, loadedAfterMs = 0} = {},
  ): Promise<{status: number; patienceMs: number}> => {
    let patienceMs = 0;
    const clock = createSystemClock();
    const startedAtMs = clock.getNowMs();
    const hasPassed = (delayMs: number): boolean =>
      clock.getNowMs() >= startedAtMs + delayMs;
    const route = {
      name: 'r',
      services: [{service: 's', weight: 1}],
      kind: RequestKind.Stream,
      isResumable: true,
      targetLatencyMs: TARGET_MS,
      timeoutMs: 15_000,
    };
    const account = {name: 'a', countsTokens: false};
    const handler = createRequestHandler({
      configuration: {
        getAgeMs: () => 0,
        mayBeLost: () => !hasPassed(readyAfterMs),
        getTable: () => ({
          configuration: {
            version: 1,
            accounts: [account],
            limits: {maxBodyBytes: 1_000},
          },
          findRoute: () => route,
          findAccount: () => account,
        }),
      },
      limiter: {
        take: (
          _account: unknown,
          _request: unknown,
          givenMs: number,
          onTaken: (taken: unknown) => void,
        ) => {
          patienceMs = givenMs;
          onTaken(Left({code: RefusalCode.OverLimit, retryAfterMs: 100}));
        },
      },
      origins: {
        findOrigin: () =>
          lastEventId === undefined || hasPassed(loadedAfterMs)
            ? undefined
            : {type: OriginVerdictType.Unknown},
        isLoaded: () => hasPassed(loadedAfterMs),
        awaitRead: () => false,
      },
      pool: {receiveBudget: createReceiveBudget({maxBytes: 1_000_000})},
      format: {
        decodeRequest: () => Right({key: 'k', attemptId: 'i', lastEventId}),
        encodeGatewayHeaders: () => [],
      },
      maxConfigurationAgeMs: 1_000,
      clock: {...clock, getStartedMs: () => startedAtMs},
      arrivals: {
        takeArrivalMs: (_socket: unknown, nowMs: number) => nowMs - unreadMs,
      },
      random: {getNext: () => 0.5},
      logger: {log: () => undefined},
      metrics: {recordRequest: () => undefined},
      isLeaving: () => false,
      getShutdown: () => undefined,
      onArrival: () => undefined,
    } as unknown as RequestHandlerOptions);
    server = createServer(handler.handle);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const sent = sendRequest({port, host: '127.0.0.1', method: 'POST'});
    sent.end('x');
    const [response] = (await once(sent, 'response')) as [IncomingMessage];
    response.resume();
    return {status: response.statusCode ?? 0, patienceMs};
  };

  // Such requests were refused in the second after a restart of all gateways.
  it('is started although a new stream would be too late', async () => {
    expect((await runRequest()).status).toBe(503);
    expect((await runRequest('3')).status).toBe(429);
  });

  // While tokens are short, a wait of 150 ms refused them as often as new ones.
  it('may wait for tokens for a second', async () => {
    expect((await runRequest('3')).patienceMs).toBe(1_000);
  });

  // Callers come back in the second in which all gateways start.
  it.each([
    ['knows its configuration', {readyAfterMs: 300}],
    ['has read the stored origins', {loadedAfterMs: 300}],
  ])('waits until a process that starts %s', async (_, times) => {
    const options = {unreadMs: 0, ...times};
    expect((await runRequest('3', options)).status).toBe(429);
  });
});
