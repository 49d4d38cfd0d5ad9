/**
 * Limits that hold for all gateways together: those of client accounts, those
 * that upstreams name, and the part of the fleet's budgets of this gateway.
 */
import type {UpstreamTable} from '@siskinplank/dispatch';
import type {GatewayState} from '@siskinplank/fleet';
import type {Clock, Logger} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import type {ClientAccount} from '@siskinplank/serving';
import {createPoolHandover, createTokenShares} from '@siskinplank/token-shares';
import type {PoolCapacity} from '@siskinplank/token-shares';
import {createAccountLimiter} from './account-limiter';
import type {AccountLimiter} from './account-limiter';
import {countMembers, createFleetFraction} from './fleet-fraction';
import type {FleetNode} from './fleet-node';
import {createUpstreamLimits} from './upstream-limits';
import type {UpstreamLimits} from './upstream-limits';

/** What `createSharedLimits` needs. */
export interface SharedLimitsOptions {
  ownName: string;
  /** Processor time of this host, in cores. */
  capacity: number;
  /** Whether this gateway may pool tokens for others now. */
  canPool(): boolean;
  /** Tokens by which an account's limit may be exceeded in a window. */
  slackTokens: number;
  /** Time within which a change of the gateways reaches all of them. */
  settleMs: number;
  upstreams: UpstreamTable;
  clock: Clock;
  logger: Logger;
  getFleet(): FleetNode;
  /** Called when units for waiting requests have arrived. */
  onUnits(): void;
}

/** The parts of a state that concern shared limits. */
export type SharedLimitsState = Pick<
  GatewayState,
  'poolCapacity' | 'limits' | 'unitNeeds'
>;

/** Shared limits of one gateway. */
export interface SharedLimits {
  accounts: AccountLimiter;
  upstreams: UpstreamLimits;
  /** This gateway's fraction of the budgets of all gateways. */
  getFraction(): number;
  setAccounts(accounts: readonly ClientAccount[]): void;
  describe(nowMs: number): SharedLimitsState;
  /** Replaces what peers need, and sends them what they lack. */
  updatePeers(
    changed: ReadonlyArray<{name: string; state: SharedLimitsState}>,
    nowMs: number,
  ): void;
  removePeer(peer: string): void;
  /** Follows changes of the fleet. */
  updateMembers(): void;
  /**
   * Lends units and returns tokens that have accrued; to be called several times
   * a second.
   */
  sendAccrued(): void;
  /** Returns false for messages that concern no shared limit. */
  handleMessage(peer: string, message: Message): boolean;
  /** Peers that should be told at once what this gateway needs. */
  listLenders(nowMs: number): ReadonlySet<string>;
}

/**
 * Fraction of the slack that is added to each account's burst, so that one
 * large request fits; the rest covers the delay of reports between gateways.
 */
const EXTRA_BURST_FRACTION = 0.45;

/** Creates shared limits that allow nothing before `updateMembers`. */
export function createSharedLimits(options: SharedLimitsOptions): SharedLimits {
  const {clock, ownName, getFleet} = options;
  const fraction = createFleetFraction(options.settleMs);
  const handover = createPoolHandover();
  const shares = createTokenShares({
    ownName,
    extraBurst: options.slackTokens * EXTRA_BURST_FRACTION,
    startedAtMs: clock.getStartedMs(),
  });
  const accounts = createAccountLimiter({
    ownName,
    shares,
    clock,
    sendTo: (peer, message) => getFleet().sendTo(peer, message),
    getLastSeenAtMs: peer => getFleet().peers.getLastSeenAtMs(peer),
  });
  const upstreams = createUpstreamLimits({
    ownName,
    upstreams: options.upstreams,
    clock,
    logger: options.logger,
    onNeed: () => getFleet().scheduleStateToLenders(),
    onNews: () => getFleet().scheduleState(),
  });

  const sendReturns = (nowMs: number): void => {
    for (const [home, tokens] of shares.withdrawReturns(nowMs)) {
      getFleet().sendTo(home, {type: MessageType.TokenReturn, tokens});
    }
  };

  const sendUnits = (nowMs: number): void => {
    for (const [peer, units] of upstreams.withdrawTransfers(nowMs)) {
      getFleet().sendTo(peer, {type: MessageType.UnitTransfer, units});
    }
  };

  /** A gateway without a fraction would drop what others return to it. */
  const updatePoolCapacity = (nowMs: number): PoolCapacity => {
    const canPool = options.canPool() && fraction.get() > 0;
    const pool = handover.update(canPool ? options.capacity : 0, nowMs);
    if (pool.isEnding) shares.startHandover(nowMs);
    return pool;
  };

  const updateReached = (nowMs: number): void => {
    const {registry, peers, isLinked} = getFleet();
    const others = new Set(registry.listOthers().map(({name}) => name));
    const reached = peers
      .listResponsive(nowMs)
      .filter(({name}) => others.has(name));
    const registered = registry.isRegistered()
      ? countMembers(registry, peers)
      : 0;
    const names = reached.map(({name}) => name);
    upstreams.setMembers([ownName, ...names].sort(), registered);
    shares.setMembers(
      [
        {name: ownName, capacity: updatePoolCapacity(nowMs).own},
        ...reached
          .filter(({name}) => isLinked(name))
          .map(({name, state}) => ({name, capacity: state.poolCapacity})),
      ],
      nowMs,
    );
  };

  return {
    accounts,
    upstreams,
    getFraction: fraction.get,
    setAccounts: list =>
      shares.setLimits(
        new Map(
          list.map(({name, ratePerSecond, burst}) => [
            name,
            {ratePerSecond, burst},
          ]),
        ),
        clock.getNowMs(),
      ),
    describe: nowMs => ({
      poolCapacity: updatePoolCapacity(nowMs).announced,
      limits: upstreams.describeLimits(nowMs),
      unitNeeds: upstreams.describeNeeds(nowMs),
    }),
    updatePeers: (changed, nowMs) => {
      for (const {name, state} of changed) {
        upstreams.updatePeer(name, state.limits, state.unitNeeds);
        shares.markResponsive(name, nowMs);
      }
      sendUnits(nowMs);
    },
    removePeer: upstreams.removePeer,
    updateMembers: () => {
      const nowMs = clock.getNowMs();
      const {registry, peers} = getFleet();
      const own = fraction.update(registry, peers, nowMs);
      shares.setFraction(own, nowMs);
      updateReached(nowMs);
      upstreams.removeStale(nowMs);
    },
    sendAccrued: () => {
      const nowMs = clock.getNowMs();
      sendUnits(nowMs);
      sendReturns(nowMs);
    },
    handleMessage: (peer, message) => {
      if (message.type === MessageType.UnitTransfer) {
        if (upstreams.deposit(message.units)) options.onUnits();
        return true;
      }
      return accounts.handleMessage(peer, message);
    },
    listLenders: upstreams.listLenders,
  };
}
