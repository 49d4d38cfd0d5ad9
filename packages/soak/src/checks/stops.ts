/** Checks of stops: whole answers around them, and complete logs. */
import type {CallRecord, RunRecord} from '@siskinplank/platform-stand-ins';
import type {GatewayProcess} from '../gateways';
import {FaultKind, PLANNED_KINDS, STORE_KINDS} from '../history';
import type {FaultSpan, History, StopSignal, Violation} from '../history';
import {
  CONTACT_MS,
  GRACE_MS,
  LAST_GRACE_FRACTION,
  LATE_REQUEST_MS,
  LOSS_SLACK_MS,
  STOP_SLACK_MS,
} from './bounds';

const REQUEST_ENDED_EVENT = 6030;
const ROLE_STOPPED_EVENT = 5002;

/** Whether another gateway was killed, which cuts no answer of this one. */
function isKillOfPeer({kind, target}: FaultSpan, gateway: string): boolean {
  return (
    kind === FaultKind.GatewayKill &&
    target !== undefined &&
    gateway !== `gateway-${Number(target) + 1}`
  );
}

/** Whether a fault that excuses a missing answer was near the call. */
function hasExcuse({faults}: History, call: CallRecord): boolean {
  return faults.some(
    ({kind, target, fromMs, toMs}) =>
      !PLANNED_KINDS.has(kind) &&
      !isKillOfPeer({kind, target, fromMs, toMs}, call.gateway) &&
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

function readEvents(process: GatewayProcess): Array<Record<string, unknown>> {
  return process
    .listLines()
    .filter(line => line.startsWith('{') && line.endsWith('}'))
    .map(line => JSON.parse(line) as Record<string, unknown>);
}

/** What became of a call, by the rule for answers around a stop. */
export enum StopVerdict {
  Whole = 'whole',
  /** No upstream ran it, and it was not read or ended at once. */
  NotRead = 'not read',
  DeadlineReached = 'deadline reached',
  BrokenOff = 'broken off by its upstream',
  /** Not around a stop of its gateway. */
  NoStop = 'no stop',
  /** Its upstream was at work in the last part of the grace. */
  LastPart = 'last part of the grace',
  /**
   * The same for the last stop, while the request was sent in the grace of an
   * earlier one, to a process that the last stop ended.
   */
  EarlierStop = 'last part of the grace, sent beside an earlier stop',
  /** Beside a fault that excuses it. */
  Excused = 'beside a fault',
  /**
   * Not run, and ended later than it can cross a close. A late caller looks the
   * same; the log tells whether the request was read.
   */
  NotRun = 'not run and not answered',
  Lost = 'lost',
}

/** Verdict on a call, and the stop that counts. */
export interface JudgedCall {
  verdict: StopVerdict;
  call: CallRecord;
  runs: readonly RunRecord[];
  stop?: StopSignal;
}

/** Whether a request that did not run should have been read or refused. */
function hasBeenRead({lastByteAtMs, endedAtMs}: CallRecord): boolean {
  return lastByteAtMs !== undefined && endedAtMs > lastByteAtMs + LOSS_SLACK_MS;
}

function checkCall(
  history: History,
  call: CallRecord,
  runs: readonly RunRecord[],
): JudgedCall {
  const make = (verdict: StopVerdict, stop?: StopSignal): JudgedCall => ({
    verdict,
    call,
    runs,
    stop,
  });
  const {status, isComplete, sentAtMs, endedAtMs, deadlineMs} = call;
  if (status !== 0 && isComplete) return make(StopVerdict.Whole);
  if (endedAtMs - sentAtMs >= deadlineMs) {
    return make(StopVerdict.DeadlineReached);
  }
  if (runs.length === 0 && !hasBeenRead(call)) return make(StopVerdict.NotRead);
  if (runs.some(({isBrokenOff}) => isBrokenOff)) {
    return make(StopVerdict.BrokenOff);
  }
  const stops = history.stops.filter(
    ({gateway, atMs}) =>
      gateway === call.gateway &&
      atMs <= endedAtMs &&
      atMs + GRACE_MS + STOP_SLACK_MS >= sentAtMs,
  );
  if (stops.length === 0) return make(StopVerdict.NoStop);
  const stop = stops.find(({atMs}) => !mayBeCut(call, runs, atMs));
  if (stop === undefined) return make(StopVerdict.LastPart, stops[0]);
  if (hasExcuse(history, call)) return make(StopVerdict.Excused, stop);
  if (runs.length === 0) return make(StopVerdict.NotRun, stop);
  const lastStop = stops[stops.length - 1];
  const isCutLater = lastStop !== stop && mayBeCut(call, runs, lastStop.atMs);
  return make(isCutLater ? StopVerdict.EarlierStop : StopVerdict.Lost, stop);
}

/** Judges all calls by the rule for answers around a stop. */
export function checkCalls(history: History): JudgedCall[] {
  const runs = new Map<string, RunRecord[]>();
  for (const run of history.runs) {
    const known = runs.get(run.attemptId);
    if (known === undefined) runs.set(run.attemptId, [run]);
    else known.push(run);
  }
  return history.calls.map(call =>
    checkCall(history, call, runs.get(call.attemptId) ?? []),
  );
}

/** Describes how the process ended that had the connection of a call. */
function describeProcess(
  process: GatewayProcess | undefined,
  stopAtMs: number,
): string {
  if (process === undefined) return 'no process';
  const {endedAtMs, endSignal, endStatus} = process;
  const hasStopped = readEvents(process).some(
    ({event}) => event === ROLE_STOPPED_EVENT,
  );
  return `process ended ${Math.round(endedAtMs - stopAtMs)} ms after it by ${endSignal ?? `status ${endStatus}`}, 5002 ${hasStopped ? 'seen' : 'missing'}`;
}

/** Describes a call that got no whole answer, with its lines in the logs. */
export function describeCut(history: History, judged: JudgedCall): string {
  const {verdict, call, runs} = judged;
  const {attemptId, gateway, sentAtMs, endedAtMs, status} = call;
  const lastStop = history.stops.findLast(
    stop => stop.gateway === gateway && stop.atMs <= endedAtMs,
  );
  const stopAtMs = (lastStop ?? judged.stop)?.atMs ?? 0;
  const process = history.processes.find(
    item =>
      item.gateway === gateway &&
      item.startedAtMs <= sentAtMs &&
      item.endedAtMs >= sentAtMs,
  );
  const lines = history.processes
    .filter(item => item.gateway === gateway)
    .flatMap(item => item.listLines())
    .filter(line => line.includes(`"request":"${attemptId}"`));
  const describeRun = ({serverId, atMs, endedAtMs: to, isSent}: RunRecord) =>
    `${serverId} from ${Math.round(atMs - stopAtMs)} to ${Math.round(to - stopAtMs)} ms, ${isSent === true ? 'finished' : 'not finished'}`;
  return [
    `${verdict}: ${attemptId} at ${gateway}, status ${status}, sent ${Math.round(sentAtMs - stopAtMs)} ms and ended ${Math.round(endedAtMs - stopAtMs)} ms after SIGTERM`,
    `runs: ${runs.map(describeRun).join('; ') || 'none'}`,
    describeProcess(process, stopAtMs),
    `log: ${lines.join(' ') || 'none'}`,
  ].join('; ');
}

function reportVerdicts(
  history: History,
  verdicts: readonly StopVerdict[],
): Violation[] {
  return checkCalls(history)
    .filter(({verdict}) => verdicts.includes(verdict))
    .map(judged => ({
      check: 'stop-answer',
      detail: describeCut(history, judged),
    }));
}

/** Around a planned stop, each request that ran gets a whole answer. */
export function checkAnswersAtStops(history: History): Violation[] {
  return reportVerdicts(history, [StopVerdict.Lost, StopVerdict.EarlierStop]);
}

/** Around a planned stop, each request that was read gets an answer. */
export function checkReadAtStops(history: History): Violation[] {
  return reportVerdicts(history, [StopVerdict.NotRun]);
}

const isKilled = ({endSignal}: GatewayProcess): boolean =>
  endSignal === 'SIGKILL';

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
