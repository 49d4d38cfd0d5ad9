/** Position of a process in the relay tree of its failure domain. */
import {MemberState, ProcessRole} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {rankMembers} from './rank';

/** Children of each process, without those that have it as backup parent. */
export const TREE_DEGREE = 8;
/** Processes of each failure domain that watch the platform (watchers). */
export const WATCHER_COUNT = 2;

/** Rank and neighbours of a process in the relay trees. */
export interface TreePosition {
  /** Rank in the failure domain; ranks 0 and 1 watch the platform. */
  rank: number;
  isWatcher: boolean;
  /**
   * Parent and backup parent. A watcher has instead the other watchers of all
   * failure domains, including its own.
   */
  uplinks: readonly Member[];
  /** Processes that have this one as parent or backup parent. */
  children: readonly Member[];
}

/** Ranks of parent and backup parent; both are below `rank`, so that
 * the tree has no cycles. */
export function computeParentRanks(rank: number): readonly [number, number] {
  const parent = Math.floor((rank - WATCHER_COUNT) / TREE_DEGREE);
  return [parent, parent === 0 ? 1 : parent - 1];
}

/**
 * Whether a link opened for the tree may be closed when the tree changes. Links
 * to or from an entry process also carry requests and budget messages and stay
 * open; links between two side processes serve only the tree.
 */
export function canCloseTreeLink(
  self: {role: ProcessRole},
  peer: {role: ProcessRole},
): boolean {
  return self.role === ProcessRole.Side && peer.role === ProcessRole.Side;
}

const TREE_KEY = 'relay-tree';

/**
 * Computes the position of the process `self`. Suspect and leaving members are
 * left out, except for `self`.
 */
export function computeTreePosition(
  members: readonly Member[],
  self: {name: string; failureDomain: string},
): TreePosition {
  const domains = new Map<string, Member[]>();
  for (const member of members) {
    if (member.state !== MemberState.Live && member.name !== self.name)
      continue;
    const group = domains.get(member.failureDomain) ?? [];
    group.push(member);
    domains.set(member.failureDomain, group);
  }
  const domainMembers = rankMembers(
    domains.get(self.failureDomain) ?? [],
    TREE_KEY,
  );
  const rank = domainMembers.findIndex(member => member.name === self.name);
  if (rank < 0) return {rank: 0, isWatcher: true, uplinks: [], children: []};
  const children = domainMembers.filter(
    (_, other) =>
      other >= WATCHER_COUNT && computeParentRanks(other).includes(rank),
  );
  if (rank >= WATCHER_COUNT) {
    const uplinks = computeParentRanks(rank).map(
      parent => domainMembers[parent],
    );
    return {rank, isWatcher: false, uplinks, children};
  }
  const uplinks = [...domains.values()]
    .flatMap(group => rankMembers(group, TREE_KEY).slice(0, WATCHER_COUNT))
    .filter(member => member.name !== self.name);
  return {rank, isWatcher: true, uplinks, children};
}
