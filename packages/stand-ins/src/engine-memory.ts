/** Loaded models and adapters of the engine stand-in, and their memory. */
import {request as sendRequest} from 'undici';
import {waitMs} from './control';
import type {StandInLog} from './control';
import type {EngineConfig, EngineOrder} from './engine-types';

/** Whether a model or an adapter can be used. */
export enum ResidentState {
  Loading = 'loading',
  Loaded = 'loaded',
  Unloading = 'unloading',
}

/** A model or an adapter that occupies memory. */
export interface Resident {
  name: string;
  version: string;
  state: ResidentState;
  memoryMiB: number;
}

/** An adapter and its base model. */
export interface ResidentAdapter extends Resident {
  model: string;
}

/** How an order ended. */
export interface CompletedOrder {
  orderId: string;
  outcome: 'done' | 'failed';
  /** Engine time: milliseconds since the engine's start. */
  atMs: number;
}

/** Memory statistics of the stand-in, kept across crashes. */
export interface MemoryRecord {
  totalMiB: number;
  usedMiB: number;
  highWaterMiB: number;
  /** Orders that were executed although they exceeded `totalMiB`. */
  overcommitted: number;
}

/** The engine's memory. */
export interface EngineMemory {
  getRole(): string;
  listModels(): Resident[];
  listAdapters(): ResidentAdapter[];
  listCompletedOrders(): CompletedOrder[];
  getUsedMiB(): number;
  /** Base model and adapter of a loaded name; undefined if not loaded. */
  findTarget(name: string): {model: string; adapter: string} | undefined;
  executeOrder(order: EngineOrder): Promise<void>;
  /** Aborts all loads, as a crash does. */
  stop(): void;
}

const WEIGHT_STORE_RETRY_MS = 200;
const WEIGHT_STORE_ATTEMPTS = 5;
const MAX_COMPLETED_ORDERS = 256;
const HTTP_OK = 200;
const DRAIN_POLL_MS = 10;

