/** An entry process with in-memory dependencies, for tests. */
import {Left, Right} from 'purify-ts';
import {ClaimOutcomeType} from '@siskinplank/claims';
import type {ClaimOutcome, ClaimRegistry} from '@siskinplank/claims';
import type {
  ConfigurationChange,
  ConfigurationView,
} from '@siskinplank/configuration';
import {
  LogLevel,
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
  createTracing,
} from '@siskinplank/foundation';
import type {AccountLimiter} from '@siskinplank/limits';
import {
  FreshnessState,
  MemberState,
  MessageType,
  ProcessRole,
} from '@siskinplank/messages';
import type {MessageOf} from '@siskinplank/messages';
import {
  ResourceKind,
  formatKey,
  hashSecret,
  parseResource,
} from '@siskinplank/resources';
import type {
  ConfigurationKind,
  NetworkAddress,
  StoredObject,
} from '@siskinplank/resources';
import {RoutingPolicyName, createRoutingPolicy} from '@siskinplank/routing';
import {entrySettingsSchema} from '@siskinplank/settings';
import {reservePort} from '@siskinplank/stand-ins';
import {createEntryProcess} from '../process';
import type {EntryProcess} from '../types';
import {createFakeNetwork} from './fake-network';
import type {FakeNetwork, FakeSide, SideScript} from './fake-network';

/** Configuration that tests can change. */
export interface FakeConfiguration extends ConfigurationView {
  put(kind: ConfigurationKind, value: Record<string, unknown>): void;
  remove(kind: ConfigurationKind, name: string): void;
  freshness: FreshnessState;
}

/** Limiter that records the reserved and settled tokens. */
export interface FakeLimiter extends AccountLimiter {
  refusal: {exceedsBurst: boolean; retryAfterMs: number} | undefined;
  readonly reserved: number[];
  readonly settled: number[];
}

/** Claim registry that returns a set outcome and records the calls. */
export interface FakeClaims extends ClaimRegistry {
  outcome: ClaimOutcome;
  readonly calls: string[];
}

/** A running entry process with its fake dependencies. */
export interface Harness {
  readonly baseUrl: string;
  readonly port: number;
  readonly key: string;
  readonly entry: EntryProcess;
  readonly network: FakeNetwork;
  readonly configuration: FakeConfiguration;
  readonly limiter: FakeLimiter;
  readonly claims: FakeClaims;
  readonly logLines: string[];
  readonly sides: FakeSide[];
  /** Sends a chat completion. */
  sendChat(
    body?: Record<string, unknown>,
    headers?: Record<string, string>,
  ): Promise<Response>;
}

export const SECRET = 'ab'.repeat(32);
export const KEY_ID = 'key00001';
export const HASH_KEY = new TextEncoder().encode('hash key of the tests');

const LOOPBACK = '127.0.0.1';
const FIRST_SIDE_PORT = 20_001;

/** Creates an empty configuration. */
export function createFakeConfiguration(): FakeConfiguration {
  const objects = new Map<string, StoredObject<ConfigurationKind>>();
  const handlers = new Set<(changes: readonly ConfigurationChange[]) => void>();
  let revision = 0;
  const configuration: FakeConfiguration = {
    freshness: FreshnessState.Confirmed,
    getRevision: () => revision,
    getFreshness: () => ({state: configuration.freshness, ageMs: 0}),
    getObject: <K extends ConfigurationKind>(kind: K, name: string) =>
      objects.get(`${kind}/${name}`) as StoredObject<K> | undefined,
    listObjects: <K extends ConfigurationKind>(kind: K) =>
      [...objects.values()].filter(object => object.kind === kind) as Array<
        StoredObject<K>
      >,
    subscribe: handler => {
      handlers.add(handler);
      return () => void handlers.delete(handler);
    },
    put: (kind, value) => {
      revision += 1;
      const parsed = parseResource(kind, value).unsafeCoerce();
      const object = {
        kind,
        name: parsed.name,
        version: revision,
        value: parsed,
      } as StoredObject<ConfigurationKind>;
      objects.set(`${kind}/${object.name}`, object);
      for (const handler of handlers) {
        handler([{kind, name: object.name, object}]);
      }
    },
    remove: (kind, name) => {
      revision += 1;
      objects.delete(`${kind}/${name}`);
      for (const handler of handlers) handler([{kind, name}]);
    },
  };
  return configuration;
}

