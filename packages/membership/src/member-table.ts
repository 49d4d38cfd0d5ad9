/**
 * Merges heartbeats, claims of peers and the host list into one record for each
 * member; deterministic and without timers.
 */
import {MemberState} from '@siskinplank/messages';
import type {Member, ProcessRole} from '@siskinplank/messages';
import {ListedHostState} from '@siskinplank/platform-client';
import type {ListedHost} from '@siskinplank/platform-client';

/** State of one member and the times of its evidence. */
export interface MemberRecord {
  member: Member;
  /** Last heartbeat received directly; undefined before the first. */
  lastSeenMs: number | undefined;
  /** When this incarnation was first seen. */
  knownSinceMs: number;
  /** Last change of state or incarnation. */
  changedMs: number;
  /** Last reading of the host list that included it; undefined if none. */
  lastListedMs: number | undefined;
  /** Leaving in the host list, which may refer to an earlier incarnation. */
  isListedLeaving: boolean;
}

/** Members by name. */
export interface MemberTable {
  get(name: string): MemberRecord | undefined;
  list(): MemberRecord[];
  /**
   * Applies a heartbeat from an authenticated link; true when the member or its
   * state changed.
   */
  applyHeartbeat(member: Member, nowMs: number): boolean;
  /** Applies a claim of a peer; true when the member or its state changed. */
  applyClaim(member: Member, nowMs: number): boolean;
  /** Applies a complete host list; returns the names of changed members. */
  applyHostList(hosts: readonly ListedHost[], nowMs: number): string[];
  /** Marks a live member suspect; false when it is not live or unknown. */
  markSuspect(name: string, nowMs: number): boolean;
  /** Removes and returns non-live members without recent activity. */
  removeExpired(nowMs: number): Member[];
  /**
   * Live members that disappeared from the host list and have sent no heartbeat
   * for long. The caller suspects them; a peer that receives their heartbeats
   * refutes it.
   */
  listUnlisted(nowMs: number): string[];
}

/** Options of `createMemberTable`. */
export interface MemberTableOptions {
  ownName: string;
  suspectAfterMs: number;
}

/**
 * Longest delay of the host list, in milliseconds. Within it, `leaving` may
 * refer to the predecessor of a restarted process, so the state is final only
 * for an incarnation known for longer.
 */
const MAX_LIST_LAG_MS = 30_000;
/**
 * Time without activity, in suspicion times, after which a member that is
 * missing from the host list is removed.
 */
const UNLISTED_EXPIRY_PERIODS = 10;
/**
 * The same for other members: those in the host list, and all members of a
 * process that does not read the list.
 */
const EXPIRY_PERIODS = 60;
const MAX_REMOVED_MEMBERS = 4_096;

/** Of two claims with the same sequence the more severe state wins. */
const SEVERITY: Record<MemberState, number> = {
  [MemberState.Live]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
};

function convertHost(host: ListedHost): Member {
  const isLeaving = host.state === ListedHostState.Leaving;
  return {
    name: host.name,
    incarnation: '',
    role: host.role as ProcessRole,
    host: host.address,
    port: host.port,
    failureDomain: host.failureDomain,
    region: host.region,
    state: isLeaving ? MemberState.Leaving : MemberState.Live,
    sequence: 0,
  };
}

