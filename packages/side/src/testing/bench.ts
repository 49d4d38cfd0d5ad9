/** Test setup of a side process with fakes for its dependencies. */
import * as http from 'node:http';
import * as net from 'node:net';
import {
  LogLevel,
  assertInvariant,
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
  createTracing,
  makeSecureId,
} from '@siskinplank/foundation';
import type {
  ConfigurationChange,
  ConfigurationReplica,
} from '@siskinplank/configuration';
import {FreshnessState, MessageType, ProcessRole} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {PriorityClass, parseResource} from '@siskinplank/resources';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import {sideSettingsSchema} from '@siskinplank/settings';
import {MemoryPlatform, MemoryStore} from '@siskinplank/testing';
import {createPeerNetwork} from '@siskinplank/transport';
import type {Link, PeerNetwork} from '@siskinplank/transport';
import {createMemoryLedger} from '../memory/ledger';
import {createSideProcess} from '../process';
import type {SideOptions, SideProcess} from '../types';

export const clock = createSystemClock();
export const logger = createLogger({
  level: LogLevel.Error,
  getWallMs: () => 0,
  write: () => undefined,
});

/** Finds a port that is free now; another process may still bind it. */
export async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Configuration replica that tests write to directly. */
export function createFakeConfiguration() {
  const objects = new Map<string, StoredObject<ConfigurationKind>>();
  const handlers = new Set<(changes: readonly ConfigurationChange[]) => void>();
  let revision = 0;
  const replica: ConfigurationReplica = {
    getRevision: () => revision,
    getFreshness: () => ({state: FreshnessState.Confirmed, ageMs: 0}),
    getObject: <K extends ConfigurationKind>(kind: K, name: string) =>
      objects.get(`${kind} ${name}`) as StoredObject<K> | undefined,
    listObjects: <K extends ConfigurationKind>(kind: K) =>
      [...objects.values()].filter(
        object => object.kind === kind,
      ) as unknown as ReadonlyArray<StoredObject<K>>,
    subscribe: handler => {
      handlers.add(handler);
      return () => void handlers.delete(handler);
    },
    start: () => undefined,
    stop: () => Promise.resolve(),
    waitForRevision: () => Promise.resolve(true),
    applyLocalWrite: () => undefined,
  };
  const put = (kind: ConfigurationKind, name: string, value: object): void => {
    const parsed = parseResource(kind, {name, ...value}).unsafeCoerce();
    const object = {kind, name, version: ++revision, value: parsed};
    objects.set(`${kind} ${name}`, object);
    for (const handler of handlers) handler([{kind, name, object}]);
  };
  return {replica, put};
}

