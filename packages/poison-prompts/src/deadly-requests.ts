/**
 * Whole requests under which upstreams ended. A caller may send such a request
 * again at any gateway, so gateways exchange what they saw, and each derives
 * the same from the same evidence.
 */
import {
  addEnd,
  computeTrialDelayMs,
  countSeparateEnds,
  hasBegunEnd,
} from './request-ends';
import type {RequestEnd} from './request-ends';
import type {ReportedDeadlyRequest, RequestVerdict} from './types';

/** What `createDeadlyRequests` needs. */
export interface DeadlyRequestsOptions {
  /**
   * Whether this process tests a refused request. The key changes with time, so
   * that callers of each process have their turn.
   */
  isTrialOwner(key: string): boolean;
}

/** An end of an upstream that had not answered a request. */
export interface UnansweredEnd {
  /** Incarnation of the upstream. */
  upstream: string;
  /** Whether the upstream had just begun to answer. */
  hasBegun: boolean;
  /** Whether the request was sent there since another one ended under it. */
  isRepeated: boolean;
}

/** Bounded record of requests, by fingerprint. */
export interface DeadlyRequests {
  /** Records that an upstream ended before it answered the request. */
  recordEnd(key: string, end: UnansweredEnd, nowMs: number): void;
  /** Records an answer; returns whether the request was refused before. */
  recordAnswer(key: string, nowMs: number): boolean;
  /** Whether no request is known, so that no fingerprint is needed. */
  isEmpty(): boolean;
  /** Whether an upstream ended under the request. */
  has(key: string): boolean;
  isRefused(key: string): boolean;
  /** Decides on a request that is about to be sent. */
  checkRequest(key: string, nowMs: number): RequestVerdict;
  list(nowMs: number): ReportedDeadlyRequest[];
  /** Adds what a peer saw; returns the requests that are refused since. */
  merge(reported: readonly ReportedDeadlyRequest[], nowMs: number): string[];
  countRefused(): number;
}

/** What is known of a request. */
interface Suspicion {
  ends: readonly RequestEnd[];
  /** Ends up to this time prove nothing; -Infinity without an answer. */
  answeredAtMs: number;
  /** Times of the last answer and of the last end that this process saw. */
  ownAnswerAtMs: number;
  ownEndAtMs: number;
  /** Whether a peer may know of the request. */
  isShared: boolean;
  trialStartedAtMs: number;
  lastUsedAtMs: number;
}

/**
 * One end is likely to be chance, as an upstream that ends has dozens of
 * requests.
 */
const MIN_ENDS = 2;
/** Ends from which a request explains those of others that have fewer. */
const MIN_EXPLAINING_ENDS = 3;
const MAX_REQUESTS = 1_024;
const MAX_REPORTED = 32;
/** A single end or an answer is reported for this time. */
const REPORT_MS = 10_000;
/** Longer than the longest time between two tests. */
const LIFETIME_MS = 7_200_000;
/** A test without a result after this time is given up. */
const TRIAL_TIMEOUT_MS = 5_000;
/** Time after which another process may test the request. */
const TRIAL_TURN_MS = 10_000;
const MIN_RETRY_AFTER_MS = 1_000;

const NOT_REFUSED: RequestVerdict = {
  isRefused: false,
  retryAfterMs: 0,
  isTrial: false,
};

