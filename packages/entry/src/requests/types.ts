/** A caller's request inside the entry role. */
import type {RequestTarget} from '@siskinplank/messages';
import type {PriorityClass} from '@siskinplank/resources';
import type {CallerIdentity} from '../authentication/authenticate';

/** A checked request with all that decides where and how it runs. */
export interface CallerRequest {
  /** Unique; the same for all attempts. */
  requestId: string;
  /** Undefined on routes that need no key. */
  identity: CallerIdentity | undefined;
  target: RequestTarget;
  method: string;
  /** Path and query as sent to the upstream. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array<ArrayBuffer>;
  priority: PriorityClass;
  /** Monotonic time of this process. */
  deadlineAtMs: number;
  estimatedTokens: number;
  idempotent: boolean;
  idempotencyKey: string | undefined;
  prefixHashes: readonly string[];
  traceparent: string;
}
