/** What one gateway knows of each upstream: what it holds and what is open there. */
import type {Upstream} from '@siskinplank/serving';
import {createUpstreamProgress} from './progress';
import type {UpstreamProgress} from './progress';

/** Open requests of one model, or of one adapter of it. */
export interface OpenLoad {
  requests: number;
  /** Prompt tokens of requests without a first event. */
  pendingPromptTokens: number;
  /** Tokens of all open requests, those to be generated included. */
  tokens: number;
}

/** A model that is on its way. */
export interface LoadingModel {
  model: string;
  /** Monotonic time at which it should be present; undefined if unknown. */
  expectedAtMs: number | undefined;
}

/** Models and adapters that can be used now. */
export interface ModelState {
  /** Adapters that are present, by model. */
  models: ReadonlyMap<string, ReadonlySet<string>>;
  arriving: LoadingModel | undefined;
}

/** One upstream. */
export interface UpstreamEntry {
  readonly upstream: Upstream;
  readonly modelState: ModelState;
  /** Sum over all gateways. */
  readonly open: Readonly<OpenLoad>;
  /** Open requests of this gateway, by model or `model/adapter`. */
  readonly localLoad: ReadonlyMap<string, OpenLoad>;
  readonly progress: UpstreamProgress;
  /** Weight of the faults seen lately by all gateways, 0 when there were none. */
  getFaultWeight(nowMs: number): number;
  /** Whether no connection could be opened lately. */
  isUnreachable(nowMs: number): boolean;
}

/** A request of this gateway that is open at an upstream. */
export interface OpenRequest {
  /** The first event, or the whole answer, has come. */
  markPromptProcessed(): void;
  end(): void;
}

/** Open requests by model, as gateways tell each other. */
export type OpenLoadByUpstream = Readonly<
  Record<string, Readonly<Record<string, readonly [number, number, number]>>>
>;

/** Entries of the upstreams that may be used. */
export interface UpstreamTable {
  /** Replaces the upstreams; what is known of those that stay is kept. */
  setUpstreams(upstreams: Iterable<Upstream>): void;
  /** Sets holdings that are newer than the registration. */
  setModelState(id: string, startedAtMs: number, holdings: ModelState): void;
  /** Falls back to the registrations. */
  resetModelState(): void;
  setPeerLoad(peer: string, open: OpenLoadByUpstream): void;
  removePeer(peer: string): void;
  /** Notes a request that is about to be sent. */
  open(
    id: string,
    key: string,
    promptTokens: number,
    tokens: number,
  ): OpenRequest;
  /** Notes a fault of an upstream. */
  recordFault(id: string, weight: number, nowMs: number): void;
  /** Notes that no connection could be opened. */
  recordUnreachable(id: string, nowMs: number): void;
  /** Faults that a peer has seen, by upstream. */
  setPeerFaults(
    peer: string,
    faults: Readonly<Record<string, number>>,
    nowMs: number,
  ): void;
  /** Faults that this gateway has seen lately, for the others. */
  collectLocalFaults(nowMs: number): Record<string, number>;
  getEntry(id: string): UpstreamEntry | undefined;
  listServiceUpstreams(service: string): readonly UpstreamEntry[];
  /** Open requests of this gateway, for the others. */
  collectLocalLoad(): Record<string, Record<string, [number, number, number]>>;
  /** Requests of all gateways by upstream and by model or `model/adapter`. */
  countOpenRequests(): Map<string, Map<string, number>>;
}

interface EntryState extends UpstreamEntry {
  upstream: Upstream;
  modelState: ModelState;
  toldHoldings: ModelState | undefined;
  open: OpenLoad;
  localLoad: Map<string, OpenLoad>;
  peers: Map<
    string,
    Readonly<Record<string, readonly [number, number, number]>>
  >;
  faultWeight: number;
  faultAtMs: number;
  peerFaults: Map<string, {weight: number; atMs: number}>;
  unreachableAtMs: number;
}

/** Time constant with which faults are forgotten. */
const FAULT_TIME_MS = 3_000;
/** Faults of others count for a part, since a link may be at fault. */
const PEER_FAULT_SHARE = 0.4;
/** Faults below this are not worth telling. */
const MIN_TOLD_FAULT = 0.1;
/** Time for which an upstream without a connection is tried last. */
const UNREACHABLE_MS = 1_500;

function computeDecayed(weight: number, elapsedMs: number): number {
  return weight * Math.exp(-Math.max(0, elapsedMs) / FAULT_TIME_MS);
}

function createOpenCount(): OpenLoad {
  return {requests: 0, pendingPromptTokens: 0, tokens: 0};
}

function readHoldings(upstream: Upstream): ModelState {
  return {
    models: new Map(
      (upstream.models ?? []).map(({name, adapters}) => [
        name,
        new Set(adapters),
      ]),
    ),
    arriving: undefined,
  };
}

