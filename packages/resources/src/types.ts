/** Enums and schemas of the objects stored in the platform's object API. */
import {z} from 'zod';

/** Kinds of stored objects. */
export enum ResourceKind {
  ClientAccount = 'ClientAccount',
  ApiKey = 'ApiKey',
  Model = 'Model',
  Adapter = 'Adapter',
  Upstream = 'Upstream',
  Route = 'Route',
  Placement = 'Placement',
  OperatorCredential = 'OperatorCredential',
  AuditRecord = 'AuditRecord',
  Lease = 'Lease',
  ShareTable = 'ShareTable',
  Claim = 'Claim',
  ClaimSweep = 'ClaimSweep',
  OrderIntent = 'OrderIntent',
  OrderReserve = 'OrderReserve',
}

/** Kinds that every process replicates. */
export const CONFIGURATION_KINDS = [
  ResourceKind.ClientAccount,
  ResourceKind.ApiKey,
  ResourceKind.Model,
  ResourceKind.Adapter,
  ResourceKind.Upstream,
  ResourceKind.Route,
  ResourceKind.Placement,
  ResourceKind.OperatorCredential,
] as const;

/** One of the replicated kinds. */
export type ConfigurationKind = (typeof CONFIGURATION_KINDS)[number];

/** Whether a refused request was executed. */
export enum RunState {
  NotRun = 'not-run',
  Ran = 'ran',
  Unknown = 'unknown',
}

/** Machine-readable reasons for a refusal. */
export enum RefusalCode {
  InvalidRequest = 'invalid_request',
  BodyTooLarge = 'body_too_large',
  InvalidKey = 'invalid_api_key',
  KeyWithdrawn = 'api_key_withdrawn',
  ModelNotFound = 'model_not_found',
  RouteNotFound = 'route_not_found',
  NotPermitted = 'not_permitted',
  RateLimited = 'rate_limit_exceeded',
  TooLargeForBurst = 'request_exceeds_burst',
  DeadlineExceeded = 'deadline_exceeded',
  Overloaded = 'overloaded',
  Draining = 'draining',
  NoUpstream = 'no_upstream',
  UpstreamFailed = 'upstream_failed',
  LinkLost = 'link_lost',
  ConfigurationStale = 'configuration_stale',
  PlatformUnavailable = 'platform_unavailable',
  ClaimInProgress = 'idempotency_in_progress',
  ClaimMismatch = 'idempotency_body_mismatch',
  ClaimUnresolved = 'idempotency_outcome_unknown',
  /** Upstreams ended under the request. */
  PoisonedRequest = 'poisoned_request',
  Cancelled = 'cancelled',
}

/** Urgency of a request. */
export enum PriorityClass {
  /** Interactive: the caller waits for the response. */
  Awaited = 'awaited',
  /** Batch: the response is collected later. */
  Overnight = 'overnight',
}

/** Kind of server that an upstream is. */
export enum UpstreamType {
  /** Serves models. */
  Engine = 'engine',
  /** Plain HTTP service, reached by routes. */
  Service = 'service',
}

/** Whether an upstream accepts new requests. */
export enum UpstreamState {
  Active = 'active',
  /** Draining: open requests finish, new ones go elsewhere. */
  Leaving = 'leaving',
}

/** Who may call a route. */
export enum RouteAccess {
  /** Anyone, without a key. */
  Open = 'open',
  /** Callers with a valid key. */
  Keyed = 'keyed',
}

/** What an operator may do. */
export enum OperatorRole {
  Admin = 'admin',
  Viewer = 'viewer',
}

/** Progress of an idempotency claim. */
export enum ClaimState {
  Claimed = 'claimed',
  Completed = 'completed',
  /** The request was abandoned before it ran; it may be claimed again. */
  Released = 'released',
  Unknown = 'unknown',
}

const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]{0,126}[a-z0-9])?$/;
const nameSchema = z.string().regex(NAME_PATTERN);
/** Model and adapter names may contain slashes and capitals. */
const modelNameSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$/);
const addressSchema = z.strictObject({
  host: z.string().min(1),
  port: z.int().min(1).max(65535),
});

/** A client account; its token rate and burst apply to all hosts together. */
export const clientAccountSchema = z.strictObject({
  name: nameSchema,
  displayName: z.string().max(200).default(''),
  rateTokensPerSecond: z.number().positive(),
  burstTokens: z.number().positive(),
  /** Weight in the fair queue of each upstream. */
  weight: z.number().positive().max(1000).default(1),
  /** Names of allowed models and adapters; `*` allows all. */
  models: z.array(z.string()).default(['*']),
});

