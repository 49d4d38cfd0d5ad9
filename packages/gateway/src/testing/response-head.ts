/** Heads of upstreams' responses. */
import type {ResponseHead} from '@siskinplank/http-exchange';

/** Makes the head of a response without headers. */
export function makeHead(status: number, contentLength?: number): ResponseHead {
  return {
    status,
    reason: 'reason',
    rawHeaders: [],
    headers: new Map(),
    keepsAlive: true,
    contentLength,
  };
}
