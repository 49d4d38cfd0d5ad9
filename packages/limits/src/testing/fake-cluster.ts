/** Several simulated entry processes on one manual clock. */
import {
  LogLevel,
  createLogger,
  createManualClock,
  createMetrics,
  createRandom,
} from '@siskinplank/foundation';
import type {ManualClock, Random} from '@siskinplank/foundation';
import type {
  ConfigurationChange,
  ConfigurationView,
} from '@siskinplank/configuration';
import type {MembershipView} from '@siskinplank/membership';
import {MemberState, ProcessRole} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import type {ClientAccount, StoredObject} from '@siskinplank/resources';
import type {EntrySettings} from '@siskinplank/settings';
import {
  DelayedPlatform,
  DelayedStore,
  createFreezableClock,
} from '@siskinplank/testing';
import type {FreezableClock} from '@siskinplank/testing';
import type {PeerIdentity} from '@siskinplank/transport';
import type {AccountLimiterOptions} from '../limiter';
import type {AccountLimiter} from '../types';
import {createFakeNetwork} from './fake-network';
import type {FakeNetwork} from './fake-network';

/** One simulated entry process. */
export interface FakeProcess {
  name: string;
  identity: PeerIdentity;
  clock: FreezableClock;
  limiter: AccountLimiter;
  isAlive: boolean;
  /** Listed as leaving in all membership views. */
  isLeaving: boolean;
}

/** Tokens reserved at `atMs` and used by the settlement. */
export interface SpendRecord {
  account: string;
  atMs: number;
  tokens: number;
}

/** Factory of the limiter under test. */
export type LimiterFactory = (options: AccountLimiterOptions) => AccountLimiter;

/** The simulated entry hosts with their platform and network. */
export interface FakeCluster {
  clock: ManualClock;
  random: Random;
  platform: DelayedPlatform;
  network: FakeNetwork;
  processes: FakeProcess[];
  spent: SpendRecord[];
  refusedCount: number;
  /** Hosts hidden from all views but their own; `viewer>host` for one view. */
  hiddenHosts: Set<string>;
  setAccount(account: ClientAccount): void;
  removeAccount(name: string): void;
  startProcess(name: string): FakeProcess;
  stopProcess(process: FakeProcess): void;
  /** Reserves and settles after `holdMs` with `usedTokens`. */
  sendRequest(
    process: FakeProcess,
    request: {
      account: string;
      tokens: number;
      usedTokens: number;
      waitMs: number;
      holdMs: number;
    },
  ): void;
}

/** Settings of the simulated limiters. */
export const TEST_LIMIT_SETTINGS: EntrySettings['limits'] = {
  shareUnits: 64,
  shareLeaseMs: 780_000,
  buckets: 4,
  loanMs: 10_000,
  loanRenewMs: 3_000,
  reserveWaitMs: 2_000,
};

/** Makes an account with the given limits and default values otherwise. */
export function makeAccount(
  name: string,
  rateTokensPerSecond: number,
  burstTokens: number,
): ClientAccount {
  return {
    name,
    displayName: '',
    rateTokensPerSecond,
    burstTokens,
    weight: 1,
    models: ['*'],
  };
}

