/** A small system of real processes: platform calls, traffic and resources. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {chmodSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {createSystemClock} from '@siskinplank/foundation';
import {WORKSPACE_ROOT, startCluster} from '@siskinplank/proof';
import type {Cluster, SeedObject} from '@siskinplank/proof';
import {ResourceKind} from '@siskinplank/resources';
import {LATER_SIZE, makeObject} from './fixtures';
import {USAGE_MARK} from './role-main';
import type {ProcessUsage} from './role-main';
import type {FigureSink} from './types';

const CALM_MS = 15_000;
const SETTLE_MS = 8_000;
const OUTAGE_MS = 12_000;
const RETURN_MS = 12_000;
const REQUEST_PERIOD_MS = 100;
const READY_TIMEOUT_MS = 90_000;
const MAIN_FILE = fileURLToPath(new URL('./role-main.ts', import.meta.url));
const BUNDLE = join(WORKSPACE_ROOT, 'dist', 'capacity-role.cjs');

const clock = createSystemClock();

type Calls = Record<string, number>;

async function readCalls(cluster: Cluster): Promise<Calls> {
  const counts = (await cluster.platform.requestJson(
    'GET',
    '/control/counts',
  )) as {calls: Calls};
  return counts.calls;
}

function readUsage(cluster: Cluster, name: string): ProcessUsage | undefined {
  const line = cluster
    .getProcess(name)
    .listLines()
    .findLast(text => text.startsWith(USAGE_MARK));
  if (line === undefined) return undefined;
  return JSON.parse(line.slice(USAGE_MARK.length)) as ProcessUsage;
}

/** Bundles the roles as the binary does, so that no compiler stays loaded. */
async function buildBundle(): Promise<void> {
  await build({
    entryPoints: [MAIN_FILE],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    logLevel: 'error',
    banner: {js: '#!/usr/bin/env node'},
    external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  });
  chmodSync(BUNDLE, 0o755);
}

const IDLE_SOURCE = 'setInterval(() => 0, 1000); console.log("ready");';

