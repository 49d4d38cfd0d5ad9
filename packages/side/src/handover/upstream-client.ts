/** HTTP client of the upstream: each request is sent once, without retries. */
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {Either, Left, Right} from 'purify-ts';
import {rejectMalformedStatus} from '@siskinplank/http-exchange';
import type {NetworkAddress} from '@siskinplank/resources';
import {ENGINE_CALL_TIMEOUT_MS, MAX_DRAINED_BYTES} from '../constants';

/** A request that failed before its response head. */
export interface UpstreamFailure {
  /** Whether any part of the request may have reached the upstream. */
  isHandedOver: boolean;
  message: string;
}

/** A response whose body is read as a stream. */
export interface UpstreamResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: AsyncIterable<Uint8Array>;
  /**
   * Reads the body to its end so that its connection can be reused, or closes
   * the connection if the body is too long or takes too long.
   */
  drain(): Promise<void>;
}

/** A request to the upstream. */
export interface UpstreamRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array | undefined;
  idempotent: boolean;
  signal: AbortSignal;
}

/** HTTP client of one upstream. */
export interface UpstreamClient {
  send(
    request: UpstreamRequest,
  ): Promise<Either<UpstreamFailure, UpstreamResponse>>;
  /** Asks the engine to resume a generation at event `offset`. */
  resumeGeneration(
    id: string,
    offset: number,
    headers: Record<string, string>,
    signal: AbortSignal,
  ): Promise<Either<UpstreamFailure, UpstreamResponse>>;
  /** Asks the engine to stop a generation. */
  cancelGeneration(id: string): Promise<void>;
  close(): Promise<void>;
}

/** Calls `onStart` right before a request is written to its connection. */
function observeStart(
  handler: Dispatcher.DispatchHandler,
  onStart: () => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      onStart();
      handler.onRequestStart?.(controller, context);
    },
    onResponseStart: (...values) => handler.onResponseStart?.(...values),
    onResponseData: (...values) => handler.onResponseData?.(...values),
    onResponseEnd: (...values) => handler.onResponseEnd?.(...values),
    onResponseError: (...values) => handler.onResponseError?.(...values),
  };
}

/** Creates the client; `maxConnections` limits concurrent requests. */
export function createUpstreamClient(
  address: NetworkAddress,
  maxConnections: number,
): UpstreamClient {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  const origin = `http://${host}:${address.port}`;
  // The deadlines of attempts limit the waiting time, so no timeouts here.
  const common = {
    connections: maxConnections,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {timeout: ENGINE_CALL_TIMEOUT_MS},
  };
  const reusing = new Pool(origin, {...common, pipelining: 1});
  // A kept-alive connection may be closed just when a request is written to it,
  // and the outcome is then unknown. Non-idempotent requests therefore use new
  // connections.
  const fresh = new Pool(origin, {...common, pipelining: 0});

  const send = async (
    request: UpstreamRequest,
  ): Promise<Either<UpstreamFailure, UpstreamResponse>> => {
    let isHandedOver = false;
    const pool = request.idempotent ? reusing : fresh;
    const dispatcher = pool.compose(
      rejectMalformedStatus,
      dispatch => (options, handler) =>
        dispatch(
          options,
          observeStart(handler, () => {
            isHandedOver = true;
          }),
        ),
    );
    try {
      const response = await dispatcher.request({
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body,
        signal: request.signal,
        // Prevents undici from pipelining or retrying the request.
        idempotent: false,
      });
      return Right({
        status: response.statusCode,
        headers: response.headers,
        body: response.body,
        drain: () =>
          response.body
            .dump({
              limit: MAX_DRAINED_BYTES,
              signal: AbortSignal.timeout(ENGINE_CALL_TIMEOUT_MS),
            })
            .catch(() => undefined),
      });
    } catch (error) {
      return Left({isHandedOver, message: (error as Error).message});
    }
  };

  return {
    send,
    resumeGeneration: (id, offset, headers, signal) =>
      send({
        method: 'GET',
        path: `/v1/generations/${encodeURIComponent(id)}?offset=${offset}`,
        headers,
        body: undefined,
        idempotent: true,
        signal,
      }),
    cancelGeneration: async id => {
      const result = await send({
        method: 'DELETE',
        path: `/v1/generations/${encodeURIComponent(id)}`,
        headers: {},
        body: undefined,
        idempotent: true,
        signal: AbortSignal.timeout(ENGINE_CALL_TIMEOUT_MS),
      });
      await result
        .map(response => response.drain())
        .orDefault(Promise.resolve());
    },
    close: async () => {
      await Promise.all([reusing.destroy(), fresh.destroy()]);
    },
  };
}
