/** Registers this gateway and watches the registrations of all gateways. */
import {
  StoreFailureCode,
  createDirectoryWatcher,
  createObjectDirectory,
} from '@siskinplank/directory';
import type {SharedObject, SharedObjectStore} from '@siskinplank/directory';
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  EXPIRED_REGISTRATION_REMOVED,
  GATEWAY_REGISTERED,
  REGISTRATION_FAILED,
  REGISTRATION_REMOVED,
} from './events';
import {GATEWAYS_KIND, decodeGateway, encodeGateway} from './records';
import type {GatewayRecord} from './types';

/** What `createGatewayRegistry` needs. */
export interface GatewayRegistryOptions {
  objects: SharedObjectStore;
  ownRecord: GatewayRecord;
  watchWaitMs: number;
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
  /** Called with the other registered gateways after a change. */
  onChange(others: readonly GatewayRecord[], nowMs: number): void;
}

/** The registered gateways. */
export interface GatewayRegistry {
  start(): void;
  stop(): void;
  /** Lists the registered gateways other than this one. */
  listOthers(): readonly GatewayRecord[];
  /** Revision up to which the registrations are known. */
  getRevision(): number;
  /**
   * Revision of this gateway's registration; undefined until the store has
   * acknowledged it, and after another gateway removed it.
   */
  getOwnRevision(): number | undefined;
  /** Whether a registration of this name existed before this process's. */
  hadPredecessor(): boolean;
  /** Removes an expired registration; false if it failed or was unknown. */
  removeRegistration(name: string): Promise<boolean>;
}

/** Creates a registry that does nothing before `start`. */
export function createGatewayRegistry(
  options: GatewayRegistryOptions,
): GatewayRegistry {
  const {objects, ownRecord, clock, logger} = options;
  const others = new Map<string, GatewayRecord>();
  const revisions = new Map<string, number>();
  let ownRevision: number | undefined;
  let hadPredecessor = false;
  let isRunning = false;

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
    batchDelayMs: 0,
    clock,
    logger,
    onList: (items, _nowMs, revision) => {
      others.clear();
      revisions.clear();
      if (!items.has(ownRecord.name)) handleOwnRemoval(revision);
      for (const [name, {record, revision}] of items) {
        revisions.set(name, revision);
        if (name !== ownRecord.name) others.set(name, record);
      }
    },
    onChange: (name, item, _nowMs, revision) => {
      if (item === undefined) revisions.delete(name);
      else revisions.set(name, item.revision);
      if (name === ownRecord.name) {
        if (item === undefined) handleOwnRemoval(revision);
        return;
      }
      if (item === undefined) others.delete(name);
      else others.set(name, item.record);
    },
    onBatchEnd: nowMs => options.onChange([...others.values()], nowMs),
  });

  const recordOwnRegistration = ({revision}: SharedObject): void => {
    ownRevision = revision;
    logger.log(GATEWAY_REGISTERED, {revision, hadPredecessor});
  };

  /** One attempt; returns the object to replace after a conflict. */
  const register = async (
    former: SharedObject | undefined,
  ): Promise<SharedObject | undefined> => {
    const content = encodeGateway(ownRecord);
    const written =
      former === undefined
        ? await objects.createObject(GATEWAYS_KIND, ownRecord.name, content)
        : await objects.replaceObject(
            GATEWAYS_KIND,
            ownRecord.name,
            content,
            former.revision,
          );
    return written.caseOf({
      Right: object => {
        recordOwnRegistration(object);
        return undefined;
      },
      Left: failure => {
        const {current} = failure;
        const isOwn =
          current !== undefined &&
          decodeGateway(current)
            .map(({incarnation}) => incarnation === ownRecord.incarnation)
            .orDefault(false);
        // An earlier write succeeded, but its response was lost.
        if (current !== undefined && isOwn) {
          recordOwnRegistration(current);
          return undefined;
        }
        if (failure.code === StoreFailureCode.Conflict) {
          hadPredecessor = true;
          return current;
        }
        logger.log(REGISTRATION_FAILED, {
          code: failure.code,
          reason: failure.reason,
        });
        return undefined;
      },
    });
  };

  /** Registers again after another gateway removed this registration. */
  const handleOwnRemoval = (revision: number): void => {
    if (ownRevision === undefined || revision <= ownRevision) return;
    logger.log(REGISTRATION_REMOVED, {revision, former: ownRevision});
    ownRevision = undefined;
    hadPredecessor = false;
    void runRegistration();
  };

  const runRegistration = async (): Promise<void> => {
    let former: SharedObject | undefined;
    while (isRunning && ownRevision === undefined) {
      const next = await register(former);
      if (ownRevision !== undefined) return;
      if (next === undefined) await clock.waitMs(options.retryDelayMs);
      former = next;
    }
  };

  return {
    start: () => {
      isRunning = true;
      watcher.start();
      void runRegistration();
    },
    stop: () => {
      isRunning = false;
      watcher.stop();
    },
    listOthers: () => [...others.values()],
    getRevision: watcher.getRevision,
    getOwnRevision: () => ownRevision,
    hadPredecessor: () => hadPredecessor,
    removeRegistration: async name => {
      const revision = revisions.get(name);
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
      return deleted.isRight();
    },
  };
}
