import {CallKind} from '@siskinplank/platform-stand-ins';
import type {CallRecord, RunRecord} from '@siskinplank/platform-stand-ins';
import {describe, expect, it} from 'vitest';
import type {GatewayProcess} from '../gateways';
import {FaultKind, createHistory} from '../history';
import type {History} from '../history';
import {
  StopVerdict,
  checkAnswersAtStops,
  checkCalls,
  checkLastLines,
  checkReadAtStops,
  checkRequestLogs,
} from './stops';

const STOP = {gateway: 'gateway-1', atMs: 10_000};
const RUN_ENDED = '{"event":6030,"request":"c1"}';
const ROLE_STOPPED = '{"event":5002}';

function makeCall(changes: Partial<CallRecord> = {}): CallRecord {
  return {
    attemptId: 'c1',
    kind: CallKind.Stream,
    account: 'small',
    key: 'k1',
    tokens: 200,
    body: 'b-c1',
    gateway: 'gateway-1',
    sentAtMs: 9_500,
    endedAtMs: 11_000,
    leavingSaidAtMs: undefined,
    deadlineMs: 8_000,
    status: 200,
    isComplete: false,
    retryAfterMs: undefined,
    faults: [],
    ...changes,
  };
}

function makeRun(changes: Partial<RunRecord> = {}): RunRecord {
  return {
    attemptId: 'c1',
    service: 'engines',
    serverId: 'engines-1',
    atMs: 9_520,
    account: 'small',
    hadKey: false,
    body: 'b-c1',
    deadlineMs: 7_980,
    lastEventId: 0,
    endedAtMs: 11_000,
    isBrokenOff: false,
    ...changes,
  };
}

function makeProcess(
  lines: readonly string[],
  endSignal: NodeJS.Signals | null = null,
): GatewayProcess {
  return {
    gateway: 'gateway-1',
    startedAtMs: 0,
    endedAtMs: 12_000,
    endSignal,
    listLines: () => lines,
  };
}

function makeHistory(changes: Partial<History> = {}): History {
  return {
    ...createHistory(100),
    calls: [makeCall()],
    runs: [makeRun()],
    stops: [STOP],
    processes: [makeProcess([RUN_ENDED, ROLE_STOPPED])],
    ...changes,
  };
}

function countMissing(changes: Partial<History> = {}): number {
  return checkAnswersAtStops(makeHistory(changes)).length;
}

const makeFault = (kind: FaultKind): Partial<History> => ({
  faults: [{kind, target: '0', fromMs: 10_500, toMs: 11_500}],
});

describe('check of the answers around a stop', () => {
  it.each<[string, Partial<History>]>([
    ['cut in the grace', {}],
    ['closed without a head', {calls: [makeCall({status: 0})]}],
    ['beside a silent upstream', makeFault(FaultKind.UpstreamSilent)],
    ['beside an outage of the store', makeFault(FaultKind.StoreOutage)],
    ['beside a reload', makeFault(FaultKind.GatewayReload)],
    [
      'sent late in the grace and cut at its end',
      {
        calls: [makeCall({sentAtMs: 13_100, endedAtMs: 17_500})],
        runs: [makeRun({endedAtMs: 17_500})],
      },
    ],
    [
      'ended by its upstream before the last part of the grace',
      {
        calls: [makeCall({endedAtMs: 17_000})],
        runs: [makeRun({endedAtMs: 16_600})],
      },
    ],
    [
      'cut by the next stop, and not by that in whose grace it was sent',
      {
        stops: [STOP, {...STOP, atMs: 15_000}],
        calls: [makeCall({sentAtMs: 18_100, endedAtMs: 22_400})],
        runs: [makeRun({endedAtMs: 22_400})],
      },
    ],
    [
      'beside a kill of another gateway',
      {
        faults: [
          {
            kind: FaultKind.GatewayKill,
            target: '1',
            fromMs: 10_500,
            toMs: 11_500,
          },
        ],
      },
    ],
  ])('reports a request that ran: %s', (_, changes) => {
    expect(countMissing(changes)).toBe(1);
  });

  it.each<[string, Partial<History>]>([
    ['whole answer', {calls: [makeCall({isComplete: true})]}],
    ['not passed on', {runs: []}],
    ['other gateway', {stops: [{...STOP, gateway: 'gateway-2'}]}],
    ['before the stop', {calls: [makeCall({endedAtMs: 9_900})]}],
    ['broken off', {runs: [makeRun({isBrokenOff: true})]}],
    ['deadline reached', {calls: [makeCall({deadlineMs: 1_500})]}],
    ['beside a crash', makeFault(FaultKind.UpstreamCrash)],
    [
      'upstream at work in the last part of the grace',
      {
        calls: [makeCall({sentAtMs: 12_900, endedAtMs: 17_500})],
        runs: [makeRun({endedAtMs: 17_500})],
      },
    ],
    [
      'beside a kill of its gateway',
      {
        faults: [
          {
            kind: FaultKind.GatewayKill,
            target: '0',
            fromMs: 10_500,
            toMs: 11_500,
          },
        ],
      },
    ],
  ])('reports nothing: %s', (_, changes) => {
    expect(countMissing(changes)).toBe(0);
  });
});

