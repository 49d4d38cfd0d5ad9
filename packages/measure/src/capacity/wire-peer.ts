/** A process that accepts links and discards what it receives. */
import {createRandom, createSystemClock} from '@siskinplank/foundation';
import {ProcessRole} from '@siskinplank/messages';
import {createPeerNetwork} from '@siskinplank/transport';
import {silentLogger} from './fixtures';

/** Key shared by the two processes of the measure. */
export const WIRE_KEY = {id: 'wire', secret: new Uint8Array(32).fill(7)};

const LIFETIME_MS = 120_000;

async function runPeer(port: number): Promise<void> {
  const clock = createSystemClock();
  const network = createPeerNetwork({
    identity: {
      name: 'wire-peer',
      incarnation: 'peer',
      role: ProcessRole.Side,
      failureDomain: 'domain-0',
      region: 'region-a',
      address: {host: '127.0.0.1', port},
    },
    clusterKeys: [WIRE_KEY],
    clock,
    random: createRandom(1),
    logger: silentLogger,
  });
  const started = await network.start();
  process.stdout.write(`ready ${started.isRight()}\n`);
  // Ends on its own if the measuring process is killed.
  clock.startTimer(LIFETIME_MS, () => process.exit(1));
  process.on('SIGTERM', () => process.exit(0));
}

const portText = process.argv[2];
if (portText !== undefined && process.argv[1]?.endsWith('wire-peer.ts')) {
  void runPeer(Number(portText));
}
