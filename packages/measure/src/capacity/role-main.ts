/** The product's roles, reporting their traffic and use of resources. */
import {createSystemClock} from '@siskinplank/foundation';
import {runEntry, runSide} from '@siskinplank/cli';
import type {PeerNetwork} from '@siskinplank/transport';

const REPORT_PERIOD_MS = 1_000;

/** Mark of the lines that carry a usage report. */
export const USAGE_MARK = 'capacity-usage ';

/** Use of resources since the start of a process. */
export interface ProcessUsage {
  atMs: number;
  processorMs: number;
  residentBytes: number;
  heapBytes: number;
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  receivedMessages: number;
  links: number;
}

function reportUsage(network: PeerNetwork): void {
  const clock = createSystemClock();
  clock.startInterval(REPORT_PERIOD_MS, () => {
    const {user, system} = process.cpuUsage();
    const memory = process.memoryUsage();
    const usage: ProcessUsage = {
      atMs: clock.getNowMs(),
      processorMs: (user + system) / 1_000,
      residentBytes: memory.rss,
      heapBytes: memory.heapUsed,
      ...network.getTraffic(),
      links: network.listLinks().length,
    };
    process.stdout.write(`${USAGE_MARK}${JSON.stringify(usage)}\n`);
  });
}

const [, script, role, , file] = process.argv;
const isBundle = script?.endsWith('capacity-role.cjs') ?? false;
if (isBundle && role === 'idle') {
  // All code is loaded and nothing is started, as the bare binary.
  process.stdout.write('ready\n');
  setInterval(() => undefined, REPORT_PERIOD_MS);
}
if (isBundle && role !== 'idle') {
  const status =
    role === 'entry'
      ? runEntry(file, ({cradle}) => reportUsage(cradle.network))
      : runSide(file, ({cradle}) => reportUsage(cradle.network));
  void status.then(code => {
    process.exit(code);
  });
}
