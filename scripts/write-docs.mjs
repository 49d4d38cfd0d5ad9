/** Writes the parts of the docs that are derived from the code. */
import {readFileSync, readdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {format} from 'node:util';
import {FUNCTION_VERBS} from '../eslint.verbs.mjs';
import {renderScenarioTables} from './scenario-tables.mjs';

const EVENT_PATTERN =
  /defineEvent\(\s*(\d+),\s*LogLevel\.(\w+),\s*(?:'((?:[^'\\]|\\.)*)'|"((?:[^"\\]|\\.)*)"),?\s*\)/g;

/** Lists the events that the packages define. */
export function listEvents() {
  const events = [];
  for (const name of readdirSync('packages')) {
    let text;
    try {
      text = readFileSync(`packages/${name}/src/events.ts`, 'utf8');
    } catch {
      continue;
    }
    for (const match of text.matchAll(EVENT_PATTERN)) {
      const [, id, level, single, double] = match;
      events.push({
        id: Number(id),
        level: level.toLowerCase(),
        name,
        text: (single ?? double).replace(/\\(.)/g, '$1'),
      });
    }
  }
  return events.sort((left, right) => left.id - right.id);
}

/** Renders the catalogue of log events. */
export function renderEvents() {
  const rows = listEvents().map(event =>
    format(
      '| %d | %s | %s | %s |',
      event.id,
      event.level,
      event.name,
      event.text,
    ),
  );
  return [
    '# Log events',
    '',
    'Each log line is a JSON object with `time` (milliseconds since the Unix epoch), `level`, `event` (the number below), `text` and fields of the event. This page is written by `node scripts/write-docs.mjs`.',
    '',
    '| event | level | package | text |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

/** Replaces the verb list of a page. */
export function renderVerbs(page, marker) {
  const start = page.indexOf(marker) + marker.length;
  const end = page.indexOf('\n', start);
  const verbs = [...new Set(FUNCTION_VERBS)].sort().join(', ');
  return (
    page.slice(0, start) +
    verbs +
    '.' +
    page.slice(end === -1 ? page.length : end)
  );
}

const VERB_MARKERS = {
  'docs/STYLE.md': 'Function and method names begin with one of:\n\n',
  'docs/design.md': 'Function names begin with one of these verbs: ',
};

/** Renders every derived page as `[path, text]`. */
export function renderPages() {
  const verbPages = Object.entries(VERB_MARKERS).map(([path, marker]) => [
    path,
    renderVerbs(readFileSync(path, 'utf8'), marker),
  ]);
  const invariants = 'docs/INVARIANTS.md';
  return [
    ['docs/EVENTS.md', renderEvents()],
    [invariants, renderScenarioTables(readFileSync(invariants, 'utf8'))],
    ...verbPages,
  ];
}

if (process.argv[1]?.endsWith('write-docs.mjs')) {
  for (const [path, text] of renderPages()) writeFileSync(path, text);
}
