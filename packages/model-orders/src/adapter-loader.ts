/** Loads adapters, and evicts the least recently used ones to free slots. */
import type {Clock} from '@siskinplank/foundation';
import {OrderOperation} from '@siskinplank/serving';
import type {OrderSender} from './order-sender';
import {ResidencyState} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

/** What `createAdapterLoader` needs. */
export interface AdapterLoaderOptions {
  sender: OrderSender;
  clock: Clock;
  /** Adapters that an upstream can hold, including those being loaded. */
  getAdapterSlots(): number;
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
/** Load time of an adapter from the store: 5 to 14 ms in deployments. */
const ADAPTER_LOAD_MS = 16;

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
  /**
   * Last load on each upstream. Loads run one at a time, since slots are
   * counted before the response to an order arrives.
   */
  const lastLoads = new WeakMap<UpstreamInventory, Promise<unknown>>();

  /** Frees a slot if none is left; false if that fails. */
  const ensureFreeSlot = async (
    inventory: UpstreamInventory,
  ): Promise<boolean> => {
    if (inventory.adapters.size < options.getAdapterSlots()) return true;
    const [oldest] = [...inventory.adapters]
      .filter(
        ([key, {state}]) =>
          state === ResidencyState.Present && !options.isInUse(inventory, key),
      )
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

  const loadOne = async (
    inventory: UpstreamInventory,
    model: string,
    adapter: string,
  ): Promise<number | undefined> => {
    // An upstream accepts no other order while it loads a model.
    if (!inventory.isConfirmed || inventory.isChanging) return undefined;
    if (inventory.models.get(model)?.state !== ResidencyState.Present) {
      return undefined;
    }
    const key = `${model}/${adapter}`;
    markLoadedAdapters(inventory, clock.getNowMs());
    const known = inventory.adapters.get(key);
    if (known?.state === ResidencyState.Present) return 0;
    if (known?.state === ResidencyState.Leaving) return undefined;
    if (known?.state === ResidencyState.Arriving) {
      const leftMs = known.expectedAtMs - clock.getNowMs();
      return Number.isFinite(leftMs) ? Math.max(0, leftMs) : undefined;
    }
    if (!(await ensureFreeSlot(inventory))) return undefined;
    const startedAtMs = clock.getNowMs();
    inventory.adapters.set(key, {
      state: ResidencyState.Arriving,
      sinceMs: startedAtMs,
      // Set when the order is accepted; otherwise a report decides.
      expectedAtMs: Infinity,
      lastUsedAtMs: startedAtMs,
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
    options.onChange();
    return ADAPTER_LOAD_MS;
  };

  return {
    load: (inventory, model, adapter) => {
      const previous = lastLoads.get(inventory) ?? Promise.resolve();
      const loaded = previous.then(() => loadOne(inventory, model, adapter));
      lastLoads.set(inventory, loaded);
      return loaded;
    },
  };
}
