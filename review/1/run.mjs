/**
 * The store is silent for one second. When it has been sound for longer than
 * `contact_ms`, a server says that it leaves, and exits `drain_ms` and a little
 * later.
 */
import {performance} from 'node:perf_hooks';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setInterval, setTimeout, clearInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';
import {createGateway, startBalancer, waitUntilReady} from '../gateway.mjs';
import {startServer} from '../server.mjs';
import {createStore} from '../store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
const SILENT_MS = 1_000;
/** Time from `drain_ms` to the exit of the server that leaves. */
const LITTLE_LONGER_MS = 2_000;
const ZONES = ['a', 'b', 'c', 'd'];
const REQUESTS_PER_S = 100;
const WORK_MS = 86;
const DEADLINE_MS = 1_500;

const directory = mkdtempSync(join(tmpdir(), 'review-drain-'));
const store = createStore();
const arrivals = [];
const calls = [];
const startedAtMs = performance.now();
const getNowMs = () => Math.round(performance.now() - startedAtMs);

const start = (index, zone) =>
  startServer({
    store,
    id: `i-desk-${index}`,
    service: 'desk',
    zone,
    workMs: WORK_MS,
    onRun: ({attemptId, serverId}) =>
      arrivals.push({attemptId, serverId, atMs: getNowMs()}),
  });
const servers = [];
for (const [index, zone] of ZONES.entries()) {
  servers.push(await start(index, zone));
}
const makeRoute = (name, kind) => ({
  name,
  host: 'desk.example',
  path_prefix: `/${name}/`,
  kind,
  service: 'desk',
  timeout_ms: DEADLINE_MS,
  target_latency_ms: 193,
  max_attempts: kind === 'idempotent' ? 2 : 1,
  priority: 1,
});
store.put('config', 'main', {
  version: 3,
  routes: [
    makeRoute('order', 'non_idempotent'),
    makeRoute('status', 'idempotent'),
  ],
  services: [{name: 'desk', health_path: '/healthz', max_connections: 100}],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
});

const gateways = [];
for (const [index, zone] of ZONES.entries()) {
  gateways.push(
    await createGateway({
      name: `edge-${index}`,
      zone,
      ip: `127.0.79.${index + 1}`,
      storePort: await store.listen(),
      directory,
    }),
  );
}

let count = 0;
const agents = gateways.map(() => new Agent({keepAlive: true}));
const balancer = startBalancer(gateways);
const sendOne = () => {
  count += 1;
  const index = count % gateways.length;
  const gateway = gateways[index];
  if (!balancer.isIn(gateway)) return;
  const isOrder = count % 8 < 4;
  const call = {
    attemptId: `a${count}`,
    kind: isOrder ? 'order' : 'status',
    gateway: gateway.name,
    sentAtMs: getNowMs(),
    status: 0,
  };
  calls.push(call);
  const outgoing = request(
    {
      host: gateway.ip,
      port: gateway.port,
      path: `/${call.kind}/x`,
      method: isOrder ? 'POST' : 'GET',
      agent: agents[index],
      headers: {
        Host: 'desk.example',
        'X-Attempt-Id': call.attemptId,
        'X-Deadline-Ms': String(DEADLINE_MS),
        ...(isOrder && {'Content-Length': 2}),
      },
    },
    response => {
      call.status = response.statusCode;
      response.resume();
    },
  );
  outgoing.setTimeout(DEADLINE_MS + 500, () => outgoing.destroy());
  outgoing.on('error', () => undefined);
  outgoing.end(isOrder ? 'ok' : undefined);
};

for (const gateway of gateways) gateway.start();
let status = 2;
if (await waitUntilReady(gateways)) {
  await sleep(Math.max(0, 12_000 - getNowMs()));
  const timer = setInterval(sendOne, 1_000 / REQUESTS_PER_S);
  await sleep(3_000);
  // An empty server is added, as on any day.
  servers.push(await start(servers.length, ZONES[0]));
  await sleep(1_000);
  const silentAtMs = getNowMs();
  if (HAS_TROUBLE) store.silence(true);
  await sleep(SILENT_MS);
  store.silence(false);
  await sleep(CONTACT_MS + 200);
  const leaving = servers[0];
  const drainedAtMs = getNowMs();
  leaving.drain();
  setTimeout(leaving.exit, DRAIN_MS + LITTLE_LONGER_MS);
  await sleep(DRAIN_MS + LITTLE_LONGER_MS + 4_000);
  clearInterval(timer);
  await sleep(2_000);
  const late = arrivals.filter(
    ({serverId, atMs}) =>
      serverId === leaving.id && atMs > drainedAtMs + DRAIN_MS,
  );
  const afterExitMs = drainedAtMs + DRAIN_MS + LITTLE_LONGER_MS;
  const lateIds = new Set(late.map(({attemptId}) => attemptId));
  const lost = calls.filter(
    ({attemptId, kind, status: code}) =>
      lateIds.has(attemptId) && kind === 'order' && code !== 200,
  );
  const isBroken = late.length > 0;
  status = isBroken ? 1 : 0;
  const lines = [
    `trouble: ${HAS_TROUBLE ? 1 : 0}`,
    `sent ${calls.length} requests, ran ${arrivals.length}`,
    `store silent from ${silentAtMs} ms for ${HAS_TROUBLE ? SILENT_MS : 0} ms`,
    `${leaving.id} leaves: acknowledged at ${drainedAtMs} ms`,
    `it exits at ${afterExitMs} ms`,
    `requests that reached it later than ${DRAIN_MS} ms after: ${late.length}`,
    ...late.map(
      ({attemptId, atMs}) =>
        `  ${attemptId} at ${atMs} ms, ${atMs - drainedAtMs} ms after`,
    ),
    `orders among them that were not answered with success: ${lost.length}`,
    ...lost.map(
      ({attemptId, gateway, sentAtMs, status: code}) =>
        `  ${attemptId} to ${gateway} at ${sentAtMs} ms: status ${code}`,
    ),
    `rule DRAIN ${isBroken ? 'broken' : 'held'}`,
  ];
  const file = fileURLToPath(new URL('record.txt', import.meta.url));
  writeFileSync(file, lines.join('\n') + '\n');
  process.stdout.write(lines.join('\n') + '\n');
}
balancer.stop();
for (const agent of agents) agent.destroy();
for (const gateway of gateways) gateway.send('SIGKILL');
for (const server of servers) server.close();
store.close();
await sleep(200);
rmSync(directory, {recursive: true});
process.exit(status);
