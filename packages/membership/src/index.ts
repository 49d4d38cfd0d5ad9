/** Membership view: the processes of the platform and their states. */
export * from './types';
export {rankMembers, scoreMember} from './rank';
export {
  TREE_DEGREE,
  WATCHER_COUNT,
  canCloseTreeLink,
  computeParentRanks,
  computeTreePosition,
} from './tree';
export type {TreePosition} from './tree';
export {createMembershipView} from './view';
export type {MembershipViewOptions, MembershipViewSettings} from './view';
