/** Key with which gateways prove that they belong to one deployment. */
import type {SharedObjectStore, StoreFailure} from '@siskinplank/directory';
import {StoreFailureCode} from '@siskinplank/directory';
import {makeSecureId} from '@siskinplank/foundation';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {LINK_KEYS_KIND, LINK_KEY_NAME, linkKeySchema} from './records';

/** Matches the strength of the HMAC-SHA-256 of the handshake. */
const KEY_BYTES = 32;

function decodeKey(content: unknown): Either<StoreFailure, string> {
  const parsed = linkKeySchema.safeParse(content);
  if (parsed.success) return Right(parsed.data.secret);
  return Left({
    code: StoreFailureCode.Malformed,
    reason: 'the link key cannot be decoded',
  });
}

/** Reads the key; stores `knownSecret` or a new one if there is none. */
export async function ensureLinkKey(
  objects: SharedObjectStore,
  knownSecret?: string,
): Promise<Either<StoreFailure, string>> {
  const listed = await objects.listObjects(LINK_KEYS_KIND);
  if (listed.isLeft()) return listed;
  const existing = listed
    .unsafeCoerce()
    .items.find(({name}) => name === LINK_KEY_NAME);
  if (existing !== undefined) return decodeKey(existing.content);
  const secret = knownSecret ?? makeSecureId(KEY_BYTES);
  const created = await objects.createObject(LINK_KEYS_KIND, LINK_KEY_NAME, {
    secret,
  });
  return created
    .map(() => secret)
    .chainLeft(failure =>
      failure.current === undefined
        ? Left(failure)
        : decodeKey(failure.current.content),
    );
}
