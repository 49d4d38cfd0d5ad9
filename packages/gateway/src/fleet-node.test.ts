import {
  LogLevel,
  createLogger,
  createManualClock,
  createRandom,
  waitForPoll,
} from '@siskinplank/foundation';
import {
  MemoryHub,
  MemoryNetwork,
  MemorySharedObjectStore,
} from '@siskinplank/testing';
import {describe, expect, it} from 'vitest';
import {createFleetNode} from './fleet-node';
import type {FleetNode} from './fleet-node';

const STEP_MS = 5;
const START_MS = 4_000;
const SAMPLE_MS = 4_000;

describe('fleet node', () => {
  const startFleet = async (count: number) => {
    const clock = createManualClock();
    const hub = new MemoryHub(clock);
    const objects = new MemorySharedObjectStore();
    const nodes: FleetNode[] = Array.from({length: count}, (_, index) =>
      createFleetNode({
        objects,
        ownRecord: {
          name: `gateway-${index}`,
          incarnation: `${index}`,
          address: {host: '10.0.0.1', port: 7_000 + index},
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
        createNetwork: ({identity}) => new MemoryNetwork(hub, identity),
        collectState: () => ({
          isLeaving: false,
          configurationVersion: 1,
          orderToken: 1,
          isOrdering: index === 0,
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
        onPeerConnected: () => undefined,
        onMembersChange: () => undefined,
        listLenders: () => new Set(),
        mayRemoveRegistrations: () => false,
        onRegistrationRemoved: () => undefined,
      }),
    );
    const run = async (forMs: number, onStep?: () => void): Promise<void> => {
      for (let spentMs = 0; spentMs < forMs; spentMs += STEP_MS) {
        onStep?.();
        clock.runFor(STEP_MS);
        await waitForPoll();
      }
    };
    for (const node of nodes) node.start();
    await run(START_MS);
    /** States that each gateway receives in a second. */
    const measureRate = async (onStep?: () => void): Promise<number> => {
      const before = hub.sentMessages;
      await run(SAMPLE_MS, onStep);
      const sent = hub.sentMessages - before;
      return sent / count / (SAMPLE_MS / 1_000);
    };
    return {clock, nodes, measureRate};
  };

  // Guards against small hosts whose processor time goes to the states of others.
  it('receives a bounded number of states however large the fleet', async () => {
    const {clock, nodes, measureRate} = await startFleet(24);
    const rate = await measureRate();
    expect(rate).toBeGreaterThan(10);
    expect(rate).toBeLessThan(60);
    const responsive = nodes.map(
      ({peers}) => peers.listResponsive(clock.getNowMs()).length,
    );
    expect(Math.min(...responsive)).toBe(23);
  }, 30_000);

  it('does not send more states because many requests wait', async () => {
    const {nodes, measureRate} = await startFleet(12);
    const calm = await measureRate();
    const waiting = await measureRate(() => {
      for (const node of nodes) node.scheduleState();
    });
    expect(waiting).toBeLessThan(calm * 2.5);
  }, 30_000);
});
