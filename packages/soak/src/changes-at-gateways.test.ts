import {mkdtempSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createRandom} from '@siskinplank/foundation';
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
const DEADLINE_MS = 4_000;
/** The gateways and their callers may be late on a busy machine. */
const LATENESS_MS = 3_000;
const GATEWAY_COUNT = 3;
const CALLER_COUNT = 90;
const REQUESTS_PER_CALLER = 12;
const CHANGE_PERIOD_MS = 50;
/** Reloads and freezes follow each other at this distance. */
const SIGNAL_PERIOD_MS = 250;
const MAX_FREEZE_MS = 1_700;
const IDLE_TIMEOUTS_MS = [400, 20_000];
/** Callers reuse a connection for four fifths of the shortest idle timeout. */
const MAX_IDLE_MS = 320;
const BODY_BYTES = 3_000;
const EVENT_COUNT = 4;
const EVENT_PERIOD_MS = 60;
/** A request whose time is nearly over may be cut at its deadline. */
const MAX_USED_TIME = 0.7;

/** What a caller saw of one request that it sent completely. */
interface Outcome {
  attemptId: string;
  gateway: string;
  path: string;
  status: number | undefined;
  end: 'complete' | 'closed' | 'silent';
  durationMs: number;
}

/** Answers late, rejects, closes without an answer or stays silent. */
function sendAnswer(request: ScriptedRequest, chance: number): void {
  const {socket} = request;
  if (chance < 0.15) socket.write(renderNotRun(request.attemptId));
  else if (chance < 0.2) socket.destroy();
  else if (chance < 0.23) return;
  else if (!request.path.startsWith('/stream')) {
    socket.write(renderAnswer(request));
  } else {
    socket.write(renderHead(request, 200, ['Transfer-Encoding: chunked']));
    for (let id = 1; id <= EVENT_COUNT; id += 1) {
      setTimeout(() => {
        socket.write(renderChunk(renderEvents(request, id, id)));
        if (id === EVENT_COUNT) socket.write('0\r\n\r\n');
      }, id * EVENT_PERIOD_MS);
    }
  }
}

/** Status of a complete response; undefined if more is to come. */
function readComplete(text: string): number | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const body = text.slice(headEnd + 4);
  const [, length] = /content-length: (\d+)/i.exec(head) ?? [];
  const isComplete =
    length === undefined
      ? body.endsWith('0\r\n\r\n')
      : body.length >= Number(length);
  return isComplete ? Number(head.split(' ')[1]) : undefined;
}

