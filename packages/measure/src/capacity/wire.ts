/** Bytes of each message on a real socket between two processes. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import * as net from 'node:net';
import {fileURLToPath} from 'node:url';
import {createRandom, createSystemClock} from '@siskinplank/foundation';
import {ProcessRole, decodeMessage, encodeMessage} from '@siskinplank/messages';
import {releasePort, reservePort} from '@siskinplank/stand-ins';
import {createPeerNetwork} from '@siskinplank/transport';
import {silentLogger} from './fixtures';
import {makeMessageSamples} from './message-samples';
import {measureCall} from './timing';
import type {FigureSink} from './types';
import {WIRE_KEY} from './wire-peer';

const MESSAGES = 200;
const LINK_WAIT_MS = 20_000;
const QUIET_MS = 9_000;
const POLL_MS = 5;

/** Forwards connections and counts the bytes towards the target. */
async function createCountingPipe(targetPort: number) {
  let forward = 0;
  let backward = 0;
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    const target = net.connect(targetPort, '127.0.0.1');
    for (const end of [socket, target]) {
      sockets.add(end);
      end.on('error', () => end.destroy());
      end.on('close', () => sockets.delete(end));
    }
    socket.on('data', data => {
      forward += data.length;
      target.write(data);
    });
    target.on('data', data => {
      backward += data.length;
      socket.write(data);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    port: (server.address() as net.AddressInfo).port,
    getForward: () => forward,
    getBackward: () => backward,
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/** Measures bytes on the wire and the time of encoding and decoding. */
export async function measureWire(sink: FigureSink): Promise<void> {
  const clock = createSystemClock();
  const peerPort = await reservePort();
  const ownPort = await reservePort();
  const file = fileURLToPath(new URL('./wire-peer.ts', import.meta.url));
  const peer = spawn(
    process.execPath,
    ['--import', 'tsx', file, String(peerPort)],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  await once(peer.stdout, 'data');
  const pipe = await createCountingPipe(peerPort);
  const network = createPeerNetwork({
    identity: {
      name: 'wire-source',
      incarnation: 'source',
      role: ProcessRole.Entry,
      failureDomain: 'domain-0',
      region: 'region-a',
      address: {host: '127.0.0.1', port: ownPort},
    },
    clusterKeys: [WIRE_KEY],
    clock,
    random: createRandom(1),
    logger: silentLogger,
  });
  await network.start();
  const address = {host: '127.0.0.1', port: pipe.port};
  const link = await network.acquireLink(address, LINK_WAIT_MS);
  const waitForQuiet = async (): Promise<number> => {
    for (;;) {
      const before = pipe.getForward();
      await clock.waitMs(POLL_MS * 4);
      if (pipe.getForward() === before && link?.getBufferedBytes() === 0) {
        return before;
      }
    }
  };
  const handshake = await waitForQuiet();
  sink.add({
    group: 'wire',
    name: 'opening of a link',
    size: 'both ways',
    value: handshake + pipe.getBackward(),
    unit: 'B',
  });
  for (const {name, message} of makeMessageSamples()) {
    const before = await waitForQuiet();
    for (let index = 0; index < MESSAGES; index += 1) link?.send(message);
    const after = await waitForQuiet();
    const value = (after - before) / MESSAGES;
    sink.add({group: 'wire', name, size: 'one message', value, unit: 'B'});
    const frame = encodeMessage(message);
    const codec = [
      ['encode', measureCall(() => encodeMessage(message)).medianUs],
      ['decode', measureCall(() => decodeMessage(frame)).medianUs],
    ] as const;
    for (const [step, us] of codec) {
      sink.add({
        group: 'codec',
        name: `${step} ${name}`,
        size: 'one message',
        value: us,
        unit: 'us',
      });
    }
  }
  const idleStart = pipe.getForward() + pipe.getBackward();
  await clock.waitMs(QUIET_MS);
  const idle = pipe.getForward() + pipe.getBackward() - idleStart;
  sink.add({
    group: 'wire',
    name: 'idle link, pings of one end through both',
    size: 'one link',
    value: (idle * 1_000) / QUIET_MS,
    unit: 'B/s',
  });
  await network.stop();
  pipe.close();
  peer.kill('SIGTERM');
  [peerPort, ownPort].forEach(releasePort);
}
