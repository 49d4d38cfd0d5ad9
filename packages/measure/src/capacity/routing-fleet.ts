/**
 * Entry hosts and side processes of a modelled fleet, with the real choice of
 * links and the real load reports. Its links are apart from `ModelNetwork`,
 * because messages arrive at once and only their bytes count.
 */
import {createRandom} from '@siskinplank/foundation';
import {
  MemberState,
  MessageType,
  ProcessRole,
  encodeMessage,
} from '@siskinplank/messages';
import type {LoadSummary, Message} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import type {
  ConfigurationKind,
  StoredObject,
  Upstream,
} from '@siskinplank/resources';
import {
  RoutingPolicyName,
  createLoadTable,
  createRoutingPolicy,
} from '@siskinplank/routing';
import type {
  LoadTable,
  RoutingCandidate,
  RoutingPolicy,
} from '@siskinplank/routing';
import type {Link, LinkObserver, PeerNetwork} from '@siskinplank/transport';
// The real choice of links and the real reports are what is measured here.
import {createSideLinks} from '../../../entry/src/links/side-links';
import type {SideLinks} from '../../../entry/src/links/side-links';
import {createLoadReporter} from '../../../side/src/load/reporter';
import type {EventClock} from './event-clock';
import {
  LATER_SIZE,
  createStaticConfiguration,
  createStaticMembership,
  makeIdentity,
  makeObject,
} from './fixtures';
import type {RunSize} from './routing-demand';

/** Estimated tokens of each request. */
export const TOKENS_PER_REQUEST = 370;
/** Bytes of a message frame on a socket besides its payload. */
const FRAME_OVERHEAD_BYTES = 6;

/** One side process with its queue. */
export interface ModelSide {
  upstream: Upstream;
  models: string[];
  queuedTokens: number;
  prefixCount: number;
  links: Map<number, Link>;
  observers: LinkObserver[];
  handlers: Array<{
    types: readonly string[];
    handler: (l: Link, m: Message) => void;
  }>;
  sentBytes: number;
}

/** One entry host. */
export interface ModelHost {
  loads: LoadTable;
  links: SideLinks;
  policy: RoutingPolicy;
  /** Links by address. */
  open: Map<string, Link>;
  receivedBytes: number;
  region: string;
}

function summarize(side: ModelSide): Omit<LoadSummary, 'sequence'> {
  const {upstream, models, queuedTokens, prefixCount} = side;
  return {
    upstream: upstream.name,
    state: MemberState.Live,
    queuedRequests: Math.round(queuedTokens / TOKENS_PER_REQUEST),
    queuedTokens: Math.round(queuedTokens),
    running: 0,
    maxConcurrency: 16,
    freeMemoryMiB: 20_000,
    models,
    loadingModels: [],
    adapters: [],
    demand: Object.fromEntries(
      models.map(name => [name, 150 + (prefixCount % 97) / 8]),
    ),
    cachedPrefixes: Array.from({length: 256}, (_, index) =>
      (prefixCount + index).toString(16).padStart(16, '0'),
    ),
  };
}

/** Connects a host to a side; the link is open at both ends at once. */
function openLink(
  host: ModelHost,
  hostIndex: number,
  side: ModelSide,
  observers: readonly LinkObserver[],
  clock: EventClock,
): Link {
  const key = `${side.upstream.side.host}:${side.upstream.side.port}`;
  const hostIdentity = makeIdentity(ProcessRole.Entry, hostIndex);
  const deliver = (message: Message): void => {
    const bytes = encodeMessage(message).length + FRAME_OVERHEAD_BYTES;
    side.sentBytes += bytes;
    host.receivedBytes += bytes;
    const nowMs = clock.getNowMs();
    if (message.type === MessageType.LoadReport) {
      host.loads.recordReport(message.load, nowMs);
    }
    if (message.type === MessageType.LoadUpdate) {
      if (!host.loads.recordUpdate(message, nowMs)) {
        host.links.requestReport(near, nowMs);
      }
    }
  };
  const far: Link = {
    id: `side-${hostIndex}`,
    peer: hostIdentity,
    send: message => {
      deliver(message);
      return true;
    },
    isOpen: () => true,
    getBufferedBytes: () => 0,
    close: () => undefined,
  };
  const near: Link = {
    ...far,
    id: key,
    peer: {...hostIdentity, role: ProcessRole.Side},
    send: message => {
      for (const {types, handler} of side.handlers) {
        if (types.includes(message.type)) handler(far, message);
      }
      return true;
    },
  };
  host.open.set(key, near);
  side.links.set(hostIndex, far);
  for (const observer of side.observers) observer.onLinkOpen?.(far);
  for (const observer of observers) observer.onLinkOpen?.(near);
  return near;
}

