import net from 'node:net';
import {LINK_KEYS_KIND} from '@siskinplank/fleet';
import {
  LogLevel,
  createLogger,
  createRandom,
  createSystemClock,
} from '@siskinplank/foundation';
import {MemorySharedObjectStore, StoreConnection} from '@siskinplank/testing';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createFleetNode} from './fleet-node';
import type {FleetNode} from './fleet-node';

const WAIT = {timeout: 5_000, interval: 20};
const clock = createSystemClock();

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

interface Gateway {
  name: string;
  node: FleetNode;
  connection: StoreConnection;
  connectedPeers: string[];
}

describe('link keys in a store restored from an older copy', () => {
  let objects: MemorySharedObjectStore;
  let gateways: Gateway[];

  beforeEach(() => {
    objects = new MemorySharedObjectStore();
    gateways = [];
  });

  afterEach(async () => {
    for (const {node} of gateways) await node.stop();
  });

  const startGateway = async (name: string): Promise<Gateway> => {
    const connection = new StoreConnection(objects);
    const connectedPeers: string[] = [];
    const node = createFleetNode({
      objects: connection,
      ownRecord: {
        name,
        incarnation: `${name}-${clock.getNowMs()}`,
        address: {host: '127.0.0.1', port: await findFreePort()},
        failureDomain: 'a',
        region: 'r',
      },
      watchWaitMs: 1_000,
      retryDelayMs: 50,
      clock,
      random: createRandom(gateways.length + 1),
      logger: createLogger({
        level: LogLevel.Error,
        fields: {},
        write: () => undefined,
        getWallMs: clock.getWallMs,
      }),
      collectState: () => ({
        isLeaving: false,
        configurationVersion: 1,
        orderToken: 1,
        isOrdering: false,
        open: {},
        demand: {},
        waitingStreams: {},
        poolCapacity: 0,
        faults: {},
        leaving: [],
        limits: {},
        unitNeeds: {},
        poison: {endings: [], sound: [], blames: [], deadlyRequests: []},
      }),
      onPeerStates: () => undefined,
      onReceive: () => undefined,
      onPeerLost: () => undefined,
      onMessage: () => undefined,
      onPeerConnected: peer => connectedPeers.push(peer),
      onMembersChange: () => undefined,
      listLenders: () => new Set(),
      mayRemoveRegistrations: () => false,
      onRegistrationRemoved: () => undefined,
    });
    node.start();
    const gateway = {name, node, connection, connectedPeers};
    gateways.push(gateway);
    return gateway;
  };

  /** Waits until a gateway has links to all others. */
  const awaitLinks = (gateway: Gateway): Promise<void> =>
    vi.waitFor(() => {
      const peers = gateway.node.peers.listResponsive(clock.getNowMs());
      expect(peers.map(({name}) => name).sort()).toEqual(
        gateways.map(({name}) => name).filter(name => name !== gateway.name),
      );
    }, WAIT);

  const readKeys = async (): Promise<unknown[]> => {
    const listed = (await objects.listObjects(LINK_KEYS_KIND)).unsafeCoerce();
    return listed.items.map(({content}) => content);
  };

  it('are stored again by a gateway that has opened links', async () => {
    const copy = objects.takeCopy();
    const first = await startGateway('a');
    await startGateway('b');
    await awaitLinks(first);
    const keys = await readKeys();
    objects.restore(copy);
    await vi.waitFor(async () => expect(await readKeys()).toEqual(keys), WAIT);
    await startGateway('c');
    await awaitLinks(first);
    expect(first.connectedPeers).toEqual(['b', 'c']);
  });

  // A gateway that starts in between stores a key of its own.
  it('are both accepted if another gateway stored one first', async () => {
    const copy = objects.takeCopy();
    const first = await startGateway('a');
    const second = await startGateway('b');
    await awaitLinks(first);
    const [lostKey] = await readKeys();
    for (const {connection} of [first, second]) connection.isCut = true;
    objects.restore(copy);
    const starting = await startGateway('c');
    await vi.waitFor(
      async () => expect(await readKeys()).toHaveLength(1),
      WAIT,
    );
    expect(await readKeys()).not.toEqual([lostKey]);
    for (const {connection} of [first, second]) connection.isCut = false;
    await awaitLinks(starting);
    await awaitLinks(first);
    expect(first.connectedPeers).toEqual(['b', 'c']);
  });

  it('are checked until the store answers', async () => {
    const copy = objects.takeCopy();
    const first = await startGateway('a');
    await startGateway('b');
    await awaitLinks(first);
    const keys = await readKeys();
    for (const {connection} of gateways) connection.refusesWrites = true;
    objects.restore(copy);
    await vi.waitFor(() => expect(first.connection.getEra()).toBe(2), WAIT);
    expect(await readKeys()).toEqual([]);
    for (const {connection} of gateways) connection.refusesWrites = false;
    await vi.waitFor(async () => expect(await readKeys()).toEqual(keys), WAIT);
  });
});
