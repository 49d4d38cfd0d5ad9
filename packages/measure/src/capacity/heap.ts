/** Heap of one process for each object that it holds. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createConfigurationReplica} from '@siskinplank/configuration';
import {createClaimRegistry} from '@siskinplank/claims';
import {createRandom, makeSecureId} from '@siskinplank/foundation';
import {createAccountLimiter} from '@siskinplank/limits';
import {createMembershipView} from '@siskinplank/membership';
import {MessageType, ProcessRole, encodeMessage} from '@siskinplank/messages';
import {decodeMessage} from '@siskinplank/messages';
import {ListedHostState} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';
import {createLoadTable} from '@siskinplank/routing';
import {createEventClock} from './event-clock';
import {
  LATER_SIZE,
  createParts,
  createStaticConfiguration,
  createStaticMembership,
  makeIdentity,
  makeLoad,
  makeMembers,
  makeObject,
} from './fixtures';
import {createModelHub} from './model-network';
import {ModelPlatform, ModelStore} from './model-platform';
import type {FigureSink} from './types';

const GROUP = 'heap';

/** Garbage collection on request; the flag takes effect in new contexts. */
function createCollector(): () => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  return () => {
    for (let pass = 0; pass < 3; pass += 1) collect();
  };
}

/** Bytes of objects and of buffers outside the heap. */
function readReachableBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

