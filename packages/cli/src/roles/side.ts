/** Composition of the side role. */
import {asFunction, asValue} from 'awilix';
import type {AwilixContainer} from 'awilix';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createLeaseHolder} from '@siskinplank/platform-client';
import type {LeaseHolder} from '@siskinplank/platform-client';
import {loadLinkSecrets, loadSettings} from '@siskinplank/settings';
import type {SettingsProblem, SideSettings} from '@siskinplank/settings';
import {createMemoryLedger, createSideProcess} from '@siskinplank/side';
import type {SideProcess} from '@siskinplank/side';
import {createCommonContainer} from './common';
import type {CommonCradle} from './common';
import {createCommonHooks} from './common-hooks';
import type {RoleHooks} from './lifecycle';
import {
  LINKED_ROLE_DEPENDENCIES,
  selectDependencies,
} from './select-dependencies';

/** Dependencies of a side process, by their registered names. */
export interface SideCradle extends CommonCradle {
  lease: LeaseHolder;
  createLedger: typeof createMemoryLedger;
  side: SideProcess;
  hooks: RoleHooks;
}

/** Wildcard addresses, which don't identify a host. */
const WILDCARD_HOSTS = new Set(['', '0.0.0.0', '::']);

export type SideContainer = AwilixContainer<SideCradle>;

function createSideHooks(file: string, cradle: SideCradle): RoleHooks {
  const {side} = cradle;
  const common = createCommonHooks(file, cradle);
  return {
    // The side process starts and stops its network, views and lease itself.
    start: async () =>
      (await side.start()).mapLeft(error => ({message: error.reason})),
    drain: () => side.drain(),
    stop: async () => {
      await side.stop();
      await common.close();
    },
    reload: common.reload,
    flushLogs: common.flushLogs,
  };
}

/**
 * Identifies this host by the port that its process binds and by an address
 * that no other host has. Returns undefined for a wildcard address, which is
 * the same on all hosts.
 */
export function makeHostName({
  process: ownProcess,
  link,
}: SideSettings): string | undefined {
  const address = link.advertise ?? link;
  if (WILDCARD_HOSTS.has(address.host)) return undefined;
  return `${ownProcess.name}@${address.host}:${address.port}=${link.host}:${link.port}`;
}

function makeLease(settings: SideSettings, cradle: SideCradle): LeaseHolder {
  const {name, incarnation} = cradle.identity;
  const host = makeHostName(settings);
  return createLeaseHolder({
    name: `upstream-${settings.upstream}`,
    holderId: `${host ?? name}/${incarnation}`,
    host,
    durationMs: settings.orders.leaseMs,
    ...selectDependencies(cradle, LINKED_ROLE_DEPENDENCIES),
  });
}

function registerSide(
  container: SideContainer,
  file: string,
  settings: SideSettings,
): SideContainer {
  return container.register({
    lease: asFunction((cradle: SideCradle) =>
      makeLease(settings, cradle),
    ).singleton(),
    createLedger: asValue(createMemoryLedger),
    side: asFunction((cradle: SideCradle) =>
      createSideProcess({
        settings,
        ...selectDependencies(cradle, [
          ...LINKED_ROLE_DEPENDENCIES,
          'lease',
          'createLedger',
        ]),
      }),
    ).singleton(),
    hooks: asFunction((cradle: SideCradle) =>
      createSideHooks(file, cradle),
    ).singleton(),
  });
}

/** Creates the container of a side process from its settings file. */
export function createSideContainer(
  file: string,
): Either<SettingsProblem[], SideContainer> {
  return loadSettings(file).chain(settings => {
    if (settings.role !== 'side') {
      return Left([{file, line: 1, key: 'role', expected: 'side'}]);
    }
    return loadLinkSecrets(file, settings).map(secrets =>
      registerSide(
        createCommonContainer<SideCradle>(settings, secrets),
        file,
        settings,
      ),
    );
  });
}
