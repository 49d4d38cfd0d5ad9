/** Operations of the admin API, independent of the transport. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {makeSecureId} from '@siskinplank/foundation';
import type {PlatformError} from '@siskinplank/platform-client';
import {
  ResourceKind,
  formatKey,
  hashSecret,
  parseResource,
} from '@siskinplank/resources';
import type {
  ApiKey,
  AuditRecord,
  ConfigurationKind,
  OperatorRole,
  StoredObject,
} from '@siskinplank/resources';
import type {AdminKind, ParsedResource} from './convert';
import {formatOperatorToken} from './operators';
import {checkReferences, checkUnreferenced} from './references';
import {AdminErrorCode} from './types';
import type {AdminDependencies, AdminError, Operator} from './types';
import {AuditAction, createAuditedWriter, toAdminError} from './writes';

/** Whether an applied resource changed anything. */
export enum ApplyOutcome {
  Created = 'created',
  Updated = 'updated',
  Unchanged = 'unchanged',
}

/** Result of applying a resource. */
export interface ApplyResult {
  outcome: ApplyOutcome;
  object: StoredObject<ConfigurationKind>;
}

/** Options of a change. */
export interface ChangeOptions {
  /** 0 requires that the object does not exist. */
  expectedVersion?: number;
  /** Checks everything and writes nothing. */
  isDryRun: boolean;
}

/** An issued key; its secret is returned only this once. */
export interface IssuedKey {
  keyId: string;
  key: string;
}

type AdminResult<T> = Promise<Either<AdminError, T>>;

/** Operations that the admin service calls. */
export interface AdminOperations {
  applyResource(
    operator: Operator,
    resource: ParsedResource,
    options: ChangeOptions,
  ): AdminResult<ApplyResult>;
  getResource(kind: AdminKind, name: string): AdminResult<StoredObject>;
  listResources(
    kind: AdminKind,
  ): AdminResult<{revision: number; items: readonly StoredObject[]}>;
  deleteResource(
    operator: Operator,
    kind: AdminKind,
    name: string,
    options: ChangeOptions,
  ): AdminResult<void>;
  issueKey(
    operator: Operator,
    account: string,
    ttlMs: number | undefined,
  ): AdminResult<IssuedKey>;
  listKeys(account: string): AdminResult<readonly ApiKey[]>;
  withdrawKey(operator: Operator, keyId: string): AdminResult<ApiKey>;
  issueOperatorToken(
    operator: Operator,
    name: string,
    role: OperatorRole,
  ): AdminResult<string>;
  listAuditRecords(limit: number): AdminResult<readonly AuditRecord[]>;
}

const KEY_ID_BYTES = 8;
const SECRET_BYTES = 32;
/** Retries of a key withdrawal after concurrent writes of the key. */
const MAX_CONFLICT_RETRIES = 5;

function makeNotFoundError(kind: ResourceKind, name: string): AdminError {
  return {
    code: AdminErrorCode.NotFound,
    message: `${kind} "${name}" does not exist`,
  };
}

function makeConflictError(current: StoredObject | undefined): AdminError {
  return {
    code: AdminErrorCode.Conflict,
    message: 'the object has another version; nothing was changed',
    current: current ?? null,
  };
}

