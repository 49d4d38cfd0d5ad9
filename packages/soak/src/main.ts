/** Soaks gateways in random faults: `npm run soak -- [--seed N] [--seconds S]`. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {createRandom} from '@siskinplank/foundation';
import {runSoak} from './run';

const DEFAULT_SECONDS = 40;
const SEED_RANGE = 1_000_000;
const EXIT_FAILED = 1;

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const {values} = parseArgs({
  options: {
    seed: {type: 'string'},
    seconds: {type: 'string'},
    /** Keeps settings and logs there; without it they go after a clean run. */
    logs: {type: 'string'},
  },
});
const seed =
  values.seed === undefined
    ? createRandom().getInteger(SEED_RANGE)
    : Number(values.seed);
const directory = values.logs ?? mkdtempSync(join(tmpdir(), 'siskinplank-'));

void runSoak({
  seed,
  seconds: Number(values.seconds ?? DEFAULT_SECONDS),
  directory,
}).then(({requestCount, faultCount, violations}) => {
  for (const {check, detail} of violations) print(`${check}: ${detail}`);
  if (violations.length > 0) print(`logs: ${directory}`);
  else if (values.logs === undefined) {
    rmSync(directory, {recursive: true, force: true});
  }
  print(
    `soak: ${requestCount} requests, ${faultCount} faults, ` +
      `${violations.length} violations, seed ${seed}`,
  );
  process.exit(violations.length > 0 ? EXIT_FAILED : 0);
});
