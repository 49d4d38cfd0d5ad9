/** What callers, upstreams and the operator saw during a soak. */
import type {
  CallRecord,
  OrderRecord,
  RunRecord,
} from '@siskinplank/platform-stand-ins';

/** A span in which something was disturbed from outside. */
export interface FaultSpan {
  kind: FaultKind;
  /** Gateway or upstream; undefined when it concerns all. */
  target: string | undefined;
  fromMs: number;
  /** Infinity while it lasts. */
  toMs: number;
}

/** Faults and planned changes that a soak makes. */
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
  UpstreamLoses = 'upstream-loses',
  UpstreamDark = 'upstream-dark',
  UpstreamLateOrders = 'upstream-late-orders',
  LinkDelay = 'link-delay',
  LinkCut = 'link-cut',
  LinkSilent = 'link-silent',
  KeyWithdrawn = 'key-withdrawn',
  LimitChanged = 'limit-changed',
}

/** Kinds that are planned work and excuse nothing. */
export const PLANNED_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.GatewayStop,
  FaultKind.GatewayReload,
  FaultKind.UpstreamDrain,
  FaultKind.KeyWithdrawn,
  FaultKind.LimitChanged,
]);

/** Limit of an account from a time on. */
export interface LimitSpan {
  account: string;
  ratePerSecond: number;
  burst: number;
  fromMs: number;
}

/** An upstream whose leaving the store has acknowledged. */
export interface Leaving {
  upstreamId: string;
  atMs: number;
}

/** Everything that is judged. */
export interface History {
  calls: CallRecord[];
  runs: RunRecord[];
  orders: OrderRecord[];
  /** Arrivals at upstreams, run or not. */
  arrivals: Array<{attemptId: string; upstreamId: string; atMs: number}>;
  faults: FaultSpan[];
  /** When the store acknowledged that a key is gone. */
  withdrawnKeys: Map<string, number>;
  limits: LimitSpan[];
  leaving: Leaving[];
  roomMb: number;
}

/** A broken promise. */
export interface Violation {
  check: string;
  detail: string;
}