function createFakeLimiter(): FakeLimiter {
  const limiter: FakeLimiter = {
    refusal: undefined,
    reserved: [],
    settled: [],
    start: async () => undefined,
    stop: async () => undefined,
    reserve: async (account, tokens) => {
      if (limiter.refusal !== undefined) return Left(limiter.refusal);
      limiter.reserved.push(tokens);
      return Right({id: limiter.reserved.length, account, tokens});
    },
    settle: (_reservation, used) => void limiter.settled.push(used),
  };
  return limiter;
}

function createFakeClaims(): FakeClaims {
  const claims: FakeClaims = {
    outcome: {
      type: ClaimOutcomeType.Acquired,
      claim: {name: 'claim', nonce: 'nonce', version: 1},
    },
    calls: [],
    acquire: async request => {
      claims.calls.push(`acquire ${request.account}`);
      return claims.outcome;
    },
    complete: async (_claim, response) =>
      void claims.calls.push(`complete ${response.status}`),
    release: async () => void claims.calls.push('release'),
    markUnknown: async () => void claims.calls.push('unknown'),
    stop: async () => undefined,
  };
  return claims;
}

/** Makes the address of the side process with this index. */
export function makeSideAddress(index: number): NetworkAddress {
  return {host: LOOPBACK, port: FIRST_SIDE_PORT + index};
}

/** Replies to a request with a complete response in chunks. */
export function replyWithResponse(
  open: MessageOf<MessageType.RequestOpen>,
  reply: Parameters<SideScript>[1],
  parts: readonly string[],
  contentType = 'application/json',
): void {
  const {attemptId} = open;
  const chunks = parts.map(part => new TextEncoder().encode(part));
  reply({
    type: MessageType.ResponseHead,
    attemptId,
    sideIncarnation: 'any',
    status: 200,
    headers: {'content-type': contentType},
  });
  chunks.forEach((data, sequence) =>
    reply({type: MessageType.ResponseChunk, attemptId, sequence, data}),
  );
  reply({
    type: MessageType.ResponseEnd,
    attemptId,
    chunkCount: chunks.length,
    byteCount: chunks.reduce((sum, chunk) => sum + chunk.length, 0),
    usage: {promptTokens: 3, completionTokens: 4},
  });
}

/** Makes a script that replies to each request with the same response. */
export function makeReplyScript(
  parts: readonly string[],
  contentType?: string,
): SideScript {
  return (message, reply) => {
    if (message.type !== MessageType.RequestOpen) return;
    replyWithResponse(message, reply, parts, contentType);
  };
}

function putDefaults(
  configuration: FakeConfiguration,
  sideCount: number,
): void {
  configuration.put(ResourceKind.ClientAccount, {
    name: 'plaksne',
    rateTokensPerSecond: 100,
    burstTokens: 1_000,
    models: ['birch', 'birch-lv'],
  });
  configuration.put(ResourceKind.ApiKey, {
    name: KEY_ID,
    account: 'plaksne',
    secretHash: hashSecret(HASH_KEY, SECRET),
    createdAtMs: 0,
  });
  for (const name of ['birch', 'oak']) {
    configuration.put(ResourceKind.Model, {name, memoryMiB: 100});
  }
  configuration.put(ResourceKind.Adapter, {
    name: 'birch-lv',
    model: 'birch',
    memoryMiB: 10,
  });
  for (let index = 0; index < sideCount; index += 1) {
    const common = {
      address: {host: LOOPBACK, port: 1},
      side: makeSideAddress(index),
      failureDomain: 'fd-1',
      memoryMiB: 1_000,
    };
    configuration.put(ResourceKind.Upstream, {
      ...common,
      name: `engine-${index}`,
      type: 'engine',
    });
    configuration.put(ResourceKind.Upstream, {
      ...common,
      name: `service-${index}`,
      type: 'service',
    });
  }
  const upstreams = Array.from({length: sideCount}, (_, i) => `service-${i}`);
  const route = {upstreams, access: 'keyed'};
  configuration.put(ResourceKind.Route, {
    ...route,
    name: 'orders',
    methods: ['POST'],
    path: '/orders/:id',
    idempotent: false,
  });
  configuration.put(ResourceKind.Route, {
    ...route,
    name: 'catalogue',
    methods: ['GET'],
    path: '/catalogue/*',
    idempotent: true,
    access: 'open',
  });
}