/** A caller key, stored as a keyed hash. Its name is the public key id. */
export const apiKeySchema = z.strictObject({
  name: nameSchema,
  account: nameSchema,
  secretHash: z.string().regex(/^[0-9a-f]{64}$/),
  createdAtMs: z.number(),
  expiresAtMs: z.number().optional(),
  withdrawnAtMs: z.number().optional(),
});

/** A model with its memory need and replica settings. */
export const modelSchema = z.strictObject({
  name: modelNameSchema,
  version: z.string().min(1).max(64).default('1'),
  memoryMiB: z.int().positive(),
  /** Upstreams that may load it; empty means any engine. */
  upstreams: z.array(nameSchema).default([]),
  /** Replicas that placement keeps loaded when memory allows. */
  minReplicas: z.int().min(0).max(1000).default(0),
  /** Largest completion in tokens; also the tokens reserved by default. */
  maxTokens: z.int().positive().default(256),
});

/** An adapter of a model; callers request it like a model, by its name. */
export const adapterSchema = z.strictObject({
  name: modelNameSchema,
  model: modelNameSchema,
  version: z.string().min(1).max(64).default('1'),
  memoryMiB: z.int().positive(),
});

/** A model engine or plain service with its side process. */
export const upstreamSchema = z.strictObject({
  name: nameSchema,
  type: z.enum(UpstreamType),
  /** Address of the engine or service, reached by its side process only. */
  address: addressSchema,
  /** Link address of the side process. */
  side: addressSchema,
  failureDomain: nameSchema,
  region: nameSchema.default('default'),
  accelerators: z.int().min(0).default(1),
  memoryMiB: z.int().min(0).default(0),
  /** Whether the upstream rejects orders with an outdated fencing token. */
  checksFencing: z.boolean().default(true),
  /** Largest number of requests that the side process sends concurrently. */
  maxConcurrency: z.int().positive().default(16),
  state: z.enum(UpstreamState).default(UpstreamState.Active),
});

