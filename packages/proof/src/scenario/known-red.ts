/** Scenarios that fail because of a known fault, from KNOWN-RED.txt. */
import {existsSync, readFileSync} from 'node:fs';

const COMMENT_MARK = '#';
const FIELD_SEPARATOR = '|';

/** Reads the names of the scenarios; a missing file lists none. */
export function readKnownRed(file: string): ReadonlySet<string> {
  if (!existsSync(file)) return new Set();
  const names = readFileSync(file, 'utf8')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith(COMMENT_MARK))
    .map(line => line.split(FIELD_SEPARATOR)[0].trim());
  return new Set(names);
}
