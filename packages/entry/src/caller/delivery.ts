/** Writes one response to the caller's connection, streamed or whole. */
import type {ServerResponse} from 'node:http';
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
export interface WholeResponse {
  status: number;
  headers: Readonly<Record<string, string>>;
  body: Buffer;
}

/** Delivers the outcome of one request to its caller. */
export interface Delivery extends AttemptObserver {
  /** Whether the caller got any part of a response. */
  hasDelivered(): boolean;
  /** Forgets what an attempt brought before another is made. */
  reset(): void;
  /** Ends the response; the attempt arrived whole. */
  complete(): void;
  /** Refuses, or ends a started response with an explicit error. */
  fail(refusal: Refusal): void;
  /** The whole response, while nothing of it was delivered. */
  getWhole(): WholeResponse | undefined;
  /** Sends a response that was kept. */
  sendWhole(response: WholeResponse): void;
}

/** Bytes of a response that are held back until it is known to be whole. */
export const RESPONSE_BUFFER_BYTES = 1_048_576;

/** Creates the delivery of one request; `holdBytes` limits what is kept. */
export function createDelivery(options: {
  raw: ServerResponse;
  requestId: string;
  holdBytes: number;
  /** Whether the connection is to be closed after this response. */
  isClosing: () => boolean;
}): Delivery {
  const {raw, holdBytes} = options;
  let head: AttemptHead | undefined;
  let held: Uint8Array[] = [];
  let heldBytes = 0;
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
    for (const chunk of held) raw.write(chunk);
    held = [];
    heldBytes = 0;
  };

  const sendWhole = (response: WholeResponse): void => {
    const isBodiless = response.status === 204 || response.status === 304;
    writeHead(response.status, {
      ...response.headers,
      ...(isBodiless ? {} : {'content-length': String(response.body.length)}),
    });
    raw.end(isBodiless ? undefined : response.body);
  };

  const getWhole = (): WholeResponse | undefined => {
    if (head === undefined || isStarted) return undefined;
    return {
      status: head.status,
      headers: makeResponseHeaders(head),
      body: Buffer.concat(held),
    };
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
      if (isStarted) {
        // The callback runs when the socket has taken the bytes, so a slow
        // caller holds back the credit of the side process.
        raw.write(data, () => release());
        return;
      }
      held.push(data);
      heldBytes += data.length;
      release();
      if (isEventStream || heldBytes > holdBytes) startStreaming();
    },
    hasDelivered: () => isStarted,
    reset: () => {
      head = undefined;
      held = [];
      heldBytes = 0;
    },
    complete: () => {
      if (raw.destroyed || raw.writableEnded) return;
      const whole = getWhole();
      if (whole !== undefined) sendWhole(whole);
      else raw.end();
    },
    fail: refusal => {
      if (raw.destroyed || raw.writableEnded) return;
      const body = JSON.stringify(renderErrorBody(refusal));
      if (!isStarted) {
        sendWhole({
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
      // The blank line ends an event that was cut off in the middle.
      raw.write(`\n\ndata: ${body}\n\n`, () => raw.destroy());
    },
    getWhole,
    sendWhole,
  };
}
