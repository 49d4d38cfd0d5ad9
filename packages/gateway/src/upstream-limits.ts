/**
 * Keeps all gateways together within the limits that upstreams name in their
 * responses. Gateways tell each other of the limits and lend each other the
 * units.
 */
import type {UpstreamEntry, UpstreamTable} from '@siskinplank/dispatch';
import type {Clock, Logger} from '@siskinplank/foundation';
import {rankMembers} from '@siskinplank/membership';
import {formatIncarnation, parseIncarnation} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {createUnitLending} from '@siskinplank/token-shares';
import type {UnitNeeds} from '@siskinplank/token-shares';
import {UPSTREAM_LIMIT_CHANGED} from './events';

/**
 * By incarnation of an upstream: requests a second that it allows, or -1 if it
 * names no limit any more, and the age of that information in milliseconds.
 */
export type ReportedLimits = Record<string, [number, number]>;

/** What `createUpstreamLimits` needs. */
export interface UpstreamLimitsOptions {
  ownName: string;
  upstreams: UpstreamTable;
  clock: Clock;
  logger: Logger;
  /** Called when a peer should be told of a need at once. */
  onNeed(): void;
  /** Called when a limit was named, changed or lifted. */
  onNews(): void;
}

/** Limits of the upstreams and the units that this gateway may spend. */
export interface UpstreamLimits {
  /**
   * Records whether a response named a limit. Only the answer to a request that
   * was sent after a limit was named can end it.
   */
  observeResponse(
    upstream: Upstream,
    limitPerSecond: number | undefined,
    sentAtMs: number,
    isAnswer: boolean,
  ): void;
  /** Splits upstreams by whether a request may be sent to them now. */
  splitBySpendable(entries: readonly UpstreamEntry[]): {
    spendable: readonly UpstreamEntry[];
    exhausted: readonly UpstreamEntry[];
  };
  /** Takes a unit for one request; true if there is no limit. */
  trySpend(upstream: Upstream): boolean;
  /** Notes that a request would have been sent to the upstream. */
  noteWish(upstream: Upstream): void;
  /** Lets a request wait for a unit; undefined if it would wait too long. */
  startWaiting(upstream: Upstream): {stop(): void} | undefined;
  estimateWaitMs(upstream: Upstream): number;
  setMembers(members: readonly string[], registered: number): void;
  updatePeer(peer: string, limits: ReportedLimits, needs: UnitNeeds): void;
  removePeer(peer: string): void;
  describeLimits(nowMs: number): ReportedLimits;
  describeNeeds(nowMs: number): Record<string, number>;
  listLenders(nowMs: number): ReadonlySet<string>;
  withdrawTransfers(nowMs: number): Map<string, Record<string, number>>;
  deposit(units: UnitNeeds): boolean;
  /** Forgets the limits of upstreams that are gone. */
  removeStale(nowMs: number): void;
  /** Number of upstreams with a limit. */
  countLimits(): number;
}

/** Longest wait of a request for a unit. */
export const MAX_UNIT_WAIT_MS = 700;
/** Least time between two messages about the need for one limit. */
const NEED_PERIOD_MS = 300;
/** Time for which an ended limit is reported, and an unknown upstream's kept. */
const RETENTION_MS = 15_000;
const NO_LIMIT = -1;

interface NamedLimit {
  perSecond: number;
  observedAtMs: number;
  askedAtMs: number;
}

