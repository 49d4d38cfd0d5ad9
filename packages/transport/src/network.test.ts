import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import * as net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {WebSocket, WebSocketServer} from 'ws';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {
  LogLevel,
  createLogger,
  createRandom,
  createSystemClock,
} from '@siskinplank/foundation';
import {MessageType, ProcessRole} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {createPeerNetwork} from './network';
import type {PeerNetworkOptions} from './network';
import {LinkCloseReason} from './types';
import type {Link, ManagedPeerNetwork, PeerNetwork} from './types';

const clock = createSystemClock();
const KEY = {id: 'k1', secret: Buffer.from('first')};
const NEW_KEY = {id: 'k2', secret: Buffer.from('second')};
const WAIT_MS = 5_000;
const AFTER_STOP_MS = 500;
const BIND_ATTEMPTS = 5;
const CANCEL: Message = {type: MessageType.Cancel, attemptId: 'a-1'};

const cleanups: Array<() => unknown> = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

async function startNetwork(
  name: string,
  options: Partial<PeerNetworkOptions> = {},
  port?: number,
): Promise<ManagedPeerNetwork> {
  // Another process may bind the free port first; retry with another port.
  for (let attempt = 0; attempt < BIND_ATTEMPTS; attempt += 1) {
    const network = createPeerNetwork({
      identity: {
        name,
        incarnation: `${name}-${clock.getNowMs()}`,
        role: ProcessRole.Side,
        failureDomain: 'a',
        region: 'r',
        address: {host: '127.0.0.1', port: port ?? (await findFreePort())},
      },
      clusterKeys: [KEY],
      clock,
      random: createRandom(1),
      logger: createLogger({
        level: LogLevel.Error,
        getWallMs: () => 0,
        write: () => undefined,
      }),
      ...options,
    });
    const started = await network.start();
    if (started.isLeft()) continue;
    cleanups.push(() => network.stop());
    return network;
  }
  throw new Error('no free port');
}

const acquire = async (from: PeerNetwork, to: PeerNetwork): Promise<Link> => {
  const link = await from.acquireLink(to.identity.address, WAIT_MS);
  expect(link).toBeDefined();
  return link as Link;
};

const recordMessages = (network: PeerNetwork): Message[] => {
  const received: Message[] = [];
  network.subscribe([MessageType.Cancel], (_link, message) =>
    received.push(message),
  );
  return received;
};

const openRaw = async (network: PeerNetwork): Promise<WebSocket> => {
  const {port} = network.identity.address;
  const socket = new WebSocket(`ws://127.0.0.1:${port}`);
  socket.on('error', () => undefined);
  cleanups.push(() => socket.terminate());
  await new Promise(resolve => socket.once('open', resolve));
  return socket;
};

