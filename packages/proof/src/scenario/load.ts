/** Loads scenario files. */
import {readFileSync, readdirSync} from 'node:fs';
import {basename, join} from 'node:path';
import {parse} from 'yaml';
import {assertInvariant} from '@siskinplank/foundation';
import {WORKSPACE_ROOT} from '../cluster/managed-process';
import {CHECKS} from './checks/index';
import {scenarioSchema} from './schema';
import type {Scenario} from './schema';
import {STEPS} from './steps/index';
import type {ScenarioContext} from './context';

/** Directory of the scenario files, one directory for each invariant. */
const SCENARIO_DIRECTORY = join(WORKSPACE_ROOT, 'packages/proof/scenarios');

/** A scenario with the name of its file. */
export interface NamedScenario {
  name: string;
  scenario: Scenario;
}

/** A step or check that is ready to run. */
export interface BoundItem<T> {
  kind: string;
  /** Process that the parameters name, if any. */
  process: string | undefined;
  text: string;
  run(context: ScenarioContext): Promise<T>;
}

interface Definition<T> {
  schema: {parse(input: unknown): unknown};
  run(parameters: never, context: ScenarioContext): Promise<T>;
}

function parseItems<T>(
  items: ReadonlyArray<Record<string, unknown>>,
  table: Readonly<Record<string, Definition<T>>>,
): BoundItem<T>[] {
  return items.map(item => {
    const [[kind, input]] = Object.entries(item);
    const definition = table[kind];
    assertInvariant(definition !== undefined, `unknown kind ${kind}`);
    const parameters = definition.schema.parse(input ?? {}) as never;
    const {process} = (parameters ?? {}) as {process?: string};
    return {
      kind,
      process,
      text: JSON.stringify(item),
      run: context => definition.run(parameters, context),
    };
  });
}

/** Checks the parameters of all steps. */
export function parseSteps(scenario: Scenario): BoundItem<void>[] {
  return parseItems(scenario.steps, STEPS);
}

/** Checks the parameters of all checks. */
export function parseChecks(scenario: Scenario): BoundItem<string[]>[] {
  return parseItems(scenario.checks, CHECKS);
}

/** Parses a scenario and checks all of its steps and checks. */
export function parseScenario(text: string): Scenario {
  const scenario = scenarioSchema.parse(parse(text));
  parseSteps(scenario);
  parseChecks(scenario);
  return scenario;
}

/** Loads the scenarios of an invariant, or of all. */
export function loadScenarios(
  invariant?: string,
  directory = SCENARIO_DIRECTORY,
): NamedScenario[] {
  return readdirSync(directory, {withFileTypes: true})
    .filter(entry => entry.isDirectory())
    .filter(({name}) => invariant === undefined || name === invariant)
    .sort((a, b) => a.name.localeCompare(b.name))
    .flatMap(({name}) =>
      readdirSync(join(directory, name))
        .filter(file => file.endsWith('.yaml'))
        .sort()
        .map(file => {
          const text = readFileSync(join(directory, name, file), 'utf8');
          const scenario = parseScenario(text);
          assertInvariant(
            scenario.invariant === name,
            `${file} names ${scenario.invariant} but is in ${name}`,
          );
          return {name: `${name}/${basename(file, '.yaml')}`, scenario};
        }),
    );
}
