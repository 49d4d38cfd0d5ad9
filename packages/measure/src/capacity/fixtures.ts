/** Objects, members and load reports of a modelled fleet of any size. */
import {createHash} from 'node:crypto';
import {
  LogLevel,
  createLogger,
  createMetrics,
  createRandom,
} from '@siskinplank/foundation';
import type {ConfigurationView} from '@siskinplank/configuration';
import type {MembershipView} from '@siskinplank/membership';
import {FreshnessState, MemberState, ProcessRole} from '@siskinplank/messages';
import type {LoadSummary, Member} from '@siskinplank/messages';
import {ResourceKind, parseResource} from '@siskinplank/resources';
import type {ConfigurationKind, StoredObject} from '@siskinplank/resources';
import type {PeerIdentity} from '@siskinplank/transport';

/** Logger that drops everything. */
export const silentLogger = createLogger({
  level: LogLevel.Error,
  write: () => undefined,
  getWallMs: () => 0,
});

/** Sizes of a modelled fleet. */
export interface FleetSize {
  models: number;
  upstreams: number;
  entries: number;
  accounts: number;
  keysPerAccount: number;
}

/** The later size of the brief. */
export const LATER_SIZE: FleetSize = {
  models: 790,
  upstreams: 920,
  entries: 410,
  accounts: 200,
  keysPerAccount: 5,
};

/** Failure domains of the later size; the first four form one region. */
export const FAILURE_DOMAINS = 7;

const getDomain = (index: number): string =>
  `domain-${index % FAILURE_DOMAINS}`;
const getRegion = (index: number): string =>
  index % FAILURE_DOMAINS < 4 ? 'region-a' : 'region-b';

/** Name of the host with an index, in the form that operators use. */
const makeHostName = (role: string, index: number): string =>
  `${role}-${String(index).padStart(4, '0')}`;

/** Address of a process of the model. */
function makeAddress(role: string, index: number) {
  const block = role === 'entry' ? 1 : 2;
  return {host: `10.${block}.${index >> 8}.${index & 255}`, port: 7_400};
}

/** Identity of a modelled process. */
export function makeIdentity(role: ProcessRole, index: number): PeerIdentity {
  return {
    name: makeHostName(role, index),
    incarnation: createHash('sha256')
      .update(`${role}${index}`)
      .digest('base64url')
      .slice(0, 22),
    role,
    failureDomain: getDomain(index),
    region: getRegion(index),
    address: makeAddress(role, index),
  };
}

/** Member of a modelled process. */
export function makeMember(role: ProcessRole, index: number): Member {
  const {name, incarnation, address, failureDomain, region} = makeIdentity(
    role,
    index,
  );
  return {
    name,
    incarnation,
    role,
    host: address.host,
    port: address.port,
    failureDomain,
    region,
    state: MemberState.Live,
    sequence: 1_790_000_000_000,
  };
}

/** All members of a fleet. */
export function makeMembers(entries: number, sides: number): Member[] {
  return [
    ...Array.from({length: entries}, (_, index) =>
      makeMember(ProcessRole.Entry, index),
    ),
    ...Array.from({length: sides}, (_, index) =>
      makeMember(ProcessRole.Side, index),
    ),
  ];
}

const MODELS_PER_UPSTREAM = 4;

/** Names of the models that an upstream holds. */
export function listModelsOf(upstream: number, models: number): string[] {
  const names = Array.from(
    {length: MODELS_PER_UPSTREAM},
    (_, slot) => `model-${(upstream * 7 + slot * 131) % models}`,
  );
  return [...new Set(names)];
}

function makeStored(
  kind: ConfigurationKind,
  version: number,
  value: Record<string, unknown>,
): StoredObject<ConfigurationKind> {
  const parsed = parseResource(kind, value).unsafeCoerce();
  return {kind, name: String(value['name']), version, value: parsed} as never;
}

