/** Protocol version and enums of the messages. */

/** Version of the protocol; links between different versions are refused. */
export const PROTOCOL_VERSION = 8;

/** Discriminator of each message. */
export enum MessageType {
  RequestOpen = 'request-open',
  ResponseHead = 'response-head',
  ResponseChunk = 'response-chunk',
  ResponseEnd = 'response-end',
  Refused = 'refused',
  Credit = 'credit',
  Cancel = 'cancel',
  Resume = 'resume',
  AttemptQuery = 'attempt-query',
  AttemptStatus = 'attempt-status',
  LoadReport = 'load-report',
  LoadUpdate = 'load-update',
  LoadSubscribe = 'load-subscribe',
  UpstreamEnded = 'upstream-ended',
  RequestAnswered = 'request-answered',
  ConfigDigest = 'config-digest',
  ConfigFetch = 'config-fetch',
  ConfigDelta = 'config-delta',
  Heartbeat = 'heartbeat',
  MemberDigest = 'member-digest',
  LendRequest = 'lend-request',
  Loan = 'loan',
  LoanReturn = 'loan-return',
  UnitsFreed = 'units-freed',
  GrantRequest = 'grant-request',
  Grant = 'grant',
  GrantReturn = 'grant-return',
  GatewayState = 'gateway-state',
  TokenRequest = 'token-request',
  TokenGrant = 'token-grant',
  TokenReturn = 'token-return',
  UnitTransfer = 'unit-transfer',
  UpstreamLoads = 'upstream-loads',
  AdapterRequest = 'adapter-request',
  AdapterReply = 'adapter-reply',
  StreamOrigins = 'stream-origins',
}

/** Role of a process. */
export enum ProcessRole {
  Entry = 'entry',
  Side = 'side',
}

/** Kind of the target that a request names. */
export enum TargetType {
  Model = 'model',
  Route = 'route',
}

/** Progress of an attempt at its side process. */
export enum AttemptState {
  /** Not received; it will be refused if it still arrives. */
  NeverSeen = 'never-seen',
  Queued = 'queued',
  /** Taken from the queue and passed to the upstream. */
  HandedOver = 'handed-over',
  Finished = 'finished',
  Refused = 'refused',
}

/** State of a process in the membership. */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
  Suspect = 'suspect',
}

/** How fresh the configuration of a replica is. */
export enum FreshnessState {
  /** Confirmed against the platform within the freshness limit. */
  Confirmed = 'confirmed',
  /** A watcher on another host reports that the platform is unreachable. */
  PlatformDown = 'platform-down',
  /** Neither the platform nor a watcher can be reached. */
  Isolated = 'isolated',
}

/** Outcome of a grant request at the coordinator. */
export enum GrantOutcome {
  /** The grant holds the needed tokens. */
  Granted = 'granted',
  /** The account will not have enough tokens in time. */
  Refused = 'refused',
  /** The process does not coordinate the account's bucket, or is stopping. */
  NotCoordinator = 'not-coordinator',
}

/** Reply of the home of an account to a request for tokens. */
export enum TokenOutcome {
  Granted = 'granted',
  /** The request has a place in line and may ask again after the wait. */
  Promised = 'promised',
  /** The account won't have the tokens in time. */
  OverLimit = 'over-limit',
  /** The gateway does not pool the account's tokens. */
  Unavailable = 'unavailable',
}
