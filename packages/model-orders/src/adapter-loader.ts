/** Loads adapters, and evicts the least recently used ones to free slots. */
import type {Clock} from '@siskinplank/foundation';
import {OrderOperation} from '@siskinplank/serving';
import type {OrderSender} from './order-sender';
import {ResidencyState} from './upstream-inventory';
import type {AdapterResidency, UpstreamInventory} from './upstream-inventory';

/** What `createAdapterLoader` needs. */
export interface AdapterLoaderOptions {
  sender: OrderSender;
  clock: Clock;
  /** Adapters that an upstream can hold, including those being loaded. */
  getAdapterSlots(): number;
  /**
   * Longest time from the reply to a gateway until the request that it sends
   * then is included in `isInUse`, in milliseconds.
   */
  getOpenReportDelayMs(): number;
  /** Whether the upstream has open requests for `model/adapter`. */
  isInUse(inventory: UpstreamInventory, key: string): boolean;
  onChange(): void;
}

/** Loads adapters, one at a time on each upstream. */
export interface AdapterLoader {
  /**
   * Resolves to the time until the adapter is present, in milliseconds, or to
   * undefined if it cannot be loaded.
   */
  load(
    inventory: UpstreamInventory,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
}

/** Longest time to retry an order without a response, in milliseconds. */
const ADAPTER_MAX_WAIT_MS = 400;
/** Longest time to wait for a turn: gateways wait 450 ms for the reply. */
const MAX_TURN_WAIT_MS = 400;
/** Load time of an adapter from the store: 5 to 14 ms in deployments. */
const ADAPTER_LOAD_MS = 16;

/**
 * Loads on one upstream. They run one at a time, since slots are counted before
 * the response to an order arrives.
 */
interface LoadQueue {
  last: Promise<unknown>;
  /** Adapters of the loads that have not ended. */
  keys: string[];
}

/** Marks adapters as present once their expected load time has passed. */
export function markLoadedAdapters(
  inventory: UpstreamInventory,
  nowMs: number,
): void {
  for (const residency of inventory.adapters.values()) {
    const hasArrived =
      residency.state === ResidencyState.Arriving &&
      nowMs >= residency.expectedAtMs;
    if (hasArrived) residency.state = ResidencyState.Present;
  }
}

/** Creates a loader. */
export function createAdapterLoader(
  options: AdapterLoaderOptions,
): AdapterLoader {
  const {sender, clock} = options;
  const queues = new WeakMap<UpstreamInventory, LoadQueue>();

  /** Keeps an adapter until the request that chose it has been reported. */
  const reserve = (residency: AdapterResidency, readyInMs: number): void => {
    const nowMs = clock.getNowMs();
    residency.lastUsedAtMs = nowMs;
    residency.reservedUntilMs =
      nowMs + readyInMs + options.getOpenReportDelayMs();
  };

  const mayEvict = (
    inventory: UpstreamInventory,
    key: string,
    {state, reservedUntilMs}: AdapterResidency,
  ): boolean =>
    state === ResidencyState.Present &&
    clock.getNowMs() > reservedUntilMs &&
    !options.isInUse(inventory, key);

  /**
   * Whether a slot is left, or can be freed, once the loads that wait for their
   * turn have got theirs.
   */
  const hasSlot = (
    inventory: UpstreamInventory,
    {keys}: LoadQueue,
    key: string,
  ): boolean => {
    const {adapters} = inventory;
    const kept = [...adapters].filter(
      ([name, residency]) =>
        residency.state !== ResidencyState.Leaving &&
        !mayEvict(inventory, name, residency),
    );
    const added = new Set([...keys, key].filter(name => !adapters.has(name)));
    return kept.length + added.size <= options.getAdapterSlots();
  };

  /** Frees a slot if none is left; false if that fails. */
  const ensureFreeSlot = async (
    inventory: UpstreamInventory,
  ): Promise<boolean> => {
    if (inventory.adapters.size < options.getAdapterSlots()) return true;
    const [oldest] = [...inventory.adapters]
      .filter(([key, residency]) => mayEvict(inventory, key, residency))
      .sort(([, left], [, right]) => left.lastUsedAtMs - right.lastUsedAtMs);
    if (oldest === undefined) return false;
    const [key, residency] = oldest;
    residency.state = ResidencyState.Leaving;
    options.onChange();
    const [model, adapter] = key.split('/');
    const isSent = await sender.send(inventory, {
      operation: OrderOperation.Unload,
      model,
      adapter,
      maxWaitMs: ADAPTER_MAX_WAIT_MS,
      mayBeBusy: false,
    });
    if (isSent) inventory.adapters.delete(key);
    else residency.state = ResidencyState.Present;
    return isSent;
  };

  /** Reserves the adapter if it is there, and returns when it is ready. */
  const findKnown = (
    inventory: UpstreamInventory,
    key: string,
  ): {readyInMs: number | undefined} | undefined => {
    const nowMs = clock.getNowMs();
    markLoadedAdapters(inventory, nowMs);
    const known = inventory.adapters.get(key);
    if (known === undefined) return undefined;
    const isArriving = known.state === ResidencyState.Arriving;
    const leftMs = isArriving ? Math.max(0, known.expectedAtMs - nowMs) : 0;
    const isExpected =
      known.state !== ResidencyState.Leaving && Number.isFinite(leftMs);
    if (isExpected) reserve(known, leftMs);
    return {readyInMs: isExpected ? leftMs : undefined};
  };

  const mayLoad = (inventory: UpstreamInventory, model: string): boolean =>
    // An upstream accepts no other order while it loads a model.
    inventory.isConfirmed &&
    !inventory.isChanging &&
    inventory.models.get(model)?.state === ResidencyState.Present;

  const loadOne = async (
    inventory: UpstreamInventory,
    model: string,
    adapter: string,
  ): Promise<number | undefined> => {
    if (!mayLoad(inventory, model)) return undefined;
    const key = `${model}/${adapter}`;
    const known = findKnown(inventory, key);
    if (known !== undefined) return known.readyInMs;
    if (!(await ensureFreeSlot(inventory))) return undefined;
    const startedAtMs = clock.getNowMs();
    inventory.adapters.set(key, {
      state: ResidencyState.Arriving,
      sinceMs: startedAtMs,
      // Set when the order is accepted; otherwise a report decides.
      expectedAtMs: Infinity,
      lastUsedAtMs: startedAtMs,
      reservedUntilMs: -Infinity,
    });
    const isSent = await sender.send(inventory, {
      operation: OrderOperation.Load,
      model,
      adapter,
      maxWaitMs: ADAPTER_MAX_WAIT_MS,
      mayBeBusy: false,
    });
    const residency = inventory.adapters.get(key);
    if (!isSent || residency === undefined) return undefined;
    residency.expectedAtMs = clock.getNowMs() + ADAPTER_LOAD_MS;
    reserve(residency, ADAPTER_LOAD_MS);
    options.onChange();
    return ADAPTER_LOAD_MS;
  };

  return {
    load: async (inventory, model, adapter) => {
      if (!mayLoad(inventory, model)) return undefined;
      const key = `${model}/${adapter}`;
      const known = findKnown(inventory, key);
      if (known?.readyInMs !== undefined) return known.readyInMs;
      const queue = queues.get(inventory) ?? {
        last: Promise.resolve(),
        keys: [],
      };
      queues.set(inventory, queue);
      if (known === undefined && !hasSlot(inventory, queue, key))
        return undefined;
      queue.keys.push(key);
      const askedAtMs = clock.getNowMs();
      const loaded = queue.last.then(() =>
        clock.getNowMs() - askedAtMs > MAX_TURN_WAIT_MS
          ? undefined
          : loadOne(inventory, model, adapter),
      );
      queue.last = loaded;
      const readyInMs = await loaded;
      queue.keys.splice(queue.keys.indexOf(key), 1);
      return readyInMs;
    },
  };
}
