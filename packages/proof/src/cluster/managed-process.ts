/** Child processes that end even if their parent is killed. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {readStartTicks} from './process-table';

/** How a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** A running or ended child process. */
export interface ManagedProcess {
  name: string;
  pid: number;
  isRunning(): boolean;
  /** Sends a signal; has no effect on an ended process. */
  sendSignal(signal: NodeJS.Signals): void;
  /** Resolves when the process has ended and its output is read. */
  waitForExit(): Promise<ProcessExit>;
  /** Resolves with the first line for which `isMatch` holds, past or future. */
  waitForLine(isMatch: (line: string) => boolean): Promise<string>;
  /** Last lines of standard output and standard error. */
  listLines(): readonly string[];
}

/** What to start. */
export interface ProcessCommand {
  name: string;
  command: string;
  args: readonly string[];
  /** Receives all output. */
  logFile: string;
}

/** Root of the workspace, where `tsx` and the packages are resolved. */
export const WORKSPACE_ROOT = fileURLToPath(
  new URL('../../../../', import.meta.url),
);
/** Arguments that let node run TypeScript in the started process itself. */
export const TYPESCRIPT_ARGUMENTS = ['--import', 'tsx'] as const;

const MAX_KEPT_LINES = 20_000;
const INTERRUPT_EXIT_CODE = 130;

const running = new Set<ChildProcess>();
let reaper: ChildProcess | undefined;

function stopRunning(): void {
  for (const child of running) child.kill('SIGKILL');
}

function startReaper(): ChildProcess {
  const file = fileURLToPath(new URL('./reaper.ts', import.meta.url));
  // In its own process group, so that an interrupt from the terminal does not
  // end it before the processes that it watches.
  const child = spawn(process.execPath, [...TYPESCRIPT_ARGUMENTS, file], {
    cwd: WORKSPACE_ROOT,
    detached: true,
    stdio: ['pipe', 'ignore', 'ignore'],
  });
  child.unref();
  (child.stdin as unknown as {unref(): void}).unref();
  child.stdin?.on('error', () => undefined);
  process.once('exit', stopRunning);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.once(signal, () => {
      stopRunning();
      process.exit(INTERRUPT_EXIT_CODE);
    });
  }
  return child;
}

function trackChild(child: ChildProcess): void {
  reaper ??= startReaper();
  running.add(child);
  const {pid} = child;
  if (pid !== undefined) {
    reaper.stdin?.write(`add ${pid} ${readStartTicks(pid)}\n`);
  }
  child.once('exit', () => {
    running.delete(child);
    reaper?.stdin?.write(`remove ${pid}\n`);
  });
}

/** Starts a process; its environment holds no more than it needs. */
export function spawnManagedProcess(command: ProcessCommand): ManagedProcess {
  const {PATH, HOME, TMPDIR} = process.env;
  const child = spawn(command.command, [...command.args], {
    cwd: WORKSPACE_ROOT,
    env: {PATH, HOME, TMPDIR},
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  trackChild(child);
  const lines: string[] = [];
  const listeners = new Set<(line: string) => void>();
  const logStream = createWriteStream(command.logFile, {flags: 'a'});
  for (const stream of [child.stdout, child.stderr]) {
    createInterface({input: stream}).on('line', line => {
      lines.push(line);
      if (lines.length > MAX_KEPT_LINES) lines.shift();
      logStream.write(`${line}\n`);
      for (const listener of [...listeners]) listener(line);
    });
  }
  let exit: ProcessExit | undefined;
  const ended = new Promise<ProcessExit>(resolve => {
    const finish = (result: ProcessExit): void => {
      exit = result;
      logStream.end();
      resolve(result);
    };
    child.once('error', error => {
      lines.push(String(error));
      finish({code: null, signal: null});
    });
    // `close` follows `exit` once the output is read.
    child.once('close', (code, signal) => finish({code, signal}));
  });
  const isRunning = (): boolean =>
    exit === undefined && child.exitCode === null && child.signalCode === null;
  return {
    name: command.name,
    pid: child.pid ?? -1,
    isRunning,
    sendSignal: signal => {
      if (isRunning()) child.kill(signal);
    },
    waitForExit: () => ended,
    waitForLine: isMatch => {
      const seen = lines.find(isMatch);
      if (seen !== undefined) return Promise.resolve(seen);
      return new Promise((resolve, reject) => {
        const listener = (line: string): void => {
          if (!isMatch(line)) return;
          listeners.delete(listener);
          resolve(line);
        };
        listeners.add(listener);
        void ended.then(() => {
          const last = lines.slice(-20).join('\n');
          reject(new Error(`${command.name} ended early:\n${last}`));
        });
      });
    },
    listLines: () => lines,
  };
}
