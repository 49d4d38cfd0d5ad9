import {afterEach, describe, expect, it} from 'vitest';
import {startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {wait} from './testing/single-gateway';

/** Longer than the delays of the state that says it and of the log lines. */
const NOTICED_MS = 600;
const LINK_CLOSED = 1101;
const PEER_LEAVING = 6204;

describe('logs of the peers of a gateway', () => {
  let fleet: GatewayFleet;

  afterEach(() => fleet.close());

  // Guards against ends that can't be told apart where the own last lines are lost.
  it.each([
    ['a stop', false, 'remote'],
    ['a kill in the drain', true, 'lost'],
  ])(
    'show %s',
    async (_end, isKilled, reason) => {
      fleet = await startGatewayFleet({gatewayCount: 2, engineCount: 1});
      const [gateway, peer] = fleet.gateways;
      gateway.send('SIGTERM');
      await wait(NOTICED_MS);
      if (isKilled) gateway.send('SIGKILL');
      await gateway.waitForExit();
      await wait(NOTICED_MS);
      const lines = peer
        .readLog()
        .filter(line => line.peer === gateway.name)
        .filter(({event}) => event === PEER_LEAVING || event === LINK_CLOSED);
      expect(lines).toMatchObject([
        {event: PEER_LEAVING},
        {event: LINK_CLOSED, reason},
      ]);
    },
    60_000,
  );
});