/** Creates a cluster without processes. */
export function createFakeCluster(
  createLimiter: LimiterFactory,
  seed: number,
  settings: EntrySettings['limits'] = TEST_LIMIT_SETTINGS,
  lendersPerPeriod = 128,
): FakeCluster {
  const clock = createManualClock(1_000);
  const random = createRandom(seed);
  const platform = new DelayedPlatform();
  const network = createFakeNetwork(clock, random);
  const accounts = new Map<string, StoredObject<ResourceKind.ClientAccount>>();
  const configHandlers = new Set<
    (changes: readonly ConfigurationChange[]) => void
  >();
  let revision = 0;
  let incarnations = 0;
  const ports = new Map<string, number>();

  const publishChange = (change: ConfigurationChange): void => {
    for (const handler of configHandlers) handler([change]);
  };
  const configuration: ConfigurationView = {
    getRevision: () => revision,
    getFreshness: () => {
      return {state: 'confirmed', ageMs: 0} as never;
    },
    getObject: (kind, name) =>
      (kind === ResourceKind.ClientAccount
        ? accounts.get(name)
        : undefined) as never,
    listObjects: kind =>
      (kind === ResourceKind.ClientAccount
        ? [...accounts.values()]
        : []) as never,
    subscribe: handler => {
      configHandlers.add(handler);
      return () => void configHandlers.delete(handler);
    },
  };
  const makeMember = (process: FakeProcess): Member => ({
    name: process.name,
    incarnation: process.identity.incarnation,
    role: ProcessRole.Entry,
    host: process.identity.address.host,
    port: process.identity.address.port,
    failureDomain: 'a',
    region: 'default',
    state: process.isLeaving ? MemberState.Leaving : MemberState.Live,
    sequence: 0,
  });
  const createMembership = (viewer: string): MembershipView => ({
    start: () => {},
    stop: () => {},
    listMembers: () =>
      cluster.processes
        .filter(
          process =>
            process.isAlive &&
            (process.name === viewer ||
              (!cluster.hiddenHosts.has(process.name) &&
                !cluster.hiddenHosts.has(`${viewer}>${process.name}`))),
        )
        .map(makeMember),
    getMember: name => {
      const found = cluster.processes.find(
        process => process.isAlive && process.name === name,
      );
      return found === undefined ? undefined : makeMember(found);
    },
    setOwnState: () => {},
    subscribe: () => () => {},
  });

  const cluster: FakeCluster = {
    clock,
    random,
    platform,
    network,
    processes: [],
    spent: [],
    refusedCount: 0,
    hiddenHosts: new Set(),
    setAccount: account => {
      revision += 1;
      const kind = ResourceKind.ClientAccount as const;
      const object = {
        kind,
        name: account.name,
        version: revision,
        value: account,
      };
      accounts.set(account.name, object);
      publishChange({kind, name: account.name, object});
    },
    removeAccount: name => {
      accounts.delete(name);
      publishChange({kind: ResourceKind.ClientAccount, name});
    },
    startProcess: name => {
      incarnations += 1;
      const port = ports.get(name) ?? 1_000 + ports.size;
      ports.set(name, port);
      const identity: PeerIdentity = {
        name,
        incarnation: `incarnation-${incarnations}`,
        role: ProcessRole.Entry,
        failureDomain: 'a',
        region: 'default',
        address: {host: '127.0.0.1', port},
      };
      const processClock = createFreezableClock(clock, random.getNext() * 1e6);
      const processRandom = createRandom(random.getInteger(1e9));
      const limiter = createLimiter({
        settings,
        lendersPerPeriod,
        store: new DelayedStore(platform, processClock, processRandom),
        network: network.join(identity, processClock),
        membership: createMembership(name),
        configuration,
        clock: processClock,
        random: processRandom,
        logger: createLogger({
          level: LogLevel.Error,
          getWallMs: clock.getWallMs,
          write: () => {},
        }),
        metrics: createMetrics(),
        identity,
      });
      const process = {
        name,
        identity,
        clock: processClock,
        limiter,
        isAlive: true,
        isLeaving: false,
      };
      cluster.processes = cluster.processes.filter(item => item.isAlive);
      cluster.processes.push(process);
      void limiter.start();
      return process;
    },
    stopProcess: process => {
      process.isAlive = false;
      process.clock.stop();
      network.disconnect(process.identity.incarnation);
    },
    sendRequest: (process, request) => {
      const {account, tokens, usedTokens, waitMs, holdMs} = request;
      const nowMs = process.clock.getNowMs();
      void process.limiter
        .reserve(account, tokens, nowMs, waitMs)
        .then(result => {
          if (!process.isAlive) return;
          result.ifLeft(() => {
            cluster.refusedCount += 1;
          });
          result.ifRight(reservation => {
            const atMs = clock.getNowMs();
            cluster.spent.push({account, atMs, tokens: usedTokens});
            process.clock.startTimer(holdMs, () =>
              process.limiter.settle(
                reservation,
                usedTokens,
                process.clock.getNowMs(),
              ),
            );
          });
        });
    },
  };
  return cluster;
}

/**
 * Largest excess over `rate * W + burst` in any window of length W, in tokens.
 * One pass over a bucket that starts full and may go negative finds it.
 */
export function measureExcess(
  records: readonly SpendRecord[],
  rateTokensPerSecond: number,
  burstTokens: number,
): number {
  let level = burstTokens;
  let atMs = -Infinity;
  let excess = 0;
  const sorted = [...records].sort((a, b) => a.atMs - b.atMs);
  for (const record of sorted) {
    const gained = ((record.atMs - atMs) * rateTokensPerSecond) / 1_000;
    level = Math.min(burstTokens, level + gained) - record.tokens;
    atMs = record.atMs;
    excess = Math.max(excess, -level);
  }
  return excess;
}
