/** The operators' configuration of a gateway. */

/** How often the requests of a route may run. */
export enum RequestKind {
  /** May run any number of times. */
  Repeatable = 'repeatable',
  /** May run at most once for each attempt of a caller. */
  AtMostOnce = 'at-most-once',
  /** The response is an event stream; at most once unless it can be resumed. */
  Stream = 'stream',
}

/** A service with its weight in a route's traffic split. */
export interface WeightedService {
  service: string;
  /** Relative weight; above 0. */
  weight: number;
}

/** Destination and limits of the requests to a host name and path prefix. */
export interface Route {
  name: string;
  /** Value of the Host header, without a port, in lower case. */
  hostName: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Whether a broken stream may be resumed on another upstream. */
  isResumable: boolean;
  /** Upper bound of a request's deadline, in milliseconds. */
  timeoutMs: number;
  /** Target time to the response, or to a stream's first event (objective). */
  targetLatencyMs: number;
  /** Longest pause between events of a stream that meets the objective. */
  targetPauseMs: number | undefined;
  /** Priority among routes; 0 is the most urgent. */
  priority: number;
  services: readonly WeightedService[];
  /** Maximum number of upstreams that one attempt of a caller is sent to. */
  maxAttempts: number;
  /** Whether requests are accepted without a key. */
  isPublic: boolean;
}

/** Whether requests of this route may be sent to an upstream a second time. */
export function canRepeat(route: Route): boolean {
  return (
    route.kind === RequestKind.Repeatable ||
    (route.kind === RequestKind.Stream && route.isResumable)
  );
}

/** A model that the upstreams of a service can load. */
export interface ModelSpec {
  name: string;
  /** Size of the weights, in MB. */
  weightsMb: number;
  /** Load time from the weight store, in milliseconds, without contention. */
  storeLoadMs: number;
  /** Load time from the upstream's disk; `storeLoadMs` if it has no disk. */
  diskLoadMs: number;
  /** Load time from the upstream's main memory. */
  memoryLoadMs: number;
  /** Number of adapters; they are named a1, a2 and so on. */
  adapterCount: number;
  adapterMb: number;
}

/** Capacity of each upstream of a model-serving service. */
export interface EngineSpec {
  /** Requests that run at once. */
  slots: number;
  /** Cache capacity for running requests and cached prompt parts, in tokens. */
  cacheTokens: number;
  models: ReadonlyMap<string, ModelSpec>;
  /** Memory for weights and adapters, in MB. */
  weightsMb: number;
  /** Maximum number of adapters that are resident or being loaded. */
  adapterSlots: number;
  /** Limit on loads started from the weight store by all upstreams together. */
  loadsPerSecond: number;
}

/** A group of interchangeable upstreams. */
export interface Service {
  name: string;
  /** Path of the health check. */
  healthPath: string;
  /** Connections that one upstream accepts from all clients together. */
  maxConnections: number;
  /** Absent for plain services. */
  engine: EngineSpec | undefined;
}

/** Keys and limits of one client account. */
export interface ClientAccount {
  name: string;
  keys: readonly string[];
  /** Overrides the priority of routes; undefined when not set. */
  priority: number | undefined;
  /** Whether the limit counts tokens instead of requests. */
  countsTokens: boolean;
  /** Tokens charged for a request without a token count. */
  defaultRequestTokens: number;
  /** Sustained limit in tokens or requests per second; 0 means no limit. */
  ratePerSecond: number;
  /** Burst above the rate, in the same unit. */
  burst: number;
}

/** Size limits and timeouts of caller connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  /** Time after which an unused caller connection may be closed. */
  idleTimeoutMs: number;
}

/** One version of the configuration, complete. */
export interface ServingConfiguration {
  /** Increases with each change, by 1 or more. */
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, Service>;
  /** Undefined when requests carry no keys. */
  accounts: readonly ClientAccount[] | undefined;
  limits: CallerLimits;
}
