/** Checks of changes that operators made at the same time. */
import {describe, expect, it} from 'vitest';
import type {AdminResult, OperatorCall} from '../operator';
import {checkOperatorCall, listRevisionProblems} from './operators';

const makeSpec = (upstream: string) => ({upstreams: [upstream]});
const makeVersion = (version: number, upstream: string) => ({
  version,
  atMs: version,
  value: {name: 'r', ...makeSpec(upstream)},
});
const makeCall = (upstream: string, result: AdminResult): OperatorCall => ({
  kind: 'Route',
  name: 'r',
  entry: 'entry-1',
  expectedVersion: 1,
  spec: makeSpec(upstream),
  result,
});
const makeConflict = (version: number, upstream: string): AdminResult => {
  const current = {version: String(version), route: makeSpec(upstream)};
  const details = [{debug: {current}}];
  return {isOk: false, body: {code: 'aborted', details}};
};
const confirm = (version: number): AdminResult => ({
  isOk: true,
  body: {resource: {version: String(version)}},
});

describe('changes of operators', () => {
  const versions = [makeVersion(1, 'a'), makeVersion(5, 'b')];

  // Guards against a check that reports a correct race.
  it('hold when one is confirmed and the other gets the new value', () => {
    const calls = [
      makeCall('b', confirm(5)),
      makeCall('c', makeConflict(5, 'b')),
    ];
    for (const call of calls) {
      expect(checkOperatorCall(call, versions)).toEqual([]);
    }
    const unknown = {isOk: false, body: {code: 'unknown'}};
    expect(checkOperatorCall(makeCall('b', unknown), versions)).toEqual([]);
  });

  // Guards against a check that misses a lost or overwritten change.
  it('fail when one is overwritten, lost or answered with an old value', () => {
    const overwritten = [...versions, makeVersion(6, 'c')];
    const judge = (call: OperatorCall, all = versions): number =>
      checkOperatorCall(call, all).length;
    expect(judge(makeCall('c', confirm(6)), overwritten)).toBe(1);
    expect(judge(makeCall('c', confirm(6)))).toBe(1);
    expect(judge(makeCall('c', makeConflict(1, 'a')))).toBe(1);
    expect(judge(makeCall('c', makeConflict(5, 'a')))).toBe(1);
    expect(judge(makeCall('b', makeConflict(5, 'b')))).toBe(1);
  });
});

describe('readings of revisions', () => {
  const last = {version: 5, atMs: 1_000};
  const judge = (readings: ReadonlyArray<[number, number, number]>): string[] =>
    listRevisionProblems(
      readings.map(([atMs, revision, pid]) => ({atMs, revision, pid})),
      last,
      7_000,
    );

  // Guards against a check that counts the start of a process as a reversal.
  it('hold when they rise, or begin again with the process', () => {
    const rising: Array<[number, number, number]> = [
      [900, 4, 1],
      [7_900, 4, 1],
      [8_100, 5, 1],
    ];
    expect(judge(rising)).toEqual([]);
    expect(judge([...rising, [9_000, 0, 2], [9_500, 6, 2]])).toEqual([]);
  });

  // Guards against a check that misses a reversal or a process that does
  // not receive a change.
  it('fail when they decrease or stay behind', () => {
    const fallen = ['went back to an old revision'];
    expect(
      judge([
        [1_100, 5, 1],
        [1_200, 4, 1],
      ]),
    ).toEqual(fallen);
    const behind = ['stayed at 4 before 5'];
    expect(
      judge([
        [900, 4, 1],
        [8_100, 4, 1],
      ]),
    ).toEqual(behind);
    expect(
      judge([
        [9_000, 4, 2],
        [16_100, 4, 2],
      ]),
    ).toEqual(behind);
  });
});
