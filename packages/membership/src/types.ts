/** Interface of the membership view. */
import type {Member, MemberState} from '@siskinplank/messages';

/** Members known from the platform's host list, heartbeats and digests. */
export interface MembershipView {
  start(): void;
  stop(): void;
  /** All members that are not removed, including this process. */
  listMembers(nowMs: number): readonly Member[];
  getMember(name: string): Member | undefined;
  /**
   * Sends the new state of this process to its peers. `Leaving` is final for
   * an incarnation.
   */
  setOwnState(state: MemberState): void;
  /** Calls `handler` after each batch of changes; returns the unsubscribe. */
  subscribe(handler: () => void): () => void;
}
