/** Dependencies that entry and side processes share, composed with awilix. */
import {InjectionMode, asFunction, asValue, createContainer} from 'awilix';
import type {AwilixContainer} from 'awilix';
import {
  MajorityOutageRule,
  createConfigurationReplica,
} from '@siskinplank/configuration';
import type {
  ConfigurationReplica,
  OutageRule,
} from '@siskinplank/configuration';
import {
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
  createTracing,
  makeSecureId,
} from '@siskinplank/foundation';
import type {
  Clock,
  Logger,
  Metrics,
  Random,
  Tracing,
} from '@siskinplank/foundation';
import {createMembershipView} from '@siskinplank/membership';
import type {MembershipView} from '@siskinplank/membership';
import {ProcessRole} from '@siskinplank/messages';
import {createPlatformClient} from '@siskinplank/platform-client';
import type {PlatformStore} from '@siskinplank/platform-client';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import type {LinkSecrets, LinkedSettings} from '@siskinplank/settings';
import {createPeerNetwork} from '@siskinplank/transport';
import type {ManagedPeerNetwork, PeerIdentity} from '@siskinplank/transport';
import {BASE_DEPENDENCIES, selectDependencies} from './select-dependencies';

/** Dependencies of both roles, by their registered names. */
export interface CommonCradle {
  settings: LinkedSettings;
  secrets: LinkSecrets;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  tracing: Tracing;
  identity: PeerIdentity;
  receiveBudget: ReceiveBudget;
  network: ManagedPeerNetwork;
  store: PlatformStore;
  membership: MembershipView;
  outageRule: OutageRule;
  configuration: ConfigurationReplica;
}

const BYTES_PER_MB = 1_000_000;
/** Memory for incomplete messages; the heap takes up to about two thirds. */
const RECEIVE_MEMORY_FRACTION = 1 / 8;

function makeIdentity(settings: LinkedSettings): PeerIdentity {
  const {process: ownProcess, link, role} = settings;
  return {
    name: ownProcess.name,
    incarnation: makeSecureId(),
    role: role === 'entry' ? ProcessRole.Entry : ProcessRole.Side,
    failureDomain: ownProcess.failureDomain,
    region: ownProcess.region,
    address: link.advertise ?? {host: link.host, port: link.port},
  };
}

/** Creates the container with the common dependencies. */
export function createCommonContainer<T extends CommonCradle>(
  settings: LinkedSettings,
  secrets: LinkSecrets,
): AwilixContainer<T> {
  const container = createContainer<T>({injectionMode: InjectionMode.PROXY});
  container.register({
    settings: asValue(settings),
    secrets: asValue(secrets),
    clock: asFunction(createSystemClock).singleton(),
    random: asFunction(() => createRandom()).singleton(),
    identity: asFunction(() => makeIdentity(settings)).singleton(),
    metrics: asFunction(() =>
      createMetrics({withProcessMetrics: true}),
    ).singleton(),
    logger: asFunction(({clock}: CommonCradle) =>
      createLogger({
        level: settings.log.level,
        fields: {process: settings.process.name, role: settings.role},
        getWallMs: clock.getWallMs,
      }),
    ).singleton(),
    tracing: asFunction(() =>
      createTracing({
        serviceName: `siskinplank-${settings.role}`,
        endpoint: settings.tracing.endpoint,
      }),
    ).singleton(),
    receiveBudget: asFunction(() =>
      createReceiveBudget({
        maxBytes:
          settings.process.memoryMb * BYTES_PER_MB * RECEIVE_MEMORY_FRACTION,
      }),
    ).singleton(),
    network: asFunction((cradle: CommonCradle) =>
      createPeerNetwork({
        identity: cradle.identity,
        listenAddress: {host: settings.link.host, port: settings.link.port},
        clusterKeys: secrets.clusterKeys,
        tls: secrets.tls,
        ...selectDependencies(cradle, BASE_DEPENDENCIES),
      }),
    ).singleton(),
    store: asFunction((cradle: CommonCradle) =>
      createPlatformClient({
        receiveBudget: cradle.receiveBudget,
        address: {host: settings.platform.host, port: settings.platform.port},
        timeoutMs: settings.platform.timeoutMs,
        callsPerSecond: settings.platform.callsPerSecond,
        ...selectDependencies(cradle, BASE_DEPENDENCIES),
        writerId: cradle.identity.incarnation,
      }),
    ).singleton(),
    membership: asFunction((cradle: CommonCradle) =>
      createMembershipView({
        ...selectDependencies(cradle, [
          ...BASE_DEPENDENCIES,
          'store',
          'network',
        ]),
        settings: settings.membership,
        identity: cradle.identity,
        seeds: settings.membership.seeds,
      }),
    ).singleton(),
    outageRule: asFunction(
      (): OutageRule => new MajorityOutageRule(),
    ).singleton(),
    configuration: asFunction((cradle: CommonCradle) =>
      createConfigurationReplica({
        ...selectDependencies(cradle, [
          ...BASE_DEPENDENCIES,
          'store',
          'network',
          'membership',
          'outageRule',
        ]),
        settings: settings.configuration,
        identity: cradle.identity,
      }),
    ).singleton(),
  });
  return container;
}