describe('verdicts on calls around a stop', () => {
  it('tell a cut that is excused from one that is not around a stop', () => {
    const getVerdict = (changes: Partial<History>): StopVerdict =>
      checkCalls(makeHistory(changes))[0].verdict;
    const cut = {sentAtMs: 12_900, endedAtMs: 17_500};
    expect(
      getVerdict({
        calls: [makeCall(cut)],
        runs: [makeRun({endedAtMs: 17_500})],
      }),
    ).toBe(StopVerdict.LastPart);
    expect(
      getVerdict({
        stops: [{...STOP, atMs: 4_000}, STOP],
        calls: [makeCall(cut)],
        runs: [makeRun({endedAtMs: 17_500})],
      }),
    ).toBe(StopVerdict.EarlierStop);
    expect(getVerdict({stops: []})).toBe(StopVerdict.NoStop);
    expect(getVerdict({runs: [makeRun({isBrokenOff: true})]})).toBe(
      StopVerdict.BrokenOff,
    );
    expect(getVerdict({})).toBe(StopVerdict.Lost);
  });

  it('report a request that did not run and ended later than it crosses a close', () => {
    const countNotRun = (lastByteAtMs?: number): number => {
      const call = makeCall({status: 0, lastByteAtMs, endedAtMs: 10_100});
      const history = makeHistory({calls: [call], runs: []});
      return checkReadAtStops(history).length;
    };
    expect(countNotRun(9_500)).toBe(1);
    expect(countNotRun(9_950)).toBe(0);
    expect(countNotRun()).toBe(0);
  });

  it('describe a lost call by its stop, its run, its process and its lines', () => {
    const [{detail}] = checkAnswersAtStops(makeHistory());
    expect(detail).toContain('sent -500 ms and ended 1000 ms after SIGTERM');
    expect(detail).toContain('engines-1 from -480 to 1000 ms, not finished');
    expect(detail).toContain('5002 seen');
    expect(detail).toContain(RUN_ENDED);
  });
});

describe('checks of the logs of gateways', () => {
  it('report a request that ran and that no gateway logged', () => {
    const processes = [makeProcess([ROLE_STOPPED])];
    expect(checkRequestLogs(makeHistory())).toEqual([]);
    expect(checkRequestLogs(makeHistory({processes}))).toHaveLength(1);
    const killed = [makeProcess([], 'SIGKILL')];
    expect(checkRequestLogs(makeHistory({processes: killed}))).toEqual([]);
  });

  it('report a process that ended without its last line', () => {
    const countEnds = (process: GatewayProcess): number =>
      checkLastLines(makeHistory({processes: [process]})).length;
    expect(countEnds(makeProcess([RUN_ENDED, ROLE_STOPPED]))).toBe(0);
    expect(countEnds(makeProcess([RUN_ENDED], 'SIGKILL'))).toBe(0);
    expect(countEnds(makeProcess([], 'SIGTERM'))).toBe(0);
    expect(countEnds(makeProcess([RUN_ENDED]))).toBe(1);
    expect(countEnds(makeProcess([RUN_ENDED], 'SIGTERM'))).toBe(1);
    expect(countEnds(makeProcess([]))).toBe(1);
    const afterStop = [ROLE_STOPPED, 'Error: thrown later'];
    expect(countEnds(makeProcess(afterStop))).toBe(1);
  });
});