async function waitTurns(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Heap that `build` leaves reachable, in bytes. */
async function measureHeap(
  collect: () => void,
  build: () => unknown,
): Promise<number> {
  // Promises of the build before hold its result for some turns.
  await waitTurns();
  collect();
  const before = readReachableBytes();
  const kept = [await build()];
  await waitTurns();
  collect();
  const grown = readReachableBytes() - before;
  // Keeps the result reachable until after the reading.
  return kept.pop() === undefined ? 0 : grown;
}

/** A view whose members come from the host list. */
async function buildView(count: number): Promise<unknown> {
  const entries = Math.round((count * LATER_SIZE.entries) / 1_330);
  const clock = createEventClock();
  const platform = new ModelPlatform();
  const identity = makeIdentity(ProcessRole.Entry, 0);
  const network = createModelHub(clock, () => 1).createNetwork(identity);
  platform.hosts = makeMembers(entries, count - entries).map(member => ({
    name: member.name,
    role: member.role,
    address: member.host,
    port: member.port,
    failureDomain: member.failureDomain,
    region: member.region,
    state: ListedHostState.Live,
  }));
  const view = createMembershipView({
    ...createParts(),
    store: new ModelStore(platform, clock, createRandom(1)),
    network,
    clock,
    identity,
    settings: {
      heartbeatMs: 1e9,
      suspectAfterMs: 4e9,
      hostListPeriodMs: 1e9,
    },
  });
  view.start();
  await clock.runFor(200);
  platform.hosts = [];
  return view;
}

/** A replica that received its objects as one message from a peer. */
async function buildReplica(
  objects: ReadonlyArray<StoredObject<ConfigurationKind>>,
): Promise<unknown> {
  const clock = createEventClock();
  const hub = createModelHub(clock, () => 1);
  const identity = makeIdentity(ProcessRole.Entry, 0);
  const network = hub.createNetwork(identity);
  const peer = hub.createNetwork(makeIdentity(ProcessRole.Entry, 1));
  const replica = createConfigurationReplica({
    ...createParts(),
    store: new ModelStore(new ModelPlatform(), clock, createRandom(1)),
    network,
    membership: createStaticMembership(makeMembers(2, 0)),
    clock,
    identity,
    settings: {
      freshnessMs: 1e9,
      outageGraceMs: 1e9,
      digestPeriodMs: 1e8,
      watchWaitMs: 1e8,
    },
  });
  await network.start();
  await peer.start();
  replica.start();
  peer.connect(identity.address);
  peer.listLinks()[0].send({
    type: MessageType.ConfigDelta,
    fromRevision: 0,
    revision: objects.length,
    freshness: {state: 'confirmed' as never, ageMs: 1},
    isWatcher: true,
    entries: objects.map(({kind, name, version, value}) => ({
      kind,
      name,
      version,
      value,
    })),
  });
  await clock.runFor(50);
  return replica.getRevision() === 0 ? undefined : replica;
}

function buildLimiter(count: number): unknown {
  const objects = Array.from({length: count}, (_, index) =>
    makeObject(ResourceKind.ClientAccount, index, {
      ...LATER_SIZE,
      accounts: count,
    }),
  );
  const clock = createEventClock();
  const identity = makeIdentity(ProcessRole.Entry, 0);
  const limiter = createAccountLimiter({
    ...createParts(),
    settings: {
      shareUnits: 64,
      shareLeaseMs: 780_000,
      buckets: 16,
      loanMs: 10_000,
      loanRenewMs: 3_000,
      reserveWaitMs: 1,
    },
    store: new ModelStore(new ModelPlatform(), clock, createRandom(1)),
    network: createModelHub(clock, () => 1).createNetwork(identity),
    membership: createStaticMembership(makeMembers(1, 0)),
    configuration: createStaticConfiguration(objects),
    clock,
    identity,
  });
  for (const {name} of objects) {
    void limiter.reserve(name, 1, clock.getNowMs(), 0);
  }
  return [limiter, objects.length];
}

/** Claims that wait for a write in the background, as in an outage. */
async function buildClaims(count: number): Promise<unknown> {
  const clock = createEventClock();
  const platform = new ModelPlatform();
  const registry = createClaimRegistry({
    ...createParts(),
    store: new ModelStore(platform, clock, createRandom(1)),
    processName: 'entry-0001',
    incarnation: 'a',
    nonceSource: makeSecureId,
    clock,
    isClaimantAlive: () => true,
  });
  platform.isDown = true;
  for (let index = 0; index < count; index += 1) {
    const name = `${index}`.padStart(64, '0');
    const claim = {name, nonce: makeSecureId(), version: 1};
    void registry.complete(claim, {
      status: 200,
      contentType: 'application/json',
      body: new TextEncoder().encode(`${index}`.padStart(1_000, 'x')),
    });
  }
  await clock.runFor(100);
  return [registry, platform];
}

function buildLoads(count: number, prefixes: number): unknown {
  const loads = createLoadTable();
  for (let index = 0; index < count; index += 1) {
    const load = makeLoad(index, LATER_SIZE, prefixes);
    // Decoded, as a received report is, so that its strings are its own.
    decodeMessage(encodeMessage({type: MessageType.LoadReport, load})).ifRight(
      message => {
        if (message.type === MessageType.LoadReport) {
          loads.recordReport(message.load, 0);
        }
      },
    );
  }
  return loads;
}

/** Measures the heap for each kind of object. */
export async function measureHeaps(sink: FigureSink): Promise<void> {
  const collect = createCollector();
  const measureSeries = async (
    name: string,
    by: string,
    counts: readonly number[],
    build: (count: number) => unknown,
  ): Promise<void> => {
    // The first build also compiles code, so it is not counted.
    await build(counts[0]);
    const points: Array<{size: number; value: number}> = [];
    for (const count of counts) {
      const value = await measureHeap(collect, () => build(count));
      points.push({size: count, value});
    }
    sink.addSeries(GROUP, name, by, points, 'B');
  };
  const makeReplicaBuilder = (kind: ConfigurationKind) => (count: number) =>
    buildReplica(
      Array.from({length: count}, (_, index) =>
        makeObject(kind, index, LATER_SIZE),
      ),
    );
  const kinds: Array<[ConfigurationKind, readonly number[]]> = [
    [ResourceKind.Model, [200, 500, 790]],
    [ResourceKind.Upstream, [200, 500, 920]],
    [ResourceKind.Placement, [200, 500, 920]],
    [ResourceKind.ClientAccount, [200, 1_000, 2_000]],
    [ResourceKind.ApiKey, [200, 1_000, 2_000]],
  ];
  for (const [kind, counts] of kinds) {
    await measureSeries(
      `replica, ${kind}`,
      'objects',
      counts,
      makeReplicaBuilder(kind),
    );
  }
  const processes = [330, 665, 1_330];
  await measureSeries('membership view', 'processes', processes, buildView);
  const upstreams = [100, 500, 920];
  await measureSeries('load reports of 0 prefixes', 'upstreams', upstreams, n =>
    buildLoads(n, 0),
  );
  await measureSeries(
    'load reports of 256 prefixes',
    'upstreams',
    upstreams,
    n => buildLoads(n, 256),
  );
  const accounts = [50, 200, 1_000];
  await measureSeries('limiter', 'accounts', accounts, buildLimiter);
  const claims = [100, 500, 1_000];
  await measureSeries('waiting claim writes', 'claims', claims, buildClaims);
}
