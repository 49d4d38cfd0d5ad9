/** A whole deployment of the users' platform: models, routes, accounts, upstreams. */
import type {Random} from '@siskinplank/foundation';
import {
  CallKind,
  encodeConfiguration,
  makeCountedAttemptId,
} from '@siskinplank/platform-stand-ins';
import type {
  CallInput,
  StandInAccount,
  StandInStreamRoute,
} from '@siskinplank/platform-stand-ins';
import type {SoakGatewayOptions} from './gateways';
import type {SoakUpstreamOptions} from './upstreams';

/** What a seed chooses of a deployment. */
export interface DeploymentVariant {
  /** Whether gateways get half of a processor. */
  hasQuota: boolean;
  /** Whether some stops are replaced by SIGKILL. */
  hasKills: boolean;
  /** Whether some gateways come back at another address. */
  hasMoves: boolean;
  /** Whether upstreams are replaced, taken away and added. */
  hasReleases: boolean;
  /** Whether streams fall silent for a moment. */
  hasSilences: boolean;
  /** Whether all requests of a route name the same maximum of tokens. */
  hasCommonMaxima: boolean;
}

interface DeploymentModel {
  name: string;
  weightsMb: number;
  eventIntervalMs: number;
  /** Fraction of the streams of its routes. */
  share: number;
  adapterCount: number;
}

/** Spread of a value: log-normal, cut off at its maximum. */
interface Spread {
  mean: number;
  sigma: number;
  max: number;
}

/** Requests of one kind that callers send. */
export interface DeploymentRoute {
  name: string;
  kind: CallKind;
  /** Requests a second at the whole deployment. */
  perSecond: number;
  deadlineMs: number;
  bodyBytes: number;
  promptTokens: number;
  events: Spread;
  adapterFraction: number;
  models: readonly DeploymentModel[];
}

export const DEPLOYMENT_DOMAINS = ['a', 'b', 'c', 'd'] as const;
/** Fraction of the deployment's rates that one process can send and answer. */
const RATE_FRACTION = 0.5;
/** Requests a second of the callers of each failure domain. */
export const DOMAIN_RATES = [27.3, 35.3, 36.3, 37].map(
  rate => rate * RATE_FRACTION,
);
export const PROCESSOR_FRACTION = 0.513;
export const DEPLOYMENT_GATEWAY: SoakGatewayOptions = {
  cpuShare: PROCESSOR_FRACTION,
  memoryMb: 350,
  noticeMs: 2_500,
};
export const DEPLOYMENT_MEMORY_MB = 83_000;
const ADAPTER_SLOTS = 8;
const ENGINE_SLOTS = 48;
const LOAD_MS = 1_200;
const ENGINE_COUNT = 18;
const ACCOUNT_COUNT = 5;
const KEYS_PER_ACCOUNT = 4;
const TOKENS_PER_EVENT = 3;
const PLAIN_TIMEOUT_MS = 800;
const PLAIN_TARGET_MS = 150;
const SMALL_MB = 16_100;
const LARGE_MB = 34_300;

const makeModel = (
  name: string,
  isSmall: boolean,
  share: number,
  adapterCount = 0,
): DeploymentModel => ({
  name,
  weightsMb: isSmall ? SMALL_MB : LARGE_MB,
  eventIntervalMs: isSmall ? 9 : 33,
  share,
  adapterCount,
});

const DRAFT_MODELS: readonly DeploymentModel[] = [
  makeModel('m0', true, 0.443, 38),
  makeModel('m1', false, 0.164),
  makeModel('m2', false, 0.123, 11),
  makeModel('m3', true, 0.102),
  makeModel('m4', false, 0.0888, 8),
  makeModel('m5', false, 0.0795),
];
const MEMORIAL_MODELS: readonly DeploymentModel[] = [
  makeModel('m15', true, 0.3),
  makeModel('m16', false, 0.2),
  makeModel('m17', false, 0.15),
  makeModel('m18', false, 0.13),
  makeModel('m20', true, 0.12),
  makeModel('m22', false, 0.1),
];
const MODELS = [...DRAFT_MODELS, ...MEMORIAL_MODELS];
/** Draft models that the upstreams hold at first, in turn. */
const FIRST_MODELS = ['m0', 'm1', 'm0', 'm2', 'm0', 'm3', 'm4', 'm0', 'm5'];

