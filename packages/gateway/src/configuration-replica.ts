/** The configuration that this gateway applies. */
import {createDirectoryWatcher} from '@siskinplank/directory';
import type {Directory, StoreHealth} from '@siskinplank/directory';
import type {Clock, Logger} from '@siskinplank/foundation';
import {createRouteTable} from '@siskinplank/serving';
import type {RouteTable, ServingConfiguration} from '@siskinplank/serving';
import {
  CONFIGURATION_APPLIED,
  CONFIGURATION_LOST,
  CONFIGURATION_OLDER,
} from './events';
import {createPeerVersionCheck} from './peer-version';
import type {PeerVersionInput} from './peer-version';

/** What `createConfigurationReplica` needs. */
export interface ConfigurationReplicaOptions {
  directory: Directory<ServingConfiguration>;
  watchWaitMs: number;
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
  /** Newest version in force at a responsive peer; 0 if none is known. */
  getPeerVersion(nowMs: number): number;
  /** Whether all registered gateways have sent their states. */
  hasHeardPeers(): boolean;
  onApply(table: RouteTable): void;
  storeHealth?: StoreHealth;
}

/** A copy that never goes back to an older version. */
export interface ConfigurationReplica {
  start(): void;
  stop(): void;
  /** Undefined until the first version is loaded. */
  getTable(): RouteTable | undefined;
  /** Version in force; 0 until the first one is loaded. */
  getVersion(): number;
  /**
   * Milliseconds since the store last confirmed the copy as the newest;
   * infinite before the first confirmation. A store that was restored from an
   * older copy and shows an older version confirms nothing.
   */
  getAgeMs(nowMs: number): number;
  /**
   * Discards confirmations from before `nowMs`; used after a pause of the
   * process.
   */
  invalidate(nowMs: number): void;
  /** Called when the versions of the peers may have changed. */
  observePeers(nowMs: number): void;
  /**
   * Whether a peer applies a newer version that the store does not show any
   * more, because it was restored from an older copy. Also true for a moment
   * after the start, until the versions of the peers are known.
   */
  mayBeLost(nowMs: number): boolean;
}

/**
 * Time in which a change that a peer already applies usually arrives, so that
 * an ordinary change costs no additional call.
 */
const CHANGE_ARRIVAL_MS = 200;
/** Time in which the links to the peers open after the start. */
const PEER_WAIT_MS = 1_000;

/** Creates a replica that is empty until it is started. */
export function createConfigurationReplica(
  options: ConfigurationReplicaOptions,
): ConfigurationReplica {
  const {clock, logger} = options;
  const peerVersionCheck = createPeerVersionCheck();
  let table: RouteTable | undefined;
  let loadedAtMs = Infinity;
  /** Whether the peers had a chance to name a newer version at the start. */
  let isCompared = false;
  let invalidBeforeMs = -Infinity;
  /** Versions that the store shows, by entry. */
  const shownVersions = new Map<string, number>();
  /** Last confirmation before the store showed an older version. */
  let lastConfirmedAtMs: number | undefined;

  const updateConfirmedAtMs = (): number | undefined => {
    const inForce = table?.configuration.version;
    const isShown = [...shownVersions.values()].some(
      version => version === inForce,
    );
    if (isShown) lastConfirmedAtMs = watcher.getConfirmedAtMs();
    return lastConfirmedAtMs;
  };

  const apply = (
    name: string,
    configuration: ServingConfiguration | undefined,
  ): void => {
    // The watcher confirms the shown versions only after this call.
    updateConfirmedAtMs();
    if (configuration === undefined) {
      shownVersions.delete(name);
      return;
    }
    shownVersions.set(name, configuration.version);
    const inForce = table?.configuration.version;
    if (inForce !== undefined && configuration.version < inForce) {
      logger.log(CONFIGURATION_OLDER, {
        version: configuration.version,
        inForce,
      });
      return;
    }
    if (configuration.version === inForce) return;
    if (table === undefined) loadedAtMs = clock.getNowMs();
    table = createRouteTable(configuration);
    logger.log(CONFIGURATION_APPLIED, {
      version: configuration.version,
      former: inForce,
      routes: configuration.routes.length,
      services: configuration.services.size,
      accounts: configuration.accounts?.length,
    });
    options.onApply(table);
  };

  const watcher = createDirectoryWatcher({
    name: 'configuration',
    directory: options.directory,
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    getBatchDelayMs: () => 0,
    storeHealth: options.storeHealth,
    clock,
    logger,
    onList: items => {
      updateConfirmedAtMs();
      shownVersions.clear();
      items.forEach((item, name) => apply(name, item));
    },
    onChange: apply,
    onBatchEnd: () => undefined,
  });

  const getVersion = (): number => table?.configuration.version ?? 0;

  const describeVersions = (nowMs: number): PeerVersionInput => ({
    ownVersion: getVersion(),
    peerVersion: options.getPeerVersion(nowMs),
    confirmedAtMs: watcher.getConfirmedAtMs() ?? -Infinity,
    nowMs,
  });

  const updateCompared = (versions: PeerVersionInput): void => {
    const {ownVersion, peerVersion, nowMs} = versions;
    isCompared ||=
      nowMs - loadedAtMs >= PEER_WAIT_MS ||
      (options.hasHeardPeers() && peerVersion <= ownVersion);
  };

  /** Asks the store for a version that a peer applies and that did not arrive. */
  const fetchPeerVersion = async (): Promise<void> => {
    const known = describeVersions(clock.getNowMs());
    if (known.peerVersion <= known.ownVersion) return;
    await watcher.refresh();
    const versions = describeVersions(clock.getNowMs());
    if (!peerVersionCheck.isLost(versions)) return;
    const {ownVersion: version, peerVersion} = versions;
    logger.log(CONFIGURATION_LOST, {version, peerVersion});
  };

  return {
    start: watcher.start,
    stop: watcher.stop,
    getTable: () => table,
    getVersion,
    observePeers: nowMs => {
      const versions = describeVersions(nowMs);
      updateCompared(versions);
      if (!peerVersionCheck.observe(versions)) return;
      clock.startTimer(CHANGE_ARRIVAL_MS, () => void fetchPeerVersion());
    },
    mayBeLost: nowMs => {
      const versions = describeVersions(nowMs);
      updateCompared(versions);
      return !isCompared || peerVersionCheck.isLost(versions);
    },
    invalidate: nowMs => {
      invalidBeforeMs = nowMs;
      void watcher.refresh();
    },
    getAgeMs: nowMs => {
      const confirmedAtMs = updateConfirmedAtMs();
      if (confirmedAtMs === undefined) return Infinity;
      return confirmedAtMs < invalidBeforeMs ? Infinity : nowMs - confirmedAtMs;
    },
  };
}
