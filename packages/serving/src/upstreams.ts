/** Registrations and load reports of upstreams. */

/** Whether an upstream accepts new requests. */
export enum UpstreamState {
  Ready = 'ready',
  Draining = 'draining',
}

/** IPv4 address and port. */
export interface UpstreamAddress {
  host: string;
  port: number;
}

/** A model that is loaded on an upstream and can serve requests. */
export interface ResidentModel {
  name: string;
  version: number;
  /** Names of the model's resident adapters. */
  adapters: readonly string[];
}

/** One incarnation of an upstream. */
export interface Upstream {
  /** Identifier of the upstream; may stay the same after a restart. */
  id: string;
  service: string;
  address: UpstreamAddress;
  failureDomain: string;
  softwareVersion: string;
  /** Requests that run at once. */
  slots: number;
  state: UpstreamState;
  /** Wall-clock start time in milliseconds; distinguishes incarnations. */
  startedAtMs: number;
  /** Resident models; undefined for plain services. */
  models: readonly ResidentModel[] | undefined;
  /** Number of orders accepted since the start. */
  orderSequence: number;
  /** Milliseconds until its removal, as of the entry's last change. */
  remainingMs: number | undefined;
}

/** Identifies an incarnation: the id and the start, separated by a slash. */
export function formatIncarnation({
  id,
  startedAtMs,
}: Pick<Upstream, 'id' | 'startedAtMs'>): string {
  return `${id}/${startedAtMs}`;
}

/** Reverses `formatIncarnation`; the id may itself hold slashes. */
export function parseIncarnation(
  text: string,
): Pick<Upstream, 'id' | 'startedAtMs'> {
  const slash = text.lastIndexOf('/');
  return {
    id: text.slice(0, Math.max(0, slash)),
    startedAtMs: Number(text.slice(slash + 1)),
  };
}

/** State and load of an upstream, a few hundred milliseconds old when read. */
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
  /** Adapters being loaded, as `model/adapter`. */
  pendingAdapters: readonly string[];
  /** Models whose weights can be loaded from main memory or from disk. */
  modelsInMemory: readonly string[];
  modelsOnDisk: readonly string[];
}
