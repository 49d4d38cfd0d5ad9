/** Scenario files, their tables and the readers of answers. */
import {existsSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {createRandom} from '@siskinplank/foundation';
import {readStream} from './checks/answers';
import {loadScenarios, parseScenario, parseSteps} from './load';
import {Verdict, formatInvariant, summarizeInvariant} from './prove';
import type {ProvedScenario} from './prove';
import {makeRandomFault} from './random-faults';
import {RANDOM_TARGETS} from './random-system';
import type {ScenarioResult} from './runner';
import {getVariantMain} from './system';

const MINIMAL = `
invariant: INV-09
title: minimal
system: {}
steps: [{heal: {}}]
checks: [{atMostOnce: {}}]
`;

function makeProved(result: Partial<ScenarioResult>): ProvedScenario {
  return {
    name: 'INV-09/minimal',
    scenario: parseScenario(MINIMAL),
    result: {
      violations: [],
      isCheckRed: false,
      stepError: undefined,
      startError: undefined,
      durationMs: 0,
      requests: 0,
      output: {},
      ...result,
    },
  };
}

describe('scenario files', () => {
  // Guards against a file that fails only when it is run, and against a name
  // of a variant that does not exist.
  it('are valid and name existing variants', () => {
    const scenarios = loadScenarios();
    expect(scenarios.length).toBeGreaterThan(20);
    for (const {name, scenario} of scenarios) {
      const {unprotected} = scenario;
      if (unprotected === undefined) continue;
      expect(existsSync(getVariantMain(unprotected)), name).toBe(true);
    }
  });

  // Guards against a mistyped step or parameter that is silently left out.
  it('are refused with unknown steps, parameters or faults', () => {
    const withSteps = (steps: string): string =>
      MINIMAL.replace('[{heal: {}}]', steps);
    expect(() => parseScenario(MINIMAL)).not.toThrow();
    expect(() => parseScenario(withSteps('[{haul: {}}]'))).toThrow(/haul/);
    expect(() => parseScenario(withSteps('[{kill: {name: a}}]'))).toThrow();
    expect(() => parseScenario(withSteps('[]'))).toThrow();
    expect(() => parseScenario(`${MINIMAL}faults: [flood]`)).toThrow();
  });

  // Guards against a random fault that the step table refuses.
  it('may be made of any random fault', () => {
    const random = createRandom(7);
    const scenario = parseScenario(MINIMAL);
    for (let index = 0; index < 500; index += 1) {
      const {start, end} = makeRandomFault(random, RANDOM_TARGETS);
      const steps = [...start, ...end];
      expect(() => parseSteps({...scenario, steps})).not.toThrow();
    }
  });
});

describe('verdicts', () => {
  // Guards against a point that holds although a scenario was passed over.
  it('show a point with a known red scenario as broken', () => {
    const result = summarizeInvariant('INV-11', [], undefined, true);
    expect([result.verdict, result.isFailed]).toEqual([Verdict.Broken, false]);
  });

  // Guards against a point without scenarios, or with one that could not be
  // run, that is reported as proved.
  it('distinguish held, broken and not proved points', () => {
    const judge = (...results: Array<Partial<ScenarioResult>>): Verdict =>
      summarizeInvariant('INV-09', results.map(makeProved)).verdict;
    expect(judge()).toBe(Verdict.NotProved);
    expect(judge({})).toBe(Verdict.Holds);
    expect(judge({}, {stepError: 'time-out'})).toBe(Verdict.NotProved);
    expect(judge({}, {startError: 'port'})).toBe(Verdict.NotProved);
    expect(judge({}, {violations: ['ran twice']})).toBe(Verdict.Broken);
    const line = formatInvariant(summarizeInvariant('INV-01', []));
    expect(line).toBe('INV-01 not-proved  scenarios=0  faults=-  seed=-');
  });
});

describe('stream reader', () => {
  // Guards against a check that counts a broken stream as complete.
  it('distinguishes complete, failed and silently ended streams', () => {
    const first = 'data: {"choices":[{"text":"elm"}]}\n\n';
    const error = 'data: {"error":{"code":"x"}}\n\n';
    const done = 'data: [DONE]\n\n';
    expect(readStream(first + done)).toMatchObject({text: 'elm', isDone: true});
    expect(readStream(first + error)).toMatchObject({hasError: true});
    expect(readStream(first)).toMatchObject({isDone: false, hasError: false});
    expect(readStream(`${first}data: {"cho`).isMalformed).toBe(true);
  });
});
