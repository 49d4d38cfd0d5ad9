/** Merges what is claimed about members; deterministic and without timers. */
import {MemberState} from '@siskinplank/messages';
import type {Member, ProcessRole} from '@siskinplank/messages';
import {ListedHostState} from '@siskinplank/platform-client';
import type {ListedHost} from '@siskinplank/platform-client';

/** What is known about one member. */
export interface MemberRecord {
  member: Member;
  /** Last heartbeat on a link of this process; undefined before the first. */
  lastSeenMs: number | undefined;
  /** Since when this incarnation is known. */
  knownSinceMs: number;
  /** Last change of state, or refutation of a suspicion. */
  changedMs: number;
  /** Last time that the host list named it; undefined if never. */
  lastListedMs: number | undefined;
  /** The host list calls it leaving, perhaps for a predecessor. */
  isListedLeaving: boolean;
}

/** Members by name. */
export interface MemberTable {
  get(name: string): MemberRecord | undefined;
  list(): MemberRecord[];
  /** A heartbeat on an authenticated link; true when the member changed. */
  applyHeartbeat(member: Member, nowMs: number): boolean;
  /** A claim of a peer; true when it is news. */
  applyClaim(member: Member, nowMs: number): boolean;
  /** A whole reading of the host list; returns the changed names. */
  applyHostList(hosts: readonly ListedHost[], nowMs: number): string[];
  markSuspect(name: string, nowMs: number): boolean;
  /** Removes and returns members that are gone. */
  removeExpired(nowMs: number): Member[];
  /**
   * Live members that the host list names no more and that were not heard for
   * long; to be suspected, which a peer that hears them refutes.
   */
  listUnlisted(nowMs: number): string[];
}

/** Limits of the table. */
export interface MemberTableOptions {
  ownName: string;
  suspectAfterMs: number;
}

/**
 * The host list lags, so it may call a restarted process leaving because its
 * predecessor was. Only an incarnation known for longer is marked for good.
 */
const LIST_LAG_MS = 30_000;
/** Silence, in suspicion times, before a member outside the list is removed. */
const UNLISTED_PERIODS = 10;
/** The same for a process that does not read the host list. */
const FORGET_PERIODS = 60;
const MAX_REMOVED = 4_096;

/** Greater is more severe; decides between claims of the same sequence. */
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
  /** Last sequence of removed members, against late claims. */
  const removed = new Map<string, number>();

  const shortMs = options.suspectAfterMs * UNLISTED_PERIODS;
  let listReadMs: number | undefined;

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

  const isRecentlyHeard = (record: MemberRecord, nowMs: number): boolean =>
    record.lastSeenMs !== undefined &&
    nowMs - record.lastSeenMs < options.suspectAfterMs;

  /** Whether recent readings of the host list have long been without it. */
  const isUnlisted = (record: MemberRecord, nowMs: number): boolean => {
    if (listReadMs === undefined || nowMs - listReadMs > shortMs) return false;
    const namedMs = record.lastListedMs ?? record.knownSinceMs;
    return listReadMs - namedMs > shortMs;
  };

  /** Merges a claim about the same incarnation; undefined when it is old. */
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
        // Sequences start at the wall-clock time of the start, so the newer
        // incarnation has the greater one.
        if (claim.sequence <= known.member.sequence) return false;
        if (isRecentlyHeard(known, nowMs)) return false;
        setMember(claim, nowMs);
        return true;
      }
      if (
        claim.state === MemberState.Suspect &&
        isRecentlyHeard(known, nowMs)
      ) {
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
      listReadMs = nowMs;
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
        const isEstablished = nowMs - known.knownSinceMs > LIST_LAG_MS;
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
              shortMs,
        )
        .map(record => record.member.name),
    removeExpired: nowMs => {
      const gone: Member[] = [];
      const longMs = options.suspectAfterMs * FORGET_PERIODS;
      for (const [name, record] of records) {
        const silentSinceMs = Math.max(
          record.lastSeenMs ?? record.knownSinceMs,
          record.changedMs,
        );
        const limitMs = isUnlisted(record, nowMs) ? shortMs : longMs;
        if (nowMs - silentSinceMs <= limitMs) continue;
        if (record.member.state === MemberState.Live) continue;
        records.delete(name);
        removed.set(name, record.member.sequence);
        if (removed.size > MAX_REMOVED) {
          const oldest = removed.keys().next();
          if (!oldest.done) removed.delete(oldest.value);
        }
        gone.push(record.member);
      }
      return gone;
    },
  };
}
