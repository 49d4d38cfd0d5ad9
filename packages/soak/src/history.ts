/** Records of callers, upstreams and injected faults during a soak. */
import type {
  CallRecord,
  OrderRecord,
  RunRecord,
  TurnedAwayRecord,
} from '@siskinplank/platform-stand-ins';

import type {GatewayProcess} from './gateways';

/** Time span of an injected fault. */
export interface FaultSpan {
  kind: FaultKind;
  /** Index of the gateway or upstream; undefined if all are affected. */
  target: string | undefined;
  fromMs: number;
  /** Infinity while the fault is active. */
  toMs: number;
}

/** Faults and planned changes that a soak injects. */
export enum FaultKind {
  GatewayStop = 'gateway-stop',
  GatewayKill = 'gateway-kill',
  GatewayPause = 'gateway-pause',
  GatewayReload = 'gateway-reload',
  StoreOutage = 'store-outage',
  StoreSlow = 'store-slow',
  StoreLost = 'store-lost',
  StoreCompact = 'store-compact',
  StoreCut = 'store-cut',
  UpstreamCrash = 'upstream-crash',
  UpstreamDrain = 'upstream-drain',
  UpstreamFails = 'upstream-fails',
  UpstreamLosesResponses = 'upstream-loses',
  UpstreamUnresponsive = 'upstream-dark',
  UpstreamLateOrders = 'upstream-late-orders',
  LinkDelay = 'link-delay',
  LinkCut = 'link-cut',
  LinkStall = 'link-silent',
  /** A part of prompts ends the upstreams that begin to answer it. */
  PromptPoisoned = 'prompt-poisoned',
  /** The store returns from an older copy. */
  StoreRestored = 'store-restored',
  /** An upstream names a limit in its answers. */
  UpstreamLimited = 'upstream-limited',
  /** An upstream turns requests away and names a time to send nothing. */
  UpstreamBacksOff = 'upstream-backs-off',
  /** An upstream sends bytes without end. */
  UpstreamEndless = 'upstream-endless',
  /** A gateway is stopped again soon after its start. */
  GatewayStopSeries = 'gateway-stop-series',
  /** Streams of an upstream fall silent for a moment and go on. */
  UpstreamSilent = 'upstream-silent',
  KeyWithdrawn = 'key-withdrawn',
  LimitChanged = 'limit-changed',
}

/**
 * Planned operations, wishes of upstreams and short silences, during which no
 * violation is excused.
 */
export const PLANNED_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.GatewayStop,
  FaultKind.GatewayReload,
  FaultKind.UpstreamDrain,
  FaultKind.KeyWithdrawn,
  FaultKind.LimitChanged,
  FaultKind.UpstreamBacksOff,
  FaultKind.GatewayStopSeries,
  FaultKind.UpstreamSilent,
]);

/** Faults of the store alone, which excuse no missing answer. */
export const STORE_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.StoreOutage,
  FaultKind.StoreSlow,
  FaultKind.StoreLost,
  FaultKind.StoreCompact,
  FaultKind.StoreRestored,
]);

/** A SIGTERM to a gateway that ran. */
export interface StopSignal {
  gateway: string;
  atMs: number;
}

/** Limit of an account, in force from `fromMs`. */
export interface LimitSpan {
  account: string;
  ratePerSecond: number;
  burst: number;
  fromMs: number;
}

/** Start of an upstream's drain, when the store acknowledged its report. */
export interface DrainStart {
  upstreamId: string;
  atMs: number;
}

/**
 * Return of the store from an older copy. What it acknowledged after the copy
 * counts as acknowledged again once it is written again.
 */
export interface StoreRestore {
  copiedAtMs: number;
  /** When the store became unavailable. */
  awayAtMs: number;
  restoredAtMs: number;
  /** Infinity until all of it is written again. */
  configurationAgainAtMs: number;
  upstreamsAgainAtMs: number;
}

/** Limit that an upstream named in its answers. */
export interface NamedLimit {
  upstreamId: string;
  perSecond: number;
  fromMs: number;
  /** Infinity while it is named. */
  toMs: number;
}

/** A request that an upstream turned away with a time to send nothing. */
export interface TurnedAway extends TurnedAwayRecord {
  /** Index of the upstream, which is the target of faults. */
  upstreamIndex: number;
}

/** An upstream that ended under a prompt with a poisoned part. */
export interface PoisonedEnd {
  attemptId: string;
  upstreamId: string;
  atMs: number;
}

/** Input of the checks. */
export interface History {
  calls: CallRecord[];
  runs: RunRecord[];
  orders: OrderRecord[];
  /** Requests that arrived at upstreams, whether run or not. */
  arrivals: Array<{attemptId: string; upstreamId: string; atMs: number}>;
  faults: FaultSpan[];
  /** Time at which the store acknowledged the withdrawal, by key. */
  withdrawnKeys: Map<string, number>;
  limits: LimitSpan[];
  /** Drains of upstreams. */
  leaving: DrainStart[];
  restores: StoreRestore[];
  poisonedEnds: PoisonedEnd[];
  /** Poisoned part of the prompt, by attempt. */
  poisonedAttempts: Map<string, string>;
  namedLimits: NamedLimit[];
  turnedAway: TurnedAway[];
  stops: StopSignal[];
  /** All processes of all gateways. */
  processes: GatewayProcess[];
  /** Memory of an engine. */
  memoryMb: number;
}

/** A violated guarantee. */
export interface Violation {
  check: string;
  detail: string;
}

/** Creates a history without records. */
export function createHistory(memoryMb: number): History {
  return {
    calls: [],
    runs: [],
    orders: [],
    arrivals: [],
    faults: [],
    withdrawnKeys: new Map(),
    limits: [],
    leaving: [],
    restores: [],
    poisonedEnds: [],
    poisonedAttempts: new Map(),
    namedLimits: [],
    turnedAway: [],
    stops: [],
    processes: [],
    memoryMb,
  };
}
