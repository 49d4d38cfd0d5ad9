/** Registers this gateway and follows the registrations of all. */
import {
  StoreFailureCode,
  createDirectoryWatcher,
  createObjectDirectory,
} from '@siskinplank/directory';
import type {SharedObject, SharedObjects} from '@siskinplank/directory';
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
  objects: SharedObjects;
  ownRecord: GatewayRecord;
  watchWaitMs: number;
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
  /** The registered gateways, without this one, have changed. */
  onChange(others: readonly GatewayRecord[], nowMs: number): void;
}

/** The registered gateways. */
export interface GatewayRegistry {
  start(): void;
  stop(): void;
  /** Registered gateways without this one. */
  listOthers(): readonly GatewayRecord[];
  /** Revision up to which the registrations are known. */
  getRevision(): number;
  /**
   * Revision of the own registration; undefined until it is acknowledged, and
   * while it was removed by another gateway.
   */
  getOwnRevision(): number | undefined;
  /** Whether a registration of this name existed before this process. */
  hadPredecessor(): boolean;
  /** Removes the registration of a gateway that is gone for good. */
  removeRegistration(name: string): Promise<boolean>;
}

/** Creates a registry that does nothing before `start`. */
export function createGatewayRegistry(
  options: GatewayRegistryOptions,
): GatewayRegistry {
  const {objects, ownRecord: own, clock, logger} = options;
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
    settleDelayMs: 0,
    clock,
    logger,
    onList: (items, _nowMs, revision) => {
      others.clear();
      revisions.clear();
      if (!items.has(own.name)) noteOwnRemoval(revision);
      for (const [name, {record, revision}] of items) {
        revisions.set(name, revision);
        if (name !== own.name) others.set(name, record);
      }
    },
    onChange: (name, item, _nowMs, revision) => {
      if (item === undefined) revisions.delete(name);
      else revisions.set(name, item.revision);
      if (name === own.name) {
        if (item === undefined) noteOwnRemoval(revision);
        return;
      }
      if (item === undefined) others.delete(name);
      else others.set(name, item.record);
    },
    onSettled: nowMs => options.onChange([...others.values()], nowMs),
  });

  const noteOwn = ({revision}: SharedObject): void => {
    ownRevision = revision;
    logger.log(GATEWAY_REGISTERED, {revision, hadPredecessor});
  };

  /** One attempt; the object to replace after a conflict, or undefined. */
  const register = async (
    former: SharedObject | undefined,
  ): Promise<SharedObject | undefined> => {
    const content = encodeGateway(own);
    const written =
      former === undefined
        ? await objects.createObject(GATEWAYS_KIND, own.name, content)
        : await objects.replaceObject(
            GATEWAYS_KIND,
            own.name,
            content,
            former.revision,
          );
    return written.caseOf({
      Right: object => {
        noteOwn(object);
        return undefined;
      },
      Left: failure => {
        const {current} = failure;
        const isOwn =
          current !== undefined &&
          decodeGateway(current)
            .map(({incarnation}) => incarnation === own.incarnation)
            .orDefault(false);
        // A lost answer: the write had been done.
        if (current !== undefined && isOwn) {
          noteOwn(current);
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

  /** Registers again: the others took this gateway for gone. */
  const noteOwnRemoval = (revision: number): void => {
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
