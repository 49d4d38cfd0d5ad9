/** Entry processes among the members. */
import type {MembershipView} from '@siskinplank/membership';
import {MemberState, ProcessRole} from '@siskinplank/messages';

/** Entry processes that are live in the view of this one. */
export function listLiveEntries(
  membership: MembershipView,
  nowMs: number,
): ReturnType<MembershipView['listMembers']> {
  return membership
    .listMembers(nowMs)
    .filter(
      member =>
        member.role === ProcessRole.Entry && member.state === MemberState.Live,
    );
}