describe('peer network', () => {
  // A link must carry messages in both directions, and both ends must find it
  // by the address of the peer.
  it('opens a link that both ends find', async () => {
    const [a, b] = [await startNetwork('a'), await startNetwork('b')];
    const received = recordMessages(a);
    await acquire(a, b);
    const back = await b.acquireLink(a.identity.address, WAIT_MS);
    expect(back?.peer.name).toBe('a');
    expect(back?.send(CANCEL)).toBe(true);
    await vi.waitFor(() => expect(received).toEqual([CANCEL]));
  });

  // With duplicate links, both ends must choose the same one.
  it('prefers the same link at both ends when both dial', async () => {
    const [a, b] = [await startNetwork('a'), await startNetwork('b')];
    a.connect(b.identity.address);
    b.connect(a.identity.address);
    await acquire(a, b);
    await acquire(b, a);
    const received = recordMessages(b);
    await vi.waitFor(() => {
      a.getLink(b.identity.address)?.send(CANCEL);
      expect(received.length).toBeGreaterThan(0);
    });
  });

  // A malicious or faulty peer must not affect the links of other peers.
  it('keeps other links open when one receives malformed frames', async () => {
    const [a, b, c] = [
      await startNetwork('a'),
      await startNetwork('b'),
      await startNetwork('c'),
    ];
    const good = await acquire(b, a);
    await acquire(c, a);
    const received = recordMessages(a);
    const reasons: Array<[string, LinkCloseReason]> = [];
    a.observeLinks({
      onLinkClose: (link, reason) => reasons.push([link.peer.name, reason]),
    });
    // Malformed frames before authentication, then on an authenticated link.
    for (const bytes of [Buffer.alloc(0), Buffer.from([0xc1, 1, 2, 3])]) {
      const raw = await openRaw(a);
      raw.send(bytes);
      await new Promise(resolve => raw.once('close', resolve));
    }
    const bad = c.getLink(a.identity.address);
    bad?.send({type: 'nonsense'} as unknown as Message);
    await vi.waitFor(() =>
      expect(reasons).toEqual([['c', LinkCloseReason.Malformed]]),
    );
    expect(good.isOpen()).toBe(true);
    good.send(CANCEL);
    await vi.waitFor(() => expect(received).toEqual([CANCEL]));
  });

  // An oversized frame must close its link before it uses up memory.
  it('closes a link on an oversized frame', async () => {
    const limits = {maxFrameBytes: 2_000};
    const a = await startNetwork('a', {limits});
    const b = await startNetwork('b');
    const reasons: LinkCloseReason[] = [];
    a.observeLinks({onLinkClose: (_link, reason) => reasons.push(reason)});
    const link = await acquire(b, a);
    link.send({type: MessageType.Cancel, attemptId: 'x'.repeat(4_000)});
    await vi.waitFor(() =>
      expect(reasons).toEqual([LinkCloseReason.Malformed]),
    );
  });

  // Connections that never complete the handshake must not accumulate.
  it('closes connections that do not complete the handshake', async () => {
    const limits = {handshakeTimeoutMs: 100};
    const a = await startNetwork('a', {limits});
    const {port} = a.identity.address;
    const tcp = net.connect(port, '127.0.0.1').resume();
    tcp.on('error', () => undefined);
    const raw = await openRaw(a);
    await Promise.all([
      new Promise(resolve => tcp.once('close', resolve)),
      new Promise(resolve => raw.once('close', resolve)),
    ]);
    expect(a.listLinks()).toEqual([]);
  });

  // A peer that fails without closing its connection must not keep a link open.
  it('closes a link whose peer is unresponsive, and reconnects', async () => {
    const limits = {pingMs: 20, idleMs: 200};
    const a = await startNetwork('a', {limits});
    const b = await startNetwork('b');
    const {port: target} = b.identity.address;
    const pairs: Array<[net.Socket, net.Socket]> = [];
    const forwarder = net.createServer(client => {
      const upstream = net.connect(target, '127.0.0.1');
      for (const socket of [client, upstream]) socket.on('error', () => {});
      client.pipe(upstream);
      upstream.pipe(client);
      pairs.push([client, upstream]);
    });
    const port = await findFreePort();
    await new Promise<void>(r => forwarder.listen(port, '127.0.0.1', r));
    cleanups.push(() => {
      for (const socket of pairs.flat()) socket.destroy();
      forwarder.close();
    });
    const reasons: LinkCloseReason[] = [];
    a.observeLinks({onLinkClose: (_link, reason) => reasons.push(reason)});
    const address = {host: '127.0.0.1', port};
    const first = await a.acquireLink(address, WAIT_MS);
    expect(first).toBeDefined();
    // Stop forwarding in both directions without closing either connection.
    pairs[0][0].unpipe();
    pairs[0][1].unpipe();
    await vi.waitFor(() => expect(reasons[0]).toBe(LinkCloseReason.Idle));
    const second = await a.acquireLink(address, WAIT_MS);
    expect(second?.id).not.toBe(first?.id);
  });

  // The send buffer must stay bounded when a peer does not read.
  it('closes a link whose send buffer overflows', async () => {
    const limits = {maxBufferedBytes: 200_000};
    const a = await startNetwork('a', {limits});
    const b = await startNetwork('b');
    const reasons: LinkCloseReason[] = [];
    a.observeLinks({onLinkClose: (_link, reason) => reasons.push(reason)});
    const link = await acquire(a, b);
    const chunk: Message = {
      type: MessageType.ResponseChunk,
      attemptId: 'a-1',
      sequence: 0,
      data: new Uint8Array(100_000),
    };
    let count = 0;
    // The loop blocks the event loop, so the socket writes little.
    while (link.send(chunk) && count < 10_000) count += 1;
    expect(reasons).toEqual([LinkCloseReason.Overflow]);
    expect(link.isOpen()).toBe(false);
  });

  // A graceful shutdown must not lose the last chunks of a response.
  it('delivers messages that were sent before a stop', async () => {
    const [a, b] = [await startNetwork('a'), await startNetwork('b')];
    let count = 0;
    b.subscribe([MessageType.ResponseChunk], () => (count += 1));
    await acquire(b, a);
    const link = await a.acquireLink(b.identity.address, WAIT_MS);
    for (let sequence = 0; sequence < 200; sequence += 1) {
      link?.send({
        type: MessageType.ResponseChunk,
        attemptId: 'a-1',
        sequence,
        data: new Uint8Array(64 * 1024),
      });
    }
    await a.stop();
    await vi.waitFor(() => expect(count).toBe(200));
  });

  it.each([
    ['accepted', false],
    ['dialed', true],
  ])(
    'logs nothing after a stop beside a handshake of a socket it %s',
    async (_, isDialed) => {
      const lines: string[] = [];
      const logger = createLogger({
        level: LogLevel.Info,
        getWallMs: () => 0,
        write: line => lines.push(line),
      });
      const network = await startNetwork('a', {logger});
      if (isDialed) {
        // Accepts connections and takes no part in the handshake.
        const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
        cleanups.push(() => server.close());
        await new Promise(resolve => server.once('listening', resolve));
        const connected = new Promise(resolve =>
          server.once('connection', resolve),
        );
        const {port} = server.address() as net.AddressInfo;
        network.connect({host: '127.0.0.1', port});
        await connected;
      } else await openRaw(network);
      await network.stop();
      const stoppedLines = [...lines];
      await new Promise(resolve => setTimeout(resolve, AFTER_STOP_MS));
      expect(lines).toEqual(stoppedLines);
    },
  );

  // A link to a restarted peer must be opened again automatically.
  it('reconnects with backoff after the peer restarts', async () => {
    const a = await startNetwork('a');
    const first = await startNetwork('b');
    const {address} = first.identity;
    await acquire(a, first);
    await first.stop();
    await vi.waitFor(() => expect(a.getLink(address)).toBeUndefined());
    const second = await startNetwork('b', {}, address.port);
    await vi.waitFor(
      () =>
        expect(a.getLink(address)?.peer.incarnation).toBe(
          second.identity.incarnation,
        ),
      {timeout: WAIT_MS},
    );
  });

  // Cluster keys must be rotatable without a restart of any process.
  it('rotates cluster keys while links open and close', async () => {
    const [a, b] = [await startNetwork('a'), await startNetwork('b')];
    const link = await acquire(a, b);
    const steps = [
      [[KEY, NEW_KEY], [KEY]],
      [
        [KEY, NEW_KEY],
        [NEW_KEY, KEY],
      ],
      [[NEW_KEY], [NEW_KEY, KEY]],
    ];
    for (const [aKeys, bKeys] of steps) {
      a.setClusterKeys(aKeys);
      b.setClusterKeys(bKeys);
      const current = a.getLink(b.identity.address) ?? link;
      current.close(LinkCloseReason.Local);
      await vi.waitFor(() =>
        expect(a.getLink(b.identity.address)).toBeUndefined(),
      );
      await acquire(a, b);
    }
    const outdated = await startNetwork('c');
    const none = await outdated.acquireLink(a.identity.address, 300);
    expect(none).toBeUndefined();
  });
});

