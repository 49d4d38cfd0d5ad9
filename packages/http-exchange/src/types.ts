/** Types of one HTTP exchange: a request and its response. */
import type {ResponseHead} from './response-head';

/** Where a request goes. */
export interface ExchangeTarget {
  /** A connection is reused only by requests with the same key. */
  key: string;
  host: string;
  port: number;
}

/** A request, with its whole body. */
export interface ExchangeRequest {
  method: string;
  /** Path and query. */
  target: string;
  /** Alternating names and values, without framing and connection headers. */
  headers: readonly string[];
  /** Undefined sends neither a body nor a Content-Length. */
  body: Buffer | undefined;
  /**
   * Whether to use a connection without earlier requests. To be set when the
   * request was sent before, since a delayed duplicate of the response to it
   * could not be told from the response to the second one.
   */
  needsNewConnection?: boolean;
}

/** Why an exchange ended without a complete response. */
export enum ExchangeFailureCode {
  /** No connection, so nothing was sent and the request did not run. */
  NotConnected = 'not-connected',
  /** The connection ended or was reset before the response was complete. */
  BrokenOff = 'broken-off',
  /** The upstream sent an invalid response, or the observer rejected it. */
  Malformed = 'malformed',
}

/** A failed exchange. */
export interface ExchangeFailure {
  code: ExchangeFailureCode;
  reason: string;
  /** Whether the connection had served a request before. */
  wasReused: boolean;
}

/** What to do with a response; the observer decides by its head. */
export enum HeadVerdict {
  /** Deliver it as the response to this request. */
  Accept = 'accept',
  /** Discard it, since it belongs to an earlier request; wait for the next. */
  Skip = 'skip',
  /** Fail the exchange as malformed. */
  Reject = 'reject',
}

/** Receives the response of one request. */
export interface ExchangeObserver {
  /** The request is about to be written. */
  onSend(): void;
  /** `isReused` tells whether the connection had an earlier response. */
  onHead(head: ResponseHead, isReused: boolean): HeadVerdict;
  /** A chunk of the accepted response's body, without its transfer coding. */
  onData(chunk: Buffer): void;
  /** The accepted response is complete. */
  onEnd(): void;
  /** No further calls follow. */
  onFailure(failure: ExchangeFailure): void;
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection at once; no further observer calls follow. */
  cancel(): void;
  /** Stops reading the response until `resume`, if the caller reads slowly. */
  pause(): void;
  resume(): void;
}
