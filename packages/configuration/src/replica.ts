/** Replica of the configuration: combines state, platform watch and relay. */
import type {
  Clock,
  Logger,
  Metrics,
  Random,
  Timer,
} from '@siskinplank/foundation';
import {canCloseTreeLink, computeTreePosition} from '@siskinplank/membership';
import type {MembershipView, TreePosition} from '@siskinplank/membership';
import {FreshnessState} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import type {PlatformStore} from '@siskinplank/platform-client';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';
import type {PeerIdentity, PeerNetwork} from '@siskinplank/transport';
import {
  CONFIRMED_AGAIN,
  COPY_RECEIVED,
  FALLBACK_ENDED,
  FALLBACK_STARTED,
  KEYS_STALE,
  OUTAGE_ESTABLISHED,
} from './events';
import {createFreshnessTracker} from './freshness';
import {createOutageTracker} from './outage-tracker';
import {MajorityOutageRule, formatDomainKey} from './outage-rule';
import type {OutageRule} from './outage-rule';
import {WatchMode, createPlatformWatch} from './platform-watch';
import {createRelay} from './relay';
import {createReplicaState} from './replica-state';
import type {ApplyResult} from './replica-state';
import type {ConfigurationChange, ConfigurationReplica} from './types';

/** Periods of a replica; see the settings section `configuration`. */
export interface ConfigurationReplicaSettings {
  freshnessMs: number;
  outageGraceMs: number;
  digestPeriodMs: number;
  watchWaitMs: number;
}

/** Options of `createConfigurationReplica`. */
export interface ConfigurationReplicaOptions {
  store: PlatformStore;
  network: PeerNetwork;
  membership: MembershipView;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  settings: ConfigurationReplicaSettings;
  identity: PeerIdentity;
  /** Decides when reports establish an outage; a majority rule by default. */
  outageRule?: OutageRule;
}

/**
 * Longest watch as a fraction of the freshness limit. A watch without changes
 * confirms the replica as of the time of its request, so with a longer one the
 * confirmation would reach the limit before it has passed down the tree.
 */
const MAX_WATCH_FRACTION = 0.2;
/**
 * Fraction of the freshness limit, plus a random part of the jitter, after
 * which a process without a peer's confirmation polls the platform itself.
 */
const FALLBACK_FRACTION = 0.55;
const FALLBACK_JITTER_FRACTION = 0.2;
const CHECK_PERIOD_MS = 200;
/**
 * A process that knows no peer yet waits this long before it reads the
 * platform. Otherwise, when all processes start at once, each of them would
 * list the whole configuration.
 */
const NO_PEER_DELAY_MS = 500;

interface Waiter {
  revision: number;
  resolve: (reached: boolean) => void;
  timer: Timer;
}

