/** The token limiter of one entry process; connects its parts. */
import type {Clock, Logger, Metrics, Random} from '@siskinplank/foundation';
import type {ConfigurationView} from '@siskinplank/configuration';
import type {MembershipView} from '@siskinplank/membership';
import {MemberState, MessageType, ProcessRole} from '@siskinplank/messages';
import type {PlatformStore} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {ClientAccount} from '@siskinplank/resources';
import type {EntrySettings} from '@siskinplank/settings';
import type {PeerIdentity, PeerNetwork} from '@siskinplank/transport';
import {createCoordinator} from './coordinator';
import {createLender} from './lender';
import type {Lender} from './lender';
import {createLendingMessenger} from './lending-messenger';
import type {LendingMessenger} from './lending-messenger';
import {LENDERS_PER_PERIOD} from './loan-times';
import {chooseCoordinator, hashBucket} from './rendezvous';
import {createShareHolder} from './share-holder';
import type {ShareHolder} from './share-holder';
import {createReservationManager} from './reservation-manager';
import type {AccountLimiter} from './types';

/** Dependencies of an account limiter. */
export interface AccountLimiterOptions {
  settings: EntrySettings['limits'];
  store: PlatformStore;
  network: PeerNetwork;
  membership: MembershipView;
  configuration: ConfigurationView;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  identity: PeerIdentity;
  /** Overrides `LENDERS_PER_PERIOD`, to test long loans with few hosts. */
  lendersPerPeriod?: number;
}

