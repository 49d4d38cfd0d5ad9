/** Composition of the entry role. */
import {asFunction} from 'awilix';
import type {AwilixContainer} from 'awilix';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createAdminServer} from '@siskinplank/admin';
import type {AdminServer} from '@siskinplank/admin';
import {
  createClaimRegistry,
  createClaimSweeper,
  makeSweepName,
} from '@siskinplank/claims';
import type {ClaimRegistry, ClaimSweeper} from '@siskinplank/claims';
import {createEntryProcess} from '@siskinplank/entry';
import type {EntryProcess} from '@siskinplank/entry';
import {makeSecureId} from '@siskinplank/foundation';
import {createAccountLimiter} from '@siskinplank/limits';
import type {AccountLimiter} from '@siskinplank/limits';
import {rankMembers} from '@siskinplank/membership';
import {MemberState} from '@siskinplank/messages';
import {RoutingPolicyName, createRoutingPolicy} from '@siskinplank/routing';
import type {RoutingPolicy} from '@siskinplank/routing';
import {
  loadEntrySecrets,
  loadLinkSecrets,
  loadSettings,
} from '@siskinplank/settings';
import type {
  EntrySecrets,
  EntrySettings,
  SettingsProblem,
} from '@siskinplank/settings';
import {createCommonContainer} from './common';
import type {CommonCradle} from './common';
import {createCommonHooks} from './common-hooks';
import type {RoleHooks} from './lifecycle';
import {registerPlacement} from './placement';
import type {PlacementCradle} from './placement';
import {listLiveEntries} from './live-entries';
import {
  LINKED_ROLE_DEPENDENCIES,
  BASE_DEPENDENCIES,
  selectDependencies,
} from './select-dependencies';

/** Dependencies of an entry process, by their registered names. */
export interface EntryCradle extends CommonCradle, PlacementCradle {
  limiter: AccountLimiter;
  claims: ClaimRegistry;
  claimSweeper: ClaimSweeper;
  routing: RoutingPolicy;
  entry: EntryProcess;
  admin: AdminServer;
  hooks: RoleHooks;
}

export type EntryContainer = AwilixContainer<EntryCradle>;

/** Whether the process that holds a claim is a member and not suspected. */
function isClaimantAlive(
  cradle: CommonCradle,
  claimant: string,
  nowMs: number,
): boolean {
  const {identity, membership} = cradle;
  const isSame = (name: string, incarnation: string): boolean =>
    claimant === `${name}/${incarnation}`;
  if (isSame(identity.name, identity.incarnation)) return true;
  return membership
    .listMembers(nowMs)
    .some(
      member =>
        member.state !== MemberState.Suspect &&
        isSame(member.name, member.incarnation),
    );
}

/** Whether this process is the live entry process that sweeps a shard. */
function isAssignedSweeper(
  {identity, membership}: CommonCradle,
  shard: string,
  nowMs: number,
): boolean {
  const entries = listLiveEntries(membership, nowMs);
  const [first] = rankMembers(entries, makeSweepName(shard));
  return first?.name === identity.name;
}

function createEntryHooks(file: string, cradle: EntryCradle): RoleHooks {
  const {entry, admin, limiter, claims, claimSweeper, placement} = cradle;
  const common = createCommonHooks(file, cradle);
  return {
    start: async () => {
      const started = await common.start();
      if (started.isLeft()) return started;
      const ready = await entry.start();
      if (ready.isLeft()) {
        return ready.mapLeft(error => ({message: error.reason}));
      }
      const listening = await admin.start();
      if (listening.isLeft()) return listening;
      placement.start();
      claimSweeper.start();
      await limiter.start();
      return Right(undefined);
    },
    drain: async () => {
      await placement.stop();
      await claimSweeper.stop();
      await entry.drain();
      await admin.stop();
    },
    stop: async () => {
      await entry.stop();
      await limiter.stop();
      await claims.stop();
      await common.stop();
    },
    reload: common.reload,
    flushLogs: common.flushLogs,
  };
}

/** Registers rate limits, claims and routing. */
function registerRequestServices(
  container: EntryContainer,
  settings: EntrySettings,
): EntryContainer {
  return container.register({
    limiter: asFunction((cradle: EntryCradle) =>
      createAccountLimiter({
        settings: settings.limits,
        ...selectDependencies(cradle, LINKED_ROLE_DEPENDENCIES),
      }),
    ).singleton(),
    claims: asFunction((cradle: EntryCradle) =>
      createClaimRegistry({
        store: cradle.store,
        processName: cradle.identity.name,
        incarnation: cradle.identity.incarnation,
        nonceSource: makeSecureId,
        clock: cradle.clock,
        logger: cradle.logger,
        isClaimantAlive: (claimant, nowMs) =>
          isClaimantAlive(cradle, claimant, nowMs),
      }),
    ).singleton(),
    claimSweeper: asFunction((cradle: EntryCradle) =>
      createClaimSweeper({
        store: cradle.store,
        ...selectDependencies(cradle, BASE_DEPENDENCIES),
        processName: cradle.identity.name,
        incarnation: cradle.identity.incarnation,
        retentionMs: settings.claims.retentionMs,
        deletesPerSecond: settings.claims.deletesPerSecond,
        callsPerSecond: settings.platform.callsPerSecond,
        isOwner: (shard, nowMs) => isAssignedSweeper(cradle, shard, nowMs),
      }),
    ).singleton(),
    routing: asFunction((cradle: EntryCradle) =>
      createRoutingPolicy(RoutingPolicyName.Default, cradle.random),
    ).singleton(),
  });
}

/** Registers the listeners for callers and operators. */
function registerListeners(
  container: EntryContainer,
  settings: EntrySettings,
  secrets: EntrySecrets,
): EntryContainer {
  return container.register({
    entry: asFunction((cradle: EntryCradle) =>
      createEntryProcess({
        settings,
        ...selectDependencies(cradle, [
          ...LINKED_ROLE_DEPENDENCIES,
          'limiter',
          'claims',
          'routing',
        ]),
        hashKey: secrets.hashKey,
      }),
    ).singleton(),
    admin: asFunction((cradle: EntryCradle) =>
      createAdminServer(settings.admin, {
        processName: cradle.identity.name,
        ...selectDependencies(cradle, LINKED_ROLE_DEPENDENCIES),
        hashKey: secrets.hashKey,
        bootstrapToken: secrets.bootstrapToken,
        listLoads: nowMs => cradle.entry.listLoads(nowMs),
      }),
    ).singleton(),
  });
}

/** Creates the container of an entry process from its settings file. */
export function createEntryContainer(
  file: string,
): Either<SettingsProblem[], EntryContainer> {
  return loadSettings(file).chain(settings => {
    if (settings.role !== 'entry') {
      return Left([{file, line: 1, key: 'role', expected: 'entry'}]);
    }
    return loadLinkSecrets(file, settings).chain(linkSecrets =>
      loadEntrySecrets(file, settings).map(secrets => {
        const container = createCommonContainer<EntryCradle>(
          settings,
          linkSecrets,
        );
        registerRequestServices(container, settings);
        registerListeners(container, settings, secrets);
        registerPlacement(container, settings);
        return container.register({
          hooks: asFunction((cradle: EntryCradle) =>
            createEntryHooks(file, cradle),
          ).singleton(),
        });
      }),
    );
  });
}