/** Creates side processes that report load; `places` are upstreams by model. */
export function createSides(
  size: RunSize,
  places: number[][],
  clock: EventClock,
): ModelSide[] {
  const sides = Array.from({length: size.upstreams}, (_, index): ModelSide => {
    const object = makeObject(ResourceKind.Upstream, index, LATER_SIZE);
    return {
      upstream: object.value as Upstream,
      models: [],
      queuedTokens: 0,
      prefixCount: index * 1_000,
      links: new Map(),
      observers: [],
      handlers: [],
      sentBytes: 0,
    };
  });
  places.forEach((upstreams, model) => {
    for (const upstream of upstreams)
      sides[upstream].models.push(`model-${model}`);
  });
  for (const side of sides) {
    const network = {
      listLinks: () => [...side.links.values()],
      observeLinks: (observer: LinkObserver) => {
        side.observers.push(observer);
        return () => undefined;
      },
      subscribe: (types: readonly string[], handler: never) => {
        side.handlers.push({types, handler});
        return () => undefined;
      },
    } as unknown as PeerNetwork;
    createLoadReporter(network, clock, () => summarize(side)).start();
  }
  return sides;
}

/** Creates an entry host; it links to sides on demand. */
export function createHost(
  index: number,
  sides: readonly ModelSide[],
  objects: ReadonlyArray<StoredObject<ConfigurationKind>>,
  clock: EventClock,
): ModelHost {
  const identity = makeIdentity(ProcessRole.Entry, index);
  const byAddress = new Map(
    sides.map(side => [
      `${side.upstream.side.host}:${side.upstream.side.port}`,
      side,
    ]),
  );
  const observers: LinkObserver[] = [];
  const format = ({host, port}: {host: string; port: number}): string =>
    `${host}:${port}`;
  const connect = (address: {host: string; port: number}): void => {
    const side = byAddress.get(format(address));
    if (side === undefined || host.open.has(format(address))) return;
    openLink(host, index, side, observers, clock);
  };
  const network = {
    connect,
    disconnect: (address: {host: string; port: number}) => {
      host.open.delete(format(address));
      byAddress.get(format(address))?.links.delete(index);
    },
    getLink: (address: {host: string; port: number}) =>
      host.open.get(format(address)),
    acquireLink: (address: {host: string; port: number}) => {
      connect(address);
      return Promise.resolve(host.open.get(format(address)));
    },
    listLinks: () => [...host.open.values()],
    observeLinks: (observer: LinkObserver) => {
      observers.push(observer);
      return () => undefined;
    },
  } as unknown as PeerNetwork;
  const loads = createLoadTable();
  const host: ModelHost = {
    loads,
    policy: createRoutingPolicy(RoutingPolicyName.Default, createRandom(index)),
    open: new Map(),
    receivedBytes: 0,
    region: identity.region,
    links: undefined as never,
  };
  host.links = createSideLinks({
    settings: {process: identity} as never,
    clock,
    network,
    configuration: createStaticConfiguration(objects),
    membership: createStaticMembership([]),
    loads,
  });
  return host;
}

/** Lists the `upstreams`, by index, with the load last reported to the host. */
export function listCandidates(
  host: ModelHost,
  sides: readonly ModelSide[],
  upstreams: readonly number[],
  nowMs: number,
): RoutingCandidate[] {
  return upstreams.map(index => {
    const {upstream} = sides[index];
    return {
      upstream,
      ...host.loads.getLoad(upstream.name, nowMs),
      memberState: MemberState.Live,
      isPlaced: true,
    };
  });
}

/** A whole report of each side at each host, as before the links were bounded. */
export function reportEverywhere(
  hosts: readonly ModelHost[],
  sides: readonly ModelSide[],
  second: number,
  nowMs: number,
): void {
  for (const side of sides) {
    const load = {
      ...summarize(side),
      cachedPrefixes: [],
      sequence: second + 1,
    };
    for (const {loads} of hosts) loads.recordReport(load, nowMs);
  }
}
