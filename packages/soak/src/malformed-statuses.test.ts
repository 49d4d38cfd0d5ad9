import {mkdtempSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  NOT_RUN_LINE,
  encodeConfiguration,
  isReady,
  renderCallerRequest,
  startScriptedServer,
  startStoreStandIn,
} from '@siskinplank/platform-stand-ins';
import type {
  ScriptedRequest,
  ScriptedServer,
  StoreStandIn,
} from '@siskinplank/platform-stand-ins';
import {TYPESCRIPT_ARGUMENTS, WORKSPACE_ROOT} from '@siskinplank/proof';
import {createRandom} from '@siskinplank/foundation';
import {
  afterAll,
  beforeAll,
  beforeEach,
  describe,
  expect,
  it,
  vi,
} from 'vitest';
import {createSoakGateway} from './gateways';
import type {SoakGateway} from './gateways';
import {
  decodeChunks,
  renderAnswer,
  renderChunk,
  renderEvents,
  renderHead,
} from './testing/scripted-responses';

const HOST_NAME = 'statuses.example';
const KEY = 'key-of-the-malformed-statuses';
const READY_TIMEOUT_MS = 30_000;
const RESPONSE_TIMEOUT_MS = 8_000;
/** An answer is due far earlier than the deadline. */
const MAX_ANSWER_MS = 5_000;
const STREAM_EVENTS = 6;
const END_OF_CHUNKS = '0\r\n\r\n';
const STATUSES = ['000', '099', '101', '600', '999', '20', '2000', '+20', 'x'];
const ODD_STATUS_LINES = 60;
const MAX_REFUSED = 20;
const SOUND_REQUESTS = 12;