/** One stored object of a kind. */
export function makeObject(
  kind: ConfigurationKind,
  index: number,
  size: FleetSize,
  version = index + 1,
): StoredObject<ConfigurationKind> {
  const make = (value: Record<string, unknown>) =>
    makeStored(kind, version, value);
  switch (kind) {
    case ResourceKind.Model:
      return make({name: `model-${index}`, memoryMiB: 16_000 + index});
    case ResourceKind.Adapter:
      return make({
        name: `adapter-${index}`,
        model: `model-${index % size.models}`,
        memoryMiB: 100 + (index % 50),
      });
    case ResourceKind.Upstream:
      return make({
        name: `upstream-${index}`,
        type: 'engine',
        address: {host: makeAddress('side', index).host, port: 8_000},
        side: makeAddress('side', index),
        failureDomain: getDomain(index),
        region: getRegion(index),
        accelerators: 4,
        memoryMiB: 320_000,
      });
    case ResourceKind.Placement:
      return make({
        name: `upstream-${index}`,
        epoch: 1,
        models: listModelsOf(index, size.models).map(name => ({
          name,
          version: '1',
        })),
        adapters: [],
      });
    case ResourceKind.ApiKey:
      return make({
        name: `key${String(index).padStart(8, '0')}`,
        account: `account-${index % size.accounts}`,
        secretHash: createHash('sha256').update(String(index)).digest('hex'),
        createdAtMs: 1_790_000_000_000,
      });
    default:
      return make({
        name: `account-${index}`,
        rateTokensPerSecond: 3_000,
        burstTokens: 30_000,
      });
  }
}

/** All stored objects of a fleet. */
export function makeObjects(
  size: FleetSize,
): Array<StoredObject<ConfigurationKind>> {
  const counts: Array<[ConfigurationKind, number]> = [
    [ResourceKind.Model, size.models],
    [ResourceKind.Upstream, size.upstreams],
    [ResourceKind.Placement, size.upstreams],
    [ResourceKind.ClientAccount, size.accounts],
    [ResourceKind.ApiKey, size.accounts * size.keysPerAccount],
  ];
  let version = 0;
  return counts.flatMap(([kind, count]) =>
    Array.from({length: count}, (_, index) => {
      version += 1;
      return makeObject(kind, index, size, version);
    }),
  );
}

/** A load report of an upstream. */
export function makeLoad(
  index: number,
  size: FleetSize,
  prefixes: number,
  sequence = 1,
): LoadSummary {
  const models = listModelsOf(index, size.models);
  return {
    upstream: `upstream-${index}`,
    sequence,
    state: MemberState.Live,
    queuedRequests: 3,
    queuedTokens: 600 + index,
    running: 12,
    maxConcurrency: 16,
    freeMemoryMiB: 20_000,
    models,
    loadingModels: [],
    adapters: [],
    demand: Object.fromEntries(models.map(name => [name, 151.25 + index])),
    cachedPrefixes: Array.from({length: prefixes}, (_, prefix) =>
      createHash('sha256')
        .update(`${index}/${prefix}`)
        .digest('hex')
        .slice(0, 16),
    ),
  };
}

/** A configuration view over fixed objects. */
export function createStaticConfiguration(
  objects: ReadonlyArray<StoredObject<ConfigurationKind>>,
): ConfigurationView {
  const byKind = new Map<ConfigurationKind, Map<string, unknown>>();
  for (const object of objects) {
    const kind = byKind.get(object.kind) ?? new Map<string, unknown>();
    kind.set(object.name, object);
    byKind.set(object.kind, kind);
  }
  return {
    getRevision: () => objects.length,
    getFreshness: () => ({state: FreshnessState.Confirmed, ageMs: 0}),
    getObject: (kind, name) => byKind.get(kind)?.get(name) as never,
    listObjects: kind => [...(byKind.get(kind)?.values() ?? [])] as never,
    subscribe: () => () => undefined,
  };
}

/** A membership view over fixed members. */
export function createStaticMembership(
  members: readonly Member[],
): MembershipView {
  const byName = new Map(members.map(member => [member.name, member]));
  return {
    start: () => undefined,
    stop: () => undefined,
    listMembers: () => members,
    getMember: name => byName.get(name),
    setOwnState: () => undefined,
    subscribe: () => () => undefined,
  };
}

/** Metrics and random source that a part needs besides its subject. */
export function createParts(seed = 1) {
  return {
    logger: silentLogger,
    metrics: createMetrics(),
    random: createRandom(seed),
  };
}
