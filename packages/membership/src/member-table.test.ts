import fc from 'fast-check';
import {MemberState, ProcessRole} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {ListedHostState} from '@siskinplank/platform-client';
import type {ListedHost} from '@siskinplank/platform-client';
import {describe, expect, it} from 'vitest';
import {createMemberTable} from './member-table';

const makeMember = (
  incarnation: string,
  sequence: number,
  state: MemberState,
): Member => ({
  name: 'm',
  incarnation,
  role: ProcessRole.Side,
  host: '10.0.0.1',
  port: 1,
  failureDomain: 'd',
  region: 'r',
  state,
  sequence,
});
const makeHost = (state: ListedHostState): ListedHost => ({
  name: 'm',
  role: 'side',
  address: '10.0.0.1',
  port: 1,
  failureDomain: 'd',
  region: 'r',
  state,
});
const createTable = () =>
  createMemberTable({ownName: 'self', suspectAfterMs: 4_000});

describe('member table', () => {
  it('converges for any order and repetition of the same claims', () => {
    // Guards against views that never converge, and against a leaving or
    // replaced process that a delayed digest shows as live again.
    const claim = fc
      .record({
        incarnation: fc.constantFrom('old', 'new'),
        step: fc.nat(20),
        state: fc.constantFrom(...Object.values(MemberState)),
      })
      .map(({incarnation, step, state}) =>
        makeMember(
          incarnation,
          step + (incarnation === 'new' ? 100 : 0),
          state,
        ),
      );
    fc.assert(
      fc.property(
        fc
          .array(claim, {minLength: 1, maxLength: 12})
          .chain(claims =>
            fc.tuple(
              fc.constant(claims),
              fc.shuffledSubarray(claims, {minLength: claims.length}),
            ),
          ),
        ([claims, shuffled]) => {
          const left = createTable();
          const right = createTable();
          for (const item of claims) left.applyClaim(item, 0);
          for (const item of [...shuffled, ...shuffled]) {
            right.applyClaim(item, 0);
          }
          const found = left.get('m')?.member;
          expect(right.get('m')?.member.incarnation).toBe(found?.incarnation);
          expect(right.get('m')?.member.state).toBe(found?.state);
          const isLeaving = claims.some(
            item =>
              item.incarnation === found?.incarnation &&
              item.state === MemberState.Leaving,
          );
          if (isLeaving) expect(found?.state).toBe(MemberState.Leaving);
        },
      ),
      {numRuns: 300},
    );
  });

  it('keeps the leaving state until the next incarnation', () => {
    const table = createTable();
    table.applyHeartbeat(makeMember('a', 5, MemberState.Leaving), 0);
    table.applyHeartbeat(makeMember('a', 6, MemberState.Live), 1);
    expect(table.get('m')?.member.state).toBe(MemberState.Leaving);
    table.applyHeartbeat(makeMember('b', 7, MemberState.Live), 2);
    expect(table.get('m')?.member.state).toBe(MemberState.Live);
    table.applyClaim(makeMember('a', 6, MemberState.Leaving), 3);
    expect(table.get('m')?.member.incarnation).toBe('b');
  });

  it('keeps a listed leaving state only for an established process', () => {
    // The host list is delayed and still has the predecessor's state.
    const table = createTable();
    table.applyHeartbeat(makeMember('b', 7, MemberState.Live), 0);
    table.applyHostList([makeHost(ListedHostState.Leaving)], 1_000);
    expect(table.get('m')?.isListedLeaving).toBe(true);
    table.applyHostList([makeHost(ListedHostState.Live)], 2_000);
    expect(table.get('m')?.isListedLeaving).toBe(false);
    expect(table.get('m')?.member.state).toBe(MemberState.Live);
    table.applyHostList([makeHost(ListedHostState.Leaving)], 60_000);
    expect(table.get('m')?.member.state).toBe(MemberState.Leaving);
  });

  it('removes no member while the host list cannot be read', () => {
    const table = createTable();
    table.applyHostList([makeHost(ListedHostState.Live)], 0);
    table.markSuspect('m', 10_000);
    expect(table.removeExpired(100_000)).toEqual([]);
    table.applyHostList([], 100_000);
    expect(table.removeExpired(100_000).map(({name}) => name)).toEqual(['m']);
    expect(table.applyClaim(makeMember('', 0, MemberState.Live), 1e5)).toBe(
      false,
    );
  });
});
