import {mkdtempSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  encodeConfiguration,
  isReady,
  renderCallerRequest,
  renderNotRun,
  startScriptedServer,
  startStoreStandIn,
} from '@siskinplank/platform-stand-ins';
import type {
  ScriptedRequest,
  ScriptedServer,
  StoreStandIn,
} from '@siskinplank/platform-stand-ins';
import {TYPESCRIPT_ARGUMENTS, WORKSPACE_ROOT} from '@siskinplank/proof';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import {createSoakGateway} from './gateways';
import type {SoakGateway} from './gateways';
import {
  decodeChunks,
  renderAnswer,
  renderChunk,
  renderEvents,
  renderHead,
} from './testing/scripted-responses';
import {wait} from './testing/single-gateway';

const HOST_NAME = 'faulty.example';
const KEY = 'key-of-the-faulty-upstreams';
const READY_TIMEOUT_MS = 30_000;
const RESPONSE_TIMEOUT_MS = 4_000;
const STREAM_EVENTS = 6;
const END_OF_CHUNKS = '0\r\n\r\n';
/** Nothing listens there. */
const CLOSED_PORT = 1;
/** A sound upstream may fall silent for as long. */
const PAUSE_MS = 1_500;
const ERROR_TEXT = 'out of memory';

describe('gateway before faulty upstreams', () => {
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  let store: StoreStandIn;
  let gateway: SoakGateway;
  let engines: ScriptedServer[] = [];
  let desk: ScriptedServer;
  /** The only running engine with its model, in another failure domain. */
  let distant: ScriptedServer;
  let count = 0;

  const register = (
    upstream: Pick<ScriptedServer, 'id' | 'port'>,
    service: string,
    models: readonly string[],
    zone = 'a',
  ): void =>
    store.putServer(upstream.id, {
      service,
      address: `127.0.0.1:${upstream.port}`,
      zone,
      version: '1',
      slots: 32,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 0,
      born: 1_700_000_000_000,
      models: models.map(name => ({name, version: 1, adapters: []})),
    });

  const makeConfiguration = (version: number): unknown =>
    encodeConfiguration({
      version,
      hostName: HOST_NAME,
      accounts: [{name: 'small', keys: [KEY], ratePerSecond: 1e6, burst: 1e6}],
      models: ['m0', 'm1'].map(name => ({
        name,
        weightsMb: 1,
        adapterCount: 0,
      })),
      serverMemoryMb: 1,
      adapterSlots: 1,
      plainTimeoutMs: RESPONSE_TIMEOUT_MS,
    });

  beforeAll(async () => {
    store = await startStoreStandIn(() => 0.5);
    store.putConfiguration(makeConfiguration(1));
    engines = [
      await startScriptedServer('engine-1', ['m0']),
      await startScriptedServer('engine-2', ['m0']),
    ];
    desk = await startScriptedServer('desk-1', []);
    for (const engine of engines) register(engine, 'engines', ['m0']);
    distant = await startScriptedServer('engine-3', ['m1']);
    register(distant, 'engines', ['m1'], 'b');
    for (const id of ['engine-4', 'engine-5', 'engine-6']) {
      register({id, port: CLOSED_PORT}, 'engines', ['m1']);
    }
    register(desk, 'desk', []);
    const program = [
      ...TYPESCRIPT_ARGUMENTS,
      join(WORKSPACE_ROOT, 'packages/cli/src/gateway-main.ts'),
    ];
    gateway = await createSoakGateway(0, store.port, program, directory);
    gateway.start();
    const endsAtMs = getMonotonicMs() + READY_TIMEOUT_MS;
    while (!(await isReady(gateway.readinessPort))) {
      if (getMonotonicMs() > endsAtMs) break;
      await wait(50);
    }
    await wait(1_000);
  }, 60_000);

  afterAll(async () => {
    gateway.send('SIGKILL');
    await gateway.waitForExit();
    await gateway.storeProxy.close();
    for (const upstream of [...engines, distant, desk]) await upstream.close();
    await store.close();
    rmSync(directory, {recursive: true, force: true});
  });

  beforeEach(() => {
    for (const upstream of [...engines, desk]) upstream.requests.length = 0;
  });

  /** Sends a request and returns all bytes until the gateway closes. */
  const send = (
    path: string,
    model = 'm0',
  ): Promise<{head: string; body: string}> =>
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
      const timer = setTimeout(finish, RESPONSE_TIMEOUT_MS + 1_000);
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
          model: path.startsWith('/stream') ? model : undefined,
        }),
      );
    });

  const readStatus = (head: string): number => Number(head.split(' ')[1]);

  /** The first engine asked gets the first script, the other one the second. */
  const scriptEngines = (
    first: (request: ScriptedRequest) => void,
    second: (request: ScriptedRequest) => void,
  ): void => {
    let asked = 0;
    for (const engine of engines) {
      engine.setScript(request => {
        asked += 1;
        (asked === 1 ? first : second)(request);
      });
    }
  };

  const expectWholeStream = (head: string, body: string): void => {
    expect(readStatus(head)).toBe(200);
    expect(body.endsWith(END_OF_CHUNKS)).toBe(true);
    const request = {attemptId: `attempt-${count}`} as ScriptedRequest;
    expect(decodeChunks(body)).toBe(renderEvents(request, 1, STREAM_EVENTS));
  };

  it('does not take a repeated refusal for the answer to a resent request', async () => {
    desk.setScript(request => {
      if (desk.requests.length === 1) {
        request.socket.write(renderNotRun(request.attemptId));
        return;
      }
      const isKept = request.earlierOnConnection > 0;
      const repeated = isKept ? renderNotRun(request.attemptId) : '';
      request.socket.write(repeated + renderAnswer(request));
    });
    const {head} = await send('/order/x');
    expect(desk.requests.length).toBe(2);
    expect(readStatus(head)).toBe(200);
  });

  it('does not promise "not run" for a refusal that names no request', async () => {
    desk.setScript(request => request.socket.write(renderAnswer(request)));
    await send('/order/x');
    desk.setScript(request => {
      const isKept = request.earlierOnConnection > 0;
      const repeated = isKept ? renderNotRun(undefined) : '';
      request.socket.write(repeated + renderAnswer(request));
    });
    const {head} = await send('/order/x');
    expect(desk.requests.length).toBe(2);
    expect(desk.requests[1].earlierOnConnection).toBeGreaterThan(0);
    expect([200, 502]).toContain(readStatus(head));
  });

  for (const length of [20, 400_000]) {
    it(`keeps an error of ${length} bytes out of a stream that broke off`, async () => {
      scriptEngines(
        request => {
          const head = renderHead(request, 200, ['Transfer-Encoding: chunked']);
          const chunk = renderChunk(renderEvents(request, 1, 2));
          request.socket.write(head + chunk, () =>
            setTimeout(() => request.socket.resetAndDestroy(), 200),
          );
        },
        request => {
          const body = ERROR_TEXT.padEnd(length, '!');
          const head = renderHead(request, 500, [`Content-Length: ${length}`]);
          request.socket.write(head + body);
        },
      );
      const {head, body} = await send('/stream/x');
      expect(readStatus(head)).toBe(200);
      expect(body).not.toContain(ERROR_TEXT);
      expect(body).not.toContain('HTTP/1.1');
      expect(body.endsWith(END_OF_CHUNKS)).toBe(false);
    });
  }

  it('resumes a stream that ends inside an event', async () => {
    scriptEngines(
      request => {
        const events = renderEvents(request, 1, 3);
        request.socket.end(renderHead(request, 200) + events.slice(0, -20));
      },
      request => {
        const from = request.lastEventId + 1;
        const events = renderEvents(request, from, STREAM_EVENTS);
        request.socket.end(renderHead(request, 200) + events);
      },
    );
    const {head, body} = await send('/stream/x');
    expectWholeStream(head, body);
  });

  it('does not complete a stream that ends inside an event everywhere', async () => {
    const cut = (request: ScriptedRequest): void => {
      const from = request.lastEventId + 1;
      const events = renderEvents(request, from, from + 1);
      request.socket.end(renderHead(request, 200) + events.slice(0, -20));
    };
    scriptEngines(cut, cut);
    const {body} = await send('/stream/x');
    expect(body.endsWith(END_OF_CHUNKS)).toBe(false);
  });

  it('completes a stream that ends with its connection', async () => {
    const answer = (request: ScriptedRequest): void => {
      const events = renderEvents(request, 1, STREAM_EVENTS);
      request.socket.end(renderHead(request, 200) + events);
    };
    scriptEngines(answer, answer);
    const {head, body} = await send('/stream/x');
    expectWholeStream(head, body);
  });

  it('frames a resumed stream anew whatever length its first upstream named', async () => {
    scriptEngines(
      request => {
        const whole = renderEvents(request, 1, STREAM_EVENTS);
        const head = renderHead(request, 200, [
          `Content-Length: ${whole.length + 7}`,
        ]);
        request.socket.write(head + renderEvents(request, 1, 2), () =>
          setTimeout(() => request.socket.resetAndDestroy(), 200),
        );
      },
      request => {
        const from = request.lastEventId + 1;
        const events = renderEvents(request, from, STREAM_EVENTS);
        request.socket.write(
          renderHead(request, 200, [`Content-Length: ${events.length}`]) +
            events,
        );
      },
    );
    const {head, body} = await send('/stream/x');
    expectWholeStream(head, body);
  });

  it('tries a further upstream when connections to others are refused', async () => {
    distant.setScript(request => {
      const events = renderEvents(request, 1, STREAM_EVENTS);
      request.socket.end(renderHead(request, 200) + events);
    });
    const {head, body} = await send('/stream/x', 'm1');
    expectWholeStream(head, body);
  });

  it('keeps a stream whose upstream pauses and that no other can take', async () => {
    distant.setScript(request => {
      const head = renderHead(request, 200);
      request.socket.write(head + renderEvents(request, 1, 2));
      setTimeout(
        () => request.socket.end(renderEvents(request, 3, STREAM_EVENTS)),
        PAUSE_MS,
      );
    });
    const {head, body} = await send('/stream/x', 'm1');
    expectWholeStream(head, body);
  });

  it('keeps a request whose upstream pauses before it answers', async () => {
    desk.setScript(request => {
      setTimeout(() => request.socket.write(renderAnswer(request)), PAUSE_MS);
    });
    const {head} = await send('/status/x');
    expect(readStatus(head)).toBe(200);
  });

  it('goes on at another upstream while one pauses', async () => {
    let pausedSocketClosed = false;
    scriptEngines(
      request => {
        request.socket.on('close', () => (pausedSocketClosed = true));
        const head = renderHead(request, 200);
        request.socket.write(head + renderEvents(request, 1, 2));
      },
      request => {
        const from = request.lastEventId + 1;
        const events = renderEvents(request, from, STREAM_EVENTS);
        request.socket.end(renderHead(request, 200) + events);
      },
    );
    const {head, body} = await send('/stream/x');
    expectWholeStream(head, body);
    expect(pausedSocketClosed).toBe(true);
  });

  const refusals: ReadonlyArray<
    [string, (request: ScriptedRequest) => unknown]
  > = [
    [
      'rejects it',
      ({attemptId, socket}) => socket.write(renderNotRun(attemptId)),
    ],
    [
      'rejects it after a pause of its own',
      async ({attemptId, socket}) => {
        await wait(PAUSE_MS / 5);
        socket.write(renderNotRun(attemptId));
      },
    ],
    ['breaks it off', ({socket}) => socket.destroy()],
    [
      'does not resume it',
      request =>
        request.socket.write(renderHead(request, 500, ['Content-Length: 0'])),
    ],
  ];
  for (const [name, refuse] of refusals) {
    it(`keeps a stream whose upstream pauses when another one ${name}`, async () => {
      scriptEngines(request => {
        const head = renderHead(request, 200);
        request.socket.write(head + renderEvents(request, 1, 2));
        setTimeout(
          () => request.socket.end(renderEvents(request, 3, STREAM_EVENTS)),
          PAUSE_MS,
        );
      }, refuse);
      const {head, body} = await send('/stream/x');
      expectWholeStream(head, body);
    });
  }

  it('does not answer 200 when the head of the answer is cut off', async () => {
    const cuts = [30, 60, -2, -1];
    for (const cut of cuts) {
      desk.setScript(request => {
        const head = renderHead(request, 200, ['Content-Length: 4']);
        request.socket.end(head.slice(0, cut));
      });
      const {head} = await send('/order/x');
      expect(readStatus(head)).toBe(502);
    }
  });

  it('serves on after heads with bytes that HTTP does not allow', async () => {
    for (const [good, odd] of [
      ['HTTP/1.1 200', 'HTTP/1.1 000'],
      ['HTTP/1.1 200 ', 'HTTP/1.1 200 \x01'],
      ['Content-Length', 'Odd: \x01\r\nContent-Length'],
    ]) {
      desk.setScript(request => {
        request.socket.end(renderAnswer(request).replace(good, odd));
      });
      expect(readStatus((await send('/order/x')).head)).toBe(502);
      expect(gateway.isRunning()).toBe(true);
    }
  });

  it('answers a request though its route and all timeouts change meanwhile', async () => {
    desk.setScript(request => {
      setTimeout(() => request.socket.write(renderAnswer(request)), PAUSE_MS);
    });
    const answered = send('/order/x');
    await wait(200);
    const changed = makeConfiguration(2) as object;
    store.putConfiguration({
      ...changed,
      routes: [],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 1_048_576,
        header_timeout_ms: 100,
        idle_timeout_ms: 100,
      },
    });
    const {head, body} = await answered;
    expect(readStatus(head)).toBe(200);
    expect(body).toBe('done');
    expect(readStatus((await send('/order/x')).head)).toBe(404);
  });
}, 60_000);