/** Starts an HTTP server on a free port. */
export async function startHttp(
  handler: http.RequestListener,
): Promise<{port: number; stop: () => void}> {
  const server = http.createServer(handler);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  return {
    port,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

const CLUSTER_KEYS = [{id: 'k', secret: Buffer.from('secret')}];

/** Creates a network on a free port. */
export async function createTestNetwork(
  name: string,
  role: ProcessRole,
): Promise<PeerNetwork> {
  return createPeerNetwork({
    identity: {
      name,
      incarnation: makeSecureId(),
      role,
      failureDomain: 'a',
      region: 'r',
      address: {host: '127.0.0.1', port: await findFreePort()},
    },
    clusterKeys: CLUSTER_KEYS,
    clock,
    random: createRandom(1),
    logger,
  });
}

/** Settings of a side process for upstream `u1`. */
export async function makeSettings(changes: object = {}) {
  return sideSettingsSchema.parse({
    role: 'side',
    process: {name: 'side-1', failureDomain: 'a'},
    link: {port: 1, clusterKeyFiles: ['k']},
    platform: {host: '127.0.0.1', port: 1},
    upstream: 'u1',
    http: {port: await findFreePort()},
    ...changes,
  });
}

/** A running side process with its configuration, store and lease. */
export interface SideBench {
  side: SideProcess;
  options: SideOptions;
  store: MemoryStore;
  put: ReturnType<typeof createFakeConfiguration>['put'];
  setEpoch(epoch: number | undefined): void;
}

/** Another process may bind a free port before the side process does. */
const BIND_ATTEMPTS = 5;

/** Starts a side process with fake dependencies. */
export async function startSide(changes: object = {}): Promise<SideBench> {
  for (let attempt = 1; attempt < BIND_ATTEMPTS; attempt += 1) {
    const bench = await createSideBench(changes);
    if ((await bench.side.start()).isRight()) return bench;
  }
  const last = await createSideBench(changes);
  (await last.side.start()).unsafeCoerce();
  return last;
}

async function createSideBench(changes: object): Promise<SideBench> {
  const {replica, put} = createFakeConfiguration();
  const store = new MemoryStore(new MemoryPlatform(), clock);
  let epoch: number | undefined = 1;
  const options: SideOptions = {
    settings: await makeSettings(changes),
    clock,
    random: createRandom(1),
    logger,
    metrics: createMetrics(),
    tracing: createTracing({serviceName: 'side'}),
    network: await createTestNetwork('side-1', ProcessRole.Side),
    receiveBudget: createReceiveBudget({maxBytes: 33_554_432}),
    store,
    configuration: replica,
    membership: {
      start: () => undefined,
      stop: () => undefined,
      listMembers: () => [],
      getMember: () => undefined,
      setOwnState: () => undefined,
      subscribe: () => () => undefined,
    },
    createLedger: createMemoryLedger,
    lease: {
      start: () => undefined,
      getEpoch: () => epoch,
      waitForEpoch: () => Promise.resolve(epoch),
      stop: () => Promise.resolve(),
    },
  };
  const side = createSideProcess(options);
  return {
    side,
    options,
    store,
    put,
    setEpoch: value => {
      epoch = value;
    },
  };
}

/** Fake entry process: a link and the messages received on it. */
export interface EntryBench {
  network: PeerNetwork;
  link: Link;
  received: Message[];
  open(changes: Partial<MessageOf<MessageType.RequestOpen>>): string;
  list<T extends MessageType>(type: T, attemptId?: string): MessageOf<T>[];
  /** Body received so far for an attempt, in order of sequence. */
  readBody(attemptId: string): string;
}

let attemptCount = 0;

/** Links a fake entry process to a side process. */
export async function startEntry(side: PeerNetwork): Promise<EntryBench> {
  // No process connects to this entry process, so a failed bind is ignored.
  const network = await createTestNetwork('entry-1', ProcessRole.Entry);
  await network.start();
  const received: Message[] = [];
  network.subscribe(Object.values(MessageType), (_link, message) =>
    received.push(message),
  );
  const link = await network.acquireLink(side.identity.address, 5_000);
  assertInvariant(link, 'no link to the side process');
  const list = <T extends MessageType>(type: T, attemptId?: string) =>
    received.filter(
      message =>
        message.type === type &&
        (attemptId === undefined ||
          ('attemptId' in message && message.attemptId === attemptId)),
    ) as unknown as MessageOf<T>[];
  return {
    network,
    link,
    received,
    list,
    open: changes => {
      const attemptId = changes.attemptId ?? `attempt-${++attemptCount}`;
      const current = network.getLink(side.identity.address) ?? link;
      current.send({
        type: MessageType.RequestOpen,
        attemptId,
        requestId: `request-${attemptId}`,
        accountTag: 'a',
        accountWeight: 1,
        target: {type: 'route', route: 'r1'} as never,
        method: 'POST',
        path: '/orders',
        headers: {},
        body: Buffer.from('body'),
        priority: PriorityClass.Awaited,
        deadlineMs: 20_000,
        estimatedTokens: 10,
        idempotent: true,
        traceparent: '',
        credit: 1_000_000,
        hopsLeft: 0,
        ...changes,
      });
      return attemptId;
    },
    readBody: attemptId => {
      const chunks = new Map(
        list(MessageType.ResponseChunk, attemptId).map(chunk => [
          chunk.sequence,
          chunk.data,
        ]),
      );
      const ordered = [...chunks].sort(([a], [b]) => a - b);
      return Buffer.concat(ordered.map(([, data]) => data)).toString();
    },
  };
}
