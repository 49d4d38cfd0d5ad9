/** Schemas and types of the messages between the system's processes. */
import {z} from 'zod';
import {isFinalStatus} from '@siskinplank/foundation';
import {listOf, mapOf} from './collections';
import {PriorityClass, RefusalCode, RunState} from '@siskinplank/resources';
import {
  AttemptState,
  FreshnessState,
  GrantOutcome,
  MemberState,
  MessageType,
  ProcessRole,
  TargetType,
} from './enums';
import {
  adapterReplySchema,
  adapterRequestSchema,
  gatewayStateSchema,
  streamOriginsSchema,
  tokenGrantSchema,
  tokenRequestSchema,
  tokenReturnSchema,
  unitTransferSchema,
  upstreamLoadsSchema,
} from './gateway';

const bytesSchema = z.instanceof(Uint8Array);
const attemptIdSchema = z.string().min(1).max(64);
const countSchema = z.int().min(0);
const headersSchema = mapOf(z.string());

/** The model or route that a request is for. */
export const targetSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal(TargetType.Model),
    /** Base model. */
    model: z.string(),
    adapter: z.string().optional(),
  }),
  z.strictObject({type: z.literal(TargetType.Route), route: z.string()}),
]);

/** Token counts of a finished generation. */
export const usageSchema = z.strictObject({
  promptTokens: countSchema,
  completionTokens: countSchema,
});

const requestOpenSchema = z.strictObject({
  type: z.literal(MessageType.RequestOpen),
  /**
   * Unique for each attempt, over all entry hosts and for all time; the
   * generation id.
   */
  attemptId: attemptIdSchema,
  /** The same for all attempts of one caller request. */
  requestId: z.string().min(1).max(64),
  /** Opaque name of the client account; never its key. */
  accountTag: z.string(),
  accountWeight: z.number().positive(),
  target: targetSchema,
  method: z.string(),
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  priority: z.enum(PriorityClass),
  /** Time left until the caller's deadline, in milliseconds. */
  deadlineMs: z.number().positive(),
  /** Estimated tokens, for the fair queue. */
  estimatedTokens: z.number().min(0),
  idempotent: z.boolean(),
  traceparent: z.string(),
  /** Bytes that the side process may send before more credit arrives. */
  credit: countSchema,
  /** Times that a side process may still redirect the request. */
  hopsLeft: countSchema,
});

const responseHeadSchema = z.strictObject({
  type: z.literal(MessageType.ResponseHead),
  attemptId: attemptIdSchema,
  sideIncarnation: z.string(),
  status: z.int().refine(isFinalStatus, 'not a final status'),
  headers: headersSchema,
});

const responseChunkSchema = z.strictObject({
  type: z.literal(MessageType.ResponseChunk),
  attemptId: attemptIdSchema,
  /** Numbered from 0 in each attempt. */
  sequence: countSchema,
  data: bytesSchema,
});

const responseEndSchema = z.strictObject({
  type: z.literal(MessageType.ResponseEnd),
  attemptId: attemptIdSchema,
  chunkCount: countSchema,
  byteCount: countSchema,
  usage: usageSchema.optional(),
  /** Set when the upstream ended the response early; it is incomplete. */
  error: z.string().optional(),
});

const refusedSchema = z.strictObject({
  type: z.literal(MessageType.Refused),
  attemptId: attemptIdSchema,
  code: z.enum(RefusalCode),
  runState: z.enum(RunState),
  message: z.string(),
  retryAfterMs: z.number().min(0).optional(),
  /** Upstream that the side process suggests instead. */
  redirect: z.string().optional(),
});

const creditSchema = z.strictObject({
  type: z.literal(MessageType.Credit),
  attemptId: attemptIdSchema,
  bytes: z.int().positive(),
});

const cancelSchema = z.strictObject({
  type: z.literal(MessageType.Cancel),
  attemptId: attemptIdSchema,
});

const resumeSchema = z.strictObject({
  type: z.literal(MessageType.Resume),
  attemptId: attemptIdSchema,
  nextSequence: countSchema,
  credit: countSchema,
});

const attemptQuerySchema = z.strictObject({
  type: z.literal(MessageType.AttemptQuery),
  attemptId: attemptIdSchema,
});

const attemptStatusSchema = z.strictObject({
  type: z.literal(MessageType.AttemptStatus),
  attemptId: attemptIdSchema,
  sideIncarnation: z.string(),
  state: z.enum(AttemptState),
});

/** Load of one upstream, as measured by its side process. */
export const loadSummarySchema = z.strictObject({
  upstream: z.string(),
  sequence: countSchema,
  state: z.enum(MemberState),
  queuedRequests: countSchema,
  queuedTokens: z.number().min(0),
  running: countSchema,
  maxConcurrency: countSchema,
  freeMemoryMiB: z.number(),
  models: listOf(z.string()),
  loadingModels: listOf(z.string()),
  adapters: listOf(z.string()),
  /** Arriving tokens per second by model or adapter name. */
  demand: mapOf(z.number().min(0)),
  /** Hashes of prompt prefixes that the engine probably caches. */
  cachedPrefixes: listOf(z.string(), 256),
});

