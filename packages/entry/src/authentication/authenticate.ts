/** Authenticates callers by API key. */
import {Either, Left, Right} from 'purify-ts';
import type {ConfigurationView} from '@siskinplank/configuration';
import {FreshnessState} from '@siskinplank/messages';
import {
  RefusalCode,
  ResourceKind,
  parseKey,
  verifySecret,
} from '@siskinplank/resources';
import type {ApiKey, ClientAccount} from '@siskinplank/resources';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** Key and client account of an authenticated caller. */
export interface CallerIdentity {
  keyId: string;
  account: ClientAccount;
}

/** Suggested retry delay while the configuration may be outdated. */
const STALE_RETRY_AFTER_MS = 2_000;

const BEARER_PATTERN = /^bearer +(\S+)$/i;

const WRONG_KEY_MESSAGE = 'Incorrect API key provided.';

/**
 * Checks a bearer key and returns its client account. Refuses all keys while
 * the configuration isn't confirmed, because a key may have been withdrawn.
 */
export function authenticateCaller(
  authorization: string | undefined,
  configuration: ConfigurationView,
  hashKey: Uint8Array,
  time: {nowMs: number; wallMs: number},
): Either<Refusal, CallerIdentity> {
  const token = BEARER_PATTERN.exec(authorization ?? '')?.[1];
  if (token === undefined) {
    return refuseKey('Provide an API key: Authorization: Bearer <key>.');
  }
  const parsed = parseKey(token);
  if (parsed === undefined) return refuseKey(WRONG_KEY_MESSAGE);
  const freshness = configuration.getFreshness(time.nowMs);
  if (freshness.state === FreshnessState.Isolated) {
    return Left(
      makeRefusal(
        RefusalCode.ConfigurationStale,
        'The state of API keys cannot be confirmed at present.',
        {retryAfterMs: STALE_RETRY_AFTER_MS},
      ),
    );
  }
  const key = configuration.getObject(ResourceKind.ApiKey, parsed.keyId);
  if (key === undefined) return refuseKey(WRONG_KEY_MESSAGE);
  if (!verifySecret(hashKey, parsed.secret, key.value.secretHash)) {
    return refuseKey(WRONG_KEY_MESSAGE);
  }
  if (isWithdrawn(key.value)) {
    return Left(
      makeRefusal(RefusalCode.KeyWithdrawn, 'The API key was withdrawn.'),
    );
  }
  if (isExpired(key.value, time.wallMs)) {
    return refuseKey('The API key has expired.');
  }
  const account = configuration.getObject(
    ResourceKind.ClientAccount,
    key.value.account,
  );
  if (account === undefined) return refuseKey(WRONG_KEY_MESSAGE);
  return Right({keyId: parsed.keyId, account: account.value});
}

/** Whether the account may use a model or adapter. */
export function canUseModel(account: ClientAccount, name: string): boolean {
  return account.models.includes('*') || account.models.includes(name);
}

/** Whether a key was withdrawn. */
export function isWithdrawn(key: ApiKey): boolean {
  return key.withdrawnAtMs !== undefined;
}

function isExpired(key: ApiKey, wallMs: number): boolean {
  return key.expiresAtMs !== undefined && key.expiresAtMs <= wallMs;
}

function refuseKey(message: string): Either<Refusal, never> {
  return Left(makeRefusal(RefusalCode.InvalidKey, message));
}
