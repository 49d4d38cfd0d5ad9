/** Authentication and permissions of operators. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import type {ConfigurationView} from '@siskinplank/configuration';
import {OperatorRole, ResourceKind, verifySecret} from '@siskinplank/resources';
import {AdminErrorCode} from './types';
import type {AdminError, Operator} from './types';

const TOKEN_PATTERN = /^op-([a-z0-9._-]+)-([0-9a-f]{48,128})$/;
const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;
const BOOTSTRAP_OPERATOR = 'bootstrap';

/** Formats an operator token, which is shown only when it is issued. */
export function formatOperatorToken(name: string, secret: string): string {
  return `op-${name}-${secret}`;
}

function isSameText(left: string, right: string): boolean {
  const digest = (text: string): Buffer =>
    createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(left), digest(right));
}

/** Inputs of the token check. */
export interface OperatorCheckOptions {
  configuration: ConfigurationView;
  hashKey: Uint8Array;
  bootstrapToken: string | undefined;
}

/** Resolves the operator of an `authorization` header. */
export function verifyOperator(
  authorization: string | null,
  options: OperatorCheckOptions,
): Either<AdminError, Operator> {
  const refused = Left({
    code: AdminErrorCode.Unauthenticated,
    message: 'a valid operator token is required',
  });
  const token = BEARER_PATTERN.exec(authorization ?? '')?.[1];
  if (token === undefined) return refused;
  const {bootstrapToken} = options;
  if (bootstrapToken !== undefined && isSameText(token, bootstrapToken)) {
    return Right({name: BOOTSTRAP_OPERATOR, role: OperatorRole.Admin});
  }
  const match = TOKEN_PATTERN.exec(token);
  if (match === null) return refused;
  const [, name, secret] = match;
  const credential = options.configuration.getObject(
    ResourceKind.OperatorCredential,
    name,
  );
  if (credential === undefined) return refused;
  const {tokenHash, role} = credential.value;
  if (!verifySecret(options.hashKey, secret, tokenHash)) return refused;
  return Right({name, role});
}

/** Rejects changes by operators whose role only permits reading. */
export function checkMayChange(operator: Operator): Either<AdminError, void> {
  if (operator.role === OperatorRole.Admin) return Right(undefined);
  return Left({
    code: AdminErrorCode.Forbidden,
    message: `operator ${operator.name} may not change anything`,
  });
}
