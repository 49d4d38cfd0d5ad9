/** Runs a scenario: system, steps, checks and clean-up. */
import {createRandom, createSystemClock} from '@siskinplank/foundation';
import type {Cluster} from '../cluster/types';
import {createCaller} from './caller';
import type {Caller} from './caller';
import type {ScenarioContext} from './context';
import {parseChecks, parseSteps} from './load';
import type {Scenario} from './schema';
import {endBalancedTraffic} from './steps/balanced';
import {isTooFew} from './types';
import {issueKeys, startSystem} from './system';

/** How a scenario ended. */
export interface ScenarioResult {
  /** What checks and expectations found. */
  violations: string[];
  /** Whether a check, as opposed to an expectation, found a violation. */
  isCheckRed: boolean;
  /** A step that could not be made; the scenario proves nothing. */
  stepError: string | undefined;
  /** Error of the system's start; nothing was tested. */
  startError: string | undefined;
  durationMs: number;
  requests: number;
  /** Last lines of the processes' output, kept for a failure. */
  output: Record<string, readonly string[]>;
}

/** Options of a run. */
export interface RunOptions {
  seed?: number;
  /** Variant that runs in place of the product. */
  variant?: string;
}

const KEPT_LINES = 30;
const SEED_LIMIT = 1_000_000;

function listStandIns(cluster: Cluster, scenario: Scenario): string[] {
  const upstreams = cluster.listUpstreams().map(({name}) => name);
  return [
    'platform',
    ...(scenario.system.weightStore === undefined ? [] : ['weight-store']),
    ...upstreams,
  ];
}

interface StepsResult {
  stepError?: string;
  violations: string[];
}

/** Stops at the first step that fails. */
async function runSteps(context: ScenarioContext): Promise<StepsResult> {
  for (const step of parseSteps(context.scenario)) {
    const {kind, process} = step;
    const startedAtMs = context.clock.getNowMs();
    const record = {kind, process, startedAtMs, endedAtMs: Infinity};
    context.stepRecords.push(record);
    try {
      await step.run(context);
      record.endedAtMs = context.clock.getNowMs();
    } catch (error) {
      const text = `${step.kind}: ${String(error)}`;
      // An expectation is an observation; other steps only set up the scenario.
      return step.kind.startsWith('expect')
        ? {violations: [text]}
        : {stepError: `${text} in ${step.text}`, violations: []};
    }
  }
  return {violations: []};
}

/** Ends all faults that could keep requests open, then awaits them. */
async function settleRequests(
  context: ScenarioContext,
): Promise<string | undefined> {
  const {cluster} = context;
  // A step that failed leaves out the one that ends the traffic.
  endBalancedTraffic(context);
  cluster.heal();
  for (const {name} of [...cluster.entries, ...cluster.sides]) {
    if (cluster.getProcess(name).isRunning()) cluster.thaw(name);
  }
  const results = await Promise.allSettled(context.background);
  const failed = results.find(result => result.status === 'rejected');
  return failed === undefined ? undefined : String(failed.reason);
}

async function runChecks(
  context: ScenarioContext,
): Promise<Pick<ScenarioResult, 'isCheckRed' | 'violations'>> {
  const violations: string[] = [];
  let isCheckRed = false;
  for (const check of parseChecks(context.scenario)) {
    try {
      const problems = await check.run(context);
      isCheckRed ||= problems.some(problem => !isTooFew(problem));
      violations.push(...problems.map(problem => `${problem} (${check.kind})`));
    } catch (error) {
      violations.push(`${check.kind}: ${String(error)}`);
    }
  }
  return {isCheckRed, violations};
}

function collectOutput(cluster: Cluster): Record<string, readonly string[]> {
  const nodes = [...cluster.entries, ...cluster.sides];
  return Object.fromEntries(
    nodes.map(({name}) => [
      name,
      cluster.getProcess(name).listLines().slice(-KEPT_LINES),
    ]),
  );
}

async function runStarted(
  scenario: Scenario,
  seed: number,
  cluster: Cluster,
  caller: Caller,
): Promise<Pick<ScenarioResult, 'isCheckRed' | 'stepError' | 'violations'>> {
  const context: ScenarioContext = {
    scenario,
    cluster,
    caller,
    clock: createSystemClock(),
    random: createRandom(seed),
    keys: await issueKeys(cluster, scenario),
    operatorCalls: [],
    revisionSamples: new Map(),
    stepRecords: [],
    plannedExits: [],
    background: [],
    standIns: listStandIns(cluster, scenario),
  };
  const steps = await runSteps(context);
  const backgroundError = await settleRequests(context);
  const checks = await runChecks(context);
  const stepError = steps.stepError ?? backgroundError;
  const violations = [...steps.violations, ...checks.violations];
  return {
    stepError,
    isCheckRed: checks.isCheckRed,
    // A scenario that stopped early has observed too little by itself.
    violations:
      stepError === undefined
        ? violations
        : violations.filter(text => !isTooFew(text)),
  };
}

/** Runs a scenario against a system of its own. */
export async function runScenario(
  input: Scenario,
  options: RunOptions = {},
): Promise<ScenarioResult> {
  const scenario = {...input, seed: options.seed ?? input.seed};
  const clock = createSystemClock();
  const startedMs = clock.getNowMs();
  const caller = createCaller(
    `m${createRandom(scenario.seed).getInteger(SEED_LIMIT)}`,
  );
  const result: ScenarioResult = {
    violations: [],
    isCheckRed: false,
    stepError: undefined,
    startError: undefined,
    durationMs: 0,
    requests: 0,
    output: {},
  };
  let cluster: Cluster | undefined;
  try {
    cluster = await startSystem(scenario, options.variant);
    const run = await runStarted(scenario, scenario.seed, cluster, caller);
    Object.assign(result, run);
  } catch (error) {
    result.startError = String(error);
  }
  if (cluster !== undefined) {
    result.output = collectOutput(cluster);
    await endSystem(cluster);
  }
  result.requests = caller.listRecords().length;
  await caller.close();
  result.durationMs = clock.getNowMs() - startedMs;
  return result;
}

/** Kills what remains; a graceful stop would wait for open requests. */
async function endSystem(cluster: Cluster): Promise<void> {
  for (const {name} of [...cluster.entries, ...cluster.sides]) {
    if (cluster.getProcess(name).isRunning()) await cluster.kill(name);
  }
  await cluster.stop();
}
