/** Soaks gateways in random faults: `npm run soak -- [--seed N] [--seconds S]`. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {createRandom} from '@siskinplank/foundation';
import {readKnownRed} from '@siskinplank/proof';
import {runSoak} from './run';

const DEFAULT_SECONDS = 40;
const SEED_RANGE = 1_000_000;
const EXIT_FAILED = 1;
/** Before the name of a check in the file of known faults. */
const KNOWN_RED_PREFIX = 'soak/';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const {values} = parseArgs({
  options: {
    seed: {type: 'string'},
    seconds: {type: 'string'},
    /** Keeps settings and logs there; without it they go after a clean run. */
    logs: {type: 'string'},
    /** File with the checks that fail because of a known fault. */
    'known-red': {type: 'string'},
  },
});
const seed =
  values.seed === undefined
    ? createRandom().getInteger(SEED_RANGE)
    : Number(values.seed);
const knownRed =
  values['known-red'] === undefined
    ? new Set<string>()
    : readKnownRed(values['known-red']);
const directory = values.logs ?? mkdtempSync(join(tmpdir(), 'siskinplank-'));

void runSoak({
  seed,
  seconds: Number(values.seconds ?? DEFAULT_SECONDS),
  directory,
}).then(({requestCount, faultCount, violations}) => {
  const isKnown = (check: string): boolean =>
    knownRed.has(`${KNOWN_RED_PREFIX}${check}`);
  for (const {check, detail} of violations) {
    print(`${isKnown(check) ? 'known red: ' : ''}${check}: ${detail}`);
  }
  const unknown = violations.filter(({check}) => !isKnown(check));
  if (violations.length > 0) print(`logs: ${directory}`);
  else if (values.logs === undefined) {
    rmSync(directory, {recursive: true, force: true});
  }
  print(
    `soak: ${requestCount} requests, ${faultCount} faults, ` +
      `${violations.length} violations, seed ${seed}`,
  );
  process.exit(unknown.length > 0 ? EXIT_FAILED : 0);
});
