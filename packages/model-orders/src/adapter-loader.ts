/** Loads adapters, and makes room for them by dropping the ones used longest ago. */
import type {Clock} from '@siskinplank/foundation';
import {OrderOperation} from '@siskinplank/serving';
import type {OrderSender} from './order-sender';
import {ResidencyState} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

/** What `createAdapterLoader` needs. */
export interface AdapterLoaderOptions {
  sender: OrderSender;
  clock: Clock;
  /** Adapters that an upstream can hold, those on their way included. */
  getAdapterSlots(): number;
  /** Whether requests are open that use `model/adapter` there. */
  isInUse(ledger: UpstreamInventory, key: string): boolean;
  onChange(): void;
}

/** Loads adapters, one after the other at each upstream. */
export interface AdapterLoader {
  /** Time until the adapter is present, or undefined when it cannot be. */
  load(
    ledger: UpstreamInventory,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
}

/** Longest time to repeat an order that is not answered, in milliseconds. */
const ADAPTER_PATIENCE_MS = 400;
/** Load time of an adapter from the store: 5 to 14 ms on the deployments. */
const ADAPTER_LOAD_MS = 16;

/** Counts adapters as present whose time to arrive is over. */
export function markLoadedAdapters(
  ledger: UpstreamInventory,
  nowMs: number,
): void {
  for (const holding of ledger.adapters.values()) {
    const hasArrived =
      holding.state === ResidencyState.Arriving &&
      nowMs >= holding.expectedAtMs;
    if (hasArrived) holding.state = ResidencyState.Present;
  }
}

/** Creates a loader. */
export function createAdapterLoader(
  options: AdapterLoaderOptions,
): AdapterLoader {
  const {sender, clock} = options;
  /** Places are counted before an order is answered, so loads wait in line. */
  const chains = new WeakMap<UpstreamInventory, Promise<unknown>>();

  /** Makes room for one adapter; false when all are in use. */
  const freePlace = async (ledger: UpstreamInventory): Promise<boolean> => {
    if (ledger.adapters.size < options.getAdapterSlots()) return true;
    const [oldest] = [...ledger.adapters]
      .filter(
        ([key, {state}]) =>
          state === ResidencyState.Present && !options.isInUse(ledger, key),
      )
      .sort(([, left], [, right]) => left.lastUsedAtMs - right.lastUsedAtMs);
    if (oldest === undefined) return false;
    const [key, holding] = oldest;
    holding.state = ResidencyState.Leaving;
    options.onChange();
    const [model, adapter] = key.split('/');
    const isSent = await sender.send(ledger, {
      operation: OrderOperation.Unload,
      model,
      adapter,
      maxWaitMs: ADAPTER_PATIENCE_MS,
      mayBeBusy: false,
    });
    if (isSent) ledger.adapters.delete(key);
    else holding.state = ResidencyState.Present;
    return isSent;
  };

  const loadOne = async (
    ledger: UpstreamInventory,
    model: string,
    adapter: string,
  ): Promise<number | undefined> => {
    // An upstream takes no other order while it loads a model.
    if (!ledger.isConfirmed || ledger.isChanging) return undefined;
    if (ledger.models.get(model)?.state !== ResidencyState.Present) {
      return undefined;
    }
    const key = `${model}/${adapter}`;
    markLoadedAdapters(ledger, clock.getNowMs());
    const known = ledger.adapters.get(key);
    if (known?.state === ResidencyState.Present) return 0;
    if (known?.state === ResidencyState.Leaving) return undefined;
    if (known?.state === ResidencyState.Arriving) {
      const leftMs = known.expectedAtMs - clock.getNowMs();
      return Number.isFinite(leftMs) ? Math.max(0, leftMs) : undefined;
    }
    if (!(await freePlace(ledger))) return undefined;
    const startedAtMs = clock.getNowMs();
    ledger.adapters.set(key, {
      state: ResidencyState.Arriving,
      sinceMs: startedAtMs,
      // Until the order is answered; without an answer a report settles it.
      expectedAtMs: Infinity,
      lastUsedAtMs: startedAtMs,
    });
    const isSent = await sender.send(ledger, {
      operation: OrderOperation.Load,
      model,
      adapter,
      maxWaitMs: ADAPTER_PATIENCE_MS,
      mayBeBusy: false,
    });
    const holding = ledger.adapters.get(key);
    if (!isSent || holding === undefined) return undefined;
    holding.expectedAtMs = clock.getNowMs() + ADAPTER_LOAD_MS;
    options.onChange();
    return ADAPTER_LOAD_MS;
  };

  return {
    load: (ledger, model, adapter) => {
      const before = chains.get(ledger) ?? Promise.resolve();
      const loaded = before.then(() => loadOne(ledger, model, adapter));
      chains.set(ledger, loaded);
      return loaded;
    },
  };
}
