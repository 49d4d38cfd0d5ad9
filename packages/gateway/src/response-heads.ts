/** What the head of an upstream's response tells about the response. */
import type {ResponseHead} from '@siskinplank/http-exchange';

/** Whether the upstream answered with success. */
export function isSuccess({status}: ResponseHead): boolean {
  return status >= 200 && status < 300;
}

/**
 * Whether a complete response succeeds without a body. One that ends with its
 * connection may be that of an upstream that ended, so it does not count.
 */
export function isEmptySuccess(head: ResponseHead, body: Buffer): boolean {
  const isFramed =
    head.contentLength !== undefined || head.headers.has('transfer-encoding');
  return isSuccess(head) && isFramed && body.length === 0;
}
