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
  }) as {routes: object[]};
  return {
    ...base,
    routes: base.routes.filter(() => chance(0.8)),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: pick([100, 1_048_576]),
      header_timeout_ms: pick([100, 5_000]),
      idle_timeout_ms: pick(input.idleTimeoutsMs),
    },
  };
}
