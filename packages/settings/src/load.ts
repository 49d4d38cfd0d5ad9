/** Loads settings files; problems have file, line, key and expected value. */
import {readFileSync} from 'node:fs';
import {dirname, resolve} from 'node:path';
import {Either, Left, Right} from 'purify-ts';
import {LineCounter, isMap, isNode, isScalar, parseDocument} from 'yaml';
import type {Document, Node} from 'yaml';
import type {z} from 'zod';
import {settingsSchema} from './types';
import type {Settings} from './types';

/** One violation in a settings file. */
export interface SettingsProblem {
  file: string;
  /** Line number from 1; 1 when the position is not known. */
  line: number;
  /** Dotted path of the key; empty for the whole file. */
  key: string;
  /** Description of the expected value. */
  expected: string;
}

/** Formats a problem as `file:line: key: expected`. */
export function formatProblem(problem: SettingsProblem): string {
  const {file, line, key, expected} = problem;
  return `${file}:${line}: ${key === '' ? '(file)' : key}: ${expected}`;
}

type IssuePath = ReadonlyArray<PropertyKey>;

/** Finds the node of a map key, or the node of a list item. */
function findNode(document: Document, path: IssuePath): Node | undefined {
  const parent = document.getIn(path.slice(0, -1), true);
  const key = path.at(-1);
  if (isMap(parent)) {
    const pair = parent.items.find(
      item => isScalar(item.key) && String(item.key.value) === String(key),
    );
    return isNode(pair?.key) ? pair.key : undefined;
  }
  const node = document.getIn(path, true);
  return isNode(node) ? node : undefined;
}

/** Finds the line of the deepest existing node on a path. */
function findLine(
  document: Document,
  lineCounter: LineCounter,
  path: IssuePath,
): number {
  for (let depth = path.length; depth > 0; depth -= 1) {
    const range = findNode(document, path.slice(0, depth))?.range;
    if (range) return lineCounter.linePos(range[0]).line;
  }
  return 1;
}

/** Lists the paths of an issue, one for each unknown key. */
function listIssuePaths(issue: z.core.$ZodIssue): PropertyKey[][] {
  if (issue.code !== 'unrecognized_keys') return [[...issue.path]];
  return issue.keys.map(key => [...issue.path, key]);
}

function formatExpected(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') return 'unknown key; remove it';
  return issue.message;
}

/** Parses and validates the text of a settings file. */
export function parseSettings(
  file: string,
  text: string,
): Either<SettingsProblem[], Settings> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {
    lineCounter,
    maxAliasCount: 0,
  } as object);
  if (document.errors.length > 0) {
    return Left(
      document.errors.map(error => ({
        file,
        line: lineCounter.linePos(error.pos[0]).line,
        key: '',
        expected: `valid YAML (${error.message.split('\n')[0]})`,
      })),
    );
  }
  return Either.encase(() => document.toJS({maxAliasCount: 0}) as unknown)
    .mapLeft(error => [
      {file, line: 1, key: '', expected: `no aliases (${error.message})`},
    ])
    .chain(value => {
      const result = settingsSchema.safeParse(value);
      if (result.success) return Right(result.data);
      const problems = result.error.issues.flatMap(issue =>
        listIssuePaths(issue).map(path => ({
          file,
          line: findLine(document, lineCounter, path),
          key: path.map(String).join('.'),
          expected: formatExpected(issue),
        })),
      );
      return Left(problems);
    });
}

/** Reads a file named in the settings; problems name the key `key`. */
export function readReferencedFile(
  settingsFile: string,
  key: string,
  path: string,
): Either<SettingsProblem[], string> {
  const fullPath = resolve(dirname(settingsFile), path);
  return Either.encase(() => readFileSync(fullPath, 'utf8')).mapLeft(error => [
    {
      file: settingsFile,
      line: 1,
      key,
      expected: `a readable file (${error.message})`,
    },
  ]);
}

/** Reads and validates a settings file. */
export function loadSettings(
  file: string,
): Either<SettingsProblem[], Settings> {
  return Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft(error => [
      {file, line: 1, key: '', expected: `a readable file (${error.message})`},
    ])
    .chain(text => parseSettings(file, text));
}
