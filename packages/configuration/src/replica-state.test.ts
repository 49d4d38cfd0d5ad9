import fc from 'fast-check';
import {CONFIGURATION_KINDS, ResourceKind} from '@siskinplank/resources';
import type {StoredObject} from '@siskinplank/resources';
import {describe, expect, it} from 'vitest';
import {createReplicaState} from './replica-state';
import type {ReplicaDelta, ReplicaEntry, ReplicaState} from './replica-state';

const KIND = ResourceKind.Placement as const;
const makeEntry = (
  name: string,
  version: number,
  isPresent: boolean,
): ReplicaEntry => {
  const value = {name, epoch: version, models: [], adapters: []};
  const object: StoredObject<typeof KIND> = {kind: KIND, name, version, value};
  return isPresent
    ? {kind: KIND, name, version, object}
    : {kind: KIND, name, version};
};

/** Changes of the platform, one per revision. */
interface History {
  changes: ReplicaEntry[];
  revision: number;
}

const historyArbitrary = fc
  .array(fc.record({name: fc.constantFrom('a', 'b', 'c'), put: fc.boolean()}), {
    minLength: 1,
    maxLength: 25,
  })
  .map<History>(steps => ({
    changes: steps.map((step, index) =>
      makeEntry(step.name, index + 1, step.put),
    ),
    revision: steps.length,
  }));

const copyAt = (history: History, revision: number): ReplicaDelta => {
  const entries = new Map<string, ReplicaEntry>();
  for (const change of history.changes) {
    if (change.version <= revision) entries.set(change.name, change);
  }
  const present = [...entries.values()].filter(entry => entry.object);
  return {fromRevision: 0, revision, entries: present};
};

const deltaBetween = (
  history: History,
  from: number,
  to: number,
): ReplicaDelta => ({
  fromRevision: from,
  revision: to,
  entries: history.changes.filter(
    change => change.version > from && change.version <= to,
  ),
});

const listNames = (state: ReplicaState): string[] =>
  state
    .listEntries(KIND)
    .map(entry => `${entry.name}@${entry.version}`)
    .sort();

enum Step {
  Copy = 'copy',
  Delta = 'delta',
  Single = 'single',
  Peer = 'peer',
  Lists = 'lists',
}

const stepArbitrary = fc.record({
  type: fc.constantFrom(...Object.values(Step)),
  from: fc.nat(24),
  to: fc.nat(24),
});

describe('replica state', () => {
  it('never reverts and converges after a complete delta', () => {
    // Guards against a withdrawn key that is restored by a delayed delta, by a
    // stale full copy or after its removal was evicted.
    fc.assert(
      fc.property(
        historyArbitrary,
        fc.array(stepArbitrary, {maxLength: 30}),
        fc.constantFrom(0, 1, 100),
        (history, steps, maxRemovals) => {
          const state = createReplicaState(maxRemovals);
          const other = createReplicaState(maxRemovals);
          const seen = new Map<string, number>();
          let lastRevision = 0;
          for (const {type, from, to} of steps) {
            const high = Math.min(Math.max(from, to), history.revision);
            const low = Math.min(from, to, high);
            if (type === Step.Copy) state.applyDelta(copyAt(history, high));
            if (type === Step.Delta) {
              state.applyDelta(deltaBetween(history, low, high));
            }
            if (type === Step.Single && high > 0) {
              const change = history.changes[high - 1];
              const revision = state.getRevision();
              state.applyDelta({
                fromRevision: revision,
                revision,
                entries: [change],
              });
            }
            if (type === Step.Peer) {
              other.applyDelta(copyAt(history, high));
              if (other.getRevision() > 0) {
                state.applyDelta(other.collectSince(low));
              }
            }
            if (type === Step.Lists) {
              state.applyLists(
                CONFIGURATION_KINDS.map(kind => ({
                  kind,
                  // Lists of different kinds are read at different revisions.
                  revision: kind === KIND ? high : low,
                  objects:
                    kind === KIND
                      ? copyAt(history, high).entries.flatMap(entry =>
                          entry.object ? [entry.object] : [],
                        )
                      : [],
                })),
              );
            }
            expect(state.getRevision()).toBeGreaterThanOrEqual(lastRevision);
            lastRevision = state.getRevision();
            for (const name of ['a', 'b', 'c']) {
              const entry = state.getEntry(KIND, name);
              if (entry?.object === undefined) continue;
              expect(entry.version).toBeGreaterThanOrEqual(seen.get(name) ?? 0);
              seen.set(name, entry.version);
              // No object is present that was removed or replaced up to the
              // revision of the replica.
              const last = history.changes.findLast(
                change =>
                  change.name === name && change.version <= lastRevision,
              );
              expect(entry.version).toBeGreaterThanOrEqual(last?.version ?? 0);
            }
          }
          const source = createReplicaState();
          source.applyDelta(deltaBetween(history, 0, history.revision));
          const missing = source.collectSince(state.getRevision());
          state.applyDelta(missing);
          expect(listNames(state)).toEqual(listNames(source));
          expect(state.getRevision()).toBe(history.revision);
        },
      ),
      {numRuns: 500},
    );
  });

  it('keeps a removal when an older change arrives later', () => {
    const state = createReplicaState();
    state.applyDelta({
      fromRevision: 0,
      revision: 5,
      entries: [makeEntry('a', 5, true)],
    });
    state.applyPlatform({
      fromRevision: 5,
      revision: 6,
      entries: [makeEntry('a', 6, false)],
    });
    state.applyDelta({
      fromRevision: 6,
      revision: 6,
      entries: [makeEntry('a', 5, true)],
    });
    expect(state.getEntry(KIND, 'a')?.object).toBeUndefined();
  });

  it('keeps a removal that is known only by absence from a copy', () => {
    // An object was created and removed between two copies. The newer copy
    // recorded no removal for it, so a delayed older copy restored the object.
    const state = createReplicaState();
    const applyCopy = (revision: number, entries: ReplicaEntry[]): void => {
      state.applyDelta({fromRevision: 0, revision, entries});
    };
    state.applyPlatform({
      fromRevision: 0,
      revision: 1,
      entries: [makeEntry('a', 1, false)],
    });
    applyCopy(3, []);
    applyCopy(2, [makeEntry('a', 2, true)]);
    expect(state.getEntry(KIND, 'a')?.object).toBeUndefined();
  });

  it('does not advance over a gap in the revisions', () => {
    // Otherwise the changes in the gap would never be fetched.
    const state = createReplicaState();
    state.applyDelta({fromRevision: 0, revision: 3, entries: []});
    const result = state.applyDelta({
      fromRevision: 5,
      revision: 7,
      entries: [makeEntry('a', 7, true)],
    });
    expect(result.isComplete).toBe(false);
    expect(state.getRevision()).toBe(3);
    expect(state.getEntry(KIND, 'a')?.version).toBe(7);
  });
});
