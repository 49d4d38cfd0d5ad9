/** Serves the admin API with Connect. */
import {Code, ConnectError, createContextKey} from '@connectrpc/connect';
import type {
  ConnectRouter,
  HandlerContext,
  Interceptor,
  ServiceImpl,
} from '@connectrpc/connect';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {OperatorRole} from '@siskinplank/resources';
import {
  parseKind,
  parseResourceMessage,
  toKeyInfo,
  toResourceMessage,
} from './convert';
import {CHANGE_REJECTED, OPERATOR_UNAUTHENTICATED} from './events';
import {
  AdminService,
  ConflictDetailSchema,
} from './generated/siskinplank/admin/v1/admin_pb';
import {createAdminOperations} from './operations';
import type {ChangeOptions} from './operations';
import {checkMayChange, verifyOperator} from './operators';
import {makeStatus} from './status';
import {AdminErrorCode} from './types';
import type {AdminDependencies, AdminError, Operator} from './types';

const CONNECT_CODES: Record<AdminErrorCode, Code> = {
  [AdminErrorCode.Invalid]: Code.InvalidArgument,
  [AdminErrorCode.NotFound]: Code.NotFound,
  [AdminErrorCode.Conflict]: Code.Aborted,
  [AdminErrorCode.Unauthenticated]: Code.Unauthenticated,
  [AdminErrorCode.Forbidden]: Code.PermissionDenied,
  [AdminErrorCode.Unavailable]: Code.Unavailable,
  [AdminErrorCode.OutcomeUnknown]: Code.Unknown,
};

const DEFAULT_AUDIT_LIMIT = 100;
const MAX_AUDIT_LIMIT = 1_000;
const MS_PER_SECOND = 1_000;

const operatorKey = createContextKey<Operator | undefined>(undefined);

function toConnectError(error: AdminError): ConnectError {
  const details = [];
  if (error.code === AdminErrorCode.Conflict) {
    const current =
      error.current === undefined || error.current === null
        ? undefined
        : toResourceMessage(error.current);
    details.push({desc: ConflictDetailSchema, value: {current}});
  }
  const code = CONNECT_CODES[error.code];
  return new ConnectError(error.message, code, undefined, details);
}

/** Rejects with a `ConnectError` on failure, as Connect expects. */
function toResponse<T>(result: Either<AdminError, T>): Promise<T> {
  return result.caseOf({
    Left: error => Promise.reject(toConnectError(error)),
    Right: value => Promise.resolve(value),
  });
}

function parseChangeOptions(request: {
  expectedVersion?: bigint;
  dryRun: boolean;
}): ChangeOptions {
  const {expectedVersion, dryRun} = request;
  return {
    isDryRun: dryRun,
    ...(expectedVersion === undefined
      ? {}
      : {expectedVersion: Number(expectedVersion)}),
  };
}

function parseOperatorRole(text: string): Either<AdminError, OperatorRole> {
  const role = Object.values(OperatorRole).find(value => value === text);
  if (role !== undefined) return Right(role);
  const message = `role: expected one of ${Object.values(OperatorRole).join(', ')}`;
  return Left({code: AdminErrorCode.Invalid, message});
}

function parseTtlMs(
  ttlSeconds: number | undefined,
): Either<AdminError, number | undefined> {
  if (ttlSeconds === undefined) return Right(undefined);
  if (Number.isFinite(ttlSeconds) && ttlSeconds > 0) {
    return Right(ttlSeconds * MS_PER_SECOND);
  }
  const message = 'ttlSeconds: expected a positive number';
  return Left({code: AdminErrorCode.Invalid, message});
}

/** Rejects calls without a valid operator token. */
export function createOperatorInterceptor(
  dependencies: AdminDependencies,
): Interceptor {
  return next => request => {
    const authorization = request.header.get('authorization');
    return verifyOperator(authorization, dependencies).caseOf({
      Left: error => {
        dependencies.logger.log(OPERATOR_UNAUTHENTICATED, {
          method: request.method.name,
        });
        return Promise.reject(toConnectError(error));
      },
      Right: operator => {
        request.contextValues.set(operatorKey, operator);
        return next(request);
      },
    });
  };
}

