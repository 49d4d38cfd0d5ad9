/** Audited conditional writes of configuration objects. */
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {makeSecureId} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  PlatformError,
} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {
  AuditRecord,
  ConfigurationKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';
import {AUDIT_INCOMPLETE, CHANGE_ACCEPTED} from './events';
import {AdminErrorCode} from './types';
import type {AdminDependencies, AdminError, Operator} from './types';

/** Action of an operator on an object, as stored in the audit record. */
export enum AuditAction {
  Apply = 'apply',
  Delete = 'delete',
  IssueKey = 'issue-key',
  WithdrawKey = 'withdraw-key',
  IssueOperatorToken = 'issue-operator-token',
}

/** Maps a platform error to an error of the admin API. */
export function toAdminError(error: PlatformError): AdminError {
  switch (error.code) {
    case PlatformErrorCode.Conflict:
      return {
        code: AdminErrorCode.Conflict,
        message: 'the object has another version; nothing was changed',
        current: error.current ?? null,
      };
    case PlatformErrorCode.Invalid:
      return {code: AdminErrorCode.Invalid, message: error.message};
    case PlatformErrorCode.OutcomeUnknown:
      return {
        code: AdminErrorCode.OutcomeUnknown,
        message: 'the platform did not confirm; the change may be in force',
      };
    default:
      return {
        code: AdminErrorCode.Unavailable,
        message: `the platform is unavailable (${error.message}); nothing was changed`,
      };
  }
}

/** Writes and deletes with an audit record for each change. */
export interface AuditedWriter {
  putObject<K extends ConfigurationKind>(
    operator: Operator,
    action: AuditAction,
    kind: K,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Promise<Either<AdminError, StoredObject<K>>>;
  deleteObject(
    operator: Operator,
    kind: ConfigurationKind,
    name: string,
    expectedVersion: number,
  ): Promise<Either<AdminError, void>>;
}

const AUDIT_TIME_DIGITS = 15;

/** Creates the writer. */
export function createAuditedWriter(
  dependencies: Pick<
    AdminDependencies,
    'store' | 'configuration' | 'clock' | 'logger'
  >,
): AuditedWriter {
  const {store, configuration, clock, logger} = dependencies;

  /**
   * Records the intended change first, so that a process that stops in
   * between leaves a record with version 0 and no change goes unrecorded.
   */
  const recordIntent = async (
    operator: Operator,
    action: AuditAction,
    kind: ResourceKind,
    target: string,
  ): Promise<Either<AdminError, StoredObject<ResourceKind.AuditRecord>>> => {
    const atMs = clock.getWallMs();
    const name = `${String(Math.floor(atMs)).padStart(AUDIT_TIME_DIGITS, '0')}-${makeSecureId(4)}`;
    const record: AuditRecord = {
      name,
      operator: operator.name,
      action,
      kind,
      target,
      version: 0,
      atMs,
    };
    const result = await store.putObject(
      ResourceKind.AuditRecord,
      name,
      record,
      'absent',
    );
    return result.mapLeft(error =>
      error.code === PlatformErrorCode.OutcomeUnknown
        ? {
            code: AdminErrorCode.Unavailable,
            message: 'the platform is unavailable; nothing was changed',
          }
        : toAdminError(error),
    );
  };

  const recordOutcome = async (
    record: StoredObject<ResourceKind.AuditRecord>,
    version: number,
  ): Promise<void> => {
    const result = await store.putObject(
      ResourceKind.AuditRecord,
      record.name,
      {...record.value, version},
      record.version,
    );
    if (result.isLeft()) logger.log(AUDIT_INCOMPLETE, {record: record.name});
  };

  return {
    putObject: async (operator, action, kind, value, expected) => {
      const intent = await recordIntent(operator, action, kind, value.name);
      if (intent.isLeft()) return intent as Either<AdminError, never>;
      const written = await store.putObject(kind, value.name, value, expected);
      if (written.isLeft()) return written.mapLeft(toAdminError);
      const object = written.unsafeCoerce();
      configuration.applyLocalWrite(object as StoredObject<ConfigurationKind>);
      await recordOutcome(intent.unsafeCoerce(), object.version);
      logger.log(CHANGE_ACCEPTED, {
        operator: operator.name,
        action,
        kind,
        name: object.name,
        version: object.version,
      });
      return Right(object);
    },
    deleteObject: (operator, kind, name, expectedVersion) =>
      EitherAsync.fromPromise(() =>
        recordIntent(operator, AuditAction.Delete, kind, name),
      )
        .chain(async intent => {
          const deleted = await store.deleteObject(kind, name, expectedVersion);
          if (deleted.isLeft())
            return Left(toAdminError(deleted.extract() as PlatformError));
          await recordOutcome(intent, expectedVersion);
          logger.log(CHANGE_ACCEPTED, {
            operator: operator.name,
            action: AuditAction.Delete,
            kind,
            name,
          });
          return Right(undefined);
        })
        .run(),
  };
}
