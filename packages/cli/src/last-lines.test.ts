import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';

const MAIN = fileURLToPath(
  new URL('testing/crashing-role-main.ts', import.meta.url),
);

interface EndedProcess {
  status: number | null;
  lines: Array<Record<string, unknown>>;
}

/** Runs the role until it ends. */
function runUntilEnd(failure: string): Promise<EndedProcess> {
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      ['--import', 'tsx', MAIN, failure],
      (_, output) =>
        resolve({
          status: child.exitCode,
          lines: output
            .split('\n')
            .filter(line => line !== '')
            .map(line => JSON.parse(line) as Record<string, unknown>),
        }),
    );
  });
}

describe('last log lines of a process', () => {
  // Guards against a crash that leaves no trace of what its requests met.
  it.each([
    ['exception', 'uncaughtException', 'state is inconsistent'],
    ['rejection', 'unhandledRejection', 'rejected'],
  ])('are written before an unhandled %s ends it', async (failure, ...seen) => {
    const {status, lines} = await runUntilEnd(failure);
    const [origin, reason] = seen;
    expect(lines.at(-1)).toMatchObject({event: 5005, origin, reason});
    expect(lines.map(({event}) => event)).toContain(5000);
    expect(status).toBe(1);
  });

  // Guards against a kill that takes the lines of the signal and of the drain with it.
  it.each([
    ['drain', 5001],
    ['stop', 1],
  ])('are written before a kill in the %s', async (phase, event) => {
    const {lines} = await runUntilEnd(`kill-in-${phase}`);
    expect(lines.at(-1)).toMatchObject({event});
  });

  // Guards against stops that look like crashes in the logs.
  it('say that a stop ran to its end', async () => {
    const {status, lines} = await runUntilEnd('none');
    expect(lines.at(-1)).toMatchObject({event: 5002});
    expect(status).toBe(0);
  });
});
