/** The two deployments at today's size, with model times compressed. */
import type {ServiceStandInOptions} from '@siskinplank/stand-ins';

/** Names of the deployments. */
export enum DeploymentName {
  Plaksne = 'plaksne',
  Banat = 'banat',
}

/** Size of a deployment and its load. */
export interface Deployment {
  name: DeploymentName;
  engines: number;
  failureDomains: number;
  services: number;
  entries: number;
  models: number;
  adapters: number;
  /** Weight store, before compression. */
  loadsPerSecond: number;
  concurrentLoads: number;
  /** Range of adapter load times in milliseconds, before compression. */
  adapterLoadMs: readonly [number, number];
  adapterLoadsInFlight: number;
  /** Share of each client account in the load. */
  accountShares: Readonly<Record<string, number>>;
  serviceOptions: ServiceStandInOptions;
}

/** Factor on all model times: generation, prefill, loads and targets. */
export const COMPRESSION = 0.5;
/** Latency targets before compression. */
export const FIRST_TOKEN_TARGET_MS = 1_700;
export const BETWEEN_TOKENS_TARGET_MS = 78;
/** Step of one sequence and the share that each further one adds to it. */
export const TOKEN_MS = 40;
export const BATCH_SLOPE = 0.04;
/** Requests that an engine serves at the same time. */
export const BATCH_SIZE = 8;
/** Memory of an engine; models take 26 to 38 thousand, so two or three fit. */
export const ENGINE_MEMORY_MIB = 81_920;
export const MODEL_MEMORY_MIB = [26_000, 32_000, 38_000] as const;
export const ADAPTER_MEMORY_MIB = 100;

/** Tokens a second that a full batch makes, in compressed time. */
export const ENGINE_TOKENS_PER_SECOND =
  (BATCH_SIZE * 1_000) /
  (TOKEN_MS * (1 + BATCH_SLOPE * (BATCH_SIZE - 1)) * COMPRESSION);

/** The deployments of the design page, section 1.2. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  [DeploymentName.Plaksne]: {
    name: DeploymentName.Plaksne,
    engines: 13,
    failureDomains: 4,
    services: 4,
    entries: 4,
    models: 30,
    adapters: 90,
    loadsPerSecond: 2,
    concurrentLoads: 3,
    adapterLoadMs: [7, 13],
    adapterLoadsInFlight: 24,
    accountShares: {
      'account-a': 0.36,
      'account-b': 0.3,
      'account-c': 0.18,
      'account-d': 0.1,
      'account-e': 0.06,
    },
    serviceOptions: {delayMs: 5},
  },
  [DeploymentName.Banat]: {
    name: DeploymentName.Banat,
    engines: 6,
    failureDomains: 3,
    services: 3,
    entries: 3,
    models: 15,
    adapters: 40,
    loadsPerSecond: 1,
    concurrentLoads: 8,
    adapterLoadMs: [5, 14],
    adapterLoadsInFlight: 60,
    accountShares: {
      'account-a': 0.4,
      'account-b': 0.28,
      'account-c': 0.16,
      'account-d': 0.1,
      'account-e': 0.06,
    },
    serviceOptions: {delayMs: 5},
  },
};

/** Time of one load that does not wait for the store, before compression. */
export const MODEL_LOAD_MS = 1_500;

/** Name of a model by its rank in the long-term demand. */
export function formatModel(index: number): string {
  return `model-${String(index + 1).padStart(2, '0')}`;
}

/** Name of an adapter. */
export function formatAdapter(index: number): string {
  return `adapter-${String(index + 1).padStart(3, '0')}`;
}

/** Base model of an adapter. */
export function resolveAdapterModel(
  deployment: Deployment,
  index: number,
): string {
  return formatModel(index % deployment.models);
}
