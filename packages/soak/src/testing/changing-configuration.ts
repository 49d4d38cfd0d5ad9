/** Configurations that lack at random what open requests use. */
import type {Random} from '@siskinplank/foundation';
import {encodeConfiguration} from '@siskinplank/platform-stand-ins';

export const HOST_NAME = 'changing.example';
export const ACCOUNTS = [
  {name: 'ample', keys: ['key-of-ample'], ratePerSecond: 1e6, burst: 1e6},
  // Its requests wait for tokens.
  {name: 'tight', keys: ['key-of-tight'], ratePerSecond: 3_000, burst: 400},
];
export const MODELS = ['resident', 'absent'];
export const PATHS = ['/order/x', '/status/x', '/stream/x'];

/** What a version is made from. */
export interface ChangingConfigurationInput {
  version: number;
  random: Random;
  /** Longest timeout of the plain routes. */
  plainTimeoutMs: number;
  /** Idle timeouts to choose from. */
  idleTimeoutsMs: readonly number[];
  /** Whether versions also differ in their services and kinds of routes. */
  changesServices?: boolean;
}

interface EncodedConfiguration {
  routes: Record<string, unknown>[];
  services: Record<string, unknown>[];
  tenants?: object[];
}

/** Splits routes, changes what they allow, and drops unused services. */
function updateServices(
  configuration: EncodedConfiguration,
  random: Random,
): EncodedConfiguration {
  const chance = (part: number): boolean => random.getNext() < part;
  const routes = configuration.routes.map(({service, ...route}) => ({
    ...route,
    ...(chance(0.8)
      ? {service}
      : {
          traffic_split: ['engines', 'desk'].map(name => ({
            service: name,
            weight: random.getInteger(3) + 1,
          })),
        }),
    ...(chance(0.2) && {max_attempts: random.getInteger(3) + 1}),
    ...(chance(0.2) && {public: true}),
    ...(chance(0.2) && {resumable: false}),
  }));
  const services = configuration.services
    .filter(({name}) =>
      routes.some(
        route =>
          'traffic_split' in route ||
          ('service' in route && route.service === name),
      ),
    )
    .map(service => ({
      ...service,
      ...(chance(0.3) && {max_connections: random.getInteger(40) + 3}),
    }));
  return {
    ...configuration,
    routes,
    services,
    tenants: chance(0.9) ? configuration.tenants : undefined,
  };
}

/** A configuration that may lack what open requests use. */
export function makeChangingConfiguration(
  input: ChangingConfigurationInput,
): object {
  const {random} = input;
  const chance = (part: number): boolean => random.getNext() < part;
  const pick = (values: readonly number[]): number =>
    values[random.getInteger(values.length)];
  const base = encodeConfiguration({
    version: input.version,
    hostName: HOST_NAME,
    accounts: ACCOUNTS.filter(() => chance(0.8)).map(account => ({
      ...account,
      ratePerSecond: pick([0, 1, account.ratePerSecond]),
      burst: pick([0, account.burst]),
    })),
    models: MODELS.filter(() => chance(0.8)).map(name => ({
      name,
      weightsMb: 1,
      adapterCount: 0,
    })),
    serverMemoryMb: 1,
    adapterSlots: 1,
    plainTimeoutMs: pick([300, input.plainTimeoutMs]),
  }) as EncodedConfiguration;
  const configuration = {
    ...base,
    routes: base.routes.filter(() => chance(0.8)),
  };
  return {
    ...(input.changesServices === true
      ? updateServices(configuration, random)
      : configuration),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: pick([100, 1_048_576]),
      header_timeout_ms: pick([100, 5_000]),
      idle_timeout_ms: pick(input.idleTimeoutsMs),
    },
  };
}
