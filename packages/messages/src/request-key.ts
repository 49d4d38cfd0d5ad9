/** Keys by which processes know a request again. */
import {createHash} from 'node:crypto';
import type {MessageType} from './enums';
import type {MessageOf} from './types';

/** What a request has in common with its repetitions. */
export type RepeatedRequest = Pick<
  MessageOf<MessageType.RequestOpen>,
  'accountTag' | 'method' | 'path' | 'body'
>;

/** Hexadecimal digits of a key. */
const KEY_LENGTH = 32;

/** Computes the key of a request; its repetitions have the same one. */
export function computeRequestKey(request: RepeatedRequest): string {
  const {accountTag, method, path, body} = request;
  // JSON separates the parts, so that no two combinations look the same.
  return createHash('sha256')
    .update(JSON.stringify([accountTag, method, path]))
    .update(body)
    .digest('hex')
    .slice(0, KEY_LENGTH);
}
