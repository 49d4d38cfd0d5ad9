/** Upstreams as they register themselves, and as they report their load. */

/** Whether an upstream takes new requests. */
export enum UpstreamState {
  Ready = 'ready',
  Draining = 'draining',
}

/** IPv4 address and port. */
export interface UpstreamAddress {
  host: string;
  port: number;
}

/** A model that an upstream holds. */
export interface ResidentModel {
  name: string;
  version: number;
  /** Adapters of the model that are present, by name. */
  adapters: readonly string[];
}

/** One incarnation of an upstream. */
export interface Upstream {
  /** Identifier that the upstream answers for; may survive a restart. */
  id: string;
  service: string;
  address: UpstreamAddress;
  failureDomain: string;
  softwareVersion: string;
  /** Requests that run at once. */
  slots: number;
  state: UpstreamState;
  /** Wall-clock milliseconds at which it started; tells restarts apart. */
  startedAtMs: number;
  /** Models present; undefined for plain services. */
  models: readonly ResidentModel[] | undefined;
  /** Orders accepted since its start. */
  orderSequence: number;
  /** Time until it disappears, as of the entry's last change. */
  remainingMs: number | undefined;
}

/** Load of an upstream, a few hundred milliseconds old when it is read. */
export interface UpstreamReport {
  models: readonly ResidentModel[];
  /** Whether a model is being loaded or unloaded. */
  isChangingModel: boolean;
  orderSequence: number;
  /** Requests that wait for a slot. */
  queuedCount: number;
  runningCount: number;
  /** Cache tokens that cannot be reclaimed. */
  usedCacheTokens: number;
  totalCacheTokens: number;
  /** Adapters on their way, as `model/adapter`. */
  pendingAdapters: readonly string[];
  /** Weights that a load would find in main memory or on disk. */
  modelsInMemory: readonly string[];
  modelsOnDisk: readonly string[];
}
