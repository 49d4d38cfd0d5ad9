/** Writes a response to the caller's connection, streamed or buffered. */
import type {ServerResponse} from 'node:http';
import {createByteAccumulator} from '@siskinplank/receive-buffers';
import {RunState} from '@siskinplank/resources';
import type {AttemptHead, AttemptObserver} from '../attempts/types';
import {
  HOPS_HEADER,
  REQUEST_ID_HEADER,
  RUN_STATE_HEADER,
  getRefusalStatus,
  renderErrorBody,
  renderRefusalHeaders,
} from '../refusals';
import type {Refusal} from '../refusals';
import {selectResponseHeaders} from './headers';

/** A response kept in memory. */
export interface CompleteResponse {
  status: number;
  headers: Readonly<Record<string, string>>;
  body: Buffer;
}

/** Delivers the outcome of one request to its caller. */
export interface Delivery extends AttemptObserver {
  /** Whether the head of a response was sent to the caller. */
  hasDelivered(): boolean;
  /** Discards what a failed attempt received, before the next attempt. */
  reset(): void;
  /** Ends the response after the attempt has arrived completely. */
  complete(): void;
  /**
   * Sends the refusal. A started event stream ends with an error event, and the
   * connection of any other started response is closed.
   */
  fail(refusal: Refusal): void;
  /** The buffered response; undefined once a part was sent. */
  getBufferedResponse(): CompleteResponse | undefined;
  /** Sends a complete response. */
  sendResponse(response: CompleteResponse): void;
}

/** Bytes of a response that are buffered until it is known to be complete. */
export const RESPONSE_BUFFER_BYTES = 1_048_576;

/** Creates the delivery of one request. */
export function createDelivery(options: {
  raw: ServerResponse;
  requestId: string;
  /** A response with more bytes is streamed. */
  maxBufferedBytes: number;
  /** Whether the connection closes after this response. */
  isClosing: () => boolean;
}): Delivery {
  const {raw, maxBufferedBytes} = options;
  let head: AttemptHead | undefined;
  const buffered = createByteAccumulator({
    maxBytes: maxBufferedBytes,
    // Each response is bounded; all together are not, as a response whose bytes
    // gave way could not be delivered.
    reservation: {resize: () => true, release: () => undefined},
  });
  /** Body of the buffered response once it was asked for. */
  let body: Buffer | undefined;
  let isStarted = false;
  let isEventStream = false;

  const makeHeaders = (): Record<string, string> => ({
    [REQUEST_ID_HEADER]: options.requestId,
    ...(options.isClosing() ? {connection: 'close'} : {}),
  });

  const writeHead = (
    status: number,
    headers: Readonly<Record<string, string>>,
  ): void => {
    isStarted = true;
    raw.writeHead(status, {...headers, ...makeHeaders()});
  };

  const makeResponseHeaders = (from: AttemptHead): Record<string, string> => ({
    ...selectResponseHeaders(from.headers),
    [RUN_STATE_HEADER]: RunState.Ran,
    [HOPS_HEADER]: from.hops,
  });

  const startStreaming = (): void => {
    if (head === undefined) return;
    writeHead(head.status, makeResponseHeaders(head));
    if (buffered.getLength() > 0) raw.write(buffered.take());
  };

  const sendResponse = (response: CompleteResponse): void => {
    const isBodiless = response.status === 204 || response.status === 304;
    writeHead(response.status, {
      ...response.headers,
      ...(isBodiless ? {} : {'content-length': String(response.body.length)}),
    });
    raw.end(isBodiless ? undefined : response.body);
  };

  const getBufferedResponse = (): CompleteResponse | undefined => {
    if (head === undefined || isStarted) return undefined;
    body ??= buffered.take();
    return {status: head.status, headers: makeResponseHeaders(head), body};
  };

  return {
    onHead: received => {
      head = received;
      const type = Object.entries(received.headers).find(
        ([name]) => name.toLowerCase() === 'content-type',
      )?.[1];
      isEventStream = type?.startsWith('text/event-stream') ?? false;
    },
    onData: (data, release) => {
      const isTooLong = buffered.getLength() + data.length > maxBufferedBytes;
      if (!isStarted && (isEventStream || isTooLong)) startStreaming();
      if (isStarted) {
        // The callback runs when the socket has taken the bytes, so the side
        // process gets no credit while the caller reads slowly.
        raw.write(data, () => release());
        return;
      }
      buffered.append(data);
      release();
    },
    hasDelivered: () => isStarted,
    reset: () => {
      head = undefined;
      body = undefined;
      buffered.clear();
    },
    complete: () => {
      if (raw.destroyed || raw.writableEnded) return;
      const response = getBufferedResponse();
      if (response !== undefined) sendResponse(response);
      else raw.end();
    },
    fail: refusal => {
      if (raw.destroyed || raw.writableEnded) return;
      const body = JSON.stringify(renderErrorBody(refusal));
      if (!isStarted) {
        sendResponse({
          status: getRefusalStatus(refusal),
          headers: renderRefusalHeaders(refusal),
          body: Buffer.from(body),
        });
        return;
      }
      if (!isEventStream) {
        raw.destroy();
        return;
      }
      // The blank line ends an event that may be incomplete.
      raw.write(`\n\ndata: ${body}\n\n`, () => raw.destroy());
    },
    getBufferedResponse,
    sendResponse,
  };
}
