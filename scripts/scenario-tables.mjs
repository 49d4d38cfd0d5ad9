/** Renders the scenario tables of docs/INVARIANTS.md. */
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {parse} from 'yaml';

const SCENARIOS = 'packages/proof/scenarios';
const BLOCK_PATTERN = /<!-- scenarios (INV-\d\d) -->\n[\s\S]*?<!-- end -->/g;
const NOT_PROVED = 'Not proved: no scenario yet.';

function listScenarios(invariant) {
  const directory = join(SCENARIOS, invariant);
  if (!existsSync(directory)) return [];
  return readdirSync(directory)
    .filter(file => file.endsWith('.yaml'))
    .sort()
    .map(file => ({
      name: file.slice(0, -'.yaml'.length),
      ...parse(readFileSync(join(directory, file), 'utf8')),
    }));
}

function renderTable(invariant) {
  const scenarios = listScenarios(invariant);
  if (scenarios.length === 0) return NOT_PROVED;
  const rows = scenarios.map(
    ({name, title, faults = [], unprotected, seed}) =>
      `| ${name} | ${title} | ${faults.join(', ')} | ${seed} | ${unprotected ?? 'none'} |`,
  );
  return [
    '| scenario | what happens | faults | seed | red with |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
}

/** Replaces the scenario tables of the page. */
export function renderScenarioTables(page) {
  return page.replace(
    BLOCK_PATTERN,
    (_, invariant) =>
      `<!-- scenarios ${invariant} -->\n${renderTable(invariant)}\n<!-- end -->`,
  );
}
