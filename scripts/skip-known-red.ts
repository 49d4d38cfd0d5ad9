/** Passes over the unit tests that `KNOWN-RED.txt` lists, and prints them. */
import {beforeEach} from 'vitest';
import {readKnownRed} from '../packages/proof/src/scenario/known-red';

/** Prefix of a unit test's name in the file of known failures. */
const KNOWN_RED_PREFIX = 'unit/';

const knownRed = readKnownRed('KNOWN-RED.txt');

beforeEach(({task, skip}) => {
  const name = `${KNOWN_RED_PREFIX}${task.suite?.name ?? ''} > ${task.name}`;
  if (!knownRed.has(name)) return;
  process.stdout.write(`known red: ${name}\n`);
  skip('known red');
});
