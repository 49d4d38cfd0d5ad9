/** Interface of one attempt to run a request at an upstream. */
import type {Either} from 'purify-ts';
import type {Usage} from '@siskinplank/messages';
import type {Refusal} from '../refusals';

/** Status and headers of a response, and the hops it passed. */
export interface AttemptHead {
  status: number;
  headers: Readonly<Record<string, string>>;
  hops: string;
}

/** Receives the parts of a response as they arrive. */
export interface AttemptObserver {
  onHead(head: AttemptHead): void;
  /** `release` must be called once, when the data has been forwarded. */
  onData(data: Uint8Array, release: () => void): void;
}

/** A failed attempt. */
export interface AttemptFailure extends Refusal {
  /** Upstream to which the side process redirects the request. */
  redirect?: string;
}

/** A response that arrived completely. */
export interface AttemptSuccess {
  usage: Usage | undefined;
}

/** One attempt; it has exactly one outcome. */
export interface Attempt {
  readonly outcome: Promise<Either<AttemptFailure, AttemptSuccess>>;
  /** Cancels at the side process and waits briefly for its reply. */
  cancel(): void;
}
