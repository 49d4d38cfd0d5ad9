/** Draws faults over a system under traffic and checks everything at the end. */
import {createRandom, createSystemClock} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {stringify} from 'yaml';
import {findError} from './prove';
import {makeRandomFault} from './random-faults';
import type {DrawnFault, StepItem} from './random-faults';
import {
  LIMITED_ACCOUNT,
  RANDOM_SYSTEM,
  RANDOM_TARGETS,
  makeLastRequests,
  makeTraffic,
} from './random-system';
import {findSmallerList, isSameFailure, listBrokenChecks} from './reduce';
import {runScenario} from './runner';
import type {ScenarioResult} from './runner';
import {FaultKind, scenarioSchema} from './schema';
import type {Scenario} from './schema';

/** Options of a random-fault run. */
export interface RandomRunOptions {
  seed: number;
  minutes: number;
  /** Most runs spent on making a failing script smaller. */
  maxReductions: number;
  /** Variant that runs in place of the product. */
  variant?: string;
  print: (line: string) => void;
}

/** Result of a random-fault run. */
export interface RandomRunResult {
  isHeld: boolean;
  seed: number;
  episodes: number;
  requests: number;
  faults: number;
  /** Scenario that still fails, with few faults. */
  failing: string | undefined;
}

/** One or two faults at the same time. */
interface Round {
  faults: DrawnFault[];
  holdMs: number;
  gapMs: number;
}

const ROUNDS = 8;
const MS_PER_MINUTE = 60_000;
const MAX_HOLD_MS = 2_500;
const MAX_GAP_MS = 1_500;
/** Traffic continues for longer than any bound after the last round. */
const LAST_MS = 8_000;
const PRINTED_VIOLATIONS = 20;
const WATCH_LIMIT_MS = 300_000;
function makeRound(random: Random): Round {
  const count = 1 + random.getInteger(2);
  return {
    faults: Array.from({length: count}, () =>
      makeRandomFault(random, RANDOM_TARGETS),
    ),
    holdMs: 100 + random.getInteger(MAX_HOLD_MS),
    gapMs: 100 + random.getInteger(MAX_GAP_MS),
  };
}

/** Whether a caller's connection may be closed without a response. */
function canCutCallers(rounds: readonly Round[]): boolean {
  const names: readonly string[] = RANDOM_TARGETS.entries;
  return rounds.some(({faults}) =>
    faults.some(({start}) =>
      start.some(step => {
        const killed = (step.kill as {process?: string} | undefined)?.process;
        return killed !== undefined && names.includes(killed);
      }),
    ),
  );
}

function makeScenario(rounds: readonly Round[], seed: number): Scenario {
  const steps: StepItem[] = [
    {watchRevisions: {forMs: WATCH_LIMIT_MS, mayFail: true}},
    ...makeTraffic(),
  ];
  for (const {faults, holdMs, gapMs} of rounds) {
    steps.push(
      ...faults.flatMap(({start}) => start),
      {pauseFor: {ms: holdMs}},
      ...faults.flatMap(({end}) => end),
      {pauseFor: {ms: gapMs}},
    );
  }
  const {entries, sides, leavingUpstreams, movedRoute, spareAccount} =
    RANDOM_TARGETS;
  const last = makeLastRequests();
  steps.push(
    {heal: {}},
    {pauseFor: {ms: LAST_MS}},
    {waitFor: {ready: entries}},
    ...leavingUpstreams.map(upstream => ({
      upstreamState: {upstream, state: 'active'},
    })),
    // The side process of a leaving upstream is not ready.
    {waitFor: {ready: sides}},
    {stopTraffic: {}},
    ...last.steps,
    {join: {}},
  );
  const drawn = rounds.flatMap(({faults}) => faults.map(({kind}) => kind));
  return scenarioSchema.parse({
    ...RANDOM_SYSTEM,
    invariant: 'INV-09',
    title: 'Random faults over a small system under traffic',
    seed,
    // These two are options of the system's start.
    faults: [
      ...new Set([
        ...drawn,
        FaultKind.CacheEventsLate,
        FaultKind.CacheEventsGaps,
      ]),
    ],
    steps,
    checks: [
      {atMostOnce: {}},
      {notRun: {atLeast: 0}},
      {wholeAnswer: {mayBeCut: canCutCallers(rounds)}},
      {answeredRan: {}},
      {keyNeverSeen: {}},
      {memory: {}},
      {deadlineKept: {answered: last.names}},
      {accountsApart: {atLeast: 0}},
      {keyStopped: {account: spareAccount, refusedAtLeast: 0, mayBeKept: true}},
      {rateCeiling: {account: LIMITED_ACCOUNT, atLeastTokens: 0}},
      ...['engine', 'orders'].map(type => ({
        noWorkAfterLeaving: {
          upstream: `${type}-1`,
          elsewhere: `${type}-2`,
          elsewhereAtLeast: 0,
          mayBeUnmarked: true,
        },
      })),
      {plannedStops: {atLeast: 0}},
      {routeHistory: {route: movedRoute, servedAtLeast: 0}},
      {revisionsKept: {kind: 'Route', name: movedRoute, readAtLeast: 0}},
    ],
  });
}

