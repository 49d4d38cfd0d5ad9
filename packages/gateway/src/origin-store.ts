/** Stores the origins of streams, so that they outlast all gateways. */
import {StoreFailureCode} from '@siskinplank/directory';
import type {SharedObjectStore} from '@siskinplank/directory';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {
  ORIGIN_KEEP_MS,
  decodeOriginRecord,
  encodeOriginRecord,
} from '@siskinplank/stream-origins';
import type {OriginRecord} from '@siskinplank/stream-origins';
import {ORIGINS_UNREADABLE, ORIGINS_UNWRITTEN} from './events';

/** What `createOriginStore` needs. */
export interface OriginStoreOptions {
  objects: SharedObjectStore;
  ownName: string;
  /** Delay after a failed call to remove a record. */
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
  /** Least time between two writes. */
  getPeriodMs(): number;
  collectRecord(nowMs: number): OriginRecord;
}

/** A record, and how long this process knows that it is unchanged. */
export interface StoredOriginRecord extends OriginRecord {
  unchangedSinceMs: number;
}

/** Records by the names of their gateways. */
export type OriginRecords = ReadonlyMap<string, StoredOriginRecord>;

/** What one call has read. */
export interface StoredOrigins {
  records: OriginRecords;
  /** Whether no gateway has lately written a record that can't be decoded. */
  isComplete: boolean;
}

/** The records of the origins, one for each gateway. */
export interface OriginStore {
  start(): void;
  stop(): void;
  /** Reads the records of all gateways; undefined if the call failed. */
  readRecords(): Promise<StoredOrigins | undefined>;
  /**
   * Writes the record of this gateway when the period has passed and the records
   * were read once.
   */
  requestWrite(): void;
  /** Removes the record of a gateway that is gone, also if calls fail at first. */
  removeRecord(gateway: string): Promise<void>;
}

export const STREAM_ORIGINS_KIND = 'siskinplank-stream-origins';

/** Creates a store that reads and writes nothing before `start`. */
export function createOriginStore(options: OriginStoreOptions): OriginStore {
  const {objects, ownName, clock, logger} = options;
  let isStopped = false;
  let hasRead = false;
  let isDue = false;
  let isWriting = false;
  let writtenAtMs = -Infinity;
  let timer: Timer | undefined;
  /** Gateways whose records are being removed. */
  const removing = new Set<string>();
  /** Revision to replace; undefined to create the record. */
  let revision: number | undefined;
  /** When each revision of a record was first read, by gateway. */
  let firstReads = new Map<string, {revision: number; atMs: number}>();

  const readRecords = async (): Promise<StoredOrigins | undefined> => {
    const listed = await objects.listObjects(STREAM_ORIGINS_KIND);
    listed.ifLeft(({code, reason}) =>
      logger.log(ORIGINS_UNREADABLE, {code, reason}),
    );
    const items = listed.toMaybe().extract()?.items;
    if (items === undefined) return undefined;
    const nowMs = clock.getNowMs();
    const records = new Map<string, StoredOriginRecord>();
    const reads: typeof firstReads = new Map();
    let isComplete = true;
    for (const {name, content, revision: storedRevision} of items) {
      if (name === ownName && !hasRead) revision = storedRevision;
      const former = firstReads.get(name);
      const read =
        former?.revision === storedRevision
          ? former
          : {revision: storedRevision, atMs: nowMs};
      reads.set(name, read);
      decodeOriginRecord(content).caseOf({
        Left: reason => {
          logger.log(ORIGINS_UNREADABLE, {gateway: name, reason});
          if (nowMs - read.atMs <= ORIGIN_KEEP_MS) isComplete = false;
        },
        Right: record =>
          void records.set(name, {...record, unchangedSinceMs: read.atMs}),
      });
    }
    firstReads = reads;
    hasRead = true;
    scheduleWrite();
    return {records, isComplete};
  };

  const write = async (): Promise<void> => {
    isDue = false;
    isWriting = true;
    writtenAtMs = clock.getNowMs();
    const content = encodeOriginRecord(options.collectRecord(writtenAtMs));
    const written =
      revision === undefined
        ? await objects.createObject(STREAM_ORIGINS_KIND, ownName, content)
        : await objects.replaceObject(
            STREAM_ORIGINS_KIND,
            ownName,
            content,
            revision,
          );
    isWriting = false;
    written.caseOf({
      Right: object => {
        revision = object.revision;
      },
      Left: ({code, reason, current}) => {
        const isUnchanged =
          code === StoreFailureCode.NoAnswer ||
          code === StoreFailureCode.Refused;
        if (!isUnchanged) revision = current?.revision;
        isDue = true;
        logger.log(ORIGINS_UNWRITTEN, {code, reason});
      },
    });
    scheduleWrite();
  };

  const scheduleWrite = (): void => {
    const isIdle = timer === undefined && !isWriting;
    if (isStopped || !hasRead || !isDue || !isIdle) return;
    const dueAtMs = writtenAtMs + options.getPeriodMs();
    timer = clock.startTimer(Math.max(0, dueAtMs - clock.getNowMs()), () => {
      timer = undefined;
      if (!isStopped) void write();
    });
  };

  const requestWrite = (): void => {
    isDue = true;
    scheduleWrite();
  };

  const removeUntilGone = async (gateway: string): Promise<void> => {
    let removedRevision: number | undefined;
    while (!isStopped) {
      const listed = await objects.listObjects(STREAM_ORIGINS_KIND);
      const items = listed.toMaybe().extract()?.items;
      if (items !== undefined) {
        const object = items.find(({name}) => name === gateway);
        if (object === undefined) return;
        removedRevision ??= object.revision;
        // The gateway has returned and written it again.
        if (object.revision !== removedRevision) return;
        const removed = await objects.deleteObject(
          STREAM_ORIGINS_KIND,
          gateway,
          removedRevision,
        );
        if (removed.isRight()) return;
      }
      await clock.waitMs(options.retryDelayMs);
    }
  };

  return {
    start: () => {
      objects.observeRestores(() => {
        // The copy may lack the record, or hold an older one.
        revision = undefined;
        requestWrite();
      });
    },
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
    readRecords,
    requestWrite,
    removeRecord: async gateway => {
      if (removing.has(gateway)) return;
      removing.add(gateway);
      await removeUntilGone(gateway);
      removing.delete(gateway);
    },
  };
}