describe('gateway before upstreams with malformed statuses', () => {
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  let store: StoreStandIn;
  let gateway: SoakGateway;
  let engines: ScriptedServer[] = [];
  let desks: ScriptedServer[] = [];
  let count = 0;

  const register = (
    upstream: ScriptedServer,
    service: string,
    models: readonly string[],
  ): void =>
    store.putServer(upstream.id, {
      service,
      address: `127.0.0.1:${upstream.port}`,
      zone: 'a',
      version: '1',
      slots: 32,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 0,
      born: 1_700_000_000_000,
      models: models.map(name => ({name, version: 1, adapters: []})),
    });

  beforeAll(async () => {
    store = await startStoreStandIn(() => 0.5);
    const configuration = encodeConfiguration({
      version: 1,
      hostName: HOST_NAME,
      accounts: [{name: 'small', keys: [KEY], ratePerSecond: 1e6, burst: 1e6}],
      models: [{name: 'm0', weightsMb: 1, adapterCount: 0}],
      serverMemoryMb: 1,
      adapterSlots: 1,
      plainTimeoutMs: RESPONSE_TIMEOUT_MS,
    }) as {routes: object[]};
    store.putConfiguration({
      ...configuration,
      // Only the kind of a route may keep a request from another upstream.
      routes: configuration.routes.map(route => ({...route, max_attempts: 3})),
    });
    engines = [
      await startScriptedServer('engine-1', ['m0']),
      await startScriptedServer('engine-2', ['m0']),
      await startScriptedServer('engine-3', ['m0']),
    ];
    desks = [
      await startScriptedServer('desk-1', []),
      await startScriptedServer('desk-2', []),
    ];
    for (const engine of engines) register(engine, 'engines', ['m0']);
    for (const desk of desks) register(desk, 'desk', []);
    gateway = await createSoakGateway(
      0,
      store.port,
      [
        ...TYPESCRIPT_ARGUMENTS,
        join(WORKSPACE_ROOT, 'packages/cli/src/gateway-main.ts'),
      ],
      directory,
    );
    gateway.start();
    const options = {timeout: READY_TIMEOUT_MS, interval: 100};
    await vi.waitUntil(() => isReady(gateway.readinessPort), options);
    const isServed = async (path: string): Promise<boolean> =>
      readStatus((await send(path)).head) === '200';
    scriptInTurn(desks, answerWhole);
    await vi.waitUntil(() => isServed('/order/x'), options);
    scriptInTurn(engines, answerRest);
    await vi.waitUntil(() => isServed('/stream/x'), options);
  }, 90_000);

  afterAll(async () => {
    gateway.send('SIGKILL');
    await gateway.waitForExit();
    await gateway.storeProxy.close();
    for (const upstream of [...engines, ...desks]) await upstream.close();
    await store.close();
    rmSync(directory, {recursive: true, force: true});
  });

  /** Each request gets the next script, whichever upstream it reaches. */
  const scriptInTurn = (
    upstreams: readonly ScriptedServer[],
    ...scripts: Array<(request: ScriptedRequest) => void>
  ): void => {
    let asked = 0;
    for (const upstream of [...engines, ...desks]) upstream.requests.length = 0;
    for (const upstream of upstreams) {
      upstream.setScript(request => {
        scripts[Math.min(asked, scripts.length - 1)](request);
        asked += 1;
      });
    }
  };

  const countRequests = (): number =>
    [...engines, ...desks].reduce(
      (sum, {requests}) => sum + requests.length,
      0,
    );

  /** Sends a request and returns all bytes until the gateway closes. */
  const send = (path: string): Promise<{head: string; body: string}> =>
    new Promise(resolve => {
      count += 1;
      const socket = connect(gateway.port, '127.0.0.1');
      let text = '';
      const finish = (): void => {
        clearTimeout(timer);
        socket.destroy();
        const [head, ...body] = text.split('\r\n\r\n');
        resolve({head, body: body.join('\r\n\r\n')});
      };
      const timer = setTimeout(finish, MAX_ANSWER_MS);
      socket.on('data', (bytes: Buffer) => (text += bytes.toString('latin1')));
      socket.on('close', finish);
      socket.on('error', () => undefined);
      socket.write(
        renderCallerRequest({
          path,
          hostName: HOST_NAME,
          attemptId: `attempt-${count}`,
          key: KEY,
          deadlineMs: RESPONSE_TIMEOUT_MS,
          model: path.startsWith('/stream') ? 'm0' : undefined,
        }),
      );
    });

  /**
   * Sends a request until one reaches an upstream: a busy gateway may refuse
   * those that it has not sent.
   */
  const sendOn = async (
    path: string,
  ): Promise<{head: string; body: string}> => {
    for (let sent = 1; sent < MAX_REFUSED; sent += 1) {
      const answered = await send(path);
      if (readStatus(answered.head) !== '503' || countRequests() > 0) {
        return answered;
      }
    }
    return send(path);
  };

  const readStatus = (head: string): string => head.split(' ')[1] ?? '';

  /** A whole response in which only the status is odd. */
  const renderOdd = (
    request: ScriptedRequest,
    status: string,
    more: readonly string[] = [],
  ): string =>
    `${renderHead(request, 200, ['Content-Length: 4', ...more])}done`.replace(
      'HTTP/1.1 200',
      `HTTP/1.1 ${status}`,
    );

  const expectClosed = async (sockets: readonly ScriptedRequest[]) => {
    await expect
      .poll(() => sockets.every(({socket}) => socket.destroyed))
      .toBe(true);
  };

  const answerWhole = (request: ScriptedRequest): void =>
    void request.socket.write(renderAnswer(request));

  const answerOddStream =
    (status: string) =>
    (request: ScriptedRequest): void => {
      const head = renderHead(request, 200, ['Transfer-Encoding: chunked']);
      const from = request.lastEventId + 1;
      const text = head + renderChunk(renderEvents(request, from, from + 1));
      request.socket.write(text.replace('HTTP/1.1 200', `HTTP/1.1 ${status}`));
    };

  const breakOffStream = (request: ScriptedRequest): void => {
    const events = renderEvents(request, 1, 2);
    request.socket.write(renderHead(request, 200) + events, () =>
      setTimeout(() => request.socket.resetAndDestroy(), 50),
    );
  };

  const answerRest = (request: ScriptedRequest): void => {
    const from = request.lastEventId + 1;
    const events = renderEvents(request, from, STREAM_EVENTS);
    request.socket.end(renderHead(request, 200) + events);
  };

  const expectWholeStream = async (): Promise<void> => {
    const {head, body} = await sendOn('/stream/x');
    expect(readStatus(head)).toBe('200');
    expect(body.endsWith(END_OF_CHUNKS)).toBe(true);
    const request = {attemptId: `attempt-${count}`} as ScriptedRequest;
    expect(decodeChunks(body)).toBe(renderEvents(request, 1, STREAM_EVENTS));
  };

  const sendSound = async (path: string): Promise<void> => {
    for (let sent = 0; sent < SOUND_REQUESTS; sent += 1) await send(path);
  };

  // Retries are allowed for a fraction of the requests.
  beforeEach(async () => {
    scriptInTurn(desks, answerWhole);
    await sendSound('/order/x');
    scriptInTurn(engines, answerRest);
    await sendSound('/stream/x');
  });

  for (const status of STATUSES) {
    it(`fails a request that must not run twice after status ${status}`, async () => {
      const asked: ScriptedRequest[] = [];
      const answer = (request: ScriptedRequest): void => {
        asked.push(request);
        request.socket.write(renderOdd(request, status));
        request.socket.on('end', () => request.socket.destroy());
      };
      scriptInTurn(desks, answer);
      const {head, body} = await sendOn('/order/x');
      expect(readStatus(head)).toBe('502');
      expect(body).not.toContain('done');
      expect(countRequests()).toBe(1);
      await expectClosed(asked);
    });

    it(`promises nothing after status ${status} that says it has not run`, async () => {
      const answer = (request: ScriptedRequest): void => {
        const odd = renderOdd(request, status, [NOT_RUN_LINE]);
        request.socket.write(odd);
      };
      scriptInTurn(desks, answer);
      const {head} = await sendOn('/order/x');
      expect(readStatus(head)).toBe('502');
      expect(countRequests()).toBe(1);
    });

    it(`sends a repeatable request to another upstream after status ${status}`, async () => {
      scriptInTurn(
        desks,
        request => request.socket.write(renderOdd(request, status)),
        answerWhole,
      );
      const {head, body} = await sendOn('/status/x');
      expect(readStatus(head)).toBe('200');
      expect(body).toBe('done');
      expect(desks.map(({requests}) => requests.length)).toEqual([1, 1]);
    });

    it(`fails a repeatable request after status ${status} of all upstreams`, async () => {
      const answer = (request: ScriptedRequest): void =>
        void request.socket.write(renderOdd(request, status));
      scriptInTurn(desks, answer);
      const {head, body} = await sendOn('/status/x');
      expect([readStatus(head), body]).toEqual(['502', '']);
    });

    it(`starts a stream at another upstream after status ${status}`, async () => {
      scriptInTurn(engines, answerOddStream(status), answerRest);
      await expectWholeStream();
    });

    it(`resumes a stream at a third upstream after status ${status} of the second`, async () => {
      scriptInTurn(
        engines,
        breakOffStream,
        answerOddStream(status),
        answerRest,
      );
      await expectWholeStream();
    });
  }

  // Guards against a status line that is read as another one.
  it(
    'never takes odd status lines for an answer',
    {timeout: 60_000},
    async () => {
      const random = createRandom(49);
      const digits = '0123456789';
      const makeText = (from: string, length: number): string =>
        Array.from(
          {length},
          () => from[Math.floor(random.getNext() * from.length)],
        ).join('');
      const makeOdd = (index: number): string => {
        if (index % 2 === 0) return makeText('06789', 1) + makeText(digits, 2);
        const text = makeText(`${digits}+-. abHTP/\t`, index % 6);
        return /^[1-5]\d\d( |$)/.test(text) ? `6${text.slice(1)}` : text;
      };
      for (let index = 0; index < ODD_STATUS_LINES; index += 1) {
        const status = makeOdd(index);
        const answer = (request: ScriptedRequest): void =>
          void request.socket.write(renderOdd(request, status));
        scriptInTurn(desks, answer);
        const {head, body} = await sendOn('/order/x');
        expect([status, readStatus(head), body]).toEqual([status, '502', '']);
      }
      expect(gateway.isRunning()).toBe(true);
    },
  );
});
