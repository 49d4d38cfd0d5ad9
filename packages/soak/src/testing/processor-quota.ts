/** Gives a process a fraction of a processor, as the quota of a small host does. */
import {existsSync, readFileSync} from 'node:fs';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {wait} from './single-gateway';

/** A process that is stopped and continued by signals. */
export interface LimitedProcess {
  getPid(): number;
  send(signal: NodeJS.Signals): void;
}

/** A quota in force. */
export interface ProcessorQuota {
  /** Lets the process run freely again. */
  end(): Promise<void>;
}

/** Processor time that the process may use at once. */
const BURST_MS = 4;
const POLL_MS = 2;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/**
 * Processor time that a process has used, from the scheduler of Linux; 0 for a
 * process that has ended, since the next one starts there.
 */
function readUsedMs(pid: number): number {
  const file = `/proc/${pid}/schedstat`;
  if (!existsSync(file)) return 0;
  const [usedNs] = readFileSync(file, 'utf8').split(' ');
  return Number(usedNs) / NANOSECONDS_PER_MILLISECOND;
}

/**
 * Stops the process whenever it has used more than the fraction of the time
 * passed. It gets that fraction also beside other processes, which a fixed
 * pattern of signals does not ensure.
 */
export function startProcessorQuota(
  limited: LimitedProcess,
  fraction: number,
): ProcessorQuota {
  let isActive = true;

  const run = async (): Promise<void> => {
    let budgetMs = BURST_MS;
    let usedMs = readUsedMs(limited.getPid());
    let atMs = getMonotonicMs();
    let isStopped = false;
    while (isActive) {
      const nowMs = getMonotonicMs();
      const nowUsedMs = readUsedMs(limited.getPid());
      const gainedMs = (nowMs - atMs) * fraction;
      budgetMs = Math.min(BURST_MS, budgetMs + gainedMs - (nowUsedMs - usedMs));
      usedMs = nowUsedMs;
      atMs = nowMs;
      const mustStop: boolean = isStopped ? budgetMs < BURST_MS : budgetMs <= 0;
      if (mustStop !== isStopped)
        limited.send(mustStop ? 'SIGSTOP' : 'SIGCONT');
      isStopped = mustStop;
      await wait(POLL_MS);
    }
    limited.send('SIGCONT');
  };

  const running = run();
  return {
    end: async () => {
      isActive = false;
      await running;
    },
  };
}
