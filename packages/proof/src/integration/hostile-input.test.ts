import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import WebSocket from 'ws';
import {parse} from 'yaml';
import {createRandom} from '@siskinplank/foundation';
import {startCluster} from '../cluster/cluster';
import type {Cluster} from '../cluster/types';
import {
  issueKey,
  makeAccount,
  makeChat,
  makeModel,
  sendJson,
  waitUntil,
} from './support';

const MODEL = 'layout-7b';
const MEBIBYTE = 1_048_576;
/** More than the handshakes that a listener allows at the same time. */
const HALF_OPEN_CONNECTIONS = 200;
const MALFORMED_FRAMES = 100;
const HANDSHAKE_LIMIT_MS = 10_000;

let cluster: Cluster;
let key: string;
let linkPorts: number[];
let pids: number[];

beforeAll(async () => {
  cluster = await startCluster({
    entries: 2,
    engines: [{options: {modelLoadMs: 100, tokenMs: 20}}],
    objects: [makeAccount('plaksne'), makeModel(MODEL, {maxTokens: 4_000})],
  });
  key = await issueKey(cluster, 'plaksne');
  // The real ports, without the fault proxies of the system's own links.
  linkPorts = [...cluster.entries, ...cluster.sides].map(
    ({settingsFile}) => parse(readFileSync(settingsFile, 'utf8')).link.port,
  );
  pids = listNames().map(name => cluster.getProcess(name).pid);
}, 60_000);

afterAll(() => cluster?.stop(), 60_000);

function listNames(): string[] {
  return [...cluster.entries, ...cluster.sides].map(({name}) => name);
}

function getChatUrl(index = 0): string {
  return `${cluster.entries[index].callerUrl}/v1/chat/completions`;
}

/** Runs `disturb` while a stream is open; both must succeed. */
async function checkUndisturbed(disturb: () => Promise<void>): Promise<void> {
  const body = makeChat(MODEL, 'A stream that must not be disturbed', 200);
  const streams = [0, 1].map(async index => {
    const response = await sendJson(getChatUrl(index), key, {
      ...body,
      stream: true,
    });
    return response.text();
  });
  await disturb();
  for (const text of await Promise.all(streams)) {
    expect(text).toContain('[DONE]');
  }
  for (const index of [0, 1]) {
    const response = await sendJson(
      getChatUrl(index),
      key,
      makeChat(MODEL, 'After it'),
    );
    await response.text();
    expect(response.status).toBe(200);
  }
  const running = listNames().map(name => cluster.getProcess(name));
  expect(running.map(({pid}) => pid)).toEqual(pids);
  expect(running.every(managed => managed.isRunning())).toBe(true);
}

async function sendFrame(port: number, frame: Uint8Array): Promise<void> {
  const socket = new WebSocket(`ws://127.0.0.1:${port}`);
  await new Promise<void>(resolve => {
    socket.on('error', () => resolve());
    socket.on('close', () => resolve());
    socket.on('open', () => socket.send(frame));
  });
}

/** Opens a connection that sends nothing after `text`. */
async function openIdleConnection(port: number, text: string): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  await new Promise<void>(resolve => {
    socket.once('connect', resolve);
    socket.once('close', () => resolve());
  });
  socket.write(text);
  socket.resume();
  return socket;
}

describe('hostile input', () => {
  // Guards against an unauthenticated frame that stops the process, or that
  // closes links of others.
  it('in frames at the link ports disturbs nothing else', async () => {
    const random = createRandom(7);
    await checkUndisturbed(async () => {
      for (const port of linkPorts) {
        const frames = Array.from({length: MALFORMED_FRAMES}, (_, index) =>
          Uint8Array.from({length: 1 + index * 11}, () =>
            random.getInteger(256),
          ),
        );
        await Promise.all(frames.map(frame => sendFrame(port, frame)));
        await sendFrame(port, new Uint8Array(9 * MEBIBYTE));
      }
    });
  }, 60_000);

  // Guards against idle unauthenticated connections that keep members of the
  // system from connecting.
  it('in half-open connections at the link ports disturbs nothing else', async () => {
    const upgrade =
      'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n' +
      'upgrade: websocket\r\nsec-websocket-version: 13\r\n' +
      'sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n';
    const sockets: Socket[] = [];
    await checkUndisturbed(async () => {
      for (const port of linkPorts) {
        for (const text of ['', 'GET / HT', upgrade]) {
          const opened = Array.from({length: HALF_OPEN_CONNECTIONS}, () =>
            openIdleConnection(port, text),
          );
          sockets.push(...(await Promise.all(opened)));
        }
      }
    });
    await waitUntil(
      () => sockets.every(socket => socket.closed),
      HANDSHAKE_LIMIT_MS,
      () => 'silent connections are open',
    );
    const [side] = cluster.sides;
    cluster.getProxy(side.name).applyFault({cut: true});
    cluster.heal();
    await waitUntil(async () => {
      const response = await sendJson(
        getChatUrl(),
        key,
        makeChat(MODEL, 'After a cut'),
      );
      await response.text();
      return response.status === 200;
    });
  }, 60_000);

  // Guards against a caller or operator whose input stops the process or
  // holds its connection.
  it('in bodies of callers and operators is refused and disturbs nothing else', async () => {
    const [{callerUrl, adminUrl}] = cluster.entries;
    const rpc = `${adminUrl}/siskinplank.admin.v1.AdminService`;
    const token = cluster.secrets.bootstrapToken;
    const oversize = JSON.stringify(makeChat(MODEL, 'x'.repeat(2 * MEBIBYTE)));
    const broken = ['{', '[]', 'null', '{"model":', '\u0000', '{"model":{}}'];
    const deep = '['.repeat(200_000);
    const send = async (url: string, bearer: string, body: string) => {
      const response = await sendJson(url, bearer, body).catch(() => undefined);
      await response?.text().catch(() => '');
      // A refused upload may end by a reset before the status is read.
      return response?.status ?? 413;
    };
    await checkUndisturbed(async () => {
      expect(await send(getChatUrl(), key, oversize)).toBe(413);
      for (const body of [...broken, deep]) {
        expect(await send(getChatUrl(), key, body)).toBe(400);
        expect(await send(`${callerUrl}/v1/completions`, key, body)).toBe(400);
        for (const method of ['ApplyResource', 'IssueKey', 'Absent']) {
          const status = await send(`${rpc}/${method}`, token, body);
          expect(status, `${method} ${body.slice(0, 9)}`).toBeLessThan(500);
          expect(status).toBeGreaterThanOrEqual(400);
        }
      }
      const status = await send(`${rpc}/ApplyResource`, token, oversize);
      expect(status).toBeGreaterThanOrEqual(400);
      for (const url of [callerUrl, adminUrl]) {
        const port = Number(new URL(url).port);
        const socket = await openIdleConnection(port, 'BROKEN\r\n\r\n');
        await waitUntil(() => socket.closed);
        const silent = await openIdleConnection(
          port,
          'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n' +
            'content-type: application/json\r\ncontent-length: 100\r\n\r\n{',
        );
        silent.destroy();
      }
    });
  }, 60_000);
});