/** Prints the first violations, and the names of all broken checks. */
function printViolations(
  violations: readonly string[],
  print: (line: string) => void,
): void {
  for (const text of violations.slice(0, PRINTED_VIOLATIONS)) {
    print(`  ${text}`);
  }
  if (violations.length <= PRINTED_VIOLATIONS) return;
  const names = [...listBrokenChecks(violations)].join(', ');
  print(`  ${violations.length} violations in all, of ${names}`);
}

function isFailed(result: ScenarioResult): boolean {
  return result.violations.length > 0;
}

/**
 * Empties the rounds that are not in `kept`. Traffic and times stay as they
 * were, as a shorter run may pass for want of requests alone.
 */
function selectFaults(
  rounds: readonly Round[],
  kept: readonly Round[],
): readonly Round[] {
  return rounds.map(round =>
    kept.includes(round) ? round : {...round, faults: []},
  );
}

/** Leaves out the faults of rounds as long as the script still breaks one of the checks. */
function findSmallerRounds(
  rounds: readonly Round[],
  violations: readonly string[],
  seed: number,
  {print, variant, maxReductions}: RandomRunOptions,
): Promise<readonly Round[]> {
  return findSmallerList(rounds, maxReductions, async rest => {
    const scenario = makeScenario(selectFaults(rounds, rest), seed);
    const result = await runScenario(scenario, {variant});
    const isFailing = isSameFailure(result.violations, violations);
    const outcome = isFailing ? 'fails' : 'passes';
    print(`  with faults in ${rest.length} rounds: ${outcome}`);
    return isFailing;
  });
}

/** Runs episodes with drawn faults until the time is over or one fails. */
export async function runRandomFaults(
  options: RandomRunOptions,
): Promise<RandomRunResult> {
  const {seed, print, variant} = options;
  const clock = createSystemClock();
  const endMs = clock.getNowMs() + options.minutes * MS_PER_MINUTE;
  const total: RandomRunResult = {
    isHeld: true,
    seed,
    episodes: 0,
    requests: 0,
    faults: 0,
    failing: undefined,
  };
  for (let index = 0; index === 0 || clock.getNowMs() < endMs; index += 1) {
    const episodeSeed = seed + index;
    const random = createRandom(episodeSeed);
    const rounds = Array.from({length: ROUNDS}, () => makeRound(random));
    const scenario = makeScenario(rounds, episodeSeed);
    const result = await runScenario(scenario, {variant});
    const error = findError(result);
    total.episodes += 1;
    total.requests += result.requests;
    total.faults += rounds.reduce((sum, {faults}) => sum + faults.length, 0);
    print(
      `episode seed=${episodeSeed} requests=${result.requests} ` +
        `faults=${scenario.faults.join(',')} violations=${result.violations.length}` +
        (error === undefined ? '' : ` could not continue: ${error}`),
    );
    printViolations(result.violations, print);
    if (!isFailed(result) && error === undefined) continue;
    total.isHeld = false;
    if (isFailed(result)) {
      const few = await findSmallerRounds(
        rounds,
        result.violations,
        episodeSeed,
        options,
      );
      total.failing = stringify(
        makeScenario(selectFaults(rounds, few), episodeSeed),
      );
      print(`a smaller failing script:\n${total.failing}`);
    }
    break;
  }
  print(
    `random ${total.isHeld ? 'holds' : 'broken'}  episodes=${total.episodes}` +
      `  requests=${total.requests}  faults=${total.faults}  seed=${seed}`,
  );
  return total;
}