/** Starts an entry process with `sideCount` scripted side processes. */
export async function startHarness(
  script: SideScript,
  options: {
    sideCount?: number;
    settings?: Record<string, unknown>;
  } = {},
): Promise<Harness> {
  const sideCount = options.sideCount ?? 1;
  const port = await reservePort();
  const settings = entrySettingsSchema.parse({
    role: 'entry',
    process: {name: 'entry-1', failureDomain: 'fd-1'},
    link: {port: 1, clusterKeyFiles: ['unused']},
    platform: {host: LOOPBACK, port: 1},
    caller: {port, bodyLimitBytes: 4_096},
    admin: {port: 1},
    keyHashSecretFile: 'unused',
    drain: {graceMs: 2_000, noticeMs: 0},
    ...options.settings,
  });
  const clock = createSystemClock();
  const network = createFakeNetwork({
    name: 'entry-1',
    incarnation: 'entry-1-1',
    role: ProcessRole.Entry,
    failureDomain: 'fd-1',
    region: 'default',
    address: {host: LOOPBACK, port: 1},
  });
  const sides = Array.from({length: sideCount}, (_, index) =>
    network.addSide(`side-${index}`, makeSideAddress(index), script),
  );
  const configuration = createFakeConfiguration();
  putDefaults(configuration, sideCount);
  const limiter = createFakeLimiter();
  const claims = createFakeClaims();
  const logLines: string[] = [];
  const entry = createEntryProcess({
    settings,
    clock,
    random: createRandom(1),
    logger: createLogger({
      level: LogLevel.Debug,
      getWallMs: clock.getWallMs,
      write: line => void logLines.push(line),
    }),
    metrics: createMetrics(),
    tracing: createTracing({serviceName: 'entry-test'}),
    network,
    configuration,
    membership: {
      start: () => undefined,
      stop: () => undefined,
      listMembers: () =>
        sides.map(side => ({
          name: side.name,
          incarnation: side.incarnation,
          role: ProcessRole.Side,
          host: side.address.host,
          port: side.address.port,
          failureDomain: 'fd-1',
          region: 'default',
          state: MemberState.Live,
          sequence: 1,
        })),
      getMember: () => undefined,
      setOwnState: () => undefined,
      subscribe: () => () => undefined,
    },
    limiter,
    claims,
    routing: createRoutingPolicy(RoutingPolicyName.Default, createRandom(2)),
    hashKey: HASH_KEY,
  });
  (await entry.start()).unsafeCoerce();
  const baseUrl = `http://${LOOPBACK}:${port}`;
  const key = formatKey(KEY_ID, SECRET);
  return {
    baseUrl,
    port,
    key,
    entry,
    network,
    configuration,
    limiter,
    claims,
    logLines,
    sides,
    sendChat: (body = {}, headers = {}) =>
      fetch(`${baseUrl}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${key}`,
          'content-type': 'application/json',
          ...headers,
        },
        body: JSON.stringify({
          model: 'birch',
          messages: [{role: 'user', content: 'How is birch engraved?'}],
          ...body,
        }),
      }),
  };
}
