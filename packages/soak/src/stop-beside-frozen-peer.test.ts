import {getMonotonicMs} from '@siskinplank/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';
import {startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {wait} from './testing/single-gateway';

/** Longer than the grace. */
const SILENT_MS = 20_000;
const HEAD_MS = 500;
/** So late that the link to the peer is still open at the end of the stop. */
const FREEZE_MS = 7_300;
/** The platform would kill the process this long after SIGTERM. */
const KILL_MS = 8_000;

describe('stop of a gateway beside one that does not run', () => {
  let fleet: GatewayFleet;

  afterEach(async () => {
    fleet.gateways[1].send('SIGCONT');
    await fleet.close();
  });

  // Guards against a kill, and last lines that are lost by it.
  it('ends in the grace', async () => {
    fleet = await startGatewayFleet({gatewayCount: 2, engineCount: 2});
    for (const {standIn} of fleet.upstreams) {
      standIn.setFault({silentMs: SILENT_MS});
    }
    const [gateway, peer] = fleet.gateways;
    void fleet.sendStream({
      attemptId: 'open',
      gateway,
      model: fleet.models[0],
      promptParts: ['aa'],
    });
    await wait(HEAD_MS);
    gateway.send('SIGTERM');
    const stoppedAtMs = getMonotonicMs();
    await wait(FREEZE_MS);
    peer.send('SIGSTOP');
    await gateway.waitForExit();
    expect(getMonotonicMs() - stoppedAtMs).toBeLessThan(KILL_MS);
  }, 60_000);
});
