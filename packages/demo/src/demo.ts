/** Starts a small system, runs operator commands and requests, and stops it. */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createSystemClock} from '@siskinplank/foundation';
import {WORKSPACE_ROOT, startCluster} from '@siskinplank/proof';
import type {Cluster} from '@siskinplank/proof';
import {renderManifest} from './manifest';
import {createDemoReport} from './report';
import type {DemoReport} from './report';
import {createDemoCaller} from './requests';

const SAMPLE_FILE = join(WORKSPACE_ROOT, 'examples/demo.yaml');
const ACCOUNT = 'plaksne';
const MODEL = 'layout-7b';
const ADAPTER = 'layout-7b-brass';
const TIME_LIMIT_MS = 120_000;
const SHOWN_LOG_LINES = 15;

/** Must match the models and adapters of the sample configuration. */
const ENGINE_OPTIONS = {
  totalMemoryMiB: 24_000,
  catalog: {
    models: {
      'layout-7b': {memoryMiB: 14_000},
      'proof-13b': {memoryMiB: 18_000},
    },
    adapters: {'layout-7b-brass': {model: MODEL, memoryMiB: 200}},
  },
  tokenMs: 10,
  modelLoadMs: 300,
};

/** Runs the siskinplank command line against the first entry process. */
async function runOperatorCommand(
  cluster: Cluster,
  report: DemoReport,
  args: readonly string[],
): Promise<string> {
  const {exit, lines} = await cluster.runCommand([
    ...args,
    '--server',
    cluster.entries[0].adminUrl,
    '--token-file',
    join(cluster.directory, 'bootstrap.token'),
  ]);
  const output = lines.join('\n');
  const isDone = exit.code === 0;
  report.recordCheck(`siskinplank ${args.join(' ')}`, isDone);
  if (!isDone) report.print(output);
  return output;
}

async function applySampleConfiguration(
  cluster: Cluster,
  report: DemoReport,
): Promise<void> {
  const file = join(cluster.directory, 'demo-resources.yaml');
  const sample = readFileSync(SAMPLE_FILE, 'utf8');
  writeFileSync(file, renderManifest(sample, cluster.listUpstreams()));
  await runOperatorCommand(cluster, report, ['apply', file]);
}

async function issueCallerKey(
  cluster: Cluster,
  report: DemoReport,
): Promise<string> {
  const args = ['key', 'issue', '--account', ACCOUNT, '--output', 'json'];
  const output = await runOperatorCommand(cluster, report, args);
  const match = /"key":\s*"([^"]+)"/.exec(output);
  report.recordCheck('a key was issued', match !== null);
  return match?.[1] ?? '';
}

async function runSteps(cluster: Cluster, report: DemoReport): Promise<void> {
  const [first, second] = cluster.entries;
  const sideNames = cluster.sides.map(({name}) => name);
  report.print('Waiting for the entry processes');
  await cluster.waitForReady([first.name, second.name]);
  await applySampleConfiguration(cluster, report);
  report.print('Waiting for the side processes');
  await cluster.waitForReady(sideNames);
  const key = await issueCallerKey(cluster, report);
  const caller = createDemoCaller(cluster, key, report);
  await Promise.all([first, second].map(caller.waitForKey));
  await caller.runStreamedCompletion(first, MODEL);
  await caller.runAdapterCompletion(second, ADAPTER, MODEL);
  await caller.runRepeatedOrder([first, second]);
  const upstreamNames = cluster.listUpstreams().map(({name}) => name);
  await caller.checkUpstreamLogs(upstreamNames);
  await caller.checkTraces();
}

async function stopSystem(cluster: Cluster, report: DemoReport): Promise<void> {
  report.print('Stopping all processes by SIGTERM');
  const exits = await cluster.stop();
  for (const [name, {code, signal}] of exits) {
    const text = `${name} ended with status ${code ?? signal}`;
    report.recordCheck(text, code === 0);
  }
}

function printLogs(cluster: Cluster, report: DemoReport): void {
  for (const {name} of [...cluster.entries, ...cluster.sides]) {
    report.print(`Last log lines of ${name}`);
    const lines = cluster.getProcess(name).listLines();
    lines.slice(-SHOWN_LOG_LINES).forEach(line => report.print(`  ${line}`));
  }
}

/** Runs the demo and returns the exit status. */
export async function runDemo(): Promise<number> {
  const report = createDemoReport();
  const clock = createSystemClock();
  const limit = clock.startTimer(TIME_LIMIT_MS, () => {
    report.print(`The demo took longer than ${TIME_LIMIT_MS} ms`);
    process.exit(1);
  });
  try {
    const cluster = await startCluster({
      entries: 2,
      engines: [{options: ENGINE_OPTIONS}, {options: ENGINE_OPTIONS}],
      services: [{name: 'orders'}],
      collector: true,
      hasProxies: false,
      seedsUpstreams: false,
      waitsForReady: false,
    });
    try {
      await runSteps(cluster, report);
    } catch (error) {
      report.recordCheck(String(error), false);
    }
    if (report.countFailures() > 0) printLogs(cluster, report);
    await stopSystem(cluster, report);
  } catch (error) {
    report.recordCheck(String(error), false);
  }
  limit.cancel();
  const failures = report.countFailures();
  report.print(failures === 0 ? 'Demo passed' : `Demo failed: ${failures}`);
  return failures === 0 ? 0 : 1;
}
