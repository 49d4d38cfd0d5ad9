/** Per upstream: its models, the load of open requests, and recent faults. */
import type {Upstream} from '@siskinplank/serving';
import {createUpstreamProgress} from './upstream-progress';
import type {UpstreamProgress} from './upstream-progress';

/** Load of the open requests of one model, or of one adapter of it. */
export interface OpenLoad {
  requests: number;
  /** Prompt tokens of the requests that have no first event yet. */
  pendingPromptTokens: number;
  /** Tokens of all open requests, including those still to be generated. */
  tokens: number;
}

/** A model that an upstream is loading. */
export interface LoadingModel {
  model: string;
  /** Monotonic time at which the load should end; undefined if unknown. */
  expectedAtMs: number | undefined;
}

/** Models and adapters of one upstream. */
export interface ModelState {
  /** Resident models, each with its resident adapters. */
  models: ReadonlyMap<string, ReadonlySet<string>>;
  /** The model that is being loaded. */
  arriving: LoadingModel | undefined;
  /**
   * Load times of the models whose weights it has in memory or on disk, in
   * milliseconds; empty while the service has one software version.
   */
  warmLoadMs: ReadonlyMap<string, number>;
  /** When it was received; -Infinity if it is that of the registration. */
  receivedAtMs: number;
}

/** An upstream with its observed state. */
export interface UpstreamEntry {
  readonly upstream: Upstream;
  readonly modelState: ModelState;
  /** Load of the open requests of all gateways. */
  readonly open: Readonly<OpenLoad>;
  /** Load of this gateway's open requests, by model or `model/adapter`. */
  readonly localLoad: ReadonlyMap<string, OpenLoad>;
  readonly progress: UpstreamProgress;
  /** Decayed sum of the faults that all gateways observed; 0 without faults. */
  getFaultWeight(nowMs: number): number;
  /** Whether connecting to the upstream failed recently. */
  isUnreachable(nowMs: number): boolean;
}

/** Handle of a request that this gateway has open at an upstream. */
export interface OpenRequest {
  /** To be called at the first event or the complete response. */
  markPromptProcessed(): void;
  end(): void;
}

/**
 * Load of one gateway as broadcast to its peers, by upstream and by model or
 * `model/adapter`: requests, pending prompt tokens, tokens.
 */
export type OpenLoadByUpstream = Readonly<
  Record<string, Readonly<Record<string, readonly [number, number, number]>>>
>;

/** Entries of all known upstreams. */
export interface UpstreamTable {
  /** Replaces the upstreams; entries of those that did not restart are kept. */
  setUpstreams(upstreams: Iterable<Upstream>): void;
  /** Sets a model state that is newer than the upstream's registration. */
  setModelState(id: string, startedAtMs: number, modelState: ModelState): void;
  /**
   * Removes a model that the upstream lacked at `askedAtMs` from its model state,
   * unless that is newer.
   */
  removeModel(
    incarnation: Pick<Upstream, 'id' | 'startedAtMs'>,
    model: string,
    askedAtMs: number,
  ): void;
  /** Resets the model state of all upstreams to their registrations. */
  resetModelState(): void;
  setPeerLoad(peer: string, open: OpenLoadByUpstream): void;
  removePeer(peer: string): void;
  /** Adds a request that is about to be sent. */
  open(
    id: string,
    key: string,
    promptTokens: number,
    tokens: number,
  ): OpenRequest;
  /** Adds a fault of an upstream to its decaying sum. */
  recordFault(id: string, weight: number, nowMs: number): void;
  /** Records that connecting to the upstream failed. */
  recordUnreachable(id: string, nowMs: number): void;
  /** Replaces the faults that a peer has observed, by upstream. */
  setPeerFaults(
    peer: string,
    faults: Readonly<Record<string, number>>,
    nowMs: number,
  ): void;
  /** Faults that this gateway has observed, for the broadcast to peers. */
  collectLocalFaults(nowMs: number): Record<string, number>;
  getEntry(id: string): UpstreamEntry | undefined;
  listServiceUpstreams(service: string): readonly UpstreamEntry[];
  /**
   * Load of this gateway's open requests, for the broadcast to peers; by model
   * or `model/adapter`, or in one sum under an empty key.
   */
  collectLocalLoad(
    isByModel: boolean,
  ): Record<string, Record<string, [number, number, number]>>;
  /** Counts of all gateways, by upstream and by model or `model/adapter`. */
  countOpenRequests(): Map<string, Map<string, number>>;
}

interface EntryState extends UpstreamEntry {
  upstream: Upstream;
  modelState: ModelState;
  reportedModelState: ModelState | undefined;
  open: OpenLoad;
  localLoad: Map<string, OpenLoad>;
  peerLoads: Map<string, PeerLoad>;
  faultWeight: number;
  faultAtMs: number;
  peerFaults: Map<string, {weight: number; atMs: number}>;
  unreachableAtMs: number;
}