/** Creates an empty table. */
export function createMemberTable(options: MemberTableOptions): MemberTable {
  const records = new Map<string, MemberRecord>();
  /** Last sequence of removed members, to reject delayed claims. */
  const removed = new Map<string, number>();

  const unlistedExpiryMs = options.suspectAfterMs * UNLISTED_EXPIRY_PERIODS;
  let lastListReadMs: number | undefined;

  const setMember = (member: Member, nowMs: number): MemberRecord => {
    const known = records.get(member.name);
    const isSame = known?.member.incarnation === member.incarnation;
    const record: MemberRecord = {
      member,
      lastSeenMs: isSame ? known.lastSeenMs : undefined,
      knownSinceMs: isSame ? known.knownSinceMs : nowMs,
      changedMs: nowMs,
      lastListedMs: known?.lastListedMs,
      isListedLeaving: known?.isListedLeaving ?? false,
    };
    records.set(member.name, record);
    removed.delete(member.name);
    return record;
  };

  const isRecentlySeen = (record: MemberRecord, nowMs: number): boolean =>
    record.lastSeenMs !== undefined &&
    nowMs - record.lastSeenMs < options.suspectAfterMs;

  /**
   * Whether the host list was read recently and has lacked the member for the
   * expiry time.
   */
  const isUnlisted = (record: MemberRecord, nowMs: number): boolean => {
    if (
      lastListReadMs === undefined ||
      nowMs - lastListReadMs > unlistedExpiryMs
    )
      return false;
    const knownListedMs = record.lastListedMs ?? record.knownSinceMs;
    return lastListReadMs - knownListedMs > unlistedExpiryMs;
  };

  /** Merges a claim about the same incarnation; undefined when outdated. */
  const mergeClaim = (known: Member, claim: Member): Member | undefined => {
    if (known.state === MemberState.Leaving) return undefined;
    if (claim.state === MemberState.Leaving) {
      return {...claim, sequence: Math.max(claim.sequence, known.sequence)};
    }
    if (claim.sequence < known.sequence) return undefined;
    const isNewer = claim.sequence > known.sequence;
    const isWorse = SEVERITY[claim.state] > SEVERITY[known.state];
    return isNewer || isWorse ? claim : undefined;
  };

  return {
    get: name => records.get(name),
    list: () => [...records.values()],
    applyHeartbeat: (member, nowMs) => {
      if (member.name === options.ownName) return false;
      const known = records.get(member.name);
      const isSame = known?.member.incarnation === member.incarnation;
      const isLeaving = isSame && known.member.state === MemberState.Leaving;
      const state = isLeaving ? MemberState.Leaving : member.state;
      const hasChanged = !isSame || known.member.state !== state;
      if (isSame && !hasChanged) {
        const sequence = Math.max(known.member.sequence, member.sequence);
        known.member = {...member, state, sequence};
        known.lastSeenMs = nowMs;
        return false;
      }
      setMember({...member, state}, nowMs).lastSeenMs = nowMs;
      return true;
    },
    applyClaim: (claim, nowMs) => {
      if (claim.name === options.ownName) return false;
      const known = records.get(claim.name);
      if (known === undefined) {
        if (claim.sequence <= (removed.get(claim.name) ?? -1)) return false;
        setMember(claim, nowMs);
        return true;
      }
      if (claim.incarnation !== known.member.incarnation) {
        // Sequences begin at the wall-clock time of the process start, so a
        // newer incarnation has a greater one.
        if (claim.sequence <= known.member.sequence) return false;
        if (isRecentlySeen(known, nowMs)) return false;
        setMember(claim, nowMs);
        return true;
      }
      if (claim.state === MemberState.Suspect && isRecentlySeen(known, nowMs)) {
        return false;
      }
      const merged = mergeClaim(known.member, claim);
      if (merged === undefined) return false;
      const hasChanged = merged.state !== known.member.state;
      if (hasChanged) setMember(merged, nowMs);
      else known.member = merged;
      return hasChanged;
    },
    applyHostList: (hosts, nowMs) => {
      lastListReadMs = nowMs;
      const changed: string[] = [];
      for (const host of hosts) {
        if (host.name === options.ownName) continue;
        const isLeaving = host.state === ListedHostState.Leaving;
        const known = records.get(host.name);
        if (known === undefined) {
          const record = setMember(convertHost(host), nowMs);
          record.lastListedMs = nowMs;
          record.isListedLeaving = isLeaving;
          changed.push(host.name);
          continue;
        }
        known.lastListedMs = nowMs;
        const wasListedLeaving = known.isListedLeaving;
        known.isListedLeaving = isLeaving;
        const isEstablished = nowMs - known.knownSinceMs > MAX_LIST_LAG_MS;
        if (
          isLeaving &&
          (isEstablished || known.member.incarnation === '') &&
          known.member.state !== MemberState.Leaving
        ) {
          setMember({...known.member, state: MemberState.Leaving}, nowMs);
          changed.push(host.name);
        } else if (isLeaving !== wasListedLeaving) changed.push(host.name);
      }
      return changed;
    },
    markSuspect: (name, nowMs) => {
      const known = records.get(name);
      if (known?.member.state !== MemberState.Live) return false;
      setMember({...known.member, state: MemberState.Suspect}, nowMs);
      return true;
    },
    listUnlisted: nowMs =>
      [...records.values()]
        .filter(
          record =>
            record.lastListedMs !== undefined &&
            record.member.state === MemberState.Live &&
            isUnlisted(record, nowMs) &&
            nowMs - Math.max(record.lastSeenMs ?? 0, record.changedMs) >
              unlistedExpiryMs,
        )
        .map(record => record.member.name),
    removeExpired: nowMs => {
      const expired: Member[] = [];
      const expiryMs = options.suspectAfterMs * EXPIRY_PERIODS;
      for (const [name, record] of records) {
        const lastActivityMs = Math.max(
          record.lastSeenMs ?? record.knownSinceMs,
          record.changedMs,
        );
        const limitMs = isUnlisted(record, nowMs) ? unlistedExpiryMs : expiryMs;
        if (nowMs - lastActivityMs <= limitMs) continue;
        if (record.member.state === MemberState.Live) continue;
        records.delete(name);
        removed.set(name, record.member.sequence);
        if (removed.size > MAX_REMOVED_MEMBERS) {
          const oldest = removed.keys().next();
          if (!oldest.done) removed.delete(oldest.value);
        }
        expired.push(record.member);
      }
      return expired;
    },
  };
}
