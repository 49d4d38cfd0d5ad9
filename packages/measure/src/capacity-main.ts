/** `npm run capacity`: measures slopes and prints or saves them. */
import {writeFileSync} from 'node:fs';
import {cpus, loadavg} from 'node:os';
import {createSystemClock} from '@siskinplank/foundation';
import {measureEntryDecisions} from './capacity/decisions';
import {measureFleets} from './capacity/fleet-runs';
import {measureGatewayFleets} from './capacity/gateway-fleet';
import {buildGatewayProgram} from './capacity/gateway-program';
import {measureGatewayRequests} from './capacity/gateway-requests';
import {measureHeaps} from './capacity/heap';
import {measureLoanTraffic} from './capacity/loan-traffic';
import {measureProcesses} from './capacity/processes';
import {measureRelayDelay} from './capacity/relay-delay';
import {measureRoutingQuality} from './capacity/routing-quality';
import {measureClaimSweep} from './capacity/claim-sweep';
import {createFigureSink} from './capacity/sink';
import {measureServerLimits} from './capacity/server-limit';
import {measureStateDecisions} from './capacity/state-decisions';
import {measureWire} from './capacity/wire';
import type {CapacityReport} from './capacity/types';

/** Modelled fleets; larger ones take minutes and are run by hand. */
const FLEET_SIZES = [67, 133, 266] as const;

/** Entry hosts of the fleets that lend; 410 take minutes and are run by hand. */
const LENDING_SIZES = [
  {entries: 41, buckets: 16},
  {entries: 128, buckets: 16},
] as const;

/** Gateways of the users' platform, as processes. */
const GATEWAY_FLEET_SIZES = [4, 8, 16, 24, 32] as const;

/** Gateways before an upstream that names a limit, and the limits. */
const LIMITED_FLEET_SIZES = [2, 6, 12, 24, 48] as const;
const NAMED_LIMITS = [1.5, 2] as const;

/** Streams per second of one gateway. */
const STREAM_RATES = [5, 10, 20, 40] as const;

async function runCapacity(): Promise<void> {
  const report: CapacityReport = {
    startedAt: new Date(createSystemClock().getWallMs()).toISOString(),
    processors: cpus().length,
    loadAverage: loadavg()[0],
    figures: [],
    slopes: [],
  };
  const sink = createFigureSink(report);
  measureEntryDecisions(sink);
  await measureStateDecisions(sink);
  await measureHeaps(sink);
  await measureClaimSweep(sink);
  await measureWire(sink);
  measureRelayDelay(sink);
  await measureRoutingQuality(sink);
  await measureLoanTraffic(sink, LENDING_SIZES);
  await measureFleets(sink, FLEET_SIZES);
  await measureProcesses(sink);
  await buildGatewayProgram();
  await measureGatewayRequests(sink, STREAM_RATES);
  await measureGatewayFleets(sink, GATEWAY_FLEET_SIZES);
  await measureServerLimits(sink, LIMITED_FLEET_SIZES, NAMED_LIMITS);
  const index = process.argv.indexOf('--json');
  const file = index === -1 ? undefined : process.argv[index + 1];
  if (file !== undefined) {
    writeFileSync(file, JSON.stringify(report, null, 2) + '\n');
  }
}

void runCapacity();