const LONG_EVENTS: Spread = {mean: 57.4, sigma: 0.76, max: 185};
const LONG_STREAM = {
  kind: CallKind.Stream,
  deadlineMs: 15_000,
  bodyBytes: 2_900,
  promptTokens: 1_460,
  events: LONG_EVENTS,
};
const PLAIN = {
  deadlineMs: 1_500,
  promptTokens: 0,
  events: {mean: 0, sigma: 0, max: 0},
  adapterFraction: 0,
  models: DRAFT_MODELS,
};
/** Routes of the deployment, and what callers send on them. */
export const DEPLOYMENT_ROUTES: readonly DeploymentRoute[] = [
  {
    ...LONG_STREAM,
    name: 'dedication-draft',
    perSecond: 57.3,
    adapterFraction: 0.1,
    models: DRAFT_MODELS,
  },
  {
    ...LONG_STREAM,
    name: 'memorial-draft',
    perSecond: 7.95,
    adapterFraction: 0,
    models: MEMORIAL_MODELS,
  },
  {
    name: 'name-proof',
    kind: CallKind.Stream,
    perSecond: 35.4,
    deadlineMs: 10_000,
    bodyBytes: 1_300,
    promptTokens: 646,
    events: {mean: 23.1, sigma: 1, max: 92},
    adapterFraction: 0.5,
    models: DRAFT_MODELS,
  },
  {
    ...PLAIN,
    name: CallKind.Order,
    kind: CallKind.Order,
    perSecond: 25.2,
    bodyBytes: 600,
  },
  {
    ...PLAIN,
    name: CallKind.Status,
    kind: CallKind.Status,
    perSecond: 10.1,
    bodyBytes: 0,
  },
];

const makeStreamRoute = (
  name: string,
  timeoutMs: number,
  targetMs: number,
  isResumable: boolean,
  priority: number,
): StandInStreamRoute => ({
  name,
  timeoutMs,
  targetMs,
  gapTargetMs: 300,
  maxAttempts: isResumable ? 2 : 1,
  isSticky: false,
  isResumable,
  priority,
});
const STREAM_ROUTES: readonly StandInStreamRoute[] = [
  makeStreamRoute('dedication-draft', 15_000, 800, true, 1),
  makeStreamRoute('memorial-draft', 15_000, 1_500, false, 1),
  makeStreamRoute('name-proof', 10_000, 600, true, 0),
];

/** Draws what the seed chooses. */
export function pickVariant(random: Random): DeploymentVariant {
  const draw = (probability: number): boolean => random.getNext() < probability;
  return {
    hasQuota: draw(0.5),
    hasKills: draw(0.35),
    hasMoves: draw(0.35),
    hasReleases: draw(0.75),
    hasSilences: draw(0.35),
    hasCommonMaxima: draw(0.5),
  };
}

/** Makes five accounts with keys and limits. */
export function makeDeploymentAccounts(): StandInAccount[] {
  return Array.from({length: ACCOUNT_COUNT}, (_, index) => ({
    name: `account-${index}`,
    keys: Array.from(
      {length: KEYS_PER_ACCOUNT},
      (_unused, key) => `account-${index}-key-${key}-of-this-soak`,
    ),
    ratePerSecond: 120_000 * RATE_FRACTION,
    burst: 240_000 * RATE_FRACTION,
  }));
}

/** Encodes the configuration of the deployment. */
export function encodeDeployment(
  version: number,
  hostName: string,
  accounts: readonly StandInAccount[],
): unknown {
  return encodeConfiguration({
    version,
    hostName,
    accounts,
    models: MODELS,
    serverMemoryMb: DEPLOYMENT_MEMORY_MB,
    adapterSlots: ADAPTER_SLOTS,
    plainTimeoutMs: PLAIN_TIMEOUT_MS,
    plainTargetMs: PLAIN_TARGET_MS,
    streamRoutes: STREAM_ROUTES,
  });
}

