/** Proves the invariants against running systems: `npm run prove`. */
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {runProofs, runUnprotected} from './scenario/prove';
import type {ProveOptions} from './scenario/prove';
import {readKnownRed} from './scenario/known-red';
import {runRandomFaults} from './scenario/random-run';
import {INVARIANTS} from './scenario/schema';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const DEFAULT_PARALLEL = 3;
const DEFAULT_MINUTES = 1;
const DEFAULT_REDUCTIONS = 8;
const USAGE =
  'usage: prove [--only INV-nn] [--match TEXT] [--seed N] [--json FILE]' +
  ' [--unprotected] [--parallel N] [--random [--minutes M] [--variant NAME] [--reductions N]]\n';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

function parseNumber(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

function parseCommandLine() {
  return parseArgs({
    options: {
      only: {type: 'string'},
      match: {type: 'string'},
      'known-red': {type: 'string'},
      seed: {type: 'string'},
      json: {type: 'string'},
      parallel: {type: 'string'},
      minutes: {type: 'string'},
      variant: {type: 'string'},
      reductions: {type: 'string'},
      unprotected: {type: 'boolean', default: false},
      random: {type: 'boolean', default: false},
    },
  }).values;
}

function writeJson(file: string | undefined, value: unknown): void {
  if (file === undefined) return;
  writeFileSync(file, `${JSON.stringify(value, undefined, 2)}\n`);
}

async function runCommand(
  values: ReturnType<typeof parseCommandLine>,
): Promise<number> {
  const only = INVARIANTS.find(invariant => invariant === values.only);
  const numbers = [
    values.seed,
    values.parallel,
    values.minutes,
    values.reductions,
  ].map(parseNumber);
  const [
    seed,
    parallel = DEFAULT_PARALLEL,
    minutes = DEFAULT_MINUTES,
    maxReductions = DEFAULT_REDUCTIONS,
  ] = numbers;
  if (
    (values.only !== undefined && only === undefined) ||
    numbers.some(number => number !== undefined && !Number.isFinite(number))
  ) {
    process.stderr.write(USAGE);
    return EXIT_USAGE;
  }
  if (values.random) {
    const result = await runRandomFaults({
      seed: seed ?? 1,
      minutes,
      maxReductions,
      variant: values.variant,
      print,
    });
    writeJson(values.json, result);
    return result.isHeld ? 0 : EXIT_FAILED;
  }
  const options: ProveOptions = {
    only,
    seed,
    parallel,
    match: values.match,
    knownRed:
      values['known-red'] === undefined
        ? undefined
        : readKnownRed(values['known-red']),
    isUnprotected: values.unprotected,
    print,
  };
  if (values.unprotected) {
    const results = await runUnprotected(options);
    writeJson(values.json, results);
    return results.every(({isRed}) => isRed) ? 0 : EXIT_FAILED;
  }
  const proof = await runProofs(options);
  writeJson(values.json, proof);
  const isFailed = proof.results.some(result => result.isFailed);
  return isFailed ? EXIT_FAILED : 0;
}

async function main(): Promise<number> {
  try {
    return await runCommand(parseCommandLine());
  } catch (error) {
    process.stderr.write(`${String(error)}\n${USAGE}`);
    return EXIT_USAGE;
  }
}

process.exit(await main());
