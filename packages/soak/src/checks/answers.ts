/** Checks of single requests: whole responses, correct refusals, one run. */
import {CallKind} from '@siskinplank/platform-stand-ins';
import type {RunRecord} from '@siskinplank/platform-stand-ins';
import type {History, Violation} from '../history';
import {DEADLINE_SLACK_MS} from './bounds';

/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function mapRunsByAttempt(
  runs: readonly RunRecord[],
): Map<string, RunRecord[]> {
  const groups = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const known = groups.get(run.attemptId);
    if (known === undefined) groups.set(run.attemptId, [run]);
    else known.push(run);
  }
  return groups;
}

/** Every successful response is complete and belongs to its request. */
export function checkResponses({calls}: History): Violation[] {
  return calls.flatMap(({attemptId, faults}) =>
    faults.map(fault => ({check: 'answer', detail: `${attemptId}: ${fault}`})),
  );
}

/** Requests of kind order run at most once. */
export function checkSingleRuns({calls, runs}: History): Violation[] {
  const byAttempt = mapRunsByAttempt(runs);
  return calls
    .filter(({kind}) => kind === CallKind.Order)
    .flatMap(({attemptId}) => {
      const count = byAttempt.get(attemptId)?.length ?? 0;
      return count > 1
        ? [{check: 'once', detail: `${attemptId} ran ${count} times`}]
        : [];
    });
}

/** A request refused as not run has not run, neither before nor later. */
export function checkRefusals({calls, runs}: History): Violation[] {
  const byAttempt = mapRunsByAttempt(runs);
  return calls
    .filter(({kind, status}) => {
      const isRepeatable = kind === CallKind.Status || kind === CallKind.Stream;
      return !isRepeatable && NOT_RUN_STATUSES.has(status);
    })
    .filter(({attemptId}) => byAttempt.has(attemptId))
    .map(({attemptId, status}) => ({
      check: 'refusal',
      detail: `${attemptId} got ${status} and ran`,
    }));
}

/** Upstreams get the caller's body and account, but not the caller's key. */
export function checkRuns({calls, runs}: History): Violation[] {
  const byAttempt = new Map(calls.map(call => [call.attemptId, call]));
  const violations: Violation[] = [];
  const add = (run: RunRecord, detail: string): void =>
    void violations.push({check: 'run', detail: `${run.attemptId}: ${detail}`});
  for (const run of runs) {
    const call = byAttempt.get(run.attemptId);
    if (run.hadKey) add(run, 'the key was forwarded');
    if (call === undefined) {
      add(run, 'no caller sent it');
      continue;
    }
    if (run.account !== call.account) add(run, `account ${run.account}`);
    if (run.body !== call.body) add(run, 'body differs from the request');
  }
  return violations;
}

/** The deadline sent to an upstream is within the caller's remaining time. */
export function checkDeadlines({calls, runs}: History): Violation[] {
  const byAttempt = new Map(calls.map(call => [call.attemptId, call]));
  return runs.flatMap(run => {
    const call = byAttempt.get(run.attemptId);
    if (call === undefined) return [];
    const leftMs = call.sentAtMs + call.deadlineMs - run.atMs;
    if (run.deadlineMs <= leftMs + DEADLINE_SLACK_MS) return [];
    const detail = `${run.attemptId}: got ${run.deadlineMs} ms, remaining ${Math.round(leftMs)}`;
    return [{check: 'deadline', detail}];
  });
}
