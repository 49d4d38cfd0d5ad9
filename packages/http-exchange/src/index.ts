/** HTTP/1.1 client for upstreams with reused connections, one request each. */
export {createResponseParser} from './response-parser';
export type {
  ResponseParser,
  ResponseParserOptions,
  ResponseSink,
} from './response-parser';
export type {ResponseHead} from './response-head';
export {createConnectionPool} from './connection-pool';
export type {ConnectionPool, ConnectionPoolOptions} from './connection-pool';
export {ExchangeFailureCode, HeadVerdict} from './types';
export type {
  Exchange,
  ExchangeFailure,
  ExchangeObserver,
  ExchangeRequest,
  ExchangeTarget,
} from './types';
export {createEventSplitter} from './event-splitter';
export type {EventBatch, EventSplitter} from './event-splitter';
export {rejectMalformedStatus} from './status-check';