/** Resident memory of a process that serves nothing. */
async function measureBareProcess(
  sink: FigureSink,
  name: string,
  args: readonly string[],
): Promise<void> {
  const child = spawn(process.execPath, [...args], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  await once(child.stdout, 'data');
  await clock.waitMs(500);
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  const kiB = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  child.kill('SIGTERM');
  sink.add({
    group: 'process',
    name: `resident memory of ${name}`,
    size: 'one process',
    value: kiB / 1_024,
    unit: 'MiB',
  });
}

/** Counts platform calls by kind over a time. */
async function measureCalls(
  sink: FigureSink,
  cluster: Cluster,
  phase: string,
  size: string,
  durationMs: number,
): Promise<void> {
  const before = await readCalls(cluster);
  const startMs = clock.getNowMs();
  await clock.waitMs(durationMs);
  const after = await readCalls(cluster);
  const seconds = (clock.getNowMs() - startMs) / 1_000;
  for (const [kind, count] of Object.entries(after)) {
    sink.add({
      group: 'platform',
      name: `${kind} calls ${phase}`,
      size,
      value: (count - (before[kind] ?? 0)) / seconds,
      unit: 'calls/s',
    });
  }
}

function addUsage(
  sink: FigureSink,
  cluster: Cluster,
  phase: string,
  size: string,
  before: ReadonlyMap<string, ProcessUsage>,
): void {
  for (const role of ['entry', 'side'] as const) {
    const nodes = role === 'entry' ? cluster.entries : cluster.sides;
    const rows = nodes.flatMap(({name}) => {
      const [first, last] = [before.get(name), readUsage(cluster, name)];
      return first && last ? [{first, last}] : [];
    });
    const addMean = (
      name: string,
      unit: string,
      read: (row: {first: ProcessUsage; last: ProcessUsage}) => number,
    ): void => {
      const value =
        rows.reduce((sum, row) => sum + read(row), 0) /
        Math.max(1, rows.length);
      sink.add({
        group: 'process',
        name: `${role}, ${name} ${phase}`,
        size,
        value,
        unit,
      });
    };
    const getSeconds = ({first, last}: (typeof rows)[number]): number =>
      (last.atMs - first.atMs) / 1_000;
    addMean(
      'processor time',
      '% of a core',
      row =>
        (row.last.processorMs - row.first.processorMs) / getSeconds(row) / 10,
    );
    addMean(
      'bytes sent',
      'B/s',
      row => (row.last.sentBytes - row.first.sentBytes) / getSeconds(row),
    );
    addMean(
      'bytes received',
      'B/s',
      row =>
        (row.last.receivedBytes - row.first.receivedBytes) / getSeconds(row),
    );
    addMean(
      'messages received',
      '/s',
      row =>
        (row.last.receivedMessages - row.first.receivedMessages) /
        getSeconds(row),
    );
    addMean('links', 'links', row => row.last.links);
    addMean('resident memory', 'MiB', row => row.last.residentBytes / 2 ** 20);
    addMean('heap in use', 'MiB', row => row.last.heapBytes / 2 ** 20);
  }
}

function readAllUsage(cluster: Cluster): Map<string, ProcessUsage> {
  const usages = new Map<string, ProcessUsage>();
  for (const {name} of [...cluster.entries, ...cluster.sides]) {
    const usage = readUsage(cluster, name);
    if (usage !== undefined) usages.set(name, usage);
  }
  return usages;
}

/** Objects besides the upstreams, as many as at the later size or none. */
function makeSeeds(hasLaterSize: boolean): SeedObject[] {
  if (!hasLaterSize) return [];
  const kinds: Array<[SeedObject['kind'], number]> = [
    [ResourceKind.Model, LATER_SIZE.models],
    [ResourceKind.ClientAccount, LATER_SIZE.accounts],
    [ResourceKind.ApiKey, LATER_SIZE.accounts * LATER_SIZE.keysPerAccount],
  ];
  return kinds.flatMap(([kind, count]) =>
    Array.from({length: count}, (_, index) => {
      const object = makeObject(kind as never, index, LATER_SIZE);
      return {kind, name: object.name, value: object.value};
    }),
  );
}

/** Sends calls on a route at a fixed rate until stopped. */
function startRequests(cluster: Cluster): () => void {
  const timer = clock.startInterval(REQUEST_PERIOD_MS, () => {
    for (const {callerUrl} of cluster.entries) {
      void fetch(`${callerUrl}/job/item`)
        .then(response => response.arrayBuffer())
        .catch(() => undefined);
    }
  });
  return () => timer.cancel();
}

async function measureSystem(
  sink: FigureSink,
  entries: number,
  services: number,
  hasLaterSize: boolean,
): Promise<void> {
  const domains = ['domain-a', 'domain-b', 'domain-c', 'domain-d'];
  const upstreams = Array.from({length: services}, (_, index) => ({
    name: `work-${index}`,
    failureDomain: domains[index % domains.length],
  }));
  const cluster = await startCluster({
    entries,
    services: upstreams,
    hasProxies: false,
    readyTimeoutMs: READY_TIMEOUT_MS,
    objects: [
      ...makeSeeds(hasLaterSize),
      {
        kind: ResourceKind.Route,
        name: 'work',
        value: {
          name: 'work',
          methods: ['GET'],
          path: '/job/*',
          access: 'open',
          idempotent: true,
          upstreams: upstreams.map(({name}) => name),
        },
      },
    ],
  });
  const size = `entries=${entries} sides=${services}${hasLaterSize ? ' objects=1990' : ''}`;
  await clock.waitMs(SETTLE_MS);
  const atCalm = readAllUsage(cluster);
  await measureCalls(sink, cluster, 'in calm', size, CALM_MS);
  addUsage(sink, cluster, 'in calm', size, atCalm);
  const stopRequests = startRequests(cluster);
  await clock.waitMs(2_000);
  const atLoad = readAllUsage(cluster);
  await clock.waitMs(CALM_MS / 2);
  addUsage(sink, cluster, 'at 10 requests/s each', size, atLoad);
  stopRequests();
  if (!hasLaterSize) {
    const lost = [...cluster.entries, ...cluster.sides]
      .filter(({failureDomain}) => failureDomain === domains[0])
      .map(({name}) => name);
    await cluster.platform.sendFault({down: 'unavailable'});
    await measureCalls(sink, cluster, 'in an outage', size, OUTAGE_MS);
    await cluster.platform.sendFault({down: null});
    await measureCalls(sink, cluster, 'after an outage', size, RETURN_MS);
    await Promise.all(lost.map(name => cluster.kill(name)));
    await measureCalls(sink, cluster, 'after a lost domain', size, RETURN_MS);
  }
  await cluster.stop();
}

/** Runs small systems of processes one after another. */
export async function measureProcesses(sink: FigureSink): Promise<void> {
  await buildBundle();
  await measureBareProcess(sink, 'the interpreter alone', ['-e', IDLE_SOURCE]);
  await measureBareProcess(sink, 'the bare binary', [BUNDLE, 'idle']);
  const former = process.env.SISKINPLANK_BINARY;
  process.env.SISKINPLANK_BINARY = BUNDLE;
  await measureSystem(sink, 2, 4, false);
  await measureSystem(sink, 4, 8, false);
  await measureSystem(sink, 2, 4, true);
  if (former === undefined) delete process.env.SISKINPLANK_BINARY;
  else process.env.SISKINPLANK_BINARY = former;
}