/** A route to plain services, matched by method and path pattern. */
export const routeSchema = z.strictObject({
  name: nameSchema,
  methods: z.array(z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
  /** Path pattern: `:name` matches a segment, a final `*` the rest. */
  path: z.string().startsWith('/'),
  access: z.enum(RouteAccess),
  /** Whether requests may be retried after they may have been executed. */
  idempotent: z.boolean().default(false),
  upstreams: z.array(nameSchema).min(1),
  /** Tokens charged to the client account for each request. */
  costTokens: z.number().min(0).default(1),
});

/** What an upstream should have loaded, decided by the placement owner. */
export const placementSchema = z.strictObject({
  name: nameSchema,
  epoch: z.int().min(0),
  models: z.array(z.strictObject({name: modelNameSchema, version: z.string()})),
  adapters: z.array(
    z.strictObject({name: modelNameSchema, version: z.string()}),
  ),
});

/** An operator; the token is stored as a keyed hash. */
export const operatorCredentialSchema = z.strictObject({
  name: nameSchema,
  role: z.enum(OperatorRole),
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
});

/** Record of one accepted configuration change. */
export const auditRecordSchema = z.strictObject({
  name: z.string(),
  operator: z.string(),
  action: z.string(),
  kind: z.string(),
  target: z.string(),
  version: z.int(),
  atMs: z.number(),
});

/** A lease with its epoch, which serves as the fencing token. */
export const leaseSchema = z.strictObject({
  name: z.string(),
  /** Process name and incarnation of the holder; empty when released. */
  holder: z.string(),
  epoch: z.int().min(0),
  durationMs: z.number().positive(),
  /** Incremented at each renewal, so that observers see the holder is alive. */
  renewal: z.int().min(0),
});

/** Holder of each share unit of every account's rate and burst. */
export const shareTableSchema = z.strictObject({
  name: z.string(),
  leaseMs: z.number().positive(),
  holders: z.array(
    z.strictObject({
      /** Entry host name. */
      host: z.string(),
      incarnation: z.string(),
      renewal: z.int().min(0),
      units: z.array(z.int().min(0)),
      /**
       * Longest duration of a loan granted by the holder, in milliseconds;
       * absent when it is at most `limits.loanMs`.
       */
      loanMs: z.number().positive().optional(),
    }),
  ),
  unitCount: z.int().positive(),
});

/** A claim on one idempotency key of one client account. */
export const claimSchema = z.strictObject({
  name: z.string(),
  account: z.string(),
  bodyHash: z.string(),
  nonce: z.string(),
  claimant: z.string(),
  state: z.enum(ClaimState),
  createdAtMs: z.number(),
  /** Response of a completed request; the body is base64-encoded. */
  response: z
    .strictObject({
      status: z.int(),
      contentType: z.string(),
      body: z.string(),
      truncated: z.boolean().default(false),
    })
    .optional(),
});

/**
 * Progress of the deletion of old claims in one shard of the claim names. A
 * claim whose version is at most the revision of a mark was last changed at
 * least `ageMs` milliseconds before this object was written.
 */
export const claimSweepSchema = z.strictObject({
  name: z.string(),
  /** Process name and incarnation of the last writer. */
  holder: z.string(),
  /** Name after which the current pass continues; empty between passes. */
  cursor: z.string(),
  /** In ascending order of revision and descending order of age. */
  marks: z
    .array(z.strictObject({revision: z.int().min(0), ageMs: z.number().min(0)}))
    .max(64),
});

/** An order that a side process is about to send to its engine. */
export const orderIntentSchema = z.strictObject({
  name: z.string(),
  upstream: z.string(),
  epoch: z.int(),
  orderId: z.string(),
  type: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  version: z.string(),
  memoryMiB: z.int(),
});

/**
 * Order ids of one upstream, reserved for orders of any content that are sent
 * to its engine while the platform is down.
 */
export const orderReserveSchema = z.strictObject({
  /** Name of the upstream. */
  name: z.string(),
  epoch: z.int(),
  orderIds: z.array(z.string()),
});

/** Schema of each kind. */
export const RESOURCE_SCHEMAS = {
  [ResourceKind.ClientAccount]: clientAccountSchema,
  [ResourceKind.ApiKey]: apiKeySchema,
  [ResourceKind.Model]: modelSchema,
  [ResourceKind.Adapter]: adapterSchema,
  [ResourceKind.Upstream]: upstreamSchema,
  [ResourceKind.Route]: routeSchema,
  [ResourceKind.Placement]: placementSchema,
  [ResourceKind.OperatorCredential]: operatorCredentialSchema,
  [ResourceKind.AuditRecord]: auditRecordSchema,
  [ResourceKind.Lease]: leaseSchema,
  [ResourceKind.ShareTable]: shareTableSchema,
  [ResourceKind.Claim]: claimSchema,
  [ResourceKind.ClaimSweep]: claimSweepSchema,
  [ResourceKind.OrderIntent]: orderIntentSchema,
  [ResourceKind.OrderReserve]: orderReserveSchema,
} as const;

/** Value type of a kind. */
export type ResourceValue<K extends ResourceKind> = z.output<
  (typeof RESOURCE_SCHEMAS)[K]
>;

export type ClientAccount = ResourceValue<ResourceKind.ClientAccount>;
export type ApiKey = ResourceValue<ResourceKind.ApiKey>;
export type Model = ResourceValue<ResourceKind.Model>;
export type Adapter = ResourceValue<ResourceKind.Adapter>;
export type Upstream = ResourceValue<ResourceKind.Upstream>;
export type Route = ResourceValue<ResourceKind.Route>;
export type Placement = ResourceValue<ResourceKind.Placement>;
export type OperatorCredential = ResourceValue<ResourceKind.OperatorCredential>;
export type AuditRecord = ResourceValue<ResourceKind.AuditRecord>;
export type Lease = ResourceValue<ResourceKind.Lease>;
export type ShareTable = ResourceValue<ResourceKind.ShareTable>;
export type Claim = ResourceValue<ResourceKind.Claim>;
export type ClaimSweep = ResourceValue<ResourceKind.ClaimSweep>;
export type OrderIntent = ResourceValue<ResourceKind.OrderIntent>;

/** IP address or host name, and port, of a process. */
export type NetworkAddress = z.output<typeof addressSchema>;

/** An object; `version` is the revision of its last change. */
export interface StoredObject<K extends ResourceKind = ResourceKind> {
  kind: K;
  name: string;
  version: number;
  value: ResourceValue<K>;
}