describe('gateways whose configuration changes beside requests', () => {
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const random = createRandom(49);
  let store: StoreStandIn;
  const gateways: SoakGateway[] = [];
  let upstreams: ScriptedServer[] = [];

  const putVersion = (version: number, source = random): void =>
    store.putConfiguration(
      makeChangingConfiguration({
        version,
        random: source,
        plainTimeoutMs: DEADLINE_MS,
        idleTimeoutsMs: IDLE_TIMEOUTS_MS,
        changesServices: version > 1,
      }),
    );

  beforeAll(async () => {
    store = await startStoreStandIn(() => 0.5);
    const complete = createRandom(1);
    complete.getNext = () => 0.5;
    putVersion(1, complete);
    const engines = [
      await startScriptedServer('engine-1', MODELS.slice(0, 1)),
      await startScriptedServer('engine-2', MODELS.slice(0, 1)),
    ];
    upstreams = [...engines, await startScriptedServer('desk-1', [])];
    for (const upstream of upstreams) {
      const isEngine = engines.includes(upstream);
      upstream.setScript(request => {
        const chance = random.getNext();
        setTimeout(() => sendAnswer(request, chance), random.getInteger(300));
      });
      store.putServer(upstream.id, {
        service: isEngine ? 'engines' : 'desk',
        address: `127.0.0.1:${upstream.port}`,
        zone: 'a',
        version: '1',
        slots: 64,
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
    for (let index = 0; index < GATEWAY_COUNT; index += 1) {
      gateways.push(
        await createSoakGateway(index, store.port, program, directory),
      );
    }
    for (const gateway of gateways) gateway.start();
    const endsAtMs = getMonotonicMs() + READY_TIMEOUT_MS;
    for (const {readinessPort} of gateways) {
      while (!(await isReady(readinessPort))) {
        if (getMonotonicMs() > endsAtMs) break;
        await wait(50);
      }
    }
    await wait(1_000);
  }, 60_000);

  afterAll(async () => {
    for (const gateway of gateways) {
      gateway.send('SIGCONT');
      gateway.send('SIGKILL');
      await gateway.waitForExit();
      await gateway.storeProxy.close();
    }
    for (const upstream of upstreams) await upstream.close();
    await store.close();
    rmSync(directory, {recursive: true, force: true});
  });

  /** Sends a request in three parts, with a pause in its head and its body. */
  const send = async (
    attemptId: string,
    gateway: SoakGateway,
    socket: Socket,
  ): Promise<Outcome> => {
    const path = PATHS[random.getInteger(PATHS.length)];
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
    const text = head + 'x'.repeat(BODY_BYTES);
    const cuts = [
      0,
      random.getInteger(head.length),
      head.length + random.getInteger(BODY_BYTES),
      text.length,
    ];
    const startedAtMs = getMonotonicMs();
    const ended = new Promise<Outcome>(resolve => {
      let received = '';
      const finish = (end: Outcome['end']): void => {
        clearTimeout(timer);
        socket.removeListener('data', onData);
        socket.removeListener('close', onClose);
        const durationMs = getMonotonicMs() - startedAtMs;
        const status = Number(received.split(' ')[1]) || undefined;
        const {name} = gateway;
        resolve({attemptId, gateway: name, path, status, end, durationMs});
      };
      const onData = (bytes: Buffer): void => {
        received += bytes.toString('latin1');
        if (readComplete(received) !== undefined) finish('complete');
      };
      const onClose = (): void => finish('closed');
      const timer = setTimeout(
        () => finish('silent'),
        DEADLINE_MS + LATENESS_MS,
      );
      socket.on('data', onData);
      socket.once('close', onClose);
    });
    for (let part = 1; part < cuts.length; part += 1) {
      socket.write(text.slice(cuts[part - 1], cuts[part]));
      await wait(random.getInteger(60));
    }
    return ended;
  };

  /** Sends requests in turn, on one connection as long as it is open. */
  const sendSeries = async (caller: number): Promise<Outcome[]> => {
    const gateway = gateways[caller % GATEWAY_COUNT];
    const outcomes: Outcome[] = [];
    let socket: Socket | undefined;
    for (let index = 0; index < REQUESTS_PER_CALLER; index += 1) {
      if (socket === undefined || !socket.writable || socket.readableEnded) {
        socket = connect(gateway.port, '127.0.0.1');
        socket.on('error', () => undefined);
      }
      const outcome = await send(`${caller}-${index}`, gateway, socket);
      outcomes.push(outcome);
      if (outcome.end !== 'complete') {
        socket.destroy();
        socket = undefined;
      }
      await wait(random.getInteger(MAX_IDLE_MS));
    }
    socket?.destroy();
    return outcomes;
  };

  /** Reloads gateways and stops them for a while, one after the other. */
  const disturb = async (isOver: () => boolean): Promise<void> => {
    for (let index = 0; !isOver(); index += 1) {
      const gateway = gateways[index % GATEWAY_COUNT];
      gateway.send('SIGHUP');
      await wait(SIGNAL_PERIOD_MS);
      gateway.send('SIGSTOP');
      await wait(random.getInteger(MAX_FREEZE_MS));
      gateway.send('SIGCONT');
      await wait(SIGNAL_PERIOD_MS);
    }
  };

  it('answer or refuse every whole request, also while some stand still', async () => {
    let version = 1;
    const changes = setInterval(() => {
      version += 1;
      putVersion(version);
    }, CHANGE_PERIOD_MS);
    let isOver = false;
    const disturbed = disturb(() => isOver);
    const outcomes = (
      await Promise.all(
        Array.from({length: CALLER_COUNT}, (_, caller) => sendSeries(caller)),
      )
    ).flat();
    isOver = true;
    await disturbed;
    clearInterval(changes);
    expect(gateways.every(gateway => gateway.isRunning())).toBe(true);
    const statuses = new Set(outcomes.map(({status}) => status));
    // Otherwise the requests did not meet what the changes take away.
    for (const status of [200, 401, 404, 413, 429, 502, 503, 504]) {
      expect(statuses).toContain(status);
    }
    const unanswered = outcomes.filter(
      ({end, durationMs}) =>
        end === 'silent' ||
        (end === 'closed' && durationMs < DEADLINE_MS * MAX_USED_TIME),
    );
    expect(unanswered).toEqual([]);
  });
}, 90_000);
