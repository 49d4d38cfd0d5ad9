/** Runs gateways under random faults: `npm run soak -- [--seed N] [--seconds S]`. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {createRandom} from '@siskinplank/foundation';
import {readKnownRed} from '@siskinplank/proof';
import {SoakPlan} from './plan';
import {runSoak} from './run';

const DEFAULT_SECONDS = 40;
const SEED_RANGE = 1_000_000;
const EXIT_FAILED = 1;
/** Prefix of a check's name in the file of known failures. */
const KNOWN_RED_PREFIX = 'soak/';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const {values} = parseArgs({
  options: {
    seed: {type: 'string'},
    seconds: {type: 'string'},
    /**
     * `stops` for planned work only, `deployment` for planned work on a whole
     * deployment; by default all faults.
     */
    plan: {type: 'string'},
    /** Directory of settings and logs; by default deleted after a clean run. */
    logs: {type: 'string'},
    /** File that lists the checks with a known failure. */
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
  plan:
    Object.values(SoakPlan).find(plan => plan === values.plan) ?? SoakPlan.All,
  directory,
}).then(({requestCount, faultCount, violations, summary}) => {
  summary.forEach(print);
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