/** Lists the settings of all upstreams: model servers, then plain ones. */
export function listDeploymentUpstreams(): Array<
  SoakUpstreamOptions & {service: 'engines' | 'desk'}
> {
  const engines = Array.from({length: ENGINE_COUNT}, (_, index) => ({
    service: 'engines' as const,
    failureDomain: DEPLOYMENT_DOMAINS[index % DEPLOYMENT_DOMAINS.length],
    slots: ENGINE_SLOTS,
    isDirect: true,
    engine: {
      memoryMb: DEPLOYMENT_MEMORY_MB,
      modelSizesMb: new Map(
        MODELS.map(({name, weightsMb}) => [name, weightsMb]),
      ),
      initialModels: [
        FIRST_MODELS[index % FIRST_MODELS.length],
        MEMORIAL_MODELS[index % MEMORIAL_MODELS.length].name,
      ],
      loadMs: LOAD_MS,
      eventIntervalsMs: new Map(
        MODELS.map(({name, eventIntervalMs}) => [name, eventIntervalMs]),
      ),
    },
  }));
  const desks = DEPLOYMENT_DOMAINS.map(failureDomain => ({
    service: 'desk' as const,
    failureDomain,
    isDirect: true,
  }));
  return [...engines, ...desks];
}

function pickCount(random: Random, {mean, sigma, max}: Spread): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.getNext()));
  const normal = radius * Math.cos(2 * Math.PI * random.getNext());
  const median = mean * Math.exp(-(sigma ** 2) / 2);
  const value = median * Math.exp(sigma * normal);
  return Math.max(1, Math.min(max, Math.round(value)));
}

/** Draws an element with a probability proportional to its weight. */
function pickWeighted<T>(
  random: Random,
  items: readonly T[],
  getWeight: (item: T) => number,
): T {
  const total = items.reduce((sum, item) => sum + getWeight(item), 0);
  let left = random.getNext() * total;
  return (
    items.find(item => {
      left -= getWeight(item);
      return left < 0;
    }) ?? items[0]
  );
}

/** What a request is, without its sender. */
export type DrawnRequest = Pick<
  CallInput,
  | 'attemptId'
  | 'kind'
  | 'route'
  | 'model'
  | 'promptTokens'
  | 'outputTokens'
  | 'deadlineMs'
  | 'bodyBytes'
>;

/** Draws a request of the deployment; `name` is part of its id. */
export function pickRequest(
  random: Random,
  name: string,
  hasCommonMaxima: boolean,
): DrawnRequest {
  const route = pickWeighted(
    random,
    DEPLOYMENT_ROUTES,
    ({perSecond}) => perSecond,
  );
  const {kind, promptTokens, deadlineMs, bodyBytes} = route;
  const base = {kind, route: route.name, promptTokens, deadlineMs, bodyBytes};
  const attemptId = `${route.name}-${name}`;
  if (kind !== CallKind.Stream) {
    return {...base, attemptId, model: '', outputTokens: 0};
  }
  const model = pickWeighted(random, route.models, ({share}) => share);
  const hasAdapter =
    model.adapterCount > 0 && random.getNext() < route.adapterFraction;
  const adapter = 1 + random.getInteger(Math.max(1, model.adapterCount));
  const eventCount = pickCount(random, route.events);
  const maxTokens = route.events.max * TOKENS_PER_EVENT;
  const ownTokens = eventCount * TOKENS_PER_EVENT * (1 + 2 * random.getNext());
  return {
    ...base,
    attemptId: makeCountedAttemptId(attemptId, eventCount),
    model: hasAdapter ? `${model.name}/a${adapter}` : model.name,
    outputTokens: hasCommonMaxima
      ? maxTokens
      : Math.min(maxTokens, Math.ceil(ownTokens)),
  };
}