/** Creates an empty record. */
export function createDeadlyRequests(
  options: DeadlyRequestsOptions,
): DeadlyRequests {
  /** The least recently used request first. */
  const suspicions = new Map<string, Suspicion>();

  const isSuspected = ({ends}: Suspicion): boolean =>
    hasBegunEnd(ends) || countSeparateEnds(ends) >= MIN_ENDS;

  /** Lists the requests whose ends are enough to explain those of others. */
  const listExplaining = (): Array<[string, Suspicion]> =>
    [...suspicions].filter(
      ([, {ends}]) => countSeparateEnds(ends) >= MIN_EXPLAINING_ENDS,
    );

  /** Whether a request with further ends was open at each of the ends. */
  const isExplained = (
    key: string,
    {ends}: Suspicion,
    explaining: ReadonlyArray<[string, Suspicion]>,
  ): boolean => {
    if (hasBegunEnd(ends) || ends.length >= MIN_EXPLAINING_ENDS) return false;
    return explaining.some(
      ([otherKey, other]) =>
        otherKey !== key &&
        ends.every(({upstream}) =>
          other.ends.some(end => end.upstream === upstream),
        ),
    );
  };

  /** Whether each of the ends may be due to another request. */
  const isAmbiguous = (key: string, {ends}: Suspicion): boolean =>
    ends.every(({upstream}) =>
      [...suspicions].some(
        ([otherKey, other]) =>
          otherKey !== key && other.ends.some(end => end.upstream === upstream),
      ),
    );

  /** Callers that ask for many requests list the explaining ones once. */
  const isRefused = (
    key: string,
    explaining?: ReadonlyArray<[string, Suspicion]>,
  ): boolean => {
    const suspicion = suspicions.get(key);
    if (suspicion === undefined || !isSuspected(suspicion)) return false;
    return !isExplained(key, suspicion, explaining ?? listExplaining());
  };

  /** Drops the least recently used request, a refused one only if all are. */
  const evict = (): void => {
    for (const [key, suspicion] of suspicions) {
      if (isSuspected(suspicion)) continue;
      suspicions.delete(key);
      return;
    }
    const [oldest] = suspicions.keys();
    suspicions.delete(oldest);
  };

  const put = (key: string, suspicion: Suspicion): void => {
    suspicions.delete(key);
    suspicions.set(key, suspicion);
    if (suspicions.size > MAX_REQUESTS) evict();
  };

  const getOrCreate = (key: string, nowMs: number): Suspicion => ({
    ...(suspicions.get(key) ?? {
      ends: [],
      answeredAtMs: -Infinity,
      ownAnswerAtMs: -Infinity,
      ownEndAtMs: -Infinity,
      isShared: false,
      trialStartedAtMs: -Infinity,
    }),
    lastUsedAtMs: nowMs,
  });

  const dropExpired = (nowMs: number): void => {
    for (const [key, {ends, answeredAtMs, lastUsedAtMs}] of [...suspicions]) {
      const isAnswered = ends.length === 0;
      const isOver = isAnswered
        ? nowMs - answeredAtMs >= REPORT_MS
        : nowMs - lastUsedAtMs >= LIFETIME_MS;
      if (isOver) suspicions.delete(key);
    }
  };

  const computeTrialAtMs = (key: string, suspicion: Suspicion): number => {
    const {ends} = suspicion;
    const lastAtMs = Math.max(...ends.map(({atMs}) => atMs));
    return lastAtMs + computeTrialDelayMs(ends, isAmbiguous(key, suspicion));
  };

  const mayStartTrial = (
    key: string,
    {trialStartedAtMs}: Suspicion,
    trialAtMs: number,
    nowMs: number,
  ): boolean => {
    if (nowMs < trialAtMs) return false;
    if (nowMs - trialStartedAtMs < TRIAL_TIMEOUT_MS) return false;
    const turn = Math.floor((nowMs - trialAtMs) / TRIAL_TURN_MS);
    const turnEndsAtMs = trialAtMs + (turn + 1) * TRIAL_TURN_MS;
    // The next owner does not know of the test, so its result is due before.
    if (nowMs + TRIAL_TIMEOUT_MS > turnEndsAtMs) return false;
    return options.isTrialOwner(`${key}/${turn}`);
  };

  const mergeOne = (
    [key, ends, answeredAgeMs]: ReportedDeadlyRequest,
    nowMs: number,
  ): void => {
    const previous = suspicions.get(key);
    const known = getOrCreate(key, nowMs);
    const answeredAtMs = Math.max(
      known.answeredAtMs,
      answeredAgeMs < 0 ? -Infinity : nowMs - answeredAgeMs,
    );
    const merged = ends
      .map(([upstream, ageMs, hasBegun, isRepeated]) => ({
        upstream,
        atMs: nowMs - ageMs,
        hasBegun,
        isRepeated,
      }))
      .reduce(addEnd, known.ends)
      .filter(({atMs}) => atMs > answeredAtMs);
    const hasNewEnds = merged.length > (previous?.ends.length ?? 0);
    // A report is no use of the request, else processes that forget it at
    // different times would remind each other of it forever.
    const lastUsedAtMs = Math.max(
      previous?.lastUsedAtMs ?? -Infinity,
      ...merged.map(({atMs}) => atMs),
    );
    if (hasNewEnds) {
      if (nowMs - lastUsedAtMs >= LIFETIME_MS) return;
      const isShared = true;
      put(key, {...known, ends: merged, answeredAtMs, isShared, lastUsedAtMs});
    } else if (previous !== undefined) {
      previous.ends = merged;
      previous.answeredAtMs = answeredAtMs;
      previous.isShared = true;
    }
  };

  return {
    recordEnd: (key, end, nowMs) => {
      const known = getOrCreate(key, nowMs);
      // Checks of upstreams take time, so a later answer may be known already.
      if (nowMs <= known.answeredAtMs) return;
      const ends = addEnd(known.ends, {...end, atMs: nowMs});
      put(key, {
        ...known,
        ends,
        ownEndAtMs: nowMs,
        trialStartedAtMs: -Infinity,
      });
    },
    recordAnswer: (key, nowMs) => {
      const known = suspicions.get(key);
      if (known === undefined || known.ends.length === 0) return false;
      const wasRefused = isRefused(key);
      suspicions.delete(key);
      if (!known.isShared) return wasRefused;
      put(key, {
        ...known,
        ends: [],
        answeredAtMs: nowMs,
        ownAnswerAtMs: nowMs,
      });
      return wasRefused;
    },
    isEmpty: () => suspicions.size === 0,
    has: key => (suspicions.get(key)?.ends.length ?? 0) > 0,
    isRefused: key => isRefused(key),
    checkRequest: (key, nowMs) => {
      const known = suspicions.get(key);
      if (known === undefined || !isRefused(key)) return NOT_REFUSED;
      const trialAtMs = computeTrialAtMs(key, known);
      const isTrial = mayStartTrial(key, known, trialAtMs, nowMs);
      const trialStartedAtMs = isTrial ? nowMs : known.trialStartedAtMs;
      put(key, {...known, trialStartedAtMs, lastUsedAtMs: nowMs});
      if (isTrial) return {isRefused: false, retryAfterMs: 0, isTrial};
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, trialAtMs - nowMs);
      return {isRefused: true, retryAfterMs, isTrial: false};
    },
    list: nowMs => {
      dropExpired(nowMs);
      const refused: ReportedDeadlyRequest[] = [];
      const recent: ReportedDeadlyRequest[] = [];
      const explaining = listExplaining();
      for (const [key, {ends, ownAnswerAtMs, ownEndAtMs}] of suspicions) {
        const newsAtMs = Math.max(ownEndAtMs, ownAnswerAtMs);
        const isNowRefused = isRefused(key, explaining);
        if (!isNowRefused && nowMs - newsAtMs >= REPORT_MS) continue;
        // Rounded down, so that times do not drift as gateways repeat them.
        const answeredAgeMs =
          ownAnswerAtMs === -Infinity ? -1 : Math.floor(nowMs - ownAnswerAtMs);
        (isNowRefused ? refused : recent).push([
          key,
          ends.map(({upstream, atMs, hasBegun, isRepeated}) => [
            upstream,
            Math.max(0, Math.floor(nowMs - atMs)),
            hasBegun,
            isRepeated,
          ]),
          answeredAgeMs,
        ]);
      }
      const reported = [...recent, ...refused].slice(-MAX_REPORTED);
      for (const [key] of reported) {
        const suspicion = suspicions.get(key);
        if (suspicion !== undefined) suspicion.isShared = true;
      }
      return reported;
    },
    merge: (reported, nowMs) => {
      const before = new Set(
        reported.map(([key]) => key).filter(key => isRefused(key)),
      );
      for (const one of reported) mergeOne(one, nowMs);
      return reported
        .map(([key]) => key)
        .filter(key => !before.has(key) && isRefused(key));
    },
    countRefused: () => {
      const explaining = listExplaining();
      return [...suspicions.keys()].filter(key => isRefused(key, explaining))
        .length;
    },
  };
}