const loadReportSchema = z.strictObject({
  type: z.literal(MessageType.LoadReport),
  load: loadSummarySchema,
});

/** Changes since the previous report on the same link. */
const loadUpdateSchema = z.strictObject({
  type: z.literal(MessageType.LoadUpdate),
  upstream: z.string(),
  sequence: countSchema,
  state: z.enum(MemberState),
  queuedRequests: countSchema,
  queuedTokens: z.number().min(0),
  running: countSchema,
  freeMemoryMiB: z.number(),
  /** Absent when unchanged. */
  demand: mapOf(z.number().min(0)).optional(),
  addedPrefixes: listOf(z.string(), 256).optional(),
  removedPrefixes: listOf(z.string(), 256).optional(),
});

/** Asks a side process for a full report now and fewer reports later. */
const loadSubscribeSchema = z.strictObject({
  type: z.literal(MessageType.LoadSubscribe),
  /** Time between reports while the link carries no requests. */
  quietPeriodMs: z.number().positive(),
});

/** Requests in one `UpstreamEnded`. */
export const MAX_ENDED_REQUESTS = 64;

const requestKeySchema = z.string().min(1).max(64);

/** Reports that an upstream ended before it answered some requests. */
const upstreamEndedSchema = z.strictObject({
  type: z.literal(MessageType.UpstreamEnded),
  upstream: z.string(),
  /** Identifies the end, so that it counts once. */
  endId: z.string().min(1).max(64),
  /** Key of each request, and for how long the upstream had it. */
  requests: listOf(
    z.tuple([requestKeySchema, z.number().min(0)]),
    MAX_ENDED_REQUESTS,
  ),
});

/**
 * Reports that an upstream answered a request under which others had ended. The
 * side process of that upstream forwards it to the other entry processes.
 */
const requestAnsweredSchema = z.strictObject({
  type: z.literal(MessageType.RequestAnswered),
  requestKey: requestKeySchema,
});

const freshnessSchema = z.strictObject({
  state: z.enum(FreshnessState),
  /** Time since the last confirmation, in milliseconds. */
  ageMs: z.number().min(0),
});

/**
 * Clock readings from which the receiver computes the age of a message on its
 * own clock, also if the message was buffered while a process was suspended.
 */
export const clockStampSchema = z.strictObject({
  /** Monotonic time of the sender when it sent the message. */
  sentMs: z.number(),
  /** Last `sentMs` that the sender received on this link. */
  echoMs: z.number().optional(),
});

const ageSchema = z.number().min(0);

/**
 * Reports of watchers that cannot reach the platform, and the failure domains
 * that must report before an outage is confirmed. Tuples keep the message
 * small: while the platform is down, it is sent to all children every second.
 * All ages are in milliseconds; a process that forwards a report adds the time
 * since the report was sent.
 */
export const outageReportsSchema = z.strictObject({
  /** Region, failure domain, time since it was known to have live processes. */
  domains: listOf(z.tuple([z.string(), z.string(), ageSchema]), 256),
  /** Index into `domains`, reporter, time since its last failed call. */
  reports: z
    .array(z.tuple([z.int().min(0).max(255), z.string(), ageSchema]))
    .max(256),
});

const configDigestSchema = z.strictObject({
  type: z.literal(MessageType.ConfigDigest),
  revision: countSchema,
  freshness: freshnessSchema,
  stamp: clockStampSchema.optional(),
  outage: outageReportsSchema.optional(),
  /** Whether the sender watches the platform itself. */
  isWatcher: z.boolean(),
  /** Set when the sender wants a reply; replies and pushes get none. */
  wantsReply: z.boolean().optional(),
});

const configFetchSchema = z.strictObject({
  type: z.literal(MessageType.ConfigFetch),
  fromRevision: countSchema,
});

/** An object of a replica, or its removal. */
export const configEntrySchema = z.strictObject({
  kind: z.string(),
  name: z.string(),
  version: countSchema,
  /** Absent for a removed object. */
  value: z.unknown().optional(),
});

const configDeltaSchema = z.strictObject({
  type: z.literal(MessageType.ConfigDelta),
  /** The delta is complete from this revision on; 0 means a full copy. */
  fromRevision: countSchema,
  revision: countSchema,
  freshness: freshnessSchema,
  stamp: clockStampSchema.optional(),
  outage: outageReportsSchema.optional(),
  isWatcher: z.boolean(),
  entries: listOf(configEntrySchema),
});

/** A process in the membership. */
export const memberSchema = z.strictObject({
  name: z.string(),
  incarnation: z.string(),
  role: z.enum(ProcessRole),
  host: z.string(),
  port: z.int().min(1).max(65535),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(MemberState),
  /** Raised by the member itself with each state change or heartbeat round. */
  sequence: countSchema,
});