/** Creates a replica at revision 0. */
export function createConfigurationReplica(
  options: ConfigurationReplicaOptions,
): ConfigurationReplica {
  const {network, membership, clock, random, logger, settings} = options;
  const {identity} = options;
  const state = createReplicaState();
  const outages = createOutageTracker({
    ownName: identity.name,
    region: identity.region,
    failureDomain: identity.failureDomain,
    reportLifetimeMs: settings.freshnessMs,
    outageGraceMs: settings.outageGraceMs,
    rule: options.outageRule ?? new MajorityOutageRule(),
    getOwnOutageAtMs: () => watch.getOutageAtMs(),
  });
  const tracker = createFreshnessTracker({
    freshnessMs: settings.freshnessMs,
    outageGraceMs: settings.outageGraceMs,
    isOutage: outages.isOutage,
  });
  let loggedState: FreshnessState | undefined;
  const handlers = new Set<(changes: readonly ConfigurationChange[]) => void>();
  const waiters = new Set<Waiter>();
  const connectedUplinks = new Map<string, Member>();
  let position: TreePosition = {
    rank: 0,
    isWatcher: false,
    uplinks: [],
    children: [],
  };
  let uplinkNames = new Set<string>();
  let lastPeerConfirmationMs = clock.getNowMs();
  let startedMs = 0;
  let fallbackDelayMs = 0;
  let isStopped = false;
  let previousRevision = 0;
  let timer: Timer | undefined;
  const cancels: Array<() => void> = [];
  const revisionGauge = options.metrics.createGauge(
    'configuration_revision',
    'Revision up to which the configuration replica is complete.',
  );
  const changeCounter = options.metrics.createCounter(
    'configuration_changes_total',
    'Objects of the configuration changed or removed.',
  );

  const chooseFallbackDelay = (): void => {
    const fraction =
      FALLBACK_FRACTION + FALLBACK_JITTER_FRACTION * random.getNext();
    fallbackDelayMs = settings.freshnessMs * fraction;
  };

  const publish = (result: ApplyResult): void => {
    const revision = state.getRevision();
    revisionGauge.set(revision);
    changeCounter.inc(result.changes.length);
    for (const waiter of [...waiters]) {
      if (waiter.revision > revision) continue;
      waiters.delete(waiter);
      waiter.timer.cancel();
      waiter.resolve(true);
    }
    if (result.changes.length === 0) return;
    for (const handler of [...handlers]) handler(result.changes);
  };

  const watch = createPlatformWatch({
    store: options.store,
    state,
    clock,
    random,
    logger,
    waitMs: Math.min(
      settings.watchWaitMs,
      settings.freshnessMs * MAX_WATCH_FRACTION,
    ),
    onApplied: (result, confirmedMs) => {
      if (isStopped) return;
      tracker.recordConfirmation(confirmedMs);
      publish(result);
      relay.pushToAll(result.changes.length > 0);
    },
    onOutage: () => {
      if (!isStopped) relay.pushOutage();
    },
  });

  const relay = createRelay({
    network,
    state,
    tracker,
    outages,
    clock,
    logger,
    digestPeriodMs: settings.digestPeriodMs,
    isUplink: name => uplinkNames.has(name),
    isWatching: () => watch.getMode() === WatchMode.Watcher,
    events: {
      onApplied: result => {
        const isFirstCopy = previousRevision === 0 && state.getRevision() > 0;
        previousRevision = state.getRevision();
        if (isFirstCopy)
          logger.log(COPY_RECEIVED, {revision: previousRevision});
        publish(result);
      },
      onConfirmed: atMs => {
        lastPeerConfirmationMs = Math.max(lastPeerConfirmationMs, atMs);
      },
    },
  });

  const releaseLink = (member: Member): void => {
    const {host, port} = member;
    if (canCloseTreeLink(identity, member)) network.disconnect({host, port});
  };

  const updatePosition = (): void => {
    const nowMs = clock.getNowMs();
    const members = membership.listMembers(nowMs);
    outages.setMembers(members, nowMs);
    position = computeTreePosition(members, identity);
    uplinkNames = new Set(position.uplinks.map(member => member.name));
    for (const member of position.uplinks) {
      const known = connectedUplinks.get(member.name);
      if (known?.host === member.host && known.port === member.port) continue;
      if (known !== undefined) releaseLink(known);
      connectedUplinks.set(member.name, member);
      network.connect({host: member.host, port: member.port});
    }
    for (const [name, member] of connectedUplinks) {
      if (uplinkNames.has(name)) continue;
      connectedUplinks.delete(name);
      releaseLink(member);
    }
    updateMode(nowMs);
  };

  /**
   * Logs changes of the freshness state, which decides whether keys are
   * accepted. States before the first confirmation are not logged.
   */
  const logFreshnessChange = (nowMs: number): void => {
    const {state: next, ageMs} = tracker.getFreshness(nowMs);
    const isFirst = loggedState === undefined;
    if (next === loggedState) return;
    if (isFirst && next !== FreshnessState.Confirmed) return;
    loggedState = next;
    if (next === FreshnessState.Confirmed) {
      if (!isFirst) logger.log(CONFIRMED_AGAIN);
      return;
    }
    const evidence = outages.collectEvidence(nowMs, tracker.getConfirmedMs());
    const reportingKeys = new Set(evidence.reports.map(formatDomainKey));
    const silent = evidence.domains.filter(
      domain => !reportingKeys.has(formatDomainKey(domain)),
    );
    const isDown = next === FreshnessState.PlatformDown;
    logger.log(isDown ? OUTAGE_ESTABLISHED : KEYS_STALE, {
      ageMs: Math.round(ageMs),
      domains: evidence.domains.length,
      silentDomains: silent
        .map(({region, failureDomain}) => `${region}/${failureDomain}`)
        .join(' '),
    });
  };

  /**
   * Sets the watch mode from the position in the tree and the time of the last
   * confirmation by a peer.
   */
  const updateMode = (nowMs: number): void => {
    const hasNoPeers = position.uplinks.length + position.children.length === 0;
    if (hasNoPeers && nowMs - startedMs < NO_PEER_DELAY_MS) return;
    if (position.isWatcher) {
      watch.setMode(WatchMode.Watcher);
      return;
    }
    const isUnconfirmed = nowMs - lastPeerConfirmationMs > fallbackDelayMs;
    const wasFallback = watch.getMode() === WatchMode.Fallback;
    if (isUnconfirmed && !wasFallback) logger.log(FALLBACK_STARTED);
    if (!isUnconfirmed && wasFallback) {
      logger.log(FALLBACK_ENDED);
      chooseFallbackDelay();
    }
    watch.setMode(isUnconfirmed ? WatchMode.Fallback : WatchMode.Off);
  };

  return {
    start: () => {
      startedMs = clock.getNowMs();
      lastPeerConfirmationMs = startedMs;
      chooseFallbackDelay();
      relay.start();
      cancels.push(membership.subscribe(updatePosition));
      updatePosition();
      timer = clock.startInterval(CHECK_PERIOD_MS, () => {
        updateMode(clock.getNowMs());
        logFreshnessChange(clock.getNowMs());
      });
    },
    stop: () => {
      isStopped = true;
      timer?.cancel();
      for (const cancel of cancels.splice(0)) cancel();
      relay.stop();
      for (const member of connectedUplinks.values()) releaseLink(member);
      connectedUplinks.clear();
      for (const waiter of waiters) {
        waiter.timer.cancel();
        waiter.resolve(false);
      }
      waiters.clear();
      watch.setMode(WatchMode.Off);
      return Promise.resolve();
    },
    getRevision: state.getRevision,
    getFreshness: nowMs => tracker.getFreshness(nowMs),
    getObject: <K extends ConfigurationKind>(kind: K, name: string) =>
      state.getEntry(kind, name)?.object as StoredObject<K> | undefined,
    listObjects: <K extends ConfigurationKind>(kind: K) =>
      state
        .listEntries(kind)
        .map(entry => entry.object as unknown as StoredObject<K>),
    subscribe: handler => {
      handlers.add(handler);
      return () => void handlers.delete(handler);
    },
    waitForRevision: (revision, timeoutMs) => {
      if (state.getRevision() >= revision) return Promise.resolve(true);
      return new Promise(resolve => {
        const waiter: Waiter = {
          revision,
          resolve,
          timer: clock.startTimer(timeoutMs, () => {
            waiters.delete(waiter);
            resolve(false);
          }),
        };
        waiters.add(waiter);
      });
    },
    applyLocalWrite: object => {
      const {kind, name, version} = object;
      const revision = state.getRevision();
      const entries = [{kind, name, version, object}];
      const result = state.applyPlatform({
        fromRevision: revision,
        revision,
        entries,
      });
      publish(result);
      if (result.changes.length > 0) relay.pushToAll(true);
    },
  };
}
