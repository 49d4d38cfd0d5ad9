import {mkdtempSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  CallKind,
  buildCallerRequest,
  encodeConfiguration,
  isReady,
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
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createSoakGateway} from './gateways';
import type {SoakGateway} from './gateways';
import {
  renderChunk,
  renderEvents,
  renderHead,
} from './testing/scripted-responses';
import {wait} from './testing/single-gateway';

const HOST_NAME = 'late.example';
const KEY = 'key-of-the-late-streams';
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 10;
const ENGINE_COUNT = 8;
/** Longer than a gateway takes to stop. */
const DEADLINE_MS = 8_000;
const END_OF_CHUNKS = '0\r\n\r\n';
const MODELS = ['m0', 'm1'];
/** Time between two events of a stream, by model. */
const EVENT_MS = [9, 33];
/** The maximum that each request names; an event has three tokens. */
const MAX_EVENTS = 185;
const MAX_TOKENS = 3 * MAX_EVENTS;
const PROMPT_TOKENS = 350;
/** Time from the start of the gateway to SIGTERM. */
const UPTIME_MS = 3_000;
/** Callers open connections until this long after SIGTERM. */
const NOTICE_MS = 1_300;
/** Time after SIGTERM at which late streams are sent. */
const LATE_FROM_MS = 2_000;
const LATE_TO_MS = 6_000;
const LATE_COUNT = 140;
const EARLY_PERIOD_MS = 40;

/** Events of the streams in turn: quantiles of a log-normal distribution. */
const LENGTHS = [
  43, 112, 20, 66, 32, 16, 169, 52, 26, 85, 37, 12, 58, 185, 23, 75, 47,
];

/** A stream that a caller asked for. */
interface StreamOutcome {
  attemptId: string;
  status: number;
  isComplete: boolean;
}

