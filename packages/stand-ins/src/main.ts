/** Runs one stand-in as a process: `main.ts <kind> --options '<json>'`. */
import {parseArgs} from 'node:util';
import {startCollectorStandIn} from './collector';
import type {StandIn} from './control';
import {startEngineStandIn} from './engine';
import {startPlatformStandIn} from './platform';
import {createFaultProxy} from './proxy';
import type {FaultProxyOptions} from './proxy';
import {startServiceStandIn} from './service';
import {startWeightStoreStandIn} from './weight-store';

const EXIT_USAGE = 2;

function startFaultProxy(options: object): Promise<StandIn> {
  return createFaultProxy(options as FaultProxyOptions);
}

/** Start functions of the stand-ins by the kind on the command line. */
const STARTERS: Record<string, (options: object) => Promise<StandIn>> = {
  collector: startCollectorStandIn,
  engine: startEngineStandIn,
  platform: startPlatformStandIn,
  proxy: startFaultProxy,
  service: startServiceStandIn,
  'weight-store': startWeightStoreStandIn,
};

async function main(): Promise<void> {
  const {positionals, values} = parseArgs({
    allowPositionals: true,
    options: {options: {type: 'string', default: '{}'}},
  });
  const start = STARTERS[positionals[0] ?? ''];
  if (start === undefined) {
    const kinds = Object.keys(STARTERS).join('|');
    process.stderr.write(`usage: main.ts ${kinds} [--options JSON]\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const standIn = await start(JSON.parse(values.options) as object);
  const stop = (): void => void standIn.close().then(() => process.exit(0));
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  // `controlPort` of a proxy is printed too; functions are left out of JSON.
  const {port, controlPort} = standIn as StandIn & {controlPort?: number};
  process.stdout.write(`${JSON.stringify({ready: true, port, controlPort})}\n`);
}

await main();
