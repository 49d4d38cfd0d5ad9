/**
 * Objects of a replica and their versions. An object is replaced only by a
 * higher version, and a removal is stored with its version, so that reordered,
 * repeated or stale deltas never restore an older state.
 */
import {CONFIGURATION_KINDS} from '@siskinplank/resources';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';
import type {ConfigurationChange} from './types';

/** An object, or its removal when `object` is absent. */
export interface ReplicaEntry {
  kind: ConfigurationKind;
  name: string;
  version: number;
  object?: StoredObject<ConfigurationKind>;
}

/** Changes between two revisions; a full copy when `fromRevision` is 0. */
export interface ReplicaDelta {
  fromRevision: number;
  revision: number;
  entries: readonly ReplicaEntry[];
}

/** All objects of one kind at one revision of the platform. */
export interface KindList {
  kind: ConfigurationKind;
  revision: number;
  objects: ReadonlyArray<StoredObject<ConfigurationKind>>;
}

/** Result of applying lists or a delta. */
export interface ApplyResult {
  changes: ConfigurationChange[];
  /** False when the delta starts after this replica's revision. */
  isComplete: boolean;
}

/** Objects and removals known to a replica. */
export interface ReplicaState {
  getRevision(): number;
  getEntry(kind: ConfigurationKind, name: string): ReplicaEntry | undefined;
  listEntries(kind: ConfigurationKind): ReplicaEntry[];
  /** Applies lists read from the platform; their revisions may differ. */
  applyLists(lists: readonly KindList[]): ApplyResult;
  /** Applies changes read from the platform. */
  applyPlatform(delta: ReplicaDelta): ApplyResult;
  /** Applies changes from a peer, in any order and of any age. */
  applyDelta(delta: ReplicaDelta): ApplyResult;
  /** Changes after a revision, or a full copy when those are not all known. */
  collectSince(fromRevision: number): ReplicaDelta;
}

/**
 * Greatest number of stored removals. At 700 changes a day this covers two
 * weeks; a peer that requests older ones gets a full copy.
 */
const MAX_REMOVALS = 10_000;
/** Copy revision of entries that are not part of a full copy. */
const NO_COPY = -1;

