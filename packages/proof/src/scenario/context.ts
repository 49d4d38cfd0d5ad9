/** What steps and checks of a running scenario share. */
import {createSystemClock} from '@siskinplank/foundation';
import type {Clock, Random} from '@siskinplank/foundation';
import type {LogEntry} from '@siskinplank/stand-ins';
import type {ProcessExit} from '../cluster/managed-process';
import type {Cluster} from '../cluster/types';
import type {Caller} from './caller';
import type {OperatorCall} from './operator';
import type {Scenario} from './schema';

/** State of one run of a scenario. */
export interface ScenarioContext {
  scenario: Scenario;
  cluster: Cluster;
  clock: Clock;
  random: Random;
  caller: Caller;
  /** Key of each account. */
  keys: Map<string, IssuedKey>;
  /** Changes that operators made at a version, with their answers. */
  operatorCalls: OperatorCall[];
  /** Replica revisions of each process, in the order they were read. */
  revisionSamples: Map<string, RevisionSample[]>;
  /** Steps that were run, in order; times are those of `clock`. */
  stepRecords: StepRecord[];
  /** How processes ended after a planned stop. */
  plannedExits: PlannedExit[];
  /** Work in the background, awaited before the checks. */
  background: Promise<unknown>[];
  /** Names of all stand-ins of the system. */
  standIns: readonly string[];
}

/** Revision that a process reported; `atMs` counts as stand-ins do. */
export interface RevisionSample {
  atMs: number;
  revision: number;
  /** Process id, which changes when the process restarts. */
  pid: number;
}

/** A step with the time that it took. */
export interface StepRecord {
  kind: string;
  /** Process that the step names, if any. */
  process: string | undefined;
  startedAtMs: number;
  endedAtMs: number;
}

/** End of a process that was asked to stop. */
export interface PlannedExit {
  process: string;
  signalledAtMs: number;
  endedAtMs: number;
  exit: ProcessExit;
}

/** A key as the operators' interface returned it. */
export interface IssuedKey {
  key: string;
  keyId: string;
}

/** Default limit of waits; long, because the machine may be under load. */
export const WAIT_LIMIT_MS = 30_000;
const POLL_MS = 20;

/** Fails the running scenario. */
export function failStep(message: string): Promise<never> {
  return Promise.reject(new Error(message));
}

/** Polls until the condition holds; fails after the limit. */
export async function waitUntil(
  text: string,
  isMet: () => boolean | Promise<boolean>,
  limitMs: number = WAIT_LIMIT_MS,
): Promise<void> {
  const clock = createSystemClock();
  const deadlineMs = clock.getNowMs() + limitMs;
  while (!(await isMet())) {
    if (clock.getNowMs() > deadlineMs) {
      return failStep(`not met in ${limitMs} ms: ${text}`);
    }
    await clock.waitMs(POLL_MS);
  }
}

/** Reads entries of a stand-in's log that hold a text. */
export async function listMatchingEntries(
  context: ScenarioContext,
  filter: {standIn: string; type?: string; contains?: string},
): Promise<LogEntry[]> {
  const control = context.cluster.getStandIn(filter.standIn);
  const entries = await control.listLog(filter.type);
  const {contains} = filter;
  if (contains === undefined) return entries;
  // JSON escapes quotes, which a marker in a scenario does not hold.
  return entries.filter(entry => JSON.stringify(entry).includes(contains));
}
