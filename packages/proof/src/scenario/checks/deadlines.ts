/** Check that each request has an outcome by its own deadline. */
import {z} from 'zod';
import type {CallRecord} from '../caller';
import type {StepRecord} from '../context';
import {defineCheck, describeTooFew} from '../types';

const HTTP_OK = 200;
/** Characters of an outcome that are shown. */
const OUTCOME_LENGTH = 120;
/** Time for an outcome to reach its caller on a busy machine. */
const DELIVERY_MS = 1_000;

/** Time of an interval in which a process was frozen. */
export function sumFrozenMs(
  steps: readonly StepRecord[],
  process: string | undefined,
  fromMs: number,
  toMs: number,
): number {
  let frozenMs = 0;
  let sinceMs: number | undefined;
  const addUntil = (endMs: number): void => {
    if (sinceMs === undefined) return;
    const overlapMs = Math.min(endMs, toMs) - Math.max(sinceMs, fromMs);
    frozenMs += Math.max(0, overlapMs);
    sinceMs = undefined;
  };
  for (const step of steps) {
    if (step.process !== process) continue;
    if (step.kind === 'freeze') sinceMs ??= step.startedAtMs;
    // A restart begins with the end of the frozen process.
    else if (step.kind !== 'term') addUntil(step.endedAtMs);
  }
  addUntil(toMs);
  return frozenMs;
}

/** Describes what is wrong with the time or the kind of an outcome. */
export function findDeadlineProblem(
  record: CallRecord,
  steps: readonly StepRecord[],
): string | undefined {
  const {deadlineMs, startedAtMs, endedAtMs, entry, status} = record;
  const text = record.error ?? record.text;
  if (deadlineMs === undefined) return undefined;
  if (endedAtMs === undefined) return 'no outcome';
  // A frozen entry process cannot respond; it has to once it runs again.
  const frozenMs = sumFrozenMs(steps, entry, startedAtMs, endedAtMs);
  const tookMs = endedAtMs - startedAtMs - frozenMs;
  if (tookMs > deadlineMs + DELIVERY_MS) {
    const outcome = `${status} ${text.slice(-OUTCOME_LENGTH)}`;
    return `${tookMs.toFixed(0)} ms, deadline ${deadlineMs} ms: ${outcome}`;
  }
  if (status === undefined || status === HTTP_OK) return undefined;
  return text.includes('"code"') ? undefined : `${status} without a reason`;
}

/**
 * Each request with a deadline is answered or refused with a reason by its
 * deadline; named ones, sent while no fault is left, are answered.
 */
export const deadlineKeptCheck = defineCheck(
  z.strictObject({
    answered: z.array(z.string()).default([]),
    atLeast: z.int().min(0).default(1),
  }),
  ({answered, atLeast}, {caller, stepRecords}) => {
    const records = caller
      .listRecords()
      .filter(({isCancelled}) => !isCancelled);
    const problems = records.flatMap(record => {
      const {name, marker, entry, path, body, status, text, error} = record;
      const found = findDeadlineProblem(record, stepRecords);
      const isRefused =
        answered.includes(name ?? '') &&
        (status !== HTTP_OK || error !== undefined);
      const refusal = `not answered: ${status} ${error ?? text}`;
      const what = `${name ?? marker} at ${entry} ${path} ${body.slice(0, 50)}`;
      return [...(found ? [found] : []), ...(isRefused ? [refusal] : [])].map(
        problem => `${what}: ${problem}`,
      );
    });
    return [
      ...problems,
      ...describeTooFew('requests', records.length, atLeast),
    ];
  },
);