/** Creates an empty state at revision 0. */
export function createReplicaState(maxRemovals = MAX_REMOVALS): ReplicaState {
  const kinds = new Map(
    CONFIGURATION_KINDS.map(kind => [
      kind as ConfigurationKind,
      new Map<string, ReplicaEntry>(),
    ]),
  );
  /** Revision by kind up to which some removals may not be stored. */
  const removalFloors = new Map<ConfigurationKind, number>();
  let removalCount = 0;
  let revision = 0;

  const getRemovalFloor = (kind: ConfigurationKind): number =>
    removalFloors.get(kind) ?? 0;
  const getKind = (kind: ConfigurationKind): Map<string, ReplicaEntry> =>
    kinds.get(kind) ?? new Map<string, ReplicaEntry>();
  const listAll = (): ReplicaEntry[] =>
    [...kinds.values()].flatMap(entries => [...entries.values()]);

  const evictRemovals = (): void => {
    if (removalCount <= maxRemovals) return;
    const removals = listAll()
      .filter(entry => entry.object === undefined && entry.version <= revision)
      .sort((left, right) => left.version - right.version);
    // Deletes half of them at once, so that the sort is rare.
    for (const entry of removals.slice(0, Math.ceil(removals.length / 2))) {
      getKind(entry.kind).delete(entry.name);
      removalFloors.set(
        entry.kind,
        Math.max(getRemovalFloor(entry.kind), entry.version),
      );
      removalCount -= 1;
    }
  };

  const setEntry = (
    entry: ReplicaEntry,
    changes: ConfigurationChange[],
  ): void => {
    const entries = getKind(entry.kind);
    const current = entries.get(entry.name);
    if (current !== undefined && current.version >= entry.version) return;
    const wasPresent = current?.object !== undefined;
    if (current !== undefined && !wasPresent) removalCount -= 1;
    if (entry.object === undefined) removalCount += 1;
    entries.set(entry.name, entry);
    if (!wasPresent && entry.object === undefined) return;
    const {kind, name, object} = entry;
    changes.push(object ? {kind, name, object} : {kind, name});
  };

  /**
   * Whether an absent object was removed after this entry: its version is
   * within the revisions whose removals are no longer stored one by one. An
   * entry of a full copy at or after those revisions is current and applied.
   */
  const isSuperseded = (entry: ReplicaEntry, copyRevision: number): boolean => {
    const floor = getRemovalFloor(entry.kind);
    return (
      entry.version <= floor &&
      copyRevision < floor &&
      getKind(entry.kind).get(entry.name)?.object === undefined
    );
  };

  const setEntries = (
    entries: readonly ReplicaEntry[],
    copyRevision: number,
    changes: ConfigurationChange[],
  ): void => {
    for (const entry of entries) {
      if (!isSuperseded(entry, copyRevision)) setEntry(entry, changes);
    }
  };

  /** Removes objects of a kind that are absent from a copy of it. */
  const removeAbsent = (
    kind: ConfigurationKind,
    present: ReadonlySet<string>,
    copyRevision: number,
    changes: ConfigurationChange[],
  ): void => {
    for (const entry of [...getKind(kind).values()]) {
      if (entry.object === undefined || present.has(entry.name)) continue;
      if (entry.version > copyRevision) continue;
      // The version of the removal is unknown but at most the copy's revision;
      // an object that is created again after the copy has a higher one.
      setEntry({kind, name: entry.name, version: copyRevision}, changes);
    }
    removalFloors.set(kind, Math.max(getRemovalFloor(kind), copyRevision));
  };

  const completeApply = (
    toRevision: number,
    changes: ConfigurationChange[],
    isComplete: boolean,
  ): ApplyResult => {
    if (isComplete) revision = Math.max(revision, toRevision);
    evictRemovals();
    return {changes, isComplete};
  };

  const applyFullCopy = (delta: ReplicaDelta): ApplyResult => {
    const changes: ConfigurationChange[] = [];
    setEntries(delta.entries, delta.revision, changes);
    for (const kind of kinds.keys()) {
      const present = new Set(
        delta.entries
          .filter(entry => entry.kind === kind)
          .map(entry => entry.name),
      );
      removeAbsent(kind, present, delta.revision, changes);
    }
    return completeApply(delta.revision, changes, true);
  };

  return {
    getRevision: () => revision,
    getEntry: (kind, name) => getKind(kind).get(name),
    listEntries: kind =>
      [...getKind(kind).values()].filter(entry => entry.object !== undefined),
    applyLists: lists => {
      const changes: ConfigurationChange[] = [];
      for (const list of lists) {
        const entries = list.objects.map(object => {
          const {kind, name, version} = object;
          return {kind, name, version, object};
        });
        setEntries(entries, list.revision, changes);
        const present = new Set(list.objects.map(object => object.name));
        removeAbsent(list.kind, present, list.revision, changes);
      }
      // Complete only up to the oldest list. A watch from there repeats changes
      // that newer lists already include; they have no effect.
      const oldest = Math.min(...lists.map(list => list.revision));
      return completeApply(oldest, changes, lists.length > 0);
    },
    applyPlatform: delta => {
      const changes: ConfigurationChange[] = [];
      setEntries(delta.entries, NO_COPY, changes);
      return completeApply(
        delta.revision,
        changes,
        delta.fromRevision <= revision,
      );
    },
    applyDelta: delta => {
      if (delta.fromRevision === 0 && delta.revision >= revision) {
        return applyFullCopy(delta);
      }
      const changes: ConfigurationChange[] = [];
      setEntries(delta.entries, NO_COPY, changes);
      return completeApply(
        delta.revision,
        changes,
        delta.fromRevision <= revision,
      );
    },
    collectSince: fromRevision => {
      const oldestDeltaRevision = Math.max(0, ...removalFloors.values());
      const isFull = fromRevision === 0 || fromRevision < oldestDeltaRevision;
      const entries = listAll().filter(entry =>
        isFull
          ? entry.object !== undefined || entry.version > revision
          : entry.version > fromRevision,
      );
      return {fromRevision: isFull ? 0 : fromRevision, revision, entries};
    },
  };
}