const hasOpenssl = ((): boolean => {
  try {
    execFileSync('openssl', ['version'], {stdio: 'ignore'});
    return true;
  } catch {
    return false;
  }
})();

// The certificates are made with openssl; without it the TLS tests are skipped.
describe.runIf(hasOpenssl)('peer network with TLS', () => {
  const makeCertificates = () => {
    const folder = mkdtempSync(join(tmpdir(), 'siskinplank-tls-'));
    cleanups.push(() => rmSync(folder, {recursive: true}));
    const run = (...args: string[]) =>
      execFileSync('openssl', args, {cwd: folder, stdio: 'ignore'});
    const makeAuthority = (name: string) =>
      run(
        ...['req', '-x509', '-newkey', 'ec', '-pkeyopt'],
        ...['ec_paramgen_curve:P-256', '-nodes', '-subj', `/CN=${name}`],
        ...['-keyout', `${name}.key`, '-out', `${name}.pem`, '-days', '2'],
      );
    const read = (file: string) => readFileSync(join(folder, file), 'utf8');
    const makeLeaf = (name: string, authority: string) => {
      run(
        ...['req', '-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:P-256'],
        ...['-nodes', '-subj', `/CN=${name}`],
        ...['-keyout', `${name}.key`, '-out', `${name}.csr`],
      );
      run(
        ...['x509', '-req', '-in', `${name}.csr`, '-CA', `${authority}.pem`],
        ...['-CAkey', `${authority}.key`, '-CAcreateserial', '-days', '2'],
        ...['-out', `${name}.pem`],
      );
      return {
        certificate: read(`${name}.pem`),
        privateKey: read(`${name}.key`),
        certificateAuthority: read('ca.pem'),
      };
    };
    writeFileSync(join(folder, 'empty'), '');
    makeAuthority('ca');
    makeAuthority('other');
    return {
      member: makeLeaf('member', 'ca'),
      foreign: makeLeaf('stranger', 'other'),
      otherAuthority: read('other.pem'),
    };
  };

  // A process with a certificate of another authority must be rejected.
  it('accepts certificates of the authority only', async () => {
    const {member, foreign} = makeCertificates();
    const a = await startNetwork('a', {tls: member});
    const b = await startNetwork('b', {tls: member});
    const c = await startNetwork('c', {tls: foreign});
    const plain = await startNetwork('d');
    await acquire(a, b);
    expect(await c.acquireLink(a.identity.address, 500)).toBeUndefined();
    expect(await plain.acquireLink(a.identity.address, 500)).toBeUndefined();
  });

  // Guards against expiring certificates that need a restart to be replaced,
  // and against a reload that closes links or still accepts the old authority.
  it('switches to another authority without a restart', async () => {
    const {member, foreign, otherAuthority} = makeCertificates();
    const both = `${member.certificateAuthority}${otherAuthority}`;
    const next = {...foreign, certificateAuthority: otherAuthority};
    const a = await startNetwork('a', {tls: member});
    const b = await startNetwork('b', {tls: member});
    const late = await startNetwork('c', {tls: member});
    const first = await acquire(a, b);
    const steps = [
      {...member, certificateAuthority: both},
      {...next, certificateAuthority: both},
      next,
    ];
    for (const step of steps) {
      for (const network of [a, b]) {
        expect(network.replaceTls(step).isRight()).toBe(true);
        const link = network === a ? b : a;
        const peer = await startNetwork(`peer-${cleanups.length}`, {tls: step});
        await acquire(peer, link);
      }
    }
    expect(first.isOpen()).toBe(true);
    expect(await late.acquireLink(a.identity.address, 500)).toBeUndefined();
  });

  // Guards against a reload of incompletely written files, after which the
  // process could not open or accept links.
  it('keeps its certificate when the new one is invalid', async () => {
    const {member, foreign} = makeCertificates();
    const a = await startNetwork('a', {tls: member});
    const b = await startNetwork('b', {tls: member});
    const mixed = {...member, privateKey: foreign.privateKey};
    const broken = {...member, certificate: 'not a certificate'};
    for (const tls of [mixed, broken, undefined]) {
      expect(a.replaceTls(tls).isLeft()).toBe(true);
    }
    await acquire(b, a);
  });
});
