/** Interface of the exchange of one request and its response. */
import type {ResponseHead} from './response-parser';

/** Where a request goes. */
export interface ExchangeTarget {
  /** Connections are shared by requests with the same key only. */
  key: string;
  host: string;
  port: number;
}

/** A request, complete. */
export interface ExchangeRequest {
  method: string;
  /** Path and query. */
  target: string;
  /** Name and value in turn; without framing and connection headers. */
  headers: readonly string[];
  /** Undefined sends no body and no length. */
  body: Buffer | undefined;
}

/** Why no complete response came. */
export enum ExchangeFailureCode {
  /** No connection; nothing was sent, so the request has not run. */
  NotConnected = 'not-connected',
  /** The connection ended or was reset before the response was complete. */
  BrokenOff = 'broken-off',
  /** The upstream sent bytes that are no response. */
  Malformed = 'malformed',
}

/** A failed exchange. */
export interface ExchangeFailure {
  code: ExchangeFailureCode;
  reason: string;
  /** Whether the connection had served a request before. */
  wasReused: boolean;
}

/** What the observer makes of a response head. */
export enum HeadVerdict {
  /** The response to this request. */
  Accept = 'accept',
  /** The response to an earlier request; read past it. */
  Skip = 'skip',
  /** Not usable; the exchange fails as malformed. */
  Reject = 'reject',
}

/** Receives the response of one request. */
export interface ExchangeObserver {
  /** The request is about to be written. */
  onSend(): void;
  onHead(head: ResponseHead): HeadVerdict;
  /** A piece of the accepted response's body, without transfer coding. */
  onData(piece: Buffer): void;
  /** The accepted response is complete. */
  onEnd(): void;
  /** No further calls follow. */
  onFailure(failure: ExchangeFailure): void;
}

/** A request on its way. */
export interface Exchange {
  /** Closes the connection at once; no further observer calls follow. */
  cancel(): void;
  /** Stops and resumes reading, when the caller reads slowly. */
  pause(): void;
  resume(): void;
}
