/** Upstreams of a soak, each behind a proxy, and their entries in the store. */
import type {Random} from '@siskinplank/foundation';
import {startServerStandIn} from '@siskinplank/platform-stand-ins';
import type {
  ServerStandIn,
  ServerStandInOptions,
  StoreStandIn,
} from '@siskinplank/platform-stand-ins';
import {createFaultProxy} from '@siskinplank/stand-ins';
import type {FaultProxy} from '@siskinplank/stand-ins';
import type {History} from './history';

/** Where an upstream says that it leaves. */
export enum LeavingNotice {
  Store = 'store',
  Responses = 'responses',
  Both = 'both',
}

/** An upstream and the reports of its state to the store. */
export interface SoakUpstream {
  readonly standIn: ServerStandIn;
  readonly proxy: FaultProxy;
  /** Registers it as ready. */
  register(): void;
  /** Says that it leaves; the entry stays in the store. */
  drain(notice: LeavingNotice): void;
  /** Removes the entry from the store, as its expiry after a crash does. */
  removeEntry(): void;
}

/** Models of the soak; two of them fit into the memory of an upstream. */
export const MODELS = ['m0', 'm1', 'm2', 'm3'] as const;
export const MODEL_MB = 40_000;
export const MEMORY_MB = 100_000;
export const ADAPTER_SLOTS = 4;
const LOAD_MS = 400;
/** Time for which an upstream is down after a poisoned prompt. */
const RESTART_MS = 1_500;
const ENGINE_SLOTS = 32;
const PLAIN_SLOTS = 6;

/** Settings that a plan chooses; by default those of the other plans. */
export interface SoakUpstreamOptions {
  eventIntervalMs?: number;
  softwareVersion?: string;
  failureDomain?: string;
  slots?: number;
  /** Whether gateways reach it without its proxy, which costs less time. */
  isDirect?: boolean;
  engine?: ServerStandInOptions['engine'];
}

/** Starts an upstream without registering it. */
export async function createSoakUpstream(
  service: 'engines' | 'desk',
  index: number,
  store: StoreStandIn,
  history: History,
  random: Random,
  getNowMs: () => number,
  options: SoakUpstreamOptions = {},
): Promise<SoakUpstream> {
  const isEngine = service === 'engines';
  const standIn = await startServerStandIn({
    service,
    failureDomain: options.failureDomain ?? ['a', 'b', 'c'][index % 3],
    engine: isEngine
      ? (options.engine ?? {
          memoryMb: MEMORY_MB,
          modelSizesMb: new Map(MODELS.map(name => [name, MODEL_MB])),
          initialModels: [MODELS[index % MODELS.length]],
          loadMs: LOAD_MS,
        })
      : undefined,
    eventIntervalMs: options.eventIntervalMs,
    softwareVersion: options.softwareVersion,
    slots: options.slots ?? (isEngine ? ENGINE_SLOTS : PLAIN_SLOTS),
    random: random.getNext,
    getNowMs,
    onRun: run => history.runs.push(run),
    onOrder: order => history.orders.push(order),
    onArrival: (attemptId, upstreamId, atMs) =>
      history.arrivals.push({attemptId, upstreamId, atMs}),
    onTurnedAway: record =>
      history.turnedAway.push({...record, upstreamIndex: index}),
    onPoisoned: (attemptId, upstreamId, atMs) => {
      history.poisonedEnds.push({attemptId, upstreamId, atMs});
      setTimeout(() => {
        // An injected fault may have restarted it since.
        if (standIn.getId() !== upstreamId) return;
        store.removeServer(upstreamId);
        standIn.restart();
        put('ready');
      }, RESTART_MS);
    },
  });
  const proxy = await createFaultProxy({targetPort: standIn.port});
  const port = options.isDirect === true ? standIn.port : proxy.port;
  const address = `127.0.0.1:${port}`;
  const put = (state: string): void =>
    store.putServer(standIn.getId(), standIn.describe(address, state));
  return {
    standIn,
    proxy,
    register: () => put('ready'),
    drain: notice => {
      if (notice !== LeavingNotice.Store) standIn.startLeaving();
      if (notice === LeavingNotice.Responses) return;
      put('draining');
      history.leaving.push({upstreamId: standIn.getId(), atMs: getNowMs()});
    },
    removeEntry: () => store.removeServer(standIn.getId()),
  };
}
