/** Free loopback ports, reserved across all test processes of the host. */
import {mkdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createRandom} from '@siskinplank/foundation';

/**
 * Below the range that the system uses for ports of outgoing connections,
 * so that a port stays free while its process is restarted.
 */
const FIRST_PORT = 15_000;
const PORT_RANGE = 16_000;
const MAX_ATTEMPTS = 200;
const LOCK_DIRECTORY = join(tmpdir(), 'siskinplank-ports');

const reserved = new Set<number>();

function getLockFile(port: number): string {
  return join(LOCK_DIRECTORY, String(port));
}

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

/** Creates the lock file of a port; removes the lock of an ended process. */
function acquireLock(port: number): boolean {
  const file = getLockFile(port);
  try {
    writeFileSync(file, String(process.pid), {flag: 'wx'});
    return true;
  } catch {
    const owner = Number(readFileSync(file, {encoding: 'utf8', flag: 'a+'}));
    if (owner > 0 && !isRunning(owner)) rmSync(file, {force: true});
    return false;
  }
}

function probePort(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

function releaseAllPorts(): void {
  for (const port of reserved) rmSync(getLockFile(port), {force: true});
}

/** Reserves a port that nothing listens on, until this process ends. */
export async function reservePort(): Promise<number> {
  mkdirSync(LOCK_DIRECTORY, {recursive: true});
  if (reserved.size === 0) process.once('exit', releaseAllPorts);
  const random = createRandom();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const port = FIRST_PORT + random.getInteger(PORT_RANGE);
    if (!acquireLock(port)) continue;
    reserved.add(port);
    if (await probePort(port)) return port;
    releasePort(port);
  }
  return Promise.reject(new Error('no free port found'));
}

/** Makes a port available to later reservations. */
export function releasePort(port: number): void {
  reserved.delete(port);
  rmSync(getLockFile(port), {force: true});
}
