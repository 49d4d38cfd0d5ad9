/** Starts gateways as the deploy file does, each at a loopback address. */
import {performance} from 'node:perf_hooks';
import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync, createWriteStream} from 'node:fs';
import {createServer} from 'node:net';
import {get} from 'node:http';
import {join} from 'node:path';
import {URL, fileURLToPath} from 'node:url';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

export const ROOT = fileURLToPath(new URL('..', import.meta.url));
/** Bounds of the deployments in `sites/`. */
export const BOUNDS = {
  revoke_ms: 5_000,
  quota_slack: 11_000,
  lease_ms: 3_000,
  retry_budget_ratio: 0.2,
  retry_budget_slack: 58,
  budget_window_s: 10,
  grace_s: 8,
};

/** Below the ports that outgoing connections get. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const picked = new Set();

/** Picks a free port of a loopback address. */
export async function pickPort(ip) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (picked.has(port)) continue;
    picked.add(port);
    const server = createServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, ip, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

/** Fills in the values of the project's own template of settings. */
function renderSettings(fields) {
  const template = readFileSync(join(ROOT, 'deploy/gateway.yaml'), 'utf8');
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((level, key) => level?.[key], fields);
    return json === undefined ? String(value) : JSON.stringify(value);
  });
}

/** The words of the run command, with another settings file. */
function readCommand(settingsFile) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const [program, ...words] = run.split(' ');
  const args = words.map(word =>
    word.endsWith('settings.toml') ? settingsFile : word,
  );
  return {program: program === 'node' ? process.execPath : program, args};
}

/** Creates a gateway that is not running yet. */
export async function createGateway(options) {
  const {name, zone, ip, storePort, directory, memoryMb = 350} = options;
  const frontend = await pickPort(ip);
  const readiness = await pickPort(ip);
  const link = await pickPort(ip);
  const metrics = await pickPort(ip);
  const settingsFile = join(directory, `${name}.yaml`);
  const settings = renderSettings({
    node: name,
    zone,
    region: 'region',
    ip,
    internal_ports: [link, link],
    limits: {cpu_share: 0.513, cores: 1, memory_mb: memoryMb},
    listen: {
      frontend: `${ip}:${frontend}`,
      readiness: `${ip}:${readiness}`,
    },
    platform: {address: `127.0.0.1:${storePort}`},
    bounds: BOUNDS,
  }).replace(`${ip}:9464`, `${ip}:${metrics}`);
  writeFileSync(settingsFile, settings);
  const log = createWriteStream(join(directory, `${name}.log`), {flags: 'a'});
  let child;
  return {
    name,
    zone,
    ip,
    port: frontend,
    linkPort: link,
    start: () => {
      const {program, args} = readCommand(settingsFile);
      const started = spawn(program, args, {
        cwd: ROOT,
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      started.stdout.pipe(log, {end: false});
      started.stderr.pipe(log, {end: false});
      started.hasExited = false;
      started.once('exit', (code, signal) => {
        started.hasExited = true;
        options.onExit?.(code, signal);
      });
      child = started;
    },
    getPid: () => child?.pid,
    describe: () =>
      child?.hasExited ? `ended with ${child.exitCode}` : `${child?.pid}`,
    isRunning: () => child !== undefined && !child.hasExited,
    send: signal => {
      if (child !== undefined && !child.hasExited) child.kill(signal);
    },
    /** Whether it says that it is ready. */
    isReady: () =>
      new Promise(resolve => {
        const request = get(
          {host: ip, port: readiness, path: '/-/readyz', timeout: 900},
          response => {
            response.resume();
            resolve(response.statusCode === 200);
          },
        );
        request.on('timeout', () => request.destroy());
        request.on('error', () => resolve(false));
      }),
  };
}

/** Waits until all gateways are ready; false if one is not in time. */
export async function waitUntilReady(gateways, timeoutMs = 30_000) {
  const endsAtMs = performance.now() + timeoutMs;
  for (;;) {
    const ready = await Promise.all(gateways.map(item => item.isReady()));
    if (!ready.includes(false)) return true;
    if (performance.now() >= endsAtMs) {
      const names = gateways
        .filter((_, index) => !ready[index])
        .map(item => `${item.name} (${item.describe()})`);
      process.stdout.write(`not ready: ${names.join(', ')}\n`);
      return false;
    }
    await sleep(100);
  }
}

/**
 * The platform's choice of nodes: one question each second, out after two
 * misses, back in with a 200, and all nodes of a zone if fewer than half of
 * them are in.
 */
export function startBalancer(gateways) {
  const misses = new Map(gateways.map(item => [item, 0]));
  const ask = async item => {
    const isReady = await item.isReady();
    misses.set(item, isReady ? 0 : misses.get(item) + 1);
  };
  const timer = setInterval(() => void gateways.forEach(ask), 1_000);
  return {
    isIn: item => {
      const nodes = gateways.filter(({zone}) => zone === item.zone);
      const taken = nodes.filter(node => misses.get(node) < 2);
      return taken.length * 2 < nodes.length || taken.includes(item);
    },
    stop: () => clearInterval(timer),
  };
}
