import {StoreOutage} from '@siskinplank/platform-stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {CONTACT_MS, DRAIN_MS} from './checks/bounds';
import {startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {wait} from './testing/single-gateway';
import {LeavingNotice} from './upstreams';

const CALL_PERIOD_MS = 40;
const SILENT_MS = 1_000;
/** Longer than a watch on the upstreams waits. */
const OBSERVED_MS = 9_000;

describe('upstreams that leave after the store was silent', () => {
  let fleet: GatewayFleet;

  beforeAll(async () => {
    // Models are placed in turn, so that two of five have the first one.
    fleet = await startGatewayFleet({gatewayCount: 3, engineCount: 5});
  }, 60_000);

  afterAll(() => fleet.close());

  /** Sends streams through all gateways until `isDone`. */
  const sendStreams = async (isDone: () => boolean): Promise<void> => {
    const calls: Array<ReturnType<GatewayFleet['sendStream']>> = [];
    for (let index = 0; !isDone(); index += 1) {
      calls.push(
        fleet.sendStream({
          attemptId: `call-${index}`,
          gateway: fleet.gateways[index % fleet.gateways.length],
          model: fleet.models[0],
          promptParts: ['c0de', `d${index.toString(16)}`],
        }),
      );
      await wait(CALL_PERIOD_MS);
    }
    await Promise.all(calls);
  };

  // Guards against a watch that lost its answer in the silence and hides later
  // changes until the end of its wait, at all gateways at once.
  it('get no request later than the drain bound', async () => {
    let isDone = false;
    const sent = sendStreams(() => isDone);
    const [leaving, removed] = fleet.upstreams;
    // A change, so that all gateways begin to watch at the same time.
    removed.removeEntry();
    await wait(500);
    fleet.store.setFault({outage: StoreOutage.Silent});
    await wait(SILENT_MS);
    fleet.store.setFault({});
    await wait(CONTACT_MS + 200);
    leaving.drain(LeavingNotice.Store);
    const drainedAtMs = fleet.getNowMs();
    await wait(OBSERVED_MS);
    isDone = true;
    await sent;
    const reached = fleet.history.arrivals.filter(
      ({upstreamId}) => upstreamId === leaving.standIn.getId(),
    );
    const late = reached.filter(({atMs}) => atMs > drainedAtMs + DRAIN_MS);
    expect(reached.length).toBeGreaterThan(0);
    expect(late.length).toBe(0);
  }, 60_000);
});
