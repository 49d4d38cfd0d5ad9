/** Interface of the platform's object API. */
import type {Either} from 'purify-ts';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import type {
  NetworkAddress,
  ResourceKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';

/** Why a platform call failed. */
export enum PlatformErrorCode {
  /** The platform did not reply, or replied that it is unavailable. */
  Unavailable = 'unavailable',
  /** The circuit is open after repeated failures; nothing was sent. */
  CircuitOpen = 'circuit-open',
  /** The call budget of the process is used up; nothing was sent. */
  BudgetExceeded = 'budget-exceeded',
  /** The object changed since the expected version. */
  Conflict = 'conflict',
  /** The revision of a watch is compacted; list again. */
  Compacted = 'compacted',
  /** The request was rejected, or a value or reply is malformed. */
  Invalid = 'invalid',
  /** The write may or may not have taken effect and could not be read back. */
  OutcomeUnknown = 'outcome-unknown',
}

/** A failed platform call. */
export interface PlatformError {
  code: PlatformErrorCode;
  message: string;
  /** Current object of a conflict; null when it is absent. */
  current?: StoredObject | null;
}

/** Expected state of an object before a conditional write. */
export type ExpectedVersion = number | 'absent';

/** One change delivered by a watch. */
export interface WatchEvent {
  type: 'put' | 'delete';
  kind: ResourceKind;
  name: string;
  version: number;
  /** Absent for a delete. */
  value?: unknown;
}

/** Changes after a revision, complete up to `revision`. */
export interface WatchBatch {
  revision: number;
  events: readonly WatchEvent[];
}

/** All objects of a kind at one revision. */
export interface ObjectList<K extends ResourceKind> {
  revision: number;
  items: ReadonlyArray<StoredObject<K>>;
}

/** Name and version of an object, without its value. */
export interface ObjectVersion {
  name: string;
  version: number;
}

/** A page of the names of a kind, in ascending order, at one revision. */
export interface VersionPage {
  revision: number;
  items: readonly ObjectVersion[];
}

/** State of a host in the platform's host list. */
export enum ListedHostState {
  Live = 'live',
  Leaving = 'leaving',
}

/** A host in the platform's host list, which may be outdated. */
export interface ListedHost {
  name: string;
  role: 'entry' | 'side';
  address: string;
  port: number;
  failureDomain: string;
  region: string;
  state: ListedHostState;
}

/** Address of the platform and limits of its use. */
export interface PlatformClientOptions {
  address: NetworkAddress;
  timeoutMs?: number;
  /** Calls per second that this process may make; also the burst. */
  callsPerSecond?: number;
  /** Memory for incomplete replies; by default that of one largest reply. */
  receiveBudget?: ReceiveBudget;
}

/** The platform's object API. */
export abstract class PlatformStore {
  abstract getObject<K extends ResourceKind>(
    kind: K,
    name: string,
  ): Promise<Either<PlatformError, StoredObject<K> | undefined>>;

  abstract listObjects<K extends ResourceKind>(
    kind: K,
  ): Promise<Either<PlatformError, ObjectList<K>>>;

  /**
   * Lists at most `limit` names of a kind that come after `after` in order of
   * their bytes. A shorter page than `limit` is the last one.
   */
  async listVersions(
    kind: ResourceKind,
    after: string,
    limit: number,
  ): Promise<Either<PlatformError, VersionPage>> {
    const listed = await this.listObjects(kind);
    return listed.map(({revision, items}) => ({
      revision,
      items: items
        .map(({name, version}) => ({name, version}))
        .filter(({name}) => name > after)
        .sort((left, right) => (left.name < right.name ? -1 : 1))
        .slice(0, limit),
    }));
  }

  /**
   * Writes the object if it has the expected version. After a lost reply, the
   * outcome is determined by reading the object back; `OutcomeUnknown` is
   * returned when that fails or does not decide it.
   */
  abstract putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ): Promise<Either<PlatformError, StoredObject<K>>>;

  abstract deleteObject(
    kind: ResourceKind,
    name: string,
    expectedVersion: number,
  ): Promise<Either<PlatformError, void>>;

  /** Waits up to `waitMs` for changes after `fromRevision`. */
  abstract watchObjects(
    kinds: readonly ResourceKind[],
    fromRevision: number,
    waitMs: number,
  ): Promise<Either<PlatformError, WatchBatch>>;

  abstract listHosts(): Promise<Either<PlatformError, readonly ListedHost[]>>;

  /** Whether the circuit is closed and the last call succeeded. */
  abstract isAvailable(): boolean;

  abstract close(): Promise<void>;
}

/**
 * Holds one Lease object for as long as it is renewed in time. The lease of the
 * holder starts before it sends a renewal. Another process takes the lease only
 * after it has seen no renewal for a whole duration on its own clock, or after
 * it has bound the port of the former holder on the same host.
 */
export interface LeaseHolder {
  start(): void;
  /** Returns the epoch of the lease, or undefined if not held at `nowMs`. */
  getEpoch(nowMs: number): number | undefined;
  /** Resolves with the epoch, or undefined after `timeoutMs`. */
  waitForEpoch(timeoutMs: number): Promise<number | undefined>;
  /** Releases the lease, so that another process can acquire it at once. */
  stop(): Promise<void>;
}
