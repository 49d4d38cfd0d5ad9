/** The operators' configuration of a gateway. */

/** What may be repeated. */
export enum RequestKind {
  /** May run any number of times. */
  Repeatable = 'repeatable',
  /** May run at most once for each attempt of a caller. */
  AtMostOnce = 'at-most-once',
  /** Answered by a series of events; at most once unless it can be resumed. */
  Stream = 'stream',
}

/** A service and its part of a route's requests. */
export interface WeightedService {
  service: string;
  /** Relative weight; above 0. */
  weight: number;
}

/** Where requests of a host and path prefix go. */
export interface Route {
  name: string;
  /** Value of the Host header, without a port, in lower case. */
  hostName: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Whether a broken stream may go on at another upstream. */
  isResumable: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that earns full credit. */
  targetLatencyMs: number;
  /** Longest pause between events of a stream that is still on time. */
  targetPauseMs: number | undefined;
  /** Rank among routes; 0 is the most urgent. */
  priority: number;
  services: readonly WeightedService[];
  /** Most upstreams that one attempt of a caller may be sent to. */
  maxAttempts: number;
  /** Whether requests need no key. */
  isPublic: boolean;
}

/** Whether a request of this route may run a second time. */
export function canRepeat(route: Route): boolean {
  return (
    route.kind === RequestKind.Repeatable ||
    (route.kind === RequestKind.Stream && route.isResumable)
  );
}

/** A model that upstreams of a service can hold. */
export interface ModelSpec {
  name: string;
  /** Size of the weights, in MB. */
  weightsMb: number;
  /** Load time from the weight store, in milliseconds, without contention. */
  storeLoadMs: number;
  /** Load time from the upstream's disk; equal to `storeLoadMs` if it has none. */
  diskLoadMs: number;
  /** Load time from the upstream's main memory. */
  memoryLoadMs: number;
  /** Number of adapters; they are named a1, a2 and so on. */
  adapterCount: number;
  adapterMb: number;
}

/** What the upstreams of a model-serving service can do. */
export interface EngineSpec {
  /** Requests that run at once. */
  slots: number;
  /** Tokens that running requests and cached prompt parts share. */
  cacheTokens: number;
  models: ReadonlyMap<string, ModelSpec>;
  /** Room for weights and adapters, in MB. */
  weightsMb: number;
  /** Most adapters present or on their way. */
  adapterSlots: number;
  /** Loads from the weight store that may begin each second, over all upstreams. */
  loadsPerSecond: number;
}

/** A group of interchangeable upstreams. */
export interface Service {
  name: string;
  /** Path of the health check. */
  healthPath: string;
  /** Connections that one upstream accepts from all callers together. */
  maxConnections: number;
  /** Absent for plain services. */
  engine: EngineSpec | undefined;
}

/** Rights and limits of one customer. */
export interface ClientAccount {
  name: string;
  keys: readonly string[];
  /** Takes precedence over the priority of routes; undefined when not set. */
  priority: number | undefined;
  /** Whether the limit counts tokens instead of requests. */
  countsTokens: boolean;
  /** Tokens that a request without a token count stands for. */
  defaultRequestTokens: number;
  /** Sustained limit in tokens or requests a second; 0 is no limit. */
  ratePerSecond: number;
  /** Burst above the rate, in the same unit. */
  burst: number;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  /** Time after which an unused caller connection may be closed. */
  idleTimeoutMs: number;
}

/** One version of the configuration, complete. */
export interface ServingConfiguration {
  /** Rises with each change, in uneven steps. */
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, Service>;
  /** Undefined when requests carry no keys. */
  accounts: readonly ClientAccount[] | undefined;
  limits: CallerLimits;
}