/** Creates an empty record of limits. */
export function createUpstreamLimits(
  options: UpstreamLimitsOptions,
): UpstreamLimits {
  const {clock, logger, ownName} = options;
  const named = new Map<string, NamedLimit>();
  const units = createUnitLending({
    ownName,
    chooseOwner: (key, members) =>
      rankMembers(
        members.map(name => ({name})),
        key,
      )[0].name,
  });

  const setLimit = (
    key: string,
    perSecond: number,
    observedAtMs: number,
    nowMs: number,
  ): void => {
    const known = named.get(key);
    if (known !== undefined && observedAtMs <= known.observedAtMs) return;
    const former = known?.perSecond ?? NO_LIMIT;
    named.set(key, {
      perSecond,
      observedAtMs,
      askedAtMs: known?.askedAtMs ?? -Infinity,
    });
    if (perSecond === former) return;
    if (perSecond === NO_LIMIT) units.removeLimit(key);
    else units.setLimit(key, perSecond, nowMs);
    logger.log(UPSTREAM_LIMIT_CHANGED, {
      upstream: parseIncarnation(key).id,
      limitPerSecond: perSecond === NO_LIMIT ? undefined : perSecond,
      formerPerSecond: former === NO_LIMIT ? undefined : former,
      ageMs: Math.round(nowMs - observedAtMs),
    });
    options.onNews();
  };

  const requestUnits = (key: string, nowMs: number): void => {
    const limit = named.get(key);
    if (limit === undefined) return;
    if (nowMs - limit.askedAtMs < NEED_PERIOD_MS) return;
    limit.askedAtMs = nowMs;
    if (units.listLenders(nowMs).size > 0) options.onNeed();
  };

  return {
    observeResponse: (upstream, limitPerSecond, sentAtMs, isAnswer) => {
      const key = formatIncarnation(upstream);
      const nowMs = clock.getNowMs();
      if (limitPerSecond !== undefined) {
        setLimit(key, limitPerSecond, nowMs, nowMs);
        return;
      }
      const known = named.get(key);
      if (known === undefined || !isAnswer) return;
      if (sentAtMs > known.observedAtMs) {
        setLimit(key, NO_LIMIT, sentAtMs, nowMs);
      }
    },
    splitBySpendable: entries => {
      if (named.size === 0) return {spendable: entries, exhausted: []};
      const nowMs = clock.getNowMs();
      const spendable: UpstreamEntry[] = [];
      const exhausted: UpstreamEntry[] = [];
      for (const entry of entries) {
        const maySpend = units.canSpend(
          formatIncarnation(entry.upstream),
          nowMs,
        );
        (maySpend ? spendable : exhausted).push(entry);
      }
      return {spendable, exhausted};
    },
    trySpend: upstream =>
      units.trySpend(formatIncarnation(upstream), clock.getNowMs()),
    noteWish: upstream => {
      const key = formatIncarnation(upstream);
      const nowMs = clock.getNowMs();
      units.noteWish(key, nowMs);
      requestUnits(key, nowMs);
    },
    startWaiting: upstream => {
      const key = formatIncarnation(upstream);
      if (!units.canWait(key, MAX_UNIT_WAIT_MS)) return undefined;
      units.addWaiting(key);
      requestUnits(key, clock.getNowMs());
      let hasStopped = false;
      return {
        stop: () => {
          if (hasStopped) return;
          hasStopped = true;
          units.removeWaiting(key);
        },
      };
    },
    estimateWaitMs: upstream =>
      units.estimateWaitMs(formatIncarnation(upstream)),
    setMembers: (members, registered) =>
      units.setMembers(members, registered, clock.getNowMs()),
    updatePeer: (peer, limits, needs) => {
      const nowMs = clock.getNowMs();
      for (const [key, [perSecond, ageMs]] of Object.entries(limits)) {
        setLimit(key, perSecond, nowMs - ageMs, nowMs);
      }
      units.updatePeer(peer, needs);
    },
    removePeer: units.removePeer,
    describeLimits: nowMs => {
      const limits: ReportedLimits = {};
      for (const [key, {perSecond, observedAtMs}] of named) {
        limits[key] = [perSecond, Math.round(nowMs - observedAtMs)];
      }
      return limits;
    },
    describeNeeds: units.describeNeeds,
    listLenders: units.listLenders,
    withdrawTransfers: units.withdrawTransfers,
    deposit: lent => units.deposit(lent, clock.getNowMs()),
    removeStale: nowMs => {
      for (const [key, {perSecond, observedAtMs}] of [...named]) {
        const {id, startedAtMs} = parseIncarnation(key);
        const entry = options.upstreams.getEntry(id);
        const isCurrent = entry?.upstream.startedAtMs === startedAtMs;
        if (isCurrent && perSecond !== NO_LIMIT) continue;
        if (nowMs - observedAtMs < RETENTION_MS) continue;
        named.delete(key);
        units.removeLimit(key);
      }
    },
    countLimits: () =>
      [...named.values()].filter(({perSecond}) => perSecond !== NO_LIMIT)
        .length,
  };
}
