/** The placement owner with a conditional store and a lease. */
import {
  LogLevel,
  createLogger,
  createManualClock,
  createMetrics,
} from '@siskinplank/foundation';
import type {ConfigurationView} from '@siskinplank/configuration';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {LeaseHolder, PlatformStore} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {Placement, StoredObject} from '@siskinplank/resources';
import {Left, Right} from 'purify-ts';
import {expect, it} from 'vitest';
import {PlacementPolicyName} from './options';
import {createPlacementOwner} from './owner';
import type {PlacementOwner} from './owner';
import {createPlacementPolicy} from './policies';
import {makeModel, makeUpstream} from './testing/fleet-model';

interface FakePlatform {
  placements: Map<string, StoredObject<ResourceKind.Placement>>;
  version: number;
  /** Runs before each write takes effect. */
  onWrite: (name: string) => void;
}

/** An owner with its replica, which may lag behind the platform. */
interface FakeOwner {
  owner: PlacementOwner;
  replica: Map<string, StoredObject<ResourceKind.Placement>>;
  epoch: number | undefined;
}

const createPlatform = (): FakePlatform => ({
  placements: new Map(),
  version: 0,
  onWrite: () => {},
});

function writeObject(
  platform: FakePlatform,
  name: string,
  value: Placement,
): StoredObject<ResourceKind.Placement> {
  platform.version += 1;
  const kind = ResourceKind.Placement as const;
  const object = {kind, name, version: platform.version, value};
  platform.placements.set(name, object);
  return object;
}

function createFakeOwner(platform: FakePlatform, epoch: number): FakeOwner {
  const clock = createManualClock();
  const upstreams = [1, 2, 3].map(n => makeUpstream(`u${n}`, 10_000, `d${n}`));
  const models = [1, 2, 3].map(n => makeModel(`m${n}`, 9_000, 1));
  const wrap = (values: ReadonlyArray<{name: string}>): unknown[] =>
    values.map(value => ({name: value.name, version: 1, value}));
  const fake: FakeOwner = {
    owner: undefined as never,
    replica: new Map(),
    epoch,
  };
  const configuration = {
    getRevision: () => 1,
    listObjects: (kind: ResourceKind) => {
      if (kind === ResourceKind.Upstream) return wrap(upstreams);
      if (kind === ResourceKind.Model) return wrap(models);
      if (kind === ResourceKind.Placement) return [...fake.replica.values()];
      return [];
    },
  } as unknown as ConfigurationView;
  const store = {
    putObject: (
      kind: ResourceKind,
      name: string,
      value: Placement,
      expected: number | 'absent',
    ) => {
      platform.onWrite(name);
      const found = platform.placements.get(name);
      if ((found?.version ?? 'absent') !== expected) {
        return Promise.resolve(
          Left({code: PlatformErrorCode.Conflict, message: '', current: found}),
        );
      }
      return Promise.resolve(Right(writeObject(platform, name, value)));
    },
  } as unknown as PlatformStore;
  const lease = {getEpoch: () => fake.epoch} as unknown as LeaseHolder;
  fake.owner = createPlacementOwner({
    store,
    configuration,
    lease,
    policy: createPlacementPolicy(PlacementPolicyName.Default),
    demand: {listEstimates: () => []},
    clock,
    logger: createLogger({
      level: LogLevel.Error,
      getWallMs: () => 0,
      write: () => {},
    }),
    metrics: createMetrics(),
    settings: {periodMs: 3_000},
  });
  return fake;
}

// Guards against an owner that writes without the lease, and one that repeats
// its writes because its replica does not contain them yet.
it('writes with its epoch while it holds the lease', async () => {
  const platform = createPlatform();
  const fake = createFakeOwner(platform, 4);
  fake.epoch = undefined;
  expect(await fake.owner.runRound()).toBe(0);
  fake.epoch = 4;
  expect(await fake.owner.runRound()).toBe(3);
  expect([...platform.placements.values()].map(o => o.value.epoch)).toEqual([
    4, 4, 4,
  ]);
  expect(await fake.owner.runRound()).toBe(0);
});

// Guards against an owner that resumes after a pause and overwrites the
// placements of its successor.
it('does not overwrite the placements of a later owner', async () => {
  const platform = createPlatform();
  const old = createFakeOwner(platform, 1);
  const next = createFakeOwner(platform, 2);
  expect(await next.owner.runRound()).toBe(3);
  expect(await old.owner.runRound()).toBe(0);
  old.replica = new Map(platform.placements);
  expect(await old.owner.runRound()).toBe(0);
  for (const object of platform.placements.values()) {
    expect(object.value.epoch).toBe(2);
  }
});

// Guards against a round that continues after a conflict or a lost lease.
it('ends the round at a conflict and at the end of the lease', async () => {
  const platform = createPlatform();
  const fake = createFakeOwner(platform, 1);
  platform.onWrite = name => {
    if (name !== 'u2') return;
    writeObject(platform, name, {name, epoch: 2, models: [], adapters: []});
  };
  expect(await fake.owner.runRound()).toBe(1);
  expect(platform.placements.has('u3')).toBe(false);

  const other = createPlatform();
  const ending = createFakeOwner(other, 1);
  other.onWrite = () => (ending.epoch = undefined);
  expect(await ending.owner.runRound()).toBe(1);
  expect(other.placements.size).toBe(1);
});