/** Creates the limiter; `start` acquires its share units. */
export function createAccountLimiter(
  options: AccountLimiterOptions,
): AccountLimiter {
  const {settings, membership, configuration, clock, identity} = options;
  const {lendersPerPeriod = LENDERS_PER_PERIOD} = options;
  const buckets = new Map<string, number>();
  const coordinators = new Map<number, string>();
  let namesKey = '';
  let namesReadMs = -Infinity;
  let coordinatorNames: readonly string[] = [];
  let lastRequestId = 0;

  const getBucket = (account: string): number => {
    const knownBucket = buckets.get(account);
    if (knownBucket !== undefined) return knownBucket;
    const bucket = hashBucket(account, settings.buckets);
    buckets.set(account, bucket);
    return bucket;
  };
  const getAccount = (name: string): ClientAccount | undefined =>
    configuration.getObject(ResourceKind.ClientAccount, name)?.value;
  const listAccounts = (): readonly ClientAccount[] =>
    configuration
      .listObjects(ResourceKind.ClientAccount)
      .map(object => object.value);
  const listEntryHosts = (nowMs: number): readonly string[] =>
    membership
      .listMembers(nowMs)
      .filter(
        member =>
          member.role === ProcessRole.Entry &&
          (member.state !== MemberState.Leaving ||
            member.name === identity.name),
      )
      .map(member => member.name);

  /** Live entry hosts; coordinators are chosen among them. */
  const listCoordinators = (nowMs: number): readonly string[] =>
    membership
      .listMembers(nowMs)
      .filter(
        member =>
          member.role === ProcessRole.Entry &&
          member.state === MemberState.Live,
      )
      .map(member => member.name);
  const findBucketCoordinator = (
    bucket: number,
    nowMs: number,
  ): string | undefined => {
    // Background work looks up all accounts at the same `nowMs`. The membership
    // view is read once for them, because it may list 410 hosts.
    if (nowMs !== namesReadMs) {
      namesReadMs = nowMs;
      coordinatorNames = listCoordinators(nowMs);
      const key = coordinatorNames.join(' ');
      if (key !== namesKey) coordinators.clear();
      namesKey = key;
    }
    const knownCoordinator = coordinators.get(bucket);
    if (knownCoordinator !== undefined) return knownCoordinator;
    const chosen = chooseCoordinator(bucket, coordinatorNames);
    if (chosen !== undefined) coordinators.set(bucket, chosen);
    return chosen;
  };
  /** Unique within this incarnation; receivers use it with the sender. */
  const makeRequestId = (): string => {
    lastRequestId += 1;
    return lastRequestId.toString(36);
  };

  const lender: Lender = createLender({
    bucketCount: settings.buckets,
    holder: {
      getLoanMs: () => holder.getLoanMs(),
      getUnits: nowMs => holder.getUnits(nowMs),
      getUnitCount: () => holder.getUnitCount(),
      getLeaseEndMs: () => holder.getLeaseEndMs(),
    },
    getAccount,
    getBucket,
    listAccounts,
  });
  const reservationManager = createReservationManager({
    clock,
    lender,
    getAccount,
    makeRequestId,
    findCoordinator: (account, nowMs) =>
      messenger.findCoordinator(account, nowMs),
    requestGrant: (requestId, account, neededTokens, wantedTokens, nowMs) =>
      messenger.requestGrant(
        requestId,
        account,
        neededTokens,
        wantedTokens,
        nowMs,
      ),
  });
  const coordinator = createCoordinator({
    bucketCount: settings.buckets,
    loanMs: settings.loanMs,
    loanRenewMs: settings.loanRenewMs,
    lendersPerPeriod,
    reserveWaitMs: settings.reserveWaitMs,
    clock,
    logger: options.logger,
    getAccount,
    getBucket,
    makeRequestId,
    listLenders: listEntryHosts,
    isCoordinator: (bucket, nowMs) =>
      findBucketCoordinator(bucket, nowMs) === identity.name,
    sendTo: (host, message) => void messenger.sendTo(host, message),
  });
  const messenger: LendingMessenger = createLendingMessenger({
    identity,
    network: options.network,
    clock,
    logger: options.logger,
    grantMs: settings.loanMs,
    lender,
    reservationManager,
    coordinator,
    onUnitsFreed: nowMs => holder.handleUnitsFreed(nowMs),
    getMember: name => membership.getMember(name),
    findCoordinator: (account, nowMs) =>
      findBucketCoordinator(getBucket(account), nowMs),
  });
  const holder: ShareHolder = createShareHolder({
    host: identity.name,
    incarnation: identity.incarnation,
    shareUnits: settings.shareUnits,
    shareLeaseMs: settings.shareLeaseMs,
    loanMs: settings.loanMs,
    lendersPerPeriod,
    store: options.store,
    clock,
    random: options.random,
    logger: options.logger,
    listHosts: listEntryHosts,
    canReduceTo: (units, nowMs) => lender.canReduceTo(units, nowMs),
    onBeforeChange: nowMs => lender.refreshAll(nowMs),
    onChange: (nowMs, isFull) => {
      lender.applyUnits(nowMs, isFull);
      shareUnits.set(holder.getUnits(nowMs));
      reservationManager.serveAllWaiters(nowMs);
    },
    notifyUnitsFreed: hosts => {
      for (const host of hosts) {
        messenger.sendTo(host, {type: MessageType.UnitsFreed});
      }
    },
  });
  const reservations = options.metrics.createCounter(
    'limits_reservations_total',
    'Reservations of tokens by outcome',
    ['outcome'],
  );
  const shareUnits = options.metrics.createGauge(
    'limits_share_units',
    'Share units in use',
  );
  let unsubscribe: (() => void) | undefined;

  return {
    start: async () => {
      unsubscribe = configuration.subscribe(changes => {
        const hasAccountChange = changes.some(
          change => change.kind === ResourceKind.ClientAccount,
        );
        if (!hasAccountChange) return;
        const nowMs = clock.getNowMs();
        lender.refreshAll(nowMs);
        coordinator.refreshAll(nowMs);
        reservationManager.serveAllWaiters(nowMs);
      });
      messenger.start();
      await holder.start();
    },
    stop: async () => {
      const nowMs = clock.getNowMs();
      reservationManager.refuseAll(nowMs);
      messenger.returnGrants(nowMs);
      coordinator.stop(nowMs);
      await holder.stop();
      unsubscribe?.();
      messenger.stop();
    },
    reserve: async (account, tokens, nowMs, waitMs) => {
      const result = await reservationManager.reserve(
        account,
        tokens,
        nowMs,
        waitMs,
      );
      reservations.inc({outcome: result.isRight() ? 'reserved' : 'refused'});
      return result;
    },
    settle: (reservation, usedTokens, nowMs) =>
      reservationManager.settle(reservation, usedTokens, nowMs),
  };
}
