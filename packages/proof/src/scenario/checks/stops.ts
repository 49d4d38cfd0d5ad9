/** Check that planned stops among other faults cut no request. */
import {z} from 'zod';
import type {CallRecord} from '../caller';
import type {PlannedExit, ScenarioContext, StepRecord} from '../context';
import {defineCheck, describeTooFew} from '../types';

/** Reason of a refusal whose side process was lost. */
const LINK_LOST = /"code":"link_lost"/;
/** Steps that inject no fault into a running process or link. */
const HARMLESS_STEPS: ReadonlySet<string> = new Set([
  'apply',
  'pauseFor',
  'term',
  'traffic',
  'upstreamState',
  'watchRevisions',
]);

interface History {
  records: readonly CallRecord[];
  steps: readonly StepRecord[];
  entries: ReadonlySet<string>;
}

function isKilled(
  {process, signalledAtMs, endedAtMs}: PlannedExit,
  steps: readonly StepRecord[],
): boolean {
  return steps.some(
    step =>
      step.kind === 'kill' &&
      step.process === process &&
      step.startedAtMs >= signalledAtMs &&
      step.startedAtMs <= endedAtMs,
  );
}

/** Whether a record was open over the signal. */
function isOpenAt(record: CallRecord, atMs: number): boolean {
  return record.startedAtMs < atMs && (record.endedAtMs ?? Infinity) > atMs;
}

/** Whether no other fault began or ended while a request was open. */
function isUndisturbed(
  {startedAtMs, endedAtMs = Infinity}: CallRecord,
  steps: readonly StepRecord[],
): boolean {
  return steps
    .filter(({kind}) => !HARMLESS_STEPS.has(kind))
    .every(
      step => step.endedAtMs < startedAtMs || step.startedAtMs > endedAtMs,
    );
}

/** Describes what is wrong with one planned stop. */
export function listStopProblems(
  stop: PlannedExit,
  {records, steps, entries}: History,
): string[] {
  // A process that is killed while it stops has crashed.
  if (isKilled(stop, steps)) return [];
  const {process, signalledAtMs, exit} = stop;
  const problems =
    exit.code === 0 ? [] : [`${process} ended with ${JSON.stringify(exit)}`];
  const open = records.filter(
    record => !record.isCancelled && isOpenAt(record, signalledAtMs),
  );
  const cut = entries.has(process)
    ? open.filter(({entry, error}) => entry === process && error !== undefined)
    : // An answer does not name the side process of a failed attempt, so this
      // one is checked only while nothing else can have cut the link.
      open.filter(
        record => LINK_LOST.test(record.text) && isUndisturbed(record, steps),
      );
  for (const {name, marker, path, error, text} of cut) {
    const outcome = error ?? text;
    problems.push(`${name ?? marker} ${path}: stop of ${process}: ${outcome}`);
  }
  return problems;
}

/**
 * A process that was asked to stop ends by itself, and requests that were open
 * at that time are not cut. Faults of other kinds may happen meanwhile.
 */
export const plannedStopsCheck = defineCheck(
  z.strictObject({
    /** Least number of planned stops. */
    atLeast: z.int().min(0).default(1),
  }),
  (
    {atLeast},
    {caller, cluster, stepRecords, plannedExits}: ScenarioContext,
  ) => {
    const history = {
      records: caller.listRecords(),
      steps: stepRecords,
      entries: new Set(cluster.entries.map(({name}) => name)),
    };
    return [
      ...plannedExits.flatMap(stop => listStopProblems(stop, history)),
      ...describeTooFew('planned stops', plannedExits.length, atLeast),
    ];
  },
);