/** Creates an empty table. */
export function createUpstreamTable(): UpstreamTable {
  let entries = new Map<string, EntryState>();
  let byService = new Map<string, EntryState[]>();
  const peerOpen = new Map<string, OpenLoadByUpstream>();

  const sumOpen = (state: EntryState): void => {
    const sum = createOpenCount();
    for (const count of state.localLoad.values()) {
      sum.requests += count.requests;
      sum.pendingPromptTokens += count.pendingPromptTokens;
      sum.tokens += count.tokens;
    }
    for (const told of state.peers.values()) {
      for (const [requests, unreadTokens, tokens] of Object.values(told)) {
        sum.requests += requests;
        sum.pendingPromptTokens += unreadTokens;
        sum.tokens += tokens;
      }
    }
    state.open = sum;
  };

  const createEntry = (upstream: Upstream): EntryState => {
    const state: EntryState = {
      upstream,
      modelState: readHoldings(upstream),
      toldHoldings: undefined,
      open: createOpenCount(),
      localLoad: new Map(),
      peers: new Map(),
      progress: createUpstreamProgress(),
      faultWeight: 0,
      faultAtMs: 0,
      peerFaults: new Map(),
      unreachableAtMs: -Infinity,
      getFaultWeight: nowMs => {
        let told = 0;
        for (const {weight, atMs} of state.peerFaults.values()) {
          told += computeDecayed(weight, nowMs - atMs);
        }
        return (
          computeDecayed(state.faultWeight, nowMs - state.faultAtMs) +
          told * PEER_FAULT_SHARE
        );
      },
      isUnreachable: nowMs => nowMs - state.unreachableAtMs < UNREACHABLE_MS,
    };
    for (const [peer, open] of peerOpen) {
      const told = open[upstream.id];
      if (told !== undefined) state.peers.set(peer, told);
    }
    sumOpen(state);
    return state;
  };

  const change = (
    state: EntryState,
    key: string,
    requests: number,
    unreadTokens: number,
    tokens: number,
  ): void => {
    const count = state.localLoad.get(key) ?? createOpenCount();
    for (const target of [count, state.open]) {
      target.requests += requests;
      target.pendingPromptTokens += unreadTokens;
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
        entry.modelState = entry.toldHoldings ?? readHoldings(upstream);
        entries.set(upstream.id, entry);
        const group = byService.get(upstream.service);
        if (group === undefined) byService.set(upstream.service, [entry]);
        else group.push(entry);
      }
    },
    setModelState: (id, startedAtMs, holdings) => {
      const entry = entries.get(id);
      if (entry?.upstream.startedAtMs !== startedAtMs) return;
      entry.toldHoldings = holdings;
      entry.modelState = holdings;
    },
    resetModelState: () => {
      for (const entry of entries.values()) {
        entry.toldHoldings = undefined;
        entry.modelState = readHoldings(entry.upstream);
      }
    },
    setPeerLoad: (peer, open) => {
      peerOpen.set(peer, open);
      for (const entry of entries.values()) {
        const told = open[entry.upstream.id];
        if (told === undefined) {
          if (!entry.peers.delete(peer)) continue;
        } else {
          entry.peers.set(peer, told);
        }
        sumOpen(entry);
      }
    },
    removePeer: peer => {
      peerOpen.delete(peer);
      for (const entry of entries.values()) {
        entry.peerFaults.delete(peer);
        if (entry.peers.delete(peer)) sumOpen(entry);
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
      const noteRead = (): void => {
        if (isRead) return;
        isRead = true;
        change(entry, key, 0, -promptTokens, 0);
      };
      return {
        markPromptProcessed: noteRead,
        end: () => {
          if (hasEnded) return;
          hasEnded = true;
          noteRead();
          change(entry, key, -1, 0, -tokens);
        },
      };
    },
    recordFault: (id, weight, nowMs) => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.faultWeight =
        computeDecayed(entry.faultWeight, nowMs - entry.faultAtMs) + weight;
      entry.faultAtMs = nowMs;
    },
    recordUnreachable: (id, nowMs) => {
      const entry = entries.get(id);
      if (entry !== undefined) entry.unreachableAtMs = nowMs;
    },
    setPeerFaults: (peer, faults, nowMs) => {
      for (const [id, entry] of entries) {
        const weight = faults[id];
        if (weight === undefined) entry.peerFaults.delete(peer);
        else entry.peerFaults.set(peer, {weight, atMs: nowMs});
      }
    },
    collectLocalFaults: nowMs => {
      const described: Record<string, number> = {};
      for (const [id, {faultWeight, faultAtMs}] of entries) {
        const weight = computeDecayed(faultWeight, nowMs - faultAtMs);
        if (weight >= MIN_TOLD_FAULT) {
          described[id] = Math.round(weight * 100) / 100;
        }
      }
      return described;
    },
    getEntry: id => entries.get(id),
    listServiceUpstreams: service => byService.get(service) ?? [],
    collectLocalLoad: () => {
      const described: ReturnType<UpstreamTable['collectLocalLoad']> = {};
      for (const [id, {localLoad: own}] of entries) {
        if (own.size === 0) continue;
        const keys: Record<string, [number, number, number]> = {};
        for (const [key, count] of own) {
          keys[key] = [count.requests, count.pendingPromptTokens, count.tokens];
        }
        described[id] = keys;
      }
      return described;
    },
    countOpenRequests: () => {
      const counted = new Map<string, Map<string, number>>();
      for (const [id, {localLoad: own, peers}] of entries) {
        const keys = new Map<string, number>();
        const add = (key: string, count: number): void =>
          void keys.set(key, (keys.get(key) ?? 0) + count);
        for (const [key, {requests}] of own) add(key, requests);
        for (const told of peers.values()) {
          for (const [key, [requests]] of Object.entries(told)) {
            add(key, requests);
          }
        }
        counted.set(id, keys);
      }
      return counted;
    },
  };
}
