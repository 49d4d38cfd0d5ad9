/** Checks of stops: whole answers around them, and complete logs. */
import type {CallRecord, RunRecord} from '@siskinplank/platform-stand-ins';
import type {GatewayProcess} from '../gateways';
import {PLANNED_KINDS, STORE_KINDS} from '../history';
import type {History, Violation} from '../history';
import {
  CONTACT_MS,
  GRACE_MS,
  LAST_GRACE_FRACTION,
  LATE_REQUEST_MS,
  STOP_SLACK_MS,
} from './bounds';

const REQUEST_ENDED_EVENT = 6030;
const ROLE_STOPPED_EVENT = 5002;

/** Whether a fault that excuses a missing answer was near the call. */
function hasExcuse({faults}: History, call: CallRecord): boolean {
  return faults.some(
    ({kind, fromMs, toMs}) =>
      !PLANNED_KINDS.has(kind) &&
      !STORE_KINDS.has(kind) &&
      fromMs <= call.endedAtMs &&
      toMs >= call.sentAtMs - CONTACT_MS,
  );
}

/** Whether the end of the grace may cut the call. */
function mayBeCut(
  call: CallRecord,
  runs: readonly RunRecord[],
  stopAtMs: number,
): boolean {
  const lastPartAtMs = stopAtMs + GRACE_MS * (1 - LAST_GRACE_FRACTION);
  return (
    call.sentAtMs <= stopAtMs + LATE_REQUEST_MS &&
    runs.some(({endedAtMs}) => endedAtMs >= lastPartAtMs)
  );
}

/** Around a planned stop, each request that ran gets a whole answer. */
export function checkAnswersAtStops(history: History): Violation[] {
  return history.calls
    .filter(
      ({status, isComplete, sentAtMs, endedAtMs, deadlineMs}) =>
        (status === 0 || !isComplete) && endedAtMs - sentAtMs < deadlineMs,
    )
    .flatMap(call => {
      const runs = history.runs.filter(
        ({attemptId}) => attemptId === call.attemptId,
      );
      if (runs.length === 0 || runs.some(({isBrokenOff}) => isBrokenOff)) {
        return [];
      }
      const stop = history.stops.find(
        ({gateway, atMs}) =>
          gateway === call.gateway &&
          atMs <= call.endedAtMs &&
          atMs + GRACE_MS + STOP_SLACK_MS >= call.sentAtMs &&
          !mayBeCut(call, runs, atMs),
      );
      if (stop === undefined || hasExcuse(history, call)) return [];
      const afterMs = Math.round(call.endedAtMs - stop.atMs);
      const detail = `${call.attemptId} got no whole answer ${afterMs} ms after SIGTERM to ${call.gateway}`;
      return [{check: 'stop-answer', detail}];
    });
}

const isKilled = ({endSignal}: GatewayProcess): boolean =>
  endSignal === 'SIGKILL';

function readEvents(process: GatewayProcess): Array<Record<string, unknown>> {
  return process
    .listLines()
    .filter(line => line.startsWith('{') && line.endsWith('}'))
    .map(line => JSON.parse(line) as Record<string, unknown>);
}

/** A gateway logs each request that ran, unless its process was killed. */
export function checkRequestLogs(history: History): Violation[] {
  const logged = new Set(
    history.processes
      .flatMap(readEvents)
      .filter(({event}) => event === REQUEST_ENDED_EVENT)
      .map(({request}) => request),
  );
  const ran = new Set(history.runs.map(({attemptId}) => attemptId));
  return history.calls
    .filter(({attemptId}) => ran.has(attemptId) && !logged.has(attemptId))
    .filter(
      ({gateway, sentAtMs, endedAtMs}) =>
        !history.processes.some(
          process =>
            process.gateway === gateway &&
            isKilled(process) &&
            process.startedAtMs <= endedAtMs &&
            process.endedAtMs >= sentAtMs,
        ),
    )
    .map(({attemptId, gateway}) => ({
      check: 'request-log',
      detail: `${attemptId} ran, and ${gateway} logged no end of it`,
    }));
}

/** The last line of a process that was not killed says that it stopped. */
export function checkLastLines({processes}: History): Violation[] {
  return processes
    .filter(process => !isKilled(process))
    .flatMap(process => {
      const last = process.listLines().at(-1);
      // A signal before the process handles it ends it without a line.
      if (last === undefined && process.endSignal !== null) return [];
      const isStopped =
        readEvents(process).at(-1)?.event === ROLE_STOPPED_EVENT;
      if (isStopped && last?.startsWith('{') === true) return [];
      const detail = `${process.gateway} started at ${Math.round(process.startedAtMs)} ended by ${process.endSignal ?? 'itself'} after: ${last}`;
      return [{check: 'last-line', detail}];
    });
}
