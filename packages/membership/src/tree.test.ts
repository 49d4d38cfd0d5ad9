import fc from 'fast-check';
import {MemberState, ProcessRole} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {describe, expect, it} from 'vitest';
import {
  TREE_DEGREE,
  computeParentRanks,
  computeTreePosition,
  rankMembers,
} from './index';

const makeMember = (name: string, failureDomain: string): Member => ({
  name,
  incarnation: 'i',
  role: ProcessRole.Side,
  host: '10.0.0.1',
  port: 1,
  failureDomain,
  region: 'r',
  state: MemberState.Live,
  sequence: 1,
});

const namesArbitrary = fc.uniqueArray(fc.string({minLength: 1}), {
  minLength: 1,
  maxLength: 60,
});

describe('rankMembers', () => {
  it('is independent of input order and stable when a member is lost', () => {
    // Otherwise every change of members would reassign coordinators and
    // parents.
    fc.assert(
      fc.property(namesArbitrary, fc.string(), fc.nat(), (names, key, lost) => {
        const members = names.map(name => ({name}));
        const ranked = rankMembers(members, key).map(({name}) => name);
        const reversed = rankMembers([...members].reverse(), key);
        expect(reversed.map(({name}) => name)).toEqual(ranked);
        const lostName = names[lost % names.length];
        const rest = rankMembers(
          members.filter(({name}) => name !== lostName),
          key,
        );
        expect(rest.map(({name}) => name)).toEqual(
          ranked.filter(name => name !== lostName),
        );
      }),
    );
  });

  it('distributes keys evenly', () => {
    const members = Array.from({length: 10}, (_, i) => ({name: `m${i}`}));
    const counts = new Map<string, number>();
    for (let key = 0; key < 2_000; key += 1) {
      const [{name}] = rankMembers(members, `bucket-${key}`);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    for (const count of counts.values()) {
      expect(count).toBeGreaterThan(130);
      expect(count).toBeLessThan(270);
    }
  });
});

describe('relay tree', () => {
  it('has no cycles, a bounded degree and reaches every process', () => {
    // A process without a path from a watcher would never receive a change.
    for (let rank = 2; rank < 2_000; rank += 1) {
      const [parent, backup] = computeParentRanks(rank);
      expect(parent).toBeLessThan(rank);
      expect(backup).toBeLessThan(rank);
      expect(backup).not.toBe(parent);
    }
    fc.assert(
      fc.property(namesArbitrary, names => {
        const members = names.map(name => makeMember(name, 'd'));
        for (const member of members) {
          const position = computeTreePosition(members, member);
          expect(position.children.length).toBeLessThanOrEqual(
            TREE_DEGREE * 2 + (position.isWatcher ? TREE_DEGREE : 0),
          );
          for (const uplink of position.uplinks) {
            if (position.isWatcher) continue;
            const children = computeTreePosition(members, uplink).children;
            expect(children.map(({name}) => name)).toContain(member.name);
          }
        }
      }),
      {numRuns: 30},
    );
  });

  it('connects the watchers of all failure domains', () => {
    const members = Array.from({length: 30}, (_, i) =>
      makeMember(`m${i}`, `d${i % 3}`),
    );
    const watchers = members.filter(
      member => computeTreePosition(members, member).isWatcher,
    );
    expect(watchers).toHaveLength(6);
    for (const watcher of watchers) {
      expect(computeTreePosition(members, watcher).uplinks).toHaveLength(5);
    }
  });
});
