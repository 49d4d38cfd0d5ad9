/** Checks of what hosts served while a route was moved. */
import {describe, expect, it} from 'vitest';
import {listHistoryProblems} from './configuration';

const BOUND_MS = 7_000;
const VERSIONS = [
  {upstream: 'a', atMs: 0},
  {upstream: 'b', atMs: 1_000},
  {upstream: 'c', atMs: 2_000},
];
const judge = (
  runs: ReadonlyArray<[string, string, number]>,
  versions = VERSIONS,
): string[] =>
  listHistoryProblems(
    versions,
    runs.map(([entry, upstream, atMs]) => ({entry, upstream, atMs})),
    BOUND_MS,
  );

describe('history of a route', () => {
  // Guards against a check that reports hosts that receive a change
  // at different times within the bound.
  it('holds when each host only goes forward', () => {
    expect(
      judge([
        ['entry-1', 'a', 500],
        ['entry-1', 'c', 2_100],
        ['entry-2', 'a', 7_900],
        ['entry-2', 'b', 8_100],
        ['entry-2', 'c', 9_500],
      ]),
    ).toEqual([]);
  });

  // Guards against a change that is undone at a host.
  it('is broken by a host that goes back', () => {
    const runs: Array<[string, string, number]> = [
      ['entry-1', 'b', 1_100],
      ['entry-1', 'a', 1_200],
    ];
    expect(judge(runs)).toEqual(['entry-1 went back to a']);
    expect(judge([runs[0], ['entry-2', 'a', 1_200]])).toEqual([]);
  });

  // Guards against a change that a host never applies.
  it('is broken by a run after the bound', () => {
    expect(judge([['entry-1', 'a', 8_100]])).toEqual([
      'entry-1: ran at a 7100 ms after its replacement',
    ]);
    expect(judge([['entry-1', 'c', 60_000]])).toEqual([]);
  });

  // Guards against a return to a former upstream, which operators may order,
  // that counts as a reversal or hides one.
  it('distinguishes an ordered return from a reversal', () => {
    const versions = [...VERSIONS, {upstream: 'a', atMs: 20_000}];
    const runs: Array<[string, string, number]> = [
      ['entry-1', 'a', 500],
      ['entry-1', 'b', 1_500],
      ['entry-1', 'a', 20_100],
    ];
    expect(judge(runs, versions)).toEqual([]);
    const back: [string, string, number] = ['entry-1', 'c', 20_200];
    expect(judge([...runs, back], versions)).toEqual([
      'entry-1 went back to c',
    ]);
  });
});
