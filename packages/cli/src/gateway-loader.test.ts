import {execFile} from 'node:child_process';
import {copyFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const LOADER = fileURLToPath(
  new URL('../../../scripts/gateway/loader.cjs', import.meta.url),
);

interface EndedProcess {
  signal: string | null;
  output: string;
}

describe('gateway loader', () => {
  let directory: string;

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'gateway-loader-'));
  });

  afterEach(() => rmSync(directory, {recursive: true}));

  /** Runs `bundle` under the loader until it ends. */
  const runBundle = (bundle: string): Promise<EndedProcess> => {
    copyFileSync(LOADER, join(directory, 'gateway.cjs'));
    writeFileSync(join(directory, 'gateway-bundle.cjs'), bundle);
    return new Promise(resolve => {
      const child = execFile(
        process.execPath,
        [join(directory, 'gateway.cjs')],
        (_, output) => resolve({signal: child.signalCode, output}),
      );
    });
  };

  // Guards against a gateway that a change of its settings file ends at its start.
  it('keeps a process running that gets SIGHUP while it loads', async () => {
    const ended = await runBundle(
      "process.kill(process.pid, 'SIGHUP'); process.stdout.write('loaded');",
    );
    expect(ended).toEqual({signal: null, output: 'loaded'});
  });
});
