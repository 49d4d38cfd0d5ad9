/** Registers this gateway and watches the registrations of all gateways. */
import {
  StoreFailureCode,
  createDirectoryWatcher,
  createObjectDirectory,
} from '@siskinplank/directory';
import type {SharedObjectStore, StoreHealth} from '@siskinplank/directory';
import type {Clock, Logger} from '@siskinplank/foundation';
import {EXPIRED_REGISTRATION_REMOVED} from './events';
import {createMemberTable} from './member-table';
import {createOwnRegistration} from './own-registration';
import {GATEWAYS_KIND, decodeGateway} from './records';
import type {GatewayRecord} from './types';

/** What `createGatewayRegistry` needs. */
export interface GatewayRegistryOptions {
  objects: SharedObjectStore;
  ownRecord: GatewayRecord;
  watchWaitMs: number;
  retryDelayMs: number;
  storeHealth?: StoreHealth;
  clock: Clock;
  logger: Logger;
  /** Called with the other registered gateways after a change. */
  onChange(others: readonly GatewayRecord[], nowMs: number): void;
}

/** The registered gateways. */
export interface GatewayRegistry {
  start(): void;
  stop(): void;
  /**
   * Lists the registered gateways other than this one, and for a time those
   * that a restored store lacks.
   */
  listOthers(): readonly GatewayRecord[];
  /** Revision up to which the registrations are known. */
  getRevision(): number;
  /**
   * Revision of this gateway's registration; undefined until the store has
   * acknowledged it, and after it was removed or lost.
   */
  getOwnRevision(): number | undefined;
  /**
   * Whether the other gateways count this one: its registration is
   * acknowledged, or was until a restored store lost it.
   */
  isRegistered(): boolean;
  /**
   * Whether a gateway that knows the registrations up to a revision knows this
   * one's. A revision of another era says nothing of it.
   */
  isKnownAt(revision: number): boolean;
  /** Whether a registration of this name existed before this process's. */
  hadPredecessor(): boolean;
  /**
   * Removes an expired registration; false if it is still stored or was unknown.
   * Without an answer it counts as removed, since no one would call again.
   */
  removeRegistration(name: string): Promise<boolean>;
}

/** Failures of a removal after which the object may be gone. */
const MAYBE_REMOVED: ReadonlySet<StoreFailureCode> = new Set([
  StoreFailureCode.NoAnswer,
  StoreFailureCode.Malformed,
  StoreFailureCode.NotFound,
]);

/** Creates a registry that does nothing before `start`. */
export function createGatewayRegistry(
  options: GatewayRegistryOptions,
): GatewayRegistry {
  const {objects, ownRecord, clock, logger} = options;
  const own = createOwnRegistration(options);
  let listedEra: number | undefined;
  const members = createMemberTable(clock, () =>
    options.onChange(members.listRecords(), clock.getNowMs()),
  );

  const watcher = createDirectoryWatcher({
    name: 'gateways',
    directory: createObjectDirectory(objects, GATEWAYS_KIND, object =>
      decodeGateway(object).map(record => ({
        record,
        revision: object.revision,
      })),
    ),
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    getBatchDelayMs: () => 0,
    storeHealth: options.storeHealth,
    clock,
    logger,
    onList: (items, _nowMs, revision) => {
      const era = objects.getEra();
      const isRestored = listedEra !== undefined && era > listedEra;
      listedEra = era;
      own.observeList({
        item: items.get(ownRecord.name),
        revision,
        isRestored,
        confirmedAtMs: watcher.getConfirmedAtMs(),
      });
      const others = new Map(items);
      others.delete(ownRecord.name);
      members.setList(others, isRestored);
    },
    onChange: (name, item, _nowMs, revision) => {
      if (name !== ownRecord.name) members.update(name, item);
      else if (item === undefined) own.observeRemoval(revision);
    },
    onBatchEnd: nowMs => options.onChange(members.listRecords(), nowMs),
  });

  return {
    start: () => {
      watcher.start();
      own.start();
    },
    stop: () => {
      own.stop();
      members.stop();
      watcher.stop();
    },
    listOthers: members.listRecords,
    getRevision: watcher.getRevision,
    getOwnRevision: own.getRevision,
    isRegistered: own.isRegistered,
    isKnownAt: revision => {
      const ownRevision = own.getRevision();
      if (ownRevision === undefined || revision < ownRevision) return false;
      return (
        objects.getRevisionEra(revision) === objects.getRevisionEra(ownRevision)
      );
    },
    hadPredecessor: own.hadPredecessor,
    removeRegistration: async name => {
      const revision = members.getRevision(name);
      if (revision === undefined) return false;
      const deleted = await objects.deleteObject(GATEWAYS_KIND, name, revision);
      logger.log(EXPIRED_REGISTRATION_REMOVED, {
        peer: name,
        revision,
        outcome: deleted.caseOf<string>({
          Left: ({code}) => code,
          Right: () => 'removed',
        }),
      });
      return deleted.caseOf({
        Left: ({code}) => MAYBE_REMOVED.has(code),
        Right: () => true,
      });
    },
  };
}
