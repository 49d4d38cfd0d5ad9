/** Tag that replaces the name of a client account towards side processes. */
import {hashSecret} from '@siskinplank/resources';

/** Hexadecimal digits of a tag. */
const ACCOUNT_TAG_LENGTH = 16;

/** Account tag of requests on routes that need no key. */
const PUBLIC_ACCOUNT_TAG = 'open';

/** Makes the tag of an account; undefined stands for no account. */
export function makeAccountTag(
  hashKey: Uint8Array,
  name: string | undefined,
): string {
  return name === undefined
    ? PUBLIC_ACCOUNT_TAG
    : hashSecret(hashKey, name).slice(0, ACCOUNT_TAG_LENGTH);
}
