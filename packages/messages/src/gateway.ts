/** Schemas of the messages between gateways. */
import {z} from 'zod';
import {listOf, mapOf} from './collections';
import {MessageType, TokenOutcome} from './enums';

const countSchema = z.int().min(0);
const amountSchema = z.number().min(0);
const partsSchema = listOf(z.string(), 8);

/** Evidence about prompt parts and requests that end upstreams. */
const poisonReportSchema = z.strictObject({
  /**
   * Upstreams that ended, how long ago, and the unproven prompt parts of each
   * request that the sender had open there without an answer: of those whose
   * responses had begun and of those that waited.
   */
  endings: listOf(
    z.tuple([
      z.string(),
      amountSchema,
      listOf(partsSchema, 16),
      listOf(partsSchema, 16),
    ]),
  ),
  /** Parts that a gateway suspects and the sender saw answered. */
  sound: listOf(z.string()),
  /** Blamed parts, episode, whether it is lifted, time until the test. */
  blames: listOf(
    z.tuple([partsSchema, countSchema, z.boolean(), amountSchema]),
  ),
  /**
   * By fingerprint of a request: upstreams that ended before they answered it,
   * how long ago, whether they had just begun to answer, and whether it was
   * sent there since another one ended; the age of its last answer, or -1.
   */
  deadlyRequests: listOf(
    z.tuple([
      z.string().max(64),
      listOf(z.tuple([z.string(), amountSchema, z.boolean(), z.boolean()]), 8),
      z.number().min(-1),
    ]),
    32,
  ),
});

/**
 * Open requests and demand of one gateway; sent to all others
 * several times a second. Each message replaces the previous one. Tuples keep
 * it small.
 */
export const gatewayStateSchema = z.strictObject({
  type: z.literal(MessageType.GatewayState),
  /** Rises with each message of one incarnation. */
  sequence: countSchema,
  isLeaving: z.boolean(),
  /** Revision up to which the sender knows the registered gateways. */
  directoryRevision: countSchema,
  /**
   * Gateways that the sender counts, itself included; a gateway that started
   * after the store was restored may not know all of them.
   */
  memberCount: countSchema,
  /** Version of the configuration in force at the sender; 0 if none is. */
  configurationVersion: amountSchema,
  /** Highest fencing token of the order lease that the sender knows. */
  orderToken: countSchema,
  /** Whether the sender is the order leader, under that token. */
  isOrdering: z.boolean(),
  /**
   * By upstream, and in it by model or `model/adapter`: open requests, prompt
   * tokens of those without a first response event, and tokens of all.
   */
  open: mapOf(mapOf(z.tuple([countSchema, amountSchema, amountSchema]))),
  /**
   * By model: requests since the start of the process, requests that wait for
   * an upstream with the model, and the longest wait in milliseconds.
   */
  demand: mapOf(z.tuple([countSchema, countSchema, amountSchema])),
  /**
   * By model, and in it by software version: streams that wait for a load of
   * the model at the version that began them.
   */
  waitingStreams: mapOf(mapOf(countSchema)),
  /**
   * Processor time of the sender's host in cores; 0 if it may not pool the
   * tokens of client accounts.
   */
  poolCapacity: amountSchema,
  /** Score of recent faults, by upstream. */
  faults: mapOf(amountSchema),
  /**
   * Upstreams that are leaving or were removed, each with the time of its start,
   * the store's revision and era at which that was known, and whether it never
   * becomes ready again.
   */
  leaving: listOf(
    z.tuple([z.string(), z.number(), countSchema, countSchema, z.boolean()]),
  ),
  poison: poisonReportSchema,
  /**
   * By incarnation of an upstream: the requests a second that it named as its
   * limit, or -1 if it names none any more, and the age of that information.
   */
  limits: mapOf(z.tuple([z.number().min(-1), amountSchema])),
  /** Units of such limits that the sender needs. */
  unitNeeds: mapOf(countSchema),
});

/** Asks the home of a client account for the tokens of one request. */
export const tokenRequestSchema = z.strictObject({
  type: z.literal(MessageType.TokenRequest),
  /** Unique at the sender; a request that asks again keeps it. */
  requestId: countSchema,
  account: z.string(),
  tokens: amountSchema,
  /** Further tokens that the sender is likely to spend soon. */
  wantedTokens: amountSchema,
  /** Longest time for which the request may still wait. */
  patienceMs: amountSchema,
});

/** Reply to a `TokenRequest`; transfers the tokens that it grants. */
export const tokenGrantSchema = z.strictObject({
  type: z.literal(MessageType.TokenGrant),
  requestId: countSchema,
  account: z.string(),
  outcome: z.enum(TokenOutcome),
  /** Tokens granted, at least those of the request; else 0. */
  tokens: amountSchema,
  /** Time until the account may have the tokens. */
  waitMs: amountSchema,
});

/** Transfers tokens to the home of their accounts. */
export const tokenReturnSchema = z.strictObject({
  type: z.literal(MessageType.TokenReturn),
  tokens: mapOf(amountSchema),
});

/** Lends units of limits that upstreams name, or returns them. */
export const unitTransferSchema = z.strictObject({
  type: z.literal(MessageType.UnitTransfer),
  /** By incarnation of an upstream. */
  units: mapOf(countSchema),
});

const residentModelSchema = z.tuple([
  z.string(),
  countSchema,
  listOf(z.string()),
]);

/** Loads of upstreams, as read by the order leader. */
export const upstreamLoadsSchema = z.strictObject({
  type: z.literal(MessageType.UpstreamLoads),
  orderToken: countSchema,
  loads: mapOf(
    z.strictObject({
      /** Start of the upstream that reported. */
      startedAtMs: z.number(),
      queued: countSchema,
      running: countSchema,
      usedCacheTokens: amountSchema,
      /** Name, version and adapters of each model. */
      models: listOf(residentModelSchema),
      /** Model being loaded or unloaded, and the time until that is done. */
      changing: z.string().optional(),
      changeEndsInMs: amountSchema.optional(),
      /** Load times of models whose weights it has, in milliseconds. */
      warmLoadMs: mapOf(amountSchema).optional(),
    }),
  ),
  /** Models that no upstream will hold soon, with the time until one may. */
  unavailable: mapOf(amountSchema),
});

/** Asks the order leader to load an adapter at an upstream. */
export const adapterRequestSchema = z.strictObject({
  type: z.literal(MessageType.AdapterRequest),
  requestId: z.string(),
  upstream: z.string(),
  model: z.string(),
  adapter: z.string(),
});

/** Reply to an `AdapterRequest`. */
export const adapterReplySchema = z.strictObject({
  type: z.literal(MessageType.AdapterReply),
  requestId: z.string(),
  /** Time until the adapter is present; absent when it cannot be loaded. */
  readyInMs: amountSchema.optional(),
});

const nameSchema = z.string().max(256);

/** Streams that callers may resume, and the versions that served lately. */
export const streamOriginsSchema = z.strictObject({
  type: z.literal(MessageType.StreamOrigins),
  /** By service and version: how long ago the version was last seen. */
  versions: mapOf(mapOf(amountSchema)),
  /**
   * Attempts by service and software version whose streams the sender began or
   * resumed.
   */
  origins: mapOf(mapOf(listOf(nameSchema, 20_000))),
  /** The same, of an earlier process of the receiver's host. */
  formerOrigins: mapOf(mapOf(listOf(nameSchema, 20_000))),
});
