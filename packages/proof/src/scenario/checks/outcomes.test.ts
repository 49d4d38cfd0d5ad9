/** Checks of deadlines and of planned stops. */
import {describe, expect, it} from 'vitest';
import type {CallRecord} from '../caller';
import {findDeadlineProblem, sumFrozenMs} from './deadlines';
import {listStopProblems} from './stops';

const makeRecord = (fields: Partial<CallRecord>): CallRecord => ({
  marker: 'm1',
  name: undefined,
  method: 'POST',
  path: '/orders',
  account: 'plaksne',
  entry: 'entry-1',
  deadlineMs: 8_000,
  idempotencyKey: undefined,
  body: '',
  startedAtMs: 0,
  endedAtMs: 100,
  status: 200,
  headers: {},
  text: '',
  error: undefined,
  isCancelled: false,
  cancel: () => undefined,
  done: Promise.resolve(),
  ...fields,
});
const makeStep = (kind: string, atMs: number, process?: string) => ({
  kind,
  process,
  startedAtMs: atMs,
  endedAtMs: atMs,
});

describe('outcome by the deadline', () => {
  // Guards against a check that misses a late, missing or unexplained outcome.
  it('is missed by late, missing and unexplained outcomes', () => {
    const judge = (fields: Partial<CallRecord>): string | undefined =>
      findDeadlineProblem(makeRecord(fields), []);
    expect(judge({})).toBeUndefined();
    expect(judge({status: 503, text: '{"code":"overloaded"}'})).toBeUndefined();
    expect(judge({endedAtMs: 9_100})).toMatch(/9100 ms, deadline/);
    expect(judge({endedAtMs: undefined})).toBe('no outcome');
    expect(judge({status: 503, text: 'no'})).toBe('503 without a reason');
  });

  // Guards against a late outcome that the freeze of another process excuses.
  it('leaves out the time in which the entry process was frozen', () => {
    const steps = [
      makeStep('freeze', 1_000, 'entry-1'),
      makeStep('thaw', 3_000, 'entry-1'),
    ];
    expect(sumFrozenMs(steps, 'entry-1', 2_000, 9_000)).toBe(1_000);
    expect(sumFrozenMs(steps, 'entry-2', 0, 9_000)).toBe(0);
    const late = makeRecord({endedAtMs: 9_100});
    expect(findDeadlineProblem(late, steps)).toBeUndefined();
    const other = makeRecord({endedAtMs: 9_100, entry: 'entry-2'});
    expect(findDeadlineProblem(other, steps)).toBeDefined();
  });
});

describe('planned stop', () => {
  const entries = new Set(['entry-1']);
  const makeStop = (process: string, code = 0) => ({
    process,
    signalledAtMs: 50,
    endedAtMs: 500,
    exit: {code, signal: null},
  });
  const cut = makeRecord({error: 'other side closed', status: undefined});
  const lost = makeRecord({status: 502, text: '{"code":"link_lost"}'});

  // Guards against a check that misses a cut request or a failed stop.
  it('is reported for cut requests and a failed exit', () => {
    const judge = (process: string, records: CallRecord[], code = 0): number =>
      listStopProblems(makeStop(process, code), {records, steps: [], entries})
        .length;
    expect(judge('entry-1', [cut, makeRecord({})])).toBe(1);
    expect(judge('entry-1', [makeRecord({...cut, startedAtMs: 60})])).toBe(0);
    expect(judge('side-1', [lost])).toBe(1);
    expect(judge('side-1', [], 1)).toBe(1);
  });

  // Guards against a crash that counts as a planned stop.
  it('is not reported for the effects of other faults', () => {
    const judge = (process: string, records: CallRecord[], step: string) =>
      listStopProblems(makeStop(process, 1), {
        records,
        steps: [makeStep(step, 70, process)],
        entries,
      });
    expect(judge('entry-1', [cut], 'kill')).toEqual([]);
    expect(judge('side-1', [lost], 'cut')).toHaveLength(1);
  });
});
