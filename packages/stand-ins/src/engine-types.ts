/** Options, orders and fault commands of the engine stand-in. */
import {z} from 'zod';

/** Schema of `POST /orders`. */
export const orderSchema = z.object({
  orderId: z.string().min(1),
  fencing: z.int().min(0),
  type: z.enum([
    'load-model',
    'unload-model',
    'load-adapter',
    'unload-adapter',
    'set-role',
  ]),
  model: z.string().optional(),
  adapter: z.string().optional(),
  version: z.string().optional(),
  role: z.string().optional(),
  /** Used for names that are not in the engine's catalog. */
  memoryMiB: z.number().positive().optional(),
});

/** An order to the engine. */
export type EngineOrder = z.output<typeof orderSchema>;

const countSchema = z.int().min(0);

/** Schema of `POST /control/faults`; an absent field changes nothing. */
export const engineFaultSchema = z.strictObject({
  /** Resets every connection until set to false. */
  down: z.boolean().optional(),
  /** Loses all state, resets connections for `downMs`, then restarts empty. */
  crash: z.strictObject({downMs: z.number().min(0)}).optional(),
  /** Accepts the next orders but does not execute them. */
  loseOrders: countSchema.optional(),
  /** Executes the next orders after `delayMs`; replies at once. */
  delayOrders: z
    .strictObject({count: countSchema, delayMs: z.number().min(0)})
    .optional(),
  /** Executes the next orders a second time after `delayMs`. */
  duplicateOrders: z
    .strictObject({count: countSchema, delayMs: z.number().min(0)})
    .optional(),
  /** Executes the next orders and resets the connection. */
  dropOrderReplies: countSchema.optional(),
  /** Resets the connection of the next streams after some chunks. */
  cutStreams: z
    .strictObject({count: countSchema, afterChunks: countSchema})
    .optional(),
  /** Replies 500 to the next completion requests without running them. */
  failRequests: countSchema.optional(),
  /** Produces no tokens for this time. */
  pauseMs: z.number().min(0).optional(),
  statusLagMs: z.number().min(0).optional(),
  checksFencing: z.boolean().optional(),
});

export type EngineFault = z.input<typeof engineFaultSchema>;
/** A checked fault command. */
export type EngineFaultCommand = z.output<typeof engineFaultSchema>;

/** Memory sizes of models and adapters, which an engine reads from weights. */
export interface EngineCatalog {
  models: Record<string, {memoryMiB: number}>;
  adapters: Record<string, {model: string; memoryMiB: number}>;
}

/** Options of the engine stand-in; times are before `timeScale`. */
export interface EngineStandInOptions {
  port?: number;
  host?: string;
  name?: string;
  totalMemoryMiB?: number;
  catalog?: Partial<EngineCatalog>;
  /** Loaded from the start. */
  preloadedModels?: Array<{name: string; version?: string}>;
  preloadedAdapters?: Array<{name: string; model: string}>;
  /** Factor on all simulated times of the engine. */
  timeScale?: number;
  tokenMs?: number;
  batchSlope?: number;
  prefillMsPerToken?: number;
  maxBatch?: number;
  prefixCacheTokens?: number;
  cacheEventLagMs?: number;
  cacheEventGapEvery?: number;
  statusLagMs?: number;
  checksFencing?: boolean;
  /** Executes orders with the same id only once. */
  dedupsOrders?: boolean;
  /** Base address of the weight store; absent, loads take `modelLoadMs`. */
  weightStoreUrl?: string;
  modelLoadMs?: number;
  unloadMs?: number;
  adapterLoadMs?: number;
  adapterLoadsInFlight?: number;
  /**
   * Time, not scaled, for which a generation without a reader keeps running
   * and a finished one can be resumed.
   */
  resumeGraceMs?: number;
  defaultModelMemoryMiB?: number;
  defaultAdapterMemoryMiB?: number;
}

/** Options with defaults filled in. */
export type EngineConfig = Required<
  Omit<EngineStandInOptions, 'port' | 'host' | 'weightStoreUrl' | 'catalog'>
> & {weightStoreUrl?: string; catalog: EngineCatalog};

/** Fills in the defaults. */
export function applyEngineDefaults(
  options: EngineStandInOptions,
): EngineConfig {
  return {
    name: 'engine',
    totalMemoryMiB: 81_920,
    preloadedModels: [],
    preloadedAdapters: [],
    timeScale: 1,
    tokenMs: 20,
    batchSlope: 0.05,
    prefillMsPerToken: 0.5,
    maxBatch: 32,
    prefixCacheTokens: 65_536,
    cacheEventLagMs: 200,
    cacheEventGapEvery: 0,
    statusLagMs: 0,
    checksFencing: true,
    dedupsOrders: true,
    modelLoadMs: 2_000,
    unloadMs: 200,
    adapterLoadMs: 10,
    adapterLoadsInFlight: 24,
    resumeGraceMs: 10_000,
    defaultModelMemoryMiB: 16_384,
    defaultAdapterMemoryMiB: 256,
    ...options,
    catalog: {
      models: options.catalog?.models ?? {},
      adapters: options.catalog?.adapters ?? {},
    },
  };
}