/** Time constant of the exponential decay of faults. */
const FAULT_DECAY_MS = 3_000;
/** Faults seen by a peer count less, since its own link may be at fault. */
const PEER_FAULT_FRACTION = 0.4;
/** Smaller fault weights are left out of the broadcast. */
const MIN_BROADCAST_FAULT_WEIGHT = 0.1;
/** Time for which an upstream counts as unreachable after a failed connect. */
const UNREACHABLE_PERIOD_MS = 1_500;

function computeDecayedWeight(weight: number, elapsedMs: number): number {
  return weight * Math.exp(-Math.max(0, elapsedMs) / FAULT_DECAY_MS);
}

/**
 * Reads an entry of a record whose keys are names from other processes, and not
 * what each record inherits, such as `constructor`.
 */
function getOwnValue<T>(
  record: Readonly<Record<string, T>>,
  key: string,
): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}

function createOpenLoad(): OpenLoad {
  return {requests: 0, pendingPromptTokens: 0, tokens: 0};
}

type PeerLoad = Readonly<Record<string, readonly [number, number, number]>>;

/** Adds a peer's load of one upstream to a sum, or subtracts it. */
function addPeerLoad(sum: OpenLoad, load: PeerLoad, sign: 1 | -1): void {
  for (const [requests, pendingPromptTokens, tokens] of Object.values(load)) {
    sum.requests += sign * requests;
    sum.pendingPromptTokens += sign * pendingPromptTokens;
    sum.tokens += sign * tokens;
  }
}

function readRegisteredModels(upstream: Upstream): ModelState {
  return {
    models: new Map(
      (upstream.models ?? []).map(({name, adapters}) => [
        name,
        new Set(adapters),
      ]),
    ),
    arriving: undefined,
    warmLoadMs: new Map(),
    receivedAtMs: -Infinity,
  };
}

