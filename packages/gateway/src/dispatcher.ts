/** Finds an upstream for each request; lets requests wait for models and adapters. */
import {planWait} from '@siskinplank/dispatch';
import type {
  DispatchPolicy,
  UpstreamEntry,
  UpstreamTable,
} from '@siskinplank/dispatch';
import type {Clock, Timer} from '@siskinplank/foundation';

/** A request in search of an upstream. */
export interface UpstreamSearch {
  service: string;
  model: string | undefined;
  adapter: string | undefined;
  promptTokens: number;
  triedUpstreamIds: ReadonlySet<string>;
  arrivedAtMs: number;
  deadlineAtMs: number;
  targetLatencyMs: number;
  targetPauseMs: number | undefined;
  /** Called once, unless the ticket is cancelled. */
  onUpstream(entry: UpstreamEntry): void;
  onRefused(retryAfterMs: number | undefined): void;
}

/** What `createDispatcher` needs. */
export interface DispatcherOptions {
  table: UpstreamTable;
  policy: DispatchPolicy;
  failureDomain: string;
  clock: Clock;
  /** Time until which requests are started; undefined unless this gateway leaves. */
  getLastStartAtMs(): number | undefined;
  /** Whether some upstream of the service may be ordered to load the model. */
  canLoad(service: string, model: string): boolean;
  /** Time until the adapter is present there, or undefined when it cannot be. */
  loadAdapter(
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
  /** A request waits for a model that no upstream holds. */
  onWaiting(): void;
}

/** Finds upstreams. */
export interface Dispatcher {
  /** Calls the ticket back now or later; the result takes it out. */
  acquire(ticket: UpstreamSearch): () => void;
  /** Looks at all waiting tickets again. */
  retryWaiting(): void;
  /** Waiting requests and the age of the oldest, by model. */
  describeWaiting(
    nowMs: number,
  ): Map<string, {count: number; oldestMs: number}>;
}

/** Period in which waiting tickets are looked at without a change. */
const RECONSIDER_MS = 40;
/** Upstreams tried for one adapter before the request is refused. */
const MAX_ADAPTER_TRIES = 3;

interface WaitingTicket {
  ticket: UpstreamSearch;
  /** Upstreams that could not load the adapter. */
  refusedIds: Set<string>;
  /** Whether an adapter is on its way for it. */
  isPreparing: boolean;
  isDone: boolean;
  adapterTries: number;
}

/** Creates a dispatcher without waiting tickets. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {table, policy, clock} = options;
  const waiting = new Set<WaitingTicket>();
  let timer: Timer | undefined;

  const finish = (item: WaitingTicket): boolean => {
    if (item.isDone) return false;
    item.isDone = true;
    waiting.delete(item);
    return true;
  };

  /** When an upstream will hold the model, or can load its adapter. */
  const findExpectedAtMs = (ticket: UpstreamSearch): number | undefined => {
    const {model} = ticket;
    if (model === undefined) return undefined;
    let earliestMs: number | undefined;
    for (const {modelState: holdings} of table.listServiceUpstreams(
      ticket.service,
    )) {
      const {arriving, models} = holdings;
      if (arriving === undefined) continue;
      if (arriving.model !== model && !models.has(model)) continue;
      const {expectedAtMs} = arriving;
      if (expectedAtMs === undefined) continue;
      earliestMs = Math.min(earliestMs ?? Infinity, expectedAtMs);
    }
    return earliestMs;
  };

  const prepareAdapter = (
    item: WaitingTicket,
    entry: UpstreamEntry,
    model: string,
    adapter: string,
  ): void => {
    item.isPreparing = true;
    item.adapterTries += 1;
    const {id, startedAtMs} = entry.upstream;
    void options.loadAdapter(id, model, adapter).then(async readyInMs => {
      if (readyInMs !== undefined && readyInMs > 0) {
        await clock.waitMs(readyInMs);
      }
      item.isPreparing = false;
      if (item.isDone) return;
      const current = table.getEntry(id);
      const isReady =
        readyInMs !== undefined &&
        current?.upstream.startedAtMs === startedAtMs &&
        current.modelState.models.has(model);
      if (isReady) {
        if (finish(item)) item.ticket.onUpstream(current);
        return;
      }
      item.refusedIds.add(id);
      consider(item);
    });
  };

  const refuse = (
    item: WaitingTicket,
    retryAfterMs: number | undefined,
  ): void => {
    if (finish(item)) item.ticket.onRefused(retryAfterMs);
  };

  /** Serves, keeps or refuses one ticket. */
  const consider = (item: WaitingTicket): void => {
    if (item.isDone || item.isPreparing) return;
    const {ticket} = item;
    const nowMs = clock.getNowMs();
    const excluded =
      item.refusedIds.size === 0
        ? ticket.triedUpstreamIds
        : new Set([...ticket.triedUpstreamIds, ...item.refusedIds]);
    const choice = policy.chooseUpstream(
      {
        model: ticket.model,
        adapter: ticket.adapter,
        promptTokens: ticket.promptTokens,
        triedUpstreamIds: excluded,
        failureDomain: options.failureDomain,
      },
      table.listServiceUpstreams(ticket.service),
      nowMs,
    );
    if (choice !== undefined) {
      const {model, adapter} = ticket;
      const needsOrder =
        choice.needsAdapterLoad && model !== undefined && adapter !== undefined;
      if (!needsOrder) {
        if (finish(item)) ticket.onUpstream(choice.entry);
        return;
      }
      if (item.adapterTries >= MAX_ADAPTER_TRIES) refuse(item, undefined);
      else prepareAdapter(item, choice.entry, model, adapter);
      return;
    }
    const decision = planWait({
      arrivedAtMs: ticket.arrivedAtMs,
      deadlineAtMs: ticket.deadlineAtMs,
      targetLatencyMs: ticket.targetLatencyMs,
      targetPauseMs: ticket.targetPauseMs,
      expectedAtMs: findExpectedAtMs(ticket),
      lastStartAtMs: options.getLastStartAtMs(),
      canBeLoaded:
        ticket.model !== undefined &&
        options.canLoad(ticket.service, ticket.model),
      nowMs,
    });
    if (decision.isRefused) {
      refuse(item, decision.retryAfterMs);
      return;
    }
    if (waiting.has(item)) return;
    waiting.add(item);
    options.onWaiting();
    scheduleLook();
  };

  const reconsider = (): void => {
    for (const item of [...waiting]) consider(item);
  };

  const scheduleLook = (): void => {
    if (timer !== undefined || waiting.size === 0) return;
    timer = clock.startTimer(RECONSIDER_MS, () => {
      timer = undefined;
      reconsider();
      scheduleLook();
    });
  };

  return {
    acquire: ticket => {
      const item: WaitingTicket = {
        ticket,
        refusedIds: new Set(),
        isPreparing: false,
        isDone: false,
        adapterTries: 0,
      };
      consider(item);
      return () => void finish(item);
    },
    retryWaiting: reconsider,
    describeWaiting: nowMs => {
      const described = new Map<string, {count: number; oldestMs: number}>();
      for (const {ticket} of waiting) {
        if (ticket.model === undefined) continue;
        const known = described.get(ticket.model) ?? {count: 0, oldestMs: 0};
        known.count += 1;
        known.oldestMs = Math.max(known.oldestMs, nowMs - ticket.arrivedAtMs);
        described.set(ticket.model, known);
      }
      return described;
    },
  };
}