/** Returns the authenticated operator if its role permits changes. */
function getAuthorizedOperator(
  context: HandlerContext,
): Either<AdminError, Operator> {
  const operator = context.values.get(operatorKey);
  if (operator === undefined) {
    return Left({
      code: AdminErrorCode.Unauthenticated,
      message: 'a valid operator token is required',
    });
  }
  return checkMayChange(operator).map(() => operator);
}

/** Creates the implementation of the admin service. */
export function createServiceImplementation(
  dependencies: AdminDependencies,
): ServiceImpl<typeof AdminService> {
  const operations = createAdminOperations(dependencies);

  /** Runs a change if the operator may make one. */
  const runChange = async <T>(
    context: HandlerContext,
    change: (operator: Operator) => Promise<Either<AdminError, T>>,
  ): Promise<T> => {
    const result = await getAuthorizedOperator(context).caseOf<
      Promise<Either<AdminError, T>>
    >({
      Left: error => Promise.resolve(Left(error)),
      Right: change,
    });
    result.ifLeft(error =>
      dependencies.logger.log(CHANGE_REJECTED, {
        method: context.method.name,
        code: error.code,
      }),
    );
    return toResponse(result);
  };

  return {
    applyResource: (request, context) =>
      runChange(context, async operator => {
        const parsed = parseResourceMessage(request.resource);
        if (parsed.isLeft()) return parsed as Either<AdminError, never>;
        const result = await operations.applyResource(
          operator,
          parsed.unsafeCoerce(),
          parseChangeOptions(request),
        );
        return result.map(({outcome, object}) => ({
          outcome,
          resource: toResourceMessage(object),
        }));
      }),
    getResource: async request => {
      const kind = await toResponse(parseKind(request.kind));
      const result = await operations.getResource(kind, request.name);
      return toResponse(
        result.map(object => ({resource: toResourceMessage(object)})),
      );
    },
    listResources: async request => {
      const kind = await toResponse(parseKind(request.kind));
      const result = await operations.listResources(kind);
      return toResponse(
        result.map(list => ({
          revision: BigInt(list.revision),
          resources: list.items.map(toResourceMessage),
        })),
      );
    },
    deleteResource: (request, context) =>
      runChange(context, async operator => {
        const kind = parseKind(request.kind);
        if (kind.isLeft()) return kind as Either<AdminError, never>;
        const result = await operations.deleteResource(
          operator,
          kind.unsafeCoerce(),
          request.name,
          parseChangeOptions(request),
        );
        return result.map(() => ({}));
      }),
    issueKey: (request, context) =>
      runChange(context, async operator => {
        const ttlMs = parseTtlMs(request.ttlSeconds);
        if (ttlMs.isLeft()) return ttlMs as Either<AdminError, never>;
        return operations.issueKey(
          operator,
          request.account,
          ttlMs.unsafeCoerce(),
        );
      }),
    listKeys: async request =>
      toResponse(
        (await operations.listKeys(request.account)).map(keys => ({
          keys: keys.map(toKeyInfo),
        })),
      ),
    withdrawKey: (request, context) =>
      runChange(context, async operator =>
        (await operations.withdrawKey(operator, request.keyId)).map(key => ({
          key: toKeyInfo(key),
        })),
      ),
    issueOperatorToken: (request, context) =>
      runChange(context, async operator => {
        const role = parseOperatorRole(request.role);
        if (role.isLeft()) return role as Either<AdminError, never>;
        const result = await operations.issueOperatorToken(
          operator,
          request.name,
          role.unsafeCoerce(),
        );
        return result.map(token => ({token}));
      }),
    getStatus: () => makeStatus(dependencies, dependencies.clock.getNowMs()),
    listAuditRecords: async request => {
      const limit = Math.min(
        request.limit > 0 ? request.limit : DEFAULT_AUDIT_LIMIT,
        MAX_AUDIT_LIMIT,
      );
      const result = await operations.listAuditRecords(limit);
      return toResponse(
        result.map(records => ({
          records: records.map(record => ({
            ...record,
            version: BigInt(record.version),
          })),
        })),
      );
    },
  };
}

/** Registers the admin service on a Connect router. */
export function registerAdminService(
  router: ConnectRouter,
  dependencies: AdminDependencies,
): void {
  router.service(AdminService, createServiceImplementation(dependencies));
}