/** Creates an empty table. */
export function createUpstreamTable(): UpstreamTable {
  let entries = new Map<string, EntryState>();
  let byService = new Map<string, EntryState[]>();
  const loadByPeer = new Map<string, OpenLoadByUpstream>();

  const updateOpenLoad = (state: EntryState): void => {
    const sum = createOpenLoad();
    for (const count of state.localLoad.values()) {
      sum.requests += count.requests;
      sum.pendingPromptTokens += count.pendingPromptTokens;
      sum.tokens += count.tokens;
    }
    for (const peerLoad of state.peerLoads.values()) {
      addPeerLoad(sum, peerLoad, 1);
    }
    state.open = sum;
  };

  const createEntry = (upstream: Upstream): EntryState => {
    const state: EntryState = {
      upstream,
      modelState: readRegisteredModels(upstream),
      reportedModelState: undefined,
      open: createOpenLoad(),
      localLoad: new Map(),
      peerLoads: new Map(),
      progress: createUpstreamProgress(),
      faultWeight: 0,
      faultAtMs: 0,
      peerFaults: new Map(),
      unreachableAtMs: -Infinity,
      getFaultWeight: nowMs => {
        let peerWeight = 0;
        for (const {weight, atMs} of state.peerFaults.values()) {
          peerWeight += computeDecayedWeight(weight, nowMs - atMs);
        }
        return (
          computeDecayedWeight(state.faultWeight, nowMs - state.faultAtMs) +
          peerWeight * PEER_FAULT_FRACTION
        );
      },
      isUnreachable: nowMs =>
        nowMs - state.unreachableAtMs < UNREACHABLE_PERIOD_MS,
    };
    for (const [peer, open] of loadByPeer) {
      const peerLoad = getOwnValue(open, upstream.id);
      if (peerLoad !== undefined) state.peerLoads.set(peer, peerLoad);
    }
    updateOpenLoad(state);
    return state;
  };

  const change = (
    state: EntryState,
    key: string,
    requests: number,
    pendingPromptTokens: number,
    tokens: number,
  ): void => {
    const count = state.localLoad.get(key) ?? createOpenLoad();
    for (const target of [count, state.open]) {
      target.requests += requests;
      target.pendingPromptTokens += pendingPromptTokens;
      target.tokens += tokens;
    }
    if (count.requests === 0) state.localLoad.delete(key);
    else state.localLoad.set(key, count);
  };

  return {
    setUpstreams: upstreams => {
      const former = entries;
      entries = new Map();
      byService = new Map();
      for (const upstream of upstreams) {
        const known = former.get(upstream.id);
        const isSame =
          known !== undefined &&
          known.upstream.startedAtMs === upstream.startedAtMs;
        const entry = isSame ? known : createEntry(upstream);
        entry.upstream = upstream;
        entry.modelState =
          entry.reportedModelState ?? readRegisteredModels(upstream);
        entries.set(upstream.id, entry);
        const group = byService.get(upstream.service);
        if (group === undefined) byService.set(upstream.service, [entry]);
        else group.push(entry);
      }
    },
    setModelState: (id, startedAtMs, modelState) => {
      const entry = entries.get(id);
      if (entry?.upstream.startedAtMs !== startedAtMs) return;
      entry.reportedModelState = modelState;
      entry.modelState = modelState;
    },
    removeModel: ({id, startedAtMs}, model, askedAtMs) => {
      const entry = entries.get(id);
      if (entry?.upstream.startedAtMs !== startedAtMs) return;
      if (entry.modelState.receivedAtMs > askedAtMs) return;
      const models = new Map(entry.modelState.models);
      if (!models.delete(model)) return;
      entry.modelState = {...entry.modelState, models};
      entry.reportedModelState = entry.modelState;
    },
    resetModelState: () => {
      for (const entry of entries.values()) {
        entry.reportedModelState = undefined;
        entry.modelState = readRegisteredModels(entry.upstream);
      }
    },
    setPeerLoad: (peer, open) => {
      const former = loadByPeer.get(peer) ?? {};
      loadByPeer.set(peer, open);
      for (const id of Object.keys(former)) {
        const entry = entries.get(id);
        const formerLoad = entry?.peerLoads.get(peer);
        if (entry === undefined || formerLoad === undefined) continue;
        addPeerLoad(entry.open, formerLoad, -1);
        entry.peerLoads.delete(peer);
      }
      for (const [id, peerLoad] of Object.entries(open)) {
        const entry = entries.get(id);
        if (entry === undefined) continue;
        addPeerLoad(entry.open, peerLoad, 1);
        entry.peerLoads.set(peer, peerLoad);
      }
    },
    removePeer: peer => {
      loadByPeer.delete(peer);
      for (const entry of entries.values()) {
        entry.peerFaults.delete(peer);
        if (entry.peerLoads.delete(peer)) updateOpenLoad(entry);
      }
    },
    open: (id, key, promptTokens, tokens) => {
      const entry = entries.get(id);
      if (entry === undefined) {
        return {markPromptProcessed: () => undefined, end: () => undefined};
      }
      change(entry, key, 1, promptTokens, tokens);
      let isRead = false;
      let hasEnded = false;
      const markPromptProcessed = (): void => {
        if (isRead) return;
        isRead = true;
        change(entry, key, 0, -promptTokens, 0);
      };
      return {
        markPromptProcessed,
        end: () => {
          if (hasEnded) return;
          hasEnded = true;
          markPromptProcessed();
          change(entry, key, -1, 0, -tokens);
        },
      };
    },
    recordFault: (id, weight, nowMs) => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.faultWeight =
        computeDecayedWeight(entry.faultWeight, nowMs - entry.faultAtMs) +
        weight;
      entry.faultAtMs = nowMs;
    },
    recordUnreachable: (id, nowMs) => {
      const entry = entries.get(id);
      if (entry !== undefined) entry.unreachableAtMs = nowMs;
    },
    setPeerFaults: (peer, faults, nowMs) => {
      for (const [id, entry] of entries) {
        const weight = getOwnValue(faults, id);
        if (weight === undefined) entry.peerFaults.delete(peer);
        else entry.peerFaults.set(peer, {weight, atMs: nowMs});
      }
    },
    collectLocalFaults: nowMs => {
      const faultWeights = new Map<string, number>();
      for (const [id, {faultWeight, faultAtMs}] of entries) {
        const weight = computeDecayedWeight(faultWeight, nowMs - faultAtMs);
        if (weight >= MIN_BROADCAST_FAULT_WEIGHT) {
          faultWeights.set(id, Math.round(weight * 100) / 100);
        }
      }
      return Object.fromEntries(faultWeights);
    },
    getEntry: id => entries.get(id),
    listServiceUpstreams: service => byService.get(service) ?? [],
    collectLocalLoad: isByModel => {
      const loadByUpstream = new Map<
        string,
        Record<string, [number, number, number]>
      >();
      for (const [id, {localLoad}] of entries) {
        if (localLoad.size === 0) continue;
        const sums = new Map<string, [number, number, number]>();
        for (const [name, count] of localLoad) {
          const key = isByModel ? name : '';
          const sum = sums.get(key) ?? [0, 0, 0];
          sum[0] += count.requests;
          sum[1] += count.pendingPromptTokens;
          sum[2] += count.tokens;
          sums.set(key, sum);
        }
        loadByUpstream.set(id, Object.fromEntries(sums));
      }
      return Object.fromEntries(loadByUpstream);
    },
    countOpenRequests: () => {
      const counts = new Map<string, Map<string, number>>();
      for (const [id, {localLoad, peerLoads}] of entries) {
        const keys = new Map<string, number>();
        const add = (key: string, count: number): void =>
          void keys.set(key, (keys.get(key) ?? 0) + count);
        for (const [key, {requests}] of localLoad) add(key, requests);
        for (const peerLoad of peerLoads.values()) {
          for (const [key, [requests]] of Object.entries(peerLoad)) {
            add(key, requests);
          }
        }
        counts.set(id, keys);
      }
      return counts;
    },
  };
}
