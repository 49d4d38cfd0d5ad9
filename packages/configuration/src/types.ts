/** Interfaces of the configuration replica. */
import type {Freshness} from '@siskinplank/messages';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';

/** A changed or removed object. */
export interface ConfigurationChange {
  kind: ConfigurationKind;
  name: string;
  /** Absent when the object was removed. */
  object?: StoredObject<ConfigurationKind>;
}

/** Read access to the replica of one process. */
export interface ConfigurationView {
  /** Revision up to which the replica is complete; 0 before the first copy. */
  getRevision(): number;
  /** Whether the replica is confirmed as current, and its age in ms. */
  getFreshness(nowMs: number): Freshness;
  getObject<K extends ConfigurationKind>(
    kind: K,
    name: string,
  ): StoredObject<K> | undefined;
  listObjects<K extends ConfigurationKind>(
    kind: K,
  ): ReadonlyArray<StoredObject<K>>;
  /** Calls `handler` after each applied change; returns the unsubscribe. */
  subscribe(
    handler: (changes: readonly ConfigurationChange[]) => void,
  ): () => void;
}

/** Replica with its watch on the platform and its relay to peers. */
export interface ConfigurationReplica extends ConfigurationView {
  start(): void;
  stop(): Promise<void>;
  /**
   * Resolves true once the replica is complete up to `revision`, false after
   * `timeoutMs` or when the replica is stopped.
   */
  waitForRevision(revision: number, timeoutMs: number): Promise<boolean>;
  /** Applies a change that this process itself wrote to the platform. */
  applyLocalWrite(object: StoredObject<ConfigurationKind>): void;
}
