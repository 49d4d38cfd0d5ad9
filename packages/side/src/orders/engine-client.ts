/** Control calls to an engine: status, orders and cache events. */
import {Pool} from 'undici';
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {rejectMalformedStatus} from '@siskinplank/http-exchange';
import type {NetworkAddress} from '@siskinplank/resources';
import {
  createByteAccumulator,
  parseJson,
  readStream,
} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {
  ENGINE_CALL_TIMEOUT_MS,
  MAX_DRAINED_BYTES,
  MAX_ENGINE_REPLY_BYTES,
  UPSTREAM_SOURCE,
} from '../constants';
import {ContentState} from '../memory/types';
import type {EngineStatus, Order} from '../memory/types';

/** Result of sending an order to an engine. */
export enum OrderAnswer {
  Accepted = 'accepted',
  /** The engine has a newer fencing token. */
  Fenced = 'fenced',
  Rejected = 'rejected',
  /** No reply, so the order may or may not have arrived. */
  Unknown = 'unknown',
}

const memorySchema = z.number().min(0);
const statusSchema = z.object({
  totalMemoryMiB: memorySchema,
  usedMemoryMiB: memorySchema,
  models: z.array(
    z.object({
      name: z.string(),
      version: z.string(),
      state: z.enum(ContentState),
      memoryMiB: memorySchema,
    }),
  ),
  adapters: z.array(
    z.object({
      name: z.string(),
      model: z.string(),
      state: z.enum(ContentState),
      memoryMiB: memorySchema,
    }),
  ),
  reportedAtMs: z.number(),
  generation: z.union([z.string(), z.number()]),
  role: z.string().optional(),
  completedOrders: z.array(z.object({orderId: z.string()})).optional(),
});

const cacheEventsSchema = z.object({
  next: z.int().min(0),
  events: z.array(
    z.object({
      sequence: z.int().min(0),
      type: z.enum(['stored', 'removed']),
      prefixHash: z.string(),
    }),
  ),
});

/** A batch of cache events. */
export type CacheEvents = z.output<typeof cacheEventsSchema>;

/** Control calls to one engine. */
export interface EngineClient {
  fetchStatus(): Promise<Either<string, EngineStatus>>;
  sendOrder(order: Order, fencing: number): Promise<OrderAnswer>;
  /** Sends a no-op order: sets the role that the engine already has. */
  sendRole(
    orderId: string,
    role: string | undefined,
    fencing: number,
  ): Promise<OrderAnswer>;
  fetchCacheEvents(from: number): Promise<Either<string, CacheEvents>>;
  close(): Promise<void>;
}

/** Enough for a burst of adapter loads in addition to status calls. */
const CONNECTIONS = 8;

/** Creates the control client of the engine at `address`. */
export function createEngineClient(
  address: NetworkAddress,
  receiveBudget: ReceiveBudget,
): EngineClient {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  const pool = new Pool(`http://${host}:${address.port}`, {
    connections: CONNECTIONS,
    pipelining: 1,
    headersTimeout: ENGINE_CALL_TIMEOUT_MS,
    bodyTimeout: ENGINE_CALL_TIMEOUT_MS,
    connect: {timeout: ENGINE_CALL_TIMEOUT_MS},
  });
  const dispatcher = pool.compose(rejectMalformedStatus);

  /** Limits a call as a whole; the pool limits the time between two reads. */
  const makeSignal = (): AbortSignal =>
    AbortSignal.timeout(ENGINE_CALL_TIMEOUT_MS);

  const readJson = async (
    body: AsyncIterable<Uint8Array>,
  ): Promise<Either<string, unknown>> => {
    const accumulator = createByteAccumulator({
      maxBytes: MAX_ENGINE_REPLY_BYTES,
      // An evicted reply fails with its next bytes or at its end.
      reservation: receiveBudget.open(UPSTREAM_SOURCE, () => undefined),
    });
    const read = await readStream(body, accumulator);
    return read
      .mapLeft((fault): string => `reply: ${fault}`)
      .chain(bytes => parseJson(bytes.toString('utf8')));
  };

  const fetchJson = async <T>(
    path: string,
    schema: z.ZodType<T>,
  ): Promise<Either<string, T>> => {
    try {
      const response = await dispatcher.request({
        path,
        method: 'GET',
        signal: makeSignal(),
      });
      if (response.statusCode !== 200) {
        await response.body.dump({limit: MAX_DRAINED_BYTES});
        return Left(`status ${response.statusCode}`);
      }
      const value = await readJson(response.body);
      return value.chain(json => {
        const parsed = schema.safeParse(json);
        return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
      });
    } catch (error) {
      return Left((error as Error).message);
    }
  };

  const postOrder = async (body: object): Promise<OrderAnswer> => {
    try {
      const response = await dispatcher.request({
        path: '/orders',
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
        idempotent: false,
        signal: makeSignal(),
      });
      await response.body.dump({limit: MAX_DRAINED_BYTES});
      const {statusCode} = response;
      if (statusCode >= 200 && statusCode < 300) return OrderAnswer.Accepted;
      if (statusCode === 409) return OrderAnswer.Fenced;
      if (statusCode < 500) return OrderAnswer.Rejected;
      return OrderAnswer.Unknown;
    } catch {
      return OrderAnswer.Unknown;
    }
  };

  return {
    fetchStatus: () => fetchJson('/status', statusSchema),
    fetchCacheEvents: from =>
      fetchJson(`/cache-events?from=${from}`, cacheEventsSchema),
    sendOrder: ({orderId, type, model, adapter, version}, fencing) =>
      postOrder({orderId, fencing, type, model, adapter, version}),
    sendRole: (orderId, role, fencing) =>
      postOrder({orderId, fencing, type: 'set-role', role}),
    close: () => pool.destroy(),
  };
}
