/** Processes, configuration and traffic of a soak, by its plan. */
import {createRandom} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {encodeConfiguration} from '@siskinplank/platform-stand-ins';
import type {StandInAccount} from '@siskinplank/platform-stand-ins';
import {
  DEPLOYMENT_DOMAINS,
  DEPLOYMENT_GATEWAY,
  DEPLOYMENT_MEMORY_MB,
  PROCESSOR_FRACTION,
  pickVariant,
  encodeDeployment,
  listDeploymentUpstreams,
  makeDeploymentAccounts,
} from './deployment';
import {startDeploymentTraffic} from './deployment-traffic';
import type {SoakGatewayOptions} from './gateways';
import {SoakPlan, planFaults} from './plan';
import type {PlanInput, PlannedFault} from './plan';
import {planDeployment} from './plan-deployment';
import {startTraffic} from './traffic';
import type {Traffic, TrafficOptions} from './traffic';
import {ADAPTER_SLOTS, MEMORY_MB, MODELS, MODEL_MB} from './upstreams';
import type {SoakUpstreamOptions} from './upstreams';

/** What a soak starts and sends. */
export interface SoakSetup {
  readonly hostName: string;
  /** Settings of each gateway. */
  readonly gateways: readonly SoakGatewayOptions[];
  /** Fraction of a processor that each gateway gets; no bound by default. */
  readonly processorFraction?: number;
  readonly upstreams: ReadonlyArray<
    SoakUpstreamOptions & {service: 'engines' | 'desk'}
  >;
  /** Memory of a model server. */
  readonly memoryMb: number;
  /** What the seed has chosen, for the report. */
  readonly description: string;
  makeAccounts(): StandInAccount[];
  encode(version: number, accounts: readonly StandInAccount[]): unknown;
  planFaults(random: Random, input: PlanInput): PlannedFault[];
  startTraffic(options: TrafficOptions): Traffic;
}

const HOST_NAME = 'soak.example';
const KEYS_PER_ACCOUNT = 4;
const ENGINE_COUNT = 4;
const PLAIN_COUNT = 2;
/** Time between the events of a stream, by engine: some outlast most stops. */
const STOPS_INTERVALS_MS: readonly number[] = [25, 80, 160, 240];

function createDefaultSetup(plan: SoakPlan): SoakSetup {
  const isStops = plan === SoakPlan.Stops;
  // Two of four gateways share a failure domain.
  const gatewayCount = isStops ? 4 : 3;
  const engines = Array.from({length: ENGINE_COUNT}, (_, index) => ({
    service: 'engines' as const,
    eventIntervalMs: isStops ? STOPS_INTERVALS_MS[index] : undefined,
  }));
  const desks = Array.from({length: PLAIN_COUNT}, () => ({
    service: 'desk' as const,
  }));
  return {
    hostName: HOST_NAME,
    gateways: Array.from({length: gatewayCount}, () => ({})),
    upstreams: [...engines, ...desks],
    memoryMb: MEMORY_MB,
    description: '',
    makeAccounts: () =>
      ['small', 'middle', 'large'].map((name, index) => ({
        name,
        keys: Array.from(
          {length: KEYS_PER_ACCOUNT},
          (_, key) => `${name}-key-${key}-of-this-soak`,
        ),
        ratePerSecond: 2_000 * 3 ** index,
        burst: 4_000,
      })),
    encode: (version, accounts) =>
      encodeConfiguration({
        version,
        hostName: HOST_NAME,
        accounts,
        models: MODELS.map(name => ({
          name,
          weightsMb: MODEL_MB,
          adapterCount: 6,
        })),
        serverMemoryMb: MEMORY_MB,
        adapterSlots: ADAPTER_SLOTS,
        plainTimeoutMs: 1_500,
      }),
    planFaults,
    startTraffic,
  };
}

function createDeploymentSetup(seed: number): SoakSetup {
  const variant = pickVariant(createRandom(seed));
  return {
    hostName: HOST_NAME,
    gateways: DEPLOYMENT_DOMAINS.map(failureDomain => ({
      ...DEPLOYMENT_GATEWAY,
      failureDomain,
    })),
    processorFraction: variant.hasQuota ? PROCESSOR_FRACTION : undefined,
    upstreams: listDeploymentUpstreams(),
    memoryMb: DEPLOYMENT_MEMORY_MB,
    description: `variant: ${JSON.stringify(variant)}`,
    makeAccounts: makeDeploymentAccounts,
    encode: (version, accounts) =>
      encodeDeployment(version, HOST_NAME, accounts),
    planFaults: (random, input) => planDeployment(random, variant, input),
    startTraffic: options =>
      startDeploymentTraffic({
        ...options,
        hasCommonMaxima: variant.hasCommonMaxima,
      }),
  };
}

/** Creates the setup of a plan; that of a deployment depends on the seed. */
export function createSetup(plan: SoakPlan, seed: number): SoakSetup {
  return plan === SoakPlan.Deployment
    ? createDeploymentSetup(seed)
    : createDefaultSetup(plan);
}
