import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {CallKind, renderCallerRequest} from '@siskinplank/platform-stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {FLEET_KEY, HOST_NAME, startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';

const DEADLINE_MS = 8_000;
/** Streams whose durations a gateway knows before it stops. */
const WARM_UP_COUNT = 12;
/** Silence of a stream, longer than all delays of a test. */
const SILENT_MS = 1_500;
/** Longer than from a request to the head of its response. */
const HEAD_MS = 300;

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

describe('overlapping requests of a connection around a stop', () => {
  let fleet: GatewayFleet;
  let socket: Socket;

  beforeEach(async () => {
    fleet = await startGatewayFleet({gatewayCount: 1, engineCount: 2});
    await Promise.all(
      Array.from({length: WARM_UP_COUNT}, (_, index) =>
        fleet.sendStream({
          attemptId: `warm-up-${index}`,
          gateway: fleet.gateways[0],
          model: fleet.models[0],
          promptParts: ['aa'],
        }),
      ),
    );
    for (const {standIn} of fleet.upstreams) {
      standIn.setFault({silentMs: SILENT_MS});
    }
    socket = connect(fleet.gateways[0].port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise<void>(resolve => socket.once('connect', resolve));
  }, 60_000);

  afterEach(async () => {
    socket.destroy();
    await fleet.close();
  });

  const sendStream = (attemptId: string): void =>
    void socket.write(
      renderCallerRequest({
        path: `/${CallKind.Stream}/x`,
        hostName: HOST_NAME,
        attemptId,
        key: FLEET_KEY,
        deadlineMs: DEADLINE_MS,
        model: fleet.models[0],
        keepsConnection: true,
      }),
    );

  const readAll = (): Promise<string> =>
    new Promise(resolve => {
      let text = '';
      socket.setEncoding('utf8');
      socket.on('data', (chunk: string) => {
        text += chunk;
      });
      socket.on('close', () => resolve(text));
    });

  // The head of a stream that begins after the stop has `Connection: close`.
  it.each([
    ['began before the stop', HEAD_MS],
    ['began after the stop', 0],
  ])(
    'answers a request sent beside a stream that %s',
    async (_, stopAfterMs) => {
      const answered = readAll();
      const [gateway] = fleet.gateways;
      sendStream('first');
      await wait(stopAfterMs);
      gateway.send('SIGTERM');
      await wait(HEAD_MS);
      sendStream('second');
      const text = await answered;
      const statuses = text.match(/HTTP\/1.1 \d+/g);
      expect(text).toMatch(/^id: 24$/m);
      expect(statuses).toHaveLength(2);
    },
    30_000,
  );
});