function isSameValue(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/** Creates the operations. */
export function createAdminOperations(
  dependencies: AdminDependencies,
): AdminOperations {
  const {store, configuration, clock, hashKey} = dependencies;
  const writer = createAuditedWriter(dependencies);

  const readObject = async <K extends ResourceKind>(
    kind: K,
    name: string,
  ): AdminResult<StoredObject<K> | undefined> =>
    (await store.getObject(kind, name)).mapLeft(toAdminError);

  const checkExpectedVersion = (
    current: StoredObject | undefined,
    expectedVersion: number | undefined,
  ): Either<AdminError, void> => {
    if (expectedVersion === undefined) return Right(undefined);
    if ((current?.version ?? 0) === expectedVersion) return Right(undefined);
    return Left(makeConflictError(current));
  };

  const applyResource: AdminOperations['applyResource'] = async (
    operator,
    resource,
    options,
  ) => {
    if (resource.kind === ResourceKind.Placement) {
      return Left({
        code: AdminErrorCode.Invalid,
        message: 'Placement is written by the placement owner only',
      });
    }
    const checked = checkReferences(resource, configuration);
    if (checked.isLeft()) return checked as Either<AdminError, never>;
    const read = await readObject(resource.kind, resource.name);
    if (read.isLeft()) return read as Either<AdminError, never>;
    const current = read.unsafeCoerce();
    const expected = checkExpectedVersion(current, options.expectedVersion);
    if (expected.isLeft()) return expected as Either<AdminError, never>;
    if (current !== undefined && isSameValue(current.value, resource.value)) {
      return Right({outcome: ApplyOutcome.Unchanged, object: current});
    }
    const outcome =
      current === undefined ? ApplyOutcome.Created : ApplyOutcome.Updated;
    if (options.isDryRun) {
      const version = current?.version ?? 0;
      return Right({outcome, object: {...resource, version}});
    }
    const written = await writer.putObject(
      operator,
      AuditAction.Apply,
      resource.kind,
      resource.value,
      current?.version ?? 'absent',
    );
    return written.map(object => ({outcome, object}));
  };

  const deleteResource: AdminOperations['deleteResource'] = async (
    operator,
    kind,
    name,
    options,
  ) => {
    const unreferenced = checkUnreferenced(kind, name, configuration);
    if (unreferenced.isLeft()) return unreferenced;
    const read = await readObject(kind, name);
    if (read.isLeft()) return read as Either<AdminError, never>;
    const current = read.unsafeCoerce();
    if (current === undefined) return Left(makeNotFoundError(kind, name));
    const expected = checkExpectedVersion(current, options.expectedVersion);
    if (expected.isLeft() || options.isDryRun) return expected;
    return writer.deleteObject(operator, kind, name, current.version);
  };

  const issueKey: AdminOperations['issueKey'] = async (
    operator,
    account,
    ttlMs,
  ) => {
    const owner = await readObject(ResourceKind.ClientAccount, account);
    if (owner.isLeft()) return owner as Either<AdminError, never>;
    if (owner.unsafeCoerce() === undefined) {
      return Left(makeNotFoundError(ResourceKind.ClientAccount, account));
    }
    const keyId = makeSecureId(KEY_ID_BYTES);
    const secret = makeSecureId(SECRET_BYTES);
    const createdAtMs = clock.getWallMs();
    const written = await writer.putObject(
      operator,
      AuditAction.IssueKey,
      ResourceKind.ApiKey,
      {
        name: keyId,
        account,
        secretHash: hashSecret(hashKey, secret),
        createdAtMs,
        ...(ttlMs === undefined ? {} : {expiresAtMs: createdAtMs + ttlMs}),
      },
      'absent',
    );
    return written.map(() => ({keyId, key: formatKey(keyId, secret)}));
  };

  const withdrawKey: AdminOperations['withdrawKey'] = async (
    operator,
    keyId,
  ) => {
    for (let attempt = 0; ; attempt += 1) {
      const read = await readObject(ResourceKind.ApiKey, keyId);
      if (read.isLeft()) return read as Either<AdminError, never>;
      const current = read.unsafeCoerce();
      if (current === undefined) {
        return Left(makeNotFoundError(ResourceKind.ApiKey, keyId));
      }
      if (current.value.withdrawnAtMs !== undefined) {
        return Right(current.value);
      }
      const written = await writer.putObject(
        operator,
        AuditAction.WithdrawKey,
        ResourceKind.ApiKey,
        {...current.value, withdrawnAtMs: clock.getWallMs()},
        current.version,
      );
      const isConflict = written.caseOf({
        Left: error => error.code === AdminErrorCode.Conflict,
        Right: () => false,
      });
      if (!isConflict || attempt >= MAX_CONFLICT_RETRIES) {
        return written.map(object => object.value);
      }
    }
  };

  const issueOperatorToken: AdminOperations['issueOperatorToken'] = async (
    operator,
    name,
    role,
  ) => {
    const secret = makeSecureId(SECRET_BYTES);
    const parsed = parseResource(ResourceKind.OperatorCredential, {
      name,
      role,
      tokenHash: hashSecret(hashKey, secret),
    });
    if (parsed.isLeft()) {
      return parsed.mapLeft(error => ({
        code: AdminErrorCode.Invalid,
        message: error.problems.join('; '),
      })) as Either<AdminError, never>;
    }
    const read = await readObject(ResourceKind.OperatorCredential, name);
    if (read.isLeft()) return read as Either<AdminError, never>;
    const written = await writer.putObject(
      operator,
      AuditAction.IssueOperatorToken,
      ResourceKind.OperatorCredential,
      parsed.unsafeCoerce(),
      read.unsafeCoerce()?.version ?? 'absent',
    );
    return written.map(() => formatOperatorToken(name, secret));
  };

  const listValues = async <K extends ResourceKind>(
    kind: K,
  ): AdminResult<ReadonlyArray<StoredObject<K>>> =>
    (await store.listObjects(kind))
      .map(list => list.items)
      .mapLeft((error: PlatformError) => toAdminError(error));

  return {
    applyResource,
    deleteResource,
    issueKey,
    withdrawKey,
    issueOperatorToken,
    getResource: async (kind, name) => {
      const read = await readObject(kind, name);
      return read.chain(object =>
        object === undefined
          ? Left(makeNotFoundError(kind, name))
          : Right(object),
      );
    },
    listResources: async kind =>
      (await store.listObjects(kind)).mapLeft(toAdminError),
    listKeys: async account =>
      (await listValues(ResourceKind.ApiKey)).map(items =>
        items
          .map(item => item.value)
          .filter(key => account === '' || key.account === account),
      ),
    listAuditRecords: async limit =>
      (await listValues(ResourceKind.AuditRecord)).map(items =>
        items
          .map(item => item.value)
          .sort((left, right) => right.atMs - left.atMs)
          .slice(0, limit),
      ),
  };
}
