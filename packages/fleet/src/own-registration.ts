/** Writes the registration of this gateway, again whenever the store lost it. */
import {StoreFailureCode} from '@siskinplank/directory';
import type {SharedObject, SharedObjectStore} from '@siskinplank/directory';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {
  GATEWAY_REGISTERED,
  REGISTRATION_FAILED,
  REGISTRATION_LOST,
  REGISTRATION_REMOVED,
} from './events';
import {GATEWAYS_KIND, decodeGateway, encodeGateway} from './records';
import {REGISTRATION_EXPIRY_MS} from './registration-expiry';
import type {GatewayRecord} from './types';

/** What `createOwnRegistration` needs. */
export interface OwnRegistrationOptions {
  objects: SharedObjectStore;
  ownRecord: GatewayRecord;
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
}

/** A registration as listed. */
export interface ListedRegistration {
  record: GatewayRecord;
  revision: number;
}

/** A list of the registrations, as far as it concerns this gateway. */
export interface OwnListing {
  /** The registration under this gateway's name. */
  item: ListedRegistration | undefined;
  revision: number;
  /** Whether it is the first list since the store was restored from a copy. */
  isRestored: boolean;
  /** When the registrations of the former era were last known completely. */
  confirmedAtMs: number | undefined;
}

/** The registration of this gateway. */
export interface OwnRegistration {
  start(): void;
  stop(): void;
  observeList(listing: OwnListing): void;
  observeRemoval(revision: number): void;
  getRevision(): number | undefined;
  isRegistered(): boolean;
  hadPredecessor(): boolean;
}

/** Creates a registration that is not written before `start`. */
export function createOwnRegistration(
  options: OwnRegistrationOptions,
): OwnRegistration {
  const {objects, ownRecord, clock, logger} = options;
  let ownRevision: number | undefined;
  /** Latest revision of the directory that lacked the registration. */
  let absentAtRevision = 0;
  let hadPredecessor = false;
  /** Ends the time in which others count this gateway without registration. */
  let graceTimer: Timer | undefined;
  let isRunning = false;
  let isWriting = false;

  const endGrace = (): void => {
    graceTimer?.cancel();
    graceTimer = undefined;
  };

  const recordRegistration = ({revision}: SharedObject): void => {
    // The store lost the write before its acknowledgement was read.
    if (revision < absentAtRevision) return;
    ownRevision = revision;
    endGrace();
    logger.log(GATEWAY_REGISTERED, {revision, hadPredecessor});
  };

  /** One attempt; returns the revision to replace after a conflict. */
  const register = async (
    formerRevision: number | undefined,
  ): Promise<number | undefined> => {
    const content = encodeGateway(ownRecord);
    const written =
      formerRevision === undefined
        ? await objects.createObject(GATEWAYS_KIND, ownRecord.name, content)
        : await objects.replaceObject(
            GATEWAYS_KIND,
            ownRecord.name,
            content,
            formerRevision,
          );
    return written.caseOf({
      Right: object => {
        recordRegistration(object);
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
          recordRegistration(current);
          return undefined;
        }
        if (failure.code === StoreFailureCode.Conflict) {
          // A copy may hold an earlier process that others don't count.
          if (graceTimer === undefined) hadPredecessor = true;
          return current?.revision;
        }
        logger.log(REGISTRATION_FAILED, {
          code: failure.code,
          reason: failure.reason,
        });
        return undefined;
      },
    });
  };

  const runRegistration = async (
    formerRevision: number | undefined,
  ): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    let former = formerRevision;
    while (isRunning && ownRevision === undefined) {
      former = await register(former);
      if (ownRevision !== undefined) break;
      if (former === undefined) await clock.waitMs(options.retryDelayMs);
    }
    isWriting = false;
  };

  /** Registers again after another gateway removed this registration. */
  const handleRemoval = (revision: number): void => {
    logger.log(REGISTRATION_REMOVED, {revision, former: ownRevision});
    ownRevision = undefined;
    hadPredecessor = false;
    void runRegistration(undefined);
  };

  /** Registers again after the store was restored from a copy without it. */
  const handleLoss = ({item, revision, confirmedAtMs}: OwnListing): void => {
    logger.log(REGISTRATION_LOST, {
      revision,
      former: ownRevision,
      isOlder: item !== undefined,
    });
    ownRevision = undefined;
    // The others stop counting this gateway only so long after they have listed
    // the registrations, which was later than it last did in the former era.
    const endsAtMs = (confirmedAtMs ?? -Infinity) + REGISTRATION_EXPIRY_MS;
    const graceMs = Math.max(0, endsAtMs - clock.getNowMs());
    endGrace();
    graceTimer = clock.startTimer(graceMs, () => {
      graceTimer = undefined;
      hadPredecessor = false;
    });
    void runRegistration(item?.revision);
  };

  return {
    start: () => {
      isRunning = true;
      void runRegistration(undefined);
    },
    stop: () => {
      isRunning = false;
      endGrace();
    },
    observeList: listing => {
      const {item, revision, isRestored} = listing;
      if (item?.record.incarnation === ownRecord.incarnation) {
        if (ownRevision === undefined) return;
        ownRevision = Math.max(ownRevision, item.revision);
        return;
      }
      absentAtRevision = Math.max(absentAtRevision, revision);
      if (ownRevision === undefined || revision <= ownRevision) return;
      if (isRestored) handleLoss(listing);
      else if (item === undefined) handleRemoval(revision);
    },
    observeRemoval: revision => {
      absentAtRevision = Math.max(absentAtRevision, revision);
      if (ownRevision === undefined || revision <= ownRevision) return;
      handleRemoval(revision);
    },
    getRevision: () => ownRevision,
    isRegistered: () => ownRevision !== undefined || graceTimer !== undefined,
    hadPredecessor: () => hadPredecessor,
  };
}