describe('streams that reach a gateway late in its shutdown', () => {
  let directory: string;
  let store: StoreStandIn;
  let gateway: SoakGateway;
  let engines: ScriptedServer[];

  const getIndex = (attemptId: string): number =>
    Number(attemptId.split('-')[1]);
  const countEvents = (attemptId: string): number =>
    LENGTHS[getIndex(attemptId) % LENGTHS.length];
  /** Only late streams use the slow model. */
  const chooseModel = (attemptId: string): number =>
    attemptId.startsWith('late') ? getIndex(attemptId) % 2 : 0;

  const streamEvents = async (request: ScriptedRequest): Promise<void> => {
    const {attemptId, socket} = request;
    const eventMs = EVENT_MS[chooseModel(attemptId)];
    socket.write(renderHead(request, 200, ['Transfer-Encoding: chunked']));
    const startedAtMs = getMonotonicMs();
    const count = countEvents(attemptId);
    for (let sent = 0; sent < count && !socket.destroyed;) {
      await wait(eventMs);
      const due = Math.floor((getMonotonicMs() - startedAtMs) / eventMs);
      const next = Math.min(count, Math.max(sent + 1, due));
      socket.write(renderChunk(renderEvents(request, sent + 1, next)));
      sent = next;
    }
    socket.write(END_OF_CHUNKS);
  };

  beforeEach(async () => {
    directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
    store = await startStoreStandIn(() => 0.5);
    store.putConfiguration(
      encodeConfiguration({
        version: 1,
        hostName: HOST_NAME,
        accounts: [
          {name: 'small', keys: [KEY], ratePerSecond: 1e6, burst: 1e6},
        ],
        models: MODELS.map(name => ({name, weightsMb: 1, adapterCount: 0})),
        serverMemoryMb: 2,
        adapterSlots: 1,
        plainTimeoutMs: DEADLINE_MS,
      }),
    );
    engines = [];
    for (let index = 0; index < ENGINE_COUNT; index += 1) {
      const engine = await startScriptedServer(`engine-${index}`, MODELS);
      engine.setScript(request => void streamEvents(request));
      engines.push(engine);
      store.putServer(engine.id, {
        service: 'engines',
        address: `127.0.0.1:${engine.port}`,
        zone: 'a',
        version: '1',
        slots: 32,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence: 0,
        born: 1_700_000_000_000,
        models: MODELS.map(name => ({name, version: 1, adapters: []})),
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
      await wait(READY_POLL_MS);
    }
  }, 60_000);

  afterEach(async () => {
    gateway.send('SIGKILL');
    await gateway.waitForExit();
    await gateway.storeProxy.close();
    for (const engine of engines) await engine.close();
    await store.close();
    rmSync(directory, {recursive: true, force: true});
  });

  const openConnection = async (): Promise<Socket> => {
    const socket = connect(gateway.port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise<void>(resolve => {
      socket.once('connect', resolve);
      socket.once('close', () => resolve());
    });
    return socket;
  };

  /** Sends a request, the last part of its body `bodyDelayMs` later. */
  const sendStream = (
    socket: Socket,
    attemptId: string,
    bodyDelayMs = 0,
  ): Promise<StreamOutcome> =>
    new Promise(resolve => {
      let text = '';
      socket.setEncoding('latin1');
      const finish = (): void => {
        socket.destroy();
        const status = Number(text.split(' ')[1] ?? 0);
        const isComplete = text.endsWith(END_OF_CHUNKS);
        resolve({attemptId, status, isComplete});
      };
      socket.on('data', (chunk: string) => {
        text += chunk;
        if (text.endsWith(END_OF_CHUNKS)) finish();
      });
      socket.once('close', finish);
      if (socket.destroyed) finish();
      const {headers} = buildCallerRequest(
        {
          kind: CallKind.Stream,
          attemptId,
          account: '',
          key: KEY,
          gateway: '',
          port: 0,
          model: MODELS[chooseModel(attemptId)],
          deadlineMs: DEADLINE_MS,
          promptTokens: PROMPT_TOKENS,
          outputTokens: MAX_TOKENS,
          isChunked: true,
        },
        HOST_NAME,
      );
      const head = [
        'POST /stream/x HTTP/1.1',
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\n${renderChunk('first part')}`);
      const endBody = (): void =>
        void socket.write(renderChunk('last part') + END_OF_CHUNKS);
      if (bodyDelayMs === 0) endBody();
      else setTimeout(endBody, bodyDelayMs);
    });

  /** Runs traffic until the notice ends; resolves to the late streams. */
  const runStop = async (
    sendLate: (index: number, atMs: number) => Promise<StreamOutcome>,
  ): Promise<StreamOutcome[]> => {
    const early: Array<Promise<StreamOutcome>> = [];
    const sendEarly = async (forMs: number): Promise<void> => {
      const endsAtMs = getMonotonicMs() + forMs;
      while (getMonotonicMs() < endsAtMs) {
        const attemptId = `early-${early.length}`;
        early.push(openConnection().then(to => sendStream(to, attemptId)));
        await wait(EARLY_PERIOD_MS);
      }
    };
    await sendEarly(UPTIME_MS);
    gateway.send('SIGTERM');
    const stepMs = (LATE_TO_MS - LATE_FROM_MS) / LATE_COUNT;
    const late = Array.from({length: LATE_COUNT}, (_, index) =>
      sendLate(index, LATE_FROM_MS + index * stepMs),
    );
    await sendEarly(NOTICE_MS);
    const outcomes = await Promise.all(late);
    await Promise.all(early);
    return outcomes;
  };

  const expectNoneCut = (outcomes: readonly StreamOutcome[]): void => {
    const accepted = outcomes.filter(({status}) => status === 200);
    const cut = accepted.filter(({isComplete}) => !isComplete);
    expect(cut).toEqual([]);
    expect(accepted.length).toBeGreaterThan(0);
    const sent = new Set(
      engines.flatMap(({requests}) => requests.map(({attemptId}) => attemptId)),
    );
    const refused = outcomes.filter(({status}) => status === 503);
    expect(refused.filter(({attemptId}) => sent.has(attemptId))).toEqual([]);
  };

  it('cuts none of those sent on connections that were open before', async () => {
    const outcomes = await runStop(async (index, atMs) => {
      const openedMs = (index / LATE_COUNT) * NOTICE_MS;
      await wait(openedMs);
      const socket = await openConnection();
      await wait(atMs - openedMs);
      return sendStream(socket, `late-${index}`);
    });
    expectNoneCut(outcomes);
  }, 60_000);

  it('cuts none of those whose bodies end late', async () => {
    const outcomes = await runStop(async (index, atMs) => {
      const openedMs = (index / LATE_COUNT) * NOTICE_MS;
      await wait(openedMs);
      const socket = await openConnection();
      return sendStream(socket, `late-${index}`, atMs - openedMs);
    });
    expectNoneCut(outcomes);
  }, 60_000);
}, 60_000);