/** Creates the memory with the preloaded models and adapters. */
export function createEngineMemory(
  config: EngineConfig,
  log: StandInLog,
  record: MemoryRecord,
  countUsers: (model: string, adapter: string) => number,
  getEngineMs: () => number,
): EngineMemory {
  const models = new Set<Resident>();
  const adapters = new Set<ResidentAdapter>();
  const completed: CompletedOrder[] = [];
  let role = 'both';
  let adapterLoads = 0;
  let isStopped = false;

  const getUsedMiB = (): number =>
    [...models, ...adapters].reduce((sum, {memoryMiB}) => sum + memoryMiB, 0);
  const recordMemory = (orderId: string): void => {
    const usedMiB = getUsedMiB();
    const hasGrown = usedMiB > record.usedMiB;
    record.usedMiB = usedMiB;
    record.highWaterMiB = Math.max(record.highWaterMiB, usedMiB);
    if (hasGrown && usedMiB > record.totalMiB) {
      record.overcommitted += 1;
      log.record('overcommitted', {
        orderId,
        usedMiB,
        totalMiB: record.totalMiB,
      });
    }
  };
  const fetchWeights = async (model: string): Promise<boolean> => {
    if (config.weightStoreUrl === undefined) {
      await waitMs(config.modelLoadMs * config.timeScale);
      return true;
    }
    const url = `${config.weightStoreUrl}/v1/weights/${encodeURIComponent(model)}`;
    for (let attempt = 0; attempt < WEIGHT_STORE_ATTEMPTS; attempt += 1) {
      if (isStopped) return false;
      try {
        const response = await sendRequest(url);
        await response.body.dump();
        if (response.statusCode === HTTP_OK) return true;
      } catch (error) {
        log.record('weight-store-failed', {model, reason: String(error)});
      }
      await waitMs(WEIGHT_STORE_RETRY_MS);
    }
    return false;
  };
  const loadModel = async (order: EngineOrder): Promise<boolean> => {
    const name = order.model ?? '';
    const version = order.version ?? '1';
    const memoryMiB =
      config.catalog.models[name]?.memoryMiB ??
      order.memoryMiB ??
      config.defaultModelMemoryMiB;
    const isResident = [...models].some(
      model =>
        model.name === name &&
        model.version === version &&
        model.state !== ResidentState.Unloading,
    );
    if (name === '') return false;
    if (isResident) return true;
    const model = {name, version, state: ResidentState.Loading, memoryMiB};
    models.add(model);
    recordMemory(order.orderId);
    const isFetched = await fetchWeights(name);
    if (isStopped) return false;
    if (!isFetched) models.delete(model);
    else if (model.state === ResidentState.Loading) {
      model.state = ResidentState.Loaded;
    }
    recordMemory(order.orderId);
    return isFetched;
  };
  const loadAdapter = async (order: EngineOrder): Promise<boolean> => {
    const name = order.adapter ?? '';
    const known = config.catalog.adapters[name];
    const base = order.model ?? known?.model ?? '';
    const isBaseLoaded = [...models].some(
      model => model.name === base && model.state === ResidentState.Loaded,
    );
    if (name === '' || !isBaseLoaded) return false;
    const version = order.version ?? '1';
    const isResident = [...adapters].some(
      adapter =>
        adapter.name === name &&
        adapter.version === version &&
        adapter.state !== ResidentState.Unloading,
    );
    if (isResident) return true;
    const memoryMiB =
      known?.memoryMiB ?? order.memoryMiB ?? config.defaultAdapterMemoryMiB;
    const adapter: ResidentAdapter = {
      name,
      version,
      model: base,
      state: ResidentState.Loading,
      memoryMiB,
    };
    adapters.add(adapter);
    recordMemory(order.orderId);
    adapterLoads += 1;
    const slowdown = Math.max(1, adapterLoads / config.adapterLoadsInFlight);
    await waitMs(config.adapterLoadMs * config.timeScale * slowdown);
    adapterLoads -= 1;
    if (adapter.state === ResidentState.Loading) {
      adapter.state = ResidentState.Loaded;
    }
    return !isStopped;
  };
  /** Unloads residents once no generation uses them. */
  const unloadAll = async <R extends Resident>(
    table: Set<R>,
    chosen: readonly R[],
    countResidentUsers: (resident: R) => number,
  ): Promise<void> => {
    for (const resident of chosen) resident.state = ResidentState.Unloading;
    await waitMs(config.unloadMs * config.timeScale);
    for (const resident of chosen) {
      while (!isStopped && countResidentUsers(resident) > 0) {
        await waitMs(DRAIN_POLL_MS);
      }
      table.delete(resident);
    }
  };
  const unloadAdapters = (
    isChosen: (adapter: ResidentAdapter) => boolean,
  ): Promise<void> =>
    unloadAll(adapters, [...adapters].filter(isChosen), adapter =>
      countUsers(adapter.model, adapter.name),
    );
  const unloadModel = async (order: EngineOrder): Promise<boolean> => {
    const chosen = [...models].filter(
      ({name, version}) =>
        name === order.model &&
        (order.version === undefined || version === order.version),
    );
    const isLastVersion = ![...models].some(
      model => model.name === order.model && !chosen.includes(model),
    );
    await Promise.all([
      unloadAll(models, chosen, model =>
        isLastVersion ? countUsers(model.name, '') : 0,
      ),
      isLastVersion
        ? unloadAdapters(adapter => adapter.model === order.model)
        : undefined,
    ]);
    return true;
  };
  const runOrder = async (order: EngineOrder): Promise<boolean> => {
    switch (order.type) {
      case 'load-model':
        return loadModel(order);
      case 'load-adapter':
        return loadAdapter(order);
      case 'unload-model':
        return unloadModel(order);
      case 'unload-adapter':
        await unloadAdapters(
          ({name, version}) =>
            name === order.adapter &&
            (order.version === undefined || version === order.version),
        );
        return true;
      case 'set-role':
        role = order.role ?? role;
        return true;
    }
  };
  for (const {name, version = '1'} of config.preloadedModels) {
    const memoryMiB =
      config.catalog.models[name]?.memoryMiB ?? config.defaultModelMemoryMiB;
    models.add({name, version, state: ResidentState.Loaded, memoryMiB});
  }
  for (const {name, model} of config.preloadedAdapters) {
    const memoryMiB =
      config.catalog.adapters[name]?.memoryMiB ??
      config.defaultAdapterMemoryMiB;
    const state = ResidentState.Loaded;
    adapters.add({name, model, version: '1', state, memoryMiB});
  }
  recordMemory('preload');
  return {
    getRole: () => role,
    listModels: () => [...models].map(model => ({...model})),
    listAdapters: () => [...adapters].map(adapter => ({...adapter})),
    listCompletedOrders: () => [...completed],
    getUsedMiB,
    findTarget: name => {
      const isUsable = (resident: Resident): boolean =>
        resident.name === name && resident.state === ResidentState.Loaded;
      if ([...models].some(isUsable)) return {model: name, adapter: ''};
      const adapter = [...adapters].find(isUsable);
      if (adapter === undefined) return undefined;
      return {model: adapter.model, adapter: name};
    },
    executeOrder: async order => {
      const isDone = await runOrder(order);
      if (isStopped) return;
      recordMemory(order.orderId);
      const outcome = isDone ? 'done' : 'failed';
      log.record('order-completed', {orderId: order.orderId, outcome});
      completed.push({
        orderId: order.orderId,
        outcome,
        atMs: getEngineMs(),
      });
      if (completed.length > MAX_COMPLETED_ORDERS) completed.shift();
    },
    stop: () => {
      isStopped = true;
    },
  };
}
