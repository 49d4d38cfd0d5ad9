import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {
  LogLevel,
  createLogger,
  createRandom,
  createSystemClock,
} from '@siskinplank/foundation';
import {MemorySharedObjectStore} from '@siskinplank/testing';
import {afterEach, describe, expect, it} from 'vitest';
import {createFleetNode} from './fleet-node';
import type {FleetNode} from './fleet-node';

const clock = createSystemClock();
const SAMPLE_MS = 2_500;

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

describe('fleet node', () => {
  const nodes: FleetNode[] = [];

  afterEach(async () => {
    await Promise.all(nodes.splice(0).map(node => node.stop()));
  });

  const startFleet = async (count: number): Promise<void> => {
    const objects = new MemorySharedObjectStore();
    for (let index = 0; index < count; index += 1) {
      const node = createFleetNode({
        objects,
        ownRecord: {
          name: `gateway-${index}`,
          incarnation: `${index}`,
          address: {host: '127.0.0.1', port: await findFreePort()},
          failureDomain: 'a',
          region: 'r',
        },
        watchWaitMs: 1_000,
        retryDelayMs: 50,
        clock,
        random: createRandom(index + 1),
        logger: createLogger({
          level: LogLevel.Error,
          fields: {},
          write: () => undefined,
          getWallMs: clock.getWallMs,
        }),
        collectState: () => ({
          isLeaving: false,
          orderToken: 1,
          isOrdering: index === 0,
          open: {},
          demand: {},
          accounts: {},
          faults: {},
          leaving: [],
        }),
        onPeerStates: () => undefined,
        onPeerLost: () => undefined,
        onMessage: () => undefined,
        onPeerConnected: () => undefined,
        onMembersChange: () => undefined,
        listDonors: () => new Set(),
        mayRemoveRegistrations: () => false,
      });
      nodes.push(node);
      node.start();
    }
    const endsAtMs = clock.getNowMs() + 20_000;
    const isComplete = (): boolean =>
      nodes.every(
        ({peers}) => peers.listResponsive(clock.getNowMs()).length >= count - 1,
      );
    while (!isComplete()) {
      expect(clock.getNowMs()).toBeLessThan(endsAtMs);
      await clock.waitMs(50);
    }
  };

  const countReceived = (): number =>
    nodes.reduce((sum, node) => sum + node.getTraffic().receivedMessages, 0);

  /** States that each gateway receives in a second. */
  const measureRate = async (onTick: () => void): Promise<number> => {
    const before = countReceived();
    const startedAtMs = clock.getNowMs();
    while (clock.getNowMs() < startedAtMs + SAMPLE_MS) {
      onTick();
      await clock.waitMs(10);
    }
    const seconds = (clock.getNowMs() - startedAtMs) / 1_000;
    return (countReceived() - before) / nodes.length / seconds;
  };

  // With a state from each gateway every 200 ms, a host of a quarter of a core
  // had no processor time left for requests in a fleet of 24.
  it('receives a bounded number of states however large the fleet', async () => {
    await startFleet(24);
    const rate = await measureRate(() => undefined);
    expect(rate).toBeGreaterThan(10);
    expect(rate).toBeLessThan(60);
    const responsive = nodes.map(({peers}) =>
      peers.listResponsive(clock.getNowMs()),
    );
    expect(Math.min(...responsive.map(({length}) => length))).toBe(23);
  }, 60_000);

  it('does not send more states because many requests wait', async () => {
    await startFleet(12);
    const calm = await measureRate(() => undefined);
    const waiting = await measureRate(() => {
      for (const node of nodes) node.scheduleState();
    });
    expect(waiting).toBeLessThan(calm * 2.5);
  }, 60_000);
});