const heartbeatSchema = z.strictObject({
  type: z.literal(MessageType.Heartbeat),
  member: memberSchema,
});

const memberDigestSchema = z.strictObject({
  type: z.literal(MessageType.MemberDigest),
  members: listOf(memberSchema),
});

const bucketIndexSchema = z.int().min(0).max(1023);

const lendRequestSchema = z.strictObject({
  type: z.literal(MessageType.LendRequest),
  requestId: z.string(),
  bucket: bucketIndexSchema,
  /** Requested duration in milliseconds; the lender counts from receipt. */
  durationMs: z.number().positive(),
  /**
   * The request whose loan the borrower applies now. Absent while the borrower
   * has granted more tokens than that loan allows.
   */
  appliedRequestId: z.string().optional(),
});

const loanSchema = z.strictObject({
  type: z.literal(MessageType.Loan),
  requestId: z.string(),
  bucket: bucketIndexSchema,
  /** Share units lent; 0 is a refusal. */
  units: countSchema,
  unitCount: z.int().positive(),
  /** Tokens transferred with the units, by account; absent means none. */
  lentTokens: mapOf(z.number().min(0)).default({}),
  /** In a refusal, the time until a loan to another borrower ends, or 0. */
  durationMs: z.number().min(0).default(0),
});

const loanReturnSchema = z.strictObject({
  type: z.literal(MessageType.LoanReturn),
  bucket: bucketIndexSchema,
  /** The latest LendRequest sent for this loan. */
  requestId: z.string(),
  /** Tokens returned with the units, by account. */
  returnedTokens: mapOf(z.number().min(0)),
});

/** Notifies the receiver of free units in the share table, for it to read. */
const unitsFreedSchema = z.strictObject({
  type: z.literal(MessageType.UnitsFreed),
});

/** Use of one grant since the last report. */
const grantReportSchema = z.strictObject({
  /** Request for which the grant was made. */
  requestId: z.string(),
  spentTokens: z.number().min(0).default(0),
  /** Tokens returned without having been spent. */
  returnedTokens: z.number().min(0).default(0),
  /** Tokens reported as spent earlier and then refunded at settlement. */
  refundedTokens: z.number().min(0).default(0),
});

const grantRequestSchema = z.strictObject({
  type: z.literal(MessageType.GrantRequest),
  requestId: z.string(),
  account: z.string(),
  /** Tokens that must be granted for the waiting request. */
  neededTokens: z.number().min(0).default(0),
  /** Further tokens wanted for demand expected soon. */
  wantedTokens: z.number().min(0).default(0),
  reports: listOf(grantReportSchema).default([]),
});

const grantSchema = z.strictObject({
  type: z.literal(MessageType.Grant),
  requestId: z.string(),
  account: z.string(),
  outcome: z.enum(GrantOutcome),
  tokens: z.number().min(0).default(0),
  /** Validity in milliseconds; the borrower counts from sending its request. */
  durationMs: z.number().min(0).default(0),
  /** Time in milliseconds before which a further request is pointless. */
  retryAfterMs: z.number().min(0).default(0),
});

const grantReturnSchema = z.strictObject({
  type: z.literal(MessageType.GrantReturn),
  account: z.string(),
  reports: listOf(grantReportSchema),
});

/** Schema of every message after the handshake. */
export const messageSchema = z.discriminatedUnion('type', [
  requestOpenSchema,
  responseHeadSchema,
  responseChunkSchema,
  responseEndSchema,
  refusedSchema,
  creditSchema,
  cancelSchema,
  resumeSchema,
  attemptQuerySchema,
  attemptStatusSchema,
  loadReportSchema,
  loadUpdateSchema,
  loadSubscribeSchema,
  upstreamEndedSchema,
  requestAnsweredSchema,
  configDigestSchema,
  configFetchSchema,
  configDeltaSchema,
  heartbeatSchema,
  memberDigestSchema,
  lendRequestSchema,
  loanSchema,
  loanReturnSchema,
  unitsFreedSchema,
  grantRequestSchema,
  grantSchema,
  grantReturnSchema,
  gatewayStateSchema,
  tokenGrantSchema,
  tokenRequestSchema,
  tokenReturnSchema,
  unitTransferSchema,
  upstreamLoadsSchema,
  adapterRequestSchema,
  adapterReplySchema,
  streamOriginsSchema,
]);

export type Message = z.output<typeof messageSchema>;
/** The message of one type. */
export type MessageOf<T extends MessageType> = Extract<Message, {type: T}>;
export type RequestTarget = z.output<typeof targetSchema>;
export type Usage = z.output<typeof usageSchema>;
export type LoadSummary = z.output<typeof loadSummarySchema>;
export type Freshness = z.output<typeof freshnessSchema>;
export type ClockStamp = z.output<typeof clockStampSchema>;
export type OutageReports = z.output<typeof outageReportsSchema>;
export type ConfigEntry = z.output<typeof configEntrySchema>;
export type Member = z.output<typeof memberSchema>;
