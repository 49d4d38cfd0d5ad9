/** Schemas of the messages between gateways. */
import {z} from 'zod';
import {MessageType} from './enums';

const countSchema = z.int().min(0);
const amountSchema = z.number().min(0);

/**
 * What one gateway has open, wants and may spend; sent to all others several
 * times a second. Each message replaces the one before. Tuples keep it small.
 */
export const gatewayStateSchema = z.strictObject({
  type: z.literal(MessageType.GatewayState),
  /** Rises with each message of one incarnation. */
  sequence: countSchema,
  isLeaving: z.boolean(),
  /** Revision up to which the sender knows the registered gateways. */
  directoryRevision: countSchema,
  /** Highest fencing token of orders that the sender knows. */
  orderToken: countSchema,
  /** Whether the sender gives the orders, under that token. */
  isOrdering: z.boolean(),
  /**
   * By upstream, and in it by model or `model/adapter`: open requests, prompt
   * tokens of those without a first event, and tokens of all of them.
   */
  open: z.record(
    z.string(),
    z.record(z.string(), z.tuple([countSchema, amountSchema, amountSchema])),
  ),
  /**
   * By model: requests since the start of the process, requests that wait for
   * an upstream with it, and the age of the oldest of them in milliseconds.
   */
  demand: z.record(
    z.string(),
    z.tuple([countSchema, countSchema, amountSchema]),
  ),
  /** By client account: tokens that the sender holds, and tokens it needs. */
  accounts: z.record(z.string(), z.tuple([z.number(), amountSchema])),
  /** Weight of the faults seen in the last seconds, by upstream. */
  faults: z.record(z.string(), amountSchema),
  /**
   * Upstreams that leave or are gone, each with the time of its start and the
   * revision of the store that told so.
   */
  leaving: z.array(z.tuple([z.string(), z.number(), countSchema])),
});

/** Hands tokens of client accounts over to the receiver. */
export const tokenDonationSchema = z.strictObject({
  type: z.literal(MessageType.TokenDonation),
  tokens: z.record(z.string(), amountSchema),
});

const heldModelSchema = z.tuple([z.string(), countSchema, z.array(z.string())]);

/** Loads of upstreams, as the gateway that gives orders has read them. */
export const upstreamLoadsSchema = z.strictObject({
  type: z.literal(MessageType.UpstreamLoads),
  orderToken: countSchema,
  loads: z.record(
    z.string(),
    z.strictObject({
      /** Start of the upstream that reported. */
      startedAtMs: z.number(),
      queued: countSchema,
      running: countSchema,
      usedCacheTokens: amountSchema,
      /** Name, version and adapters of each model. */
      models: z.array(heldModelSchema),
      /** Model that is being loaded or removed, and the time until it is done. */
      changing: z.string().optional(),
      changeEndsInMs: amountSchema.optional(),
    }),
  ),
  /** Models that no upstream will hold soon, with the time until one may. */
  unavailable: z.record(z.string(), amountSchema),
});

/** Asks the gateway that gives orders to load an adapter at an upstream. */
export const adapterRequestSchema = z.strictObject({
  type: z.literal(MessageType.AdapterRequest),
  requestId: z.string(),
  upstream: z.string(),
  model: z.string(),
  adapter: z.string(),
});

/** Answers an `AdapterRequest`. */
export const adapterReplySchema = z.strictObject({
  type: z.literal(MessageType.AdapterReply),
  requestId: z.string(),
  /** Time until the adapter is present; absent when it cannot be loaded. */
  readyInMs: amountSchema.optional(),
});
