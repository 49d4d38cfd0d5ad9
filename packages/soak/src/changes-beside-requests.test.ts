import {mkdtempSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createRandom} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {
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
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {createSoakGateway} from './gateways';
import type {SoakGateway} from './gateways';
import {
  ACCOUNTS,
  HOST_NAME,
  MODELS,
  PATHS,
  makeChangingConfiguration,
} from './testing/changing-configuration';
import {
  renderAnswer,
  renderChunk,
  renderEvents,
  renderHead,
} from './testing/scripted-responses';
import {wait} from './testing/single-gateway';

const READY_TIMEOUT_MS = 30_000;
const DEADLINE_MS = 2_000;
/** The gateway and its callers may be late on a busy machine. */
const LATENESS_MS = 2_000;
const REQUEST_COUNT = 500;
const REQUEST_PERIOD_MS = 15;
const CHANGE_PERIOD_MS = 40;
const BODY_BYTES = 3_000;

/** What a caller saw of one request. */
interface Outcome {
  attemptId: string;
  path: string;
  /** Undefined if the connection ended or stayed silent without a response. */
  status: number | undefined;
  end: 'answered' | 'closed' | 'silent';
  durationMs: number;
}

/** Answers late, rejects, breaks off or stays silent. */
function sendAnswer(request: ScriptedRequest, random: Random): void {
  const {socket} = request;
  const write = (): void => {
    const roll = random.getNext();
    if (roll < 0.15) socket.write(renderNotRun(request.attemptId));
    else if (roll < 0.35) socket.destroy();
    else if (roll < 0.4) return;
    else if (request.path.startsWith('/stream')) {
      const events = renderChunk(renderEvents(request, 1, 4));
      const head = renderHead(request, 200, ['Transfer-Encoding: chunked']);
      socket.write(`${head}${events}0\r\n\r\n`);
    } else socket.write(renderAnswer(request));
  };
  setTimeout(write, random.getInteger(600));
}

function makeConfiguration(version: number, random: Random): object {
  return makeChangingConfiguration({
    version,
    random,
    plainTimeoutMs: DEADLINE_MS,
    idleTimeoutsMs: [100, 20_000],
  });
}

describe('gateway whose configuration changes beside requests', () => {
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const random = createRandom(46);
  let store: StoreStandIn;
  let gateway: SoakGateway;
  let upstreams: ScriptedServer[] = [];

  beforeAll(async () => {
    store = await startStoreStandIn(() => 0.5);
    const complete = createRandom(1);
    complete.getNext = () => 0.5;
    store.putConfiguration(makeConfiguration(1, complete));
    const engines = [
      await startScriptedServer('engine-1', MODELS.slice(0, 1)),
      await startScriptedServer('engine-2', MODELS.slice(0, 1)),
    ];
    upstreams = [...engines, await startScriptedServer('desk-1', [])];
    for (const upstream of upstreams) {
      const isEngine = engines.includes(upstream);
      upstream.setScript(request => sendAnswer(request, random));
      store.putServer(upstream.id, {
        service: isEngine ? 'engines' : 'desk',
        address: `127.0.0.1:${upstream.port}`,
        zone: 'a',
        version: '1',
        slots: 32,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence: 0,
        born: 1_700_000_000_000,
        models: isEngine ? [{name: MODELS[0], version: 1, adapters: []}] : [],
      });
    }
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
    for (const upstream of upstreams) await upstream.close();
    await store.close();
    rmSync(directory, {recursive: true, force: true});
  });

  /** Sends a request whose body follows its head; resolves with its end. */
  const send = (attemptId: string, socket: Socket): Promise<Outcome> =>
    new Promise(resolve => {
      const path = PATHS[random.getInteger(PATHS.length)];
      const startedAtMs = getMonotonicMs();
      let text = '';
      const finish = (end: Outcome['end']): void => {
        clearTimeout(timer);
        socket.removeAllListeners('data');
        const [, status] = /^HTTP\/1\.1 (\d+)/.exec(text) ?? [];
        const durationMs = getMonotonicMs() - startedAtMs;
        resolve({
          attemptId,
          path,
          status: status === undefined ? undefined : Number(status),
          end: status === undefined ? end : 'answered',
          durationMs,
        });
      };
      const timer = setTimeout(
        () => finish('silent'),
        DEADLINE_MS + LATENESS_MS,
      );
      socket.on('data', (bytes: Buffer) => {
        text += bytes.toString('latin1');
        const [head, body] = text.split('\r\n\r\n', 2);
        if (body === undefined) return;
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? NaN);
        if (body.length >= length || text.endsWith('0\r\n\r\n'))
          finish('answered');
      });
      socket.once('close', () => finish('closed'));
      const {keys} = ACCOUNTS[random.getInteger(ACCOUNTS.length)];
      const model = MODELS[random.getInteger(MODELS.length)];
      const head = renderCallerRequest({
        path,
        hostName: HOST_NAME,
        attemptId,
        key: keys[0],
        deadlineMs: DEADLINE_MS,
        model: path.startsWith('/stream') ? model : undefined,
        keepsConnection: true,
      }).replace('Content-Length: 0', `Content-Length: ${BODY_BYTES}`);
      const half = 'x'.repeat(BODY_BYTES / 2);
      socket.write(head + half);
      setTimeout(() => socket.write(half), random.getInteger(300));
    });

  /** Sends two requests in turn on one connection. */
  const sendPair = async (index: number): Promise<Outcome[]> => {
    const socket = connect(gateway.port, '127.0.0.1');
    socket.on('error', () => undefined);
    const first = await send(`attempt-${index}`, socket);
    const isOpen = socket.writable && !socket.readableEnded;
    const isReusable =
      isOpen && first.status === 200 && !first.path.startsWith('/stream');
    const second = isReusable
      ? [await send(`attempt-${index}-again`, socket)]
      : [];
    socket.destroy();
    return [first, ...second];
  };

  it('answers or refuses every whole request', async () => {
    let version = 1;
    const changes = setInterval(() => {
      version += 1;
      store.putConfiguration(makeConfiguration(version, random));
    }, CHANGE_PERIOD_MS);
    const pairs: Promise<Outcome[]>[] = [];
    for (let index = 0; index < REQUEST_COUNT; index += 1) {
      pairs.push(sendPair(index));
      await wait(REQUEST_PERIOD_MS);
    }
    const outcomes = (await Promise.all(pairs)).flat();
    clearInterval(changes);
    expect(gateway.isRunning()).toBe(true);
    const statuses = new Set(outcomes.map(({status}) => status));
    // Otherwise the requests did not meet what the changes take away.
    for (const status of [200, 401, 404, 413, 429, 502, 503, 504]) {
      expect(statuses).toContain(status);
    }
    expect(outcomes.filter(({end}) => end !== 'answered')).toEqual([]);
  });
}, 60_000);
