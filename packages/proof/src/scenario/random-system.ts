/** The small system of the random-fault run and its traffic. */
import {makeMovedRoute} from './random-faults';
import type {FaultTargets, StepItem} from './random-faults';

/** Account whose traffic reaches its rate. */
export const LIMITED_ACCOUNT = 'willow';
/** Above the time of any script. */
const TRAFFIC_LIMIT_MS = 300_000;
const MODELS = ['layout-7b', 'layout-7b-brass', 'proof-13b'];
const ENGINE_OPTIONS = {
  totalMemoryMiB: 24_000,
  tokenMs: 10,
  modelLoadMs: 300,
  unloadMs: 50,
  // Both are faults of every run; they cannot be changed later.
  cacheEventLagMs: 1_500,
  cacheEventGapEvery: 5,
  preloadedModels: [{name: 'layout-7b'}],
  catalog: {
    models: {
      'layout-7b': {memoryMiB: 14_000},
      'proof-13b': {memoryMiB: 18_000},
    },
    adapters: {'layout-7b-brass': {model: 'layout-7b', memoryMiB: 200}},
  },
};

/** Names that faults are drawn from. */
export const RANDOM_TARGETS: FaultTargets = {
  entries: ['entry-1', 'entry-2'],
  sides: ['side-engine-1', 'side-engine-2', 'side-orders-1', 'side-orders-2'],
  engines: ['engine-1', 'engine-2'],
  services: ['orders-1', 'orders-2'],
  spareAccount: 'spare',
  changedAccount: 'banat',
  movedRoute: 'move-plate',
  movedTo: ['press-2', 'press-3'],
  leavingUpstreams: ['engine-1', 'orders-1'],
};

/** System and accounts, as in a scenario file. */
export const RANDOM_SYSTEM = {
  system: {
    entries: 2,
    engines: [
      {name: 'engine-1', options: ENGINE_OPTIONS},
      // Does not refuse old fencing tokens by itself.
      {name: 'engine-2', options: {...ENGINE_OPTIONS, checksFencing: false}},
    ],
    services: [
      {name: 'orders-1', options: {delayMs: 60}},
      {name: 'orders-2', options: {delayMs: 250}},
      {name: 'press-1'},
      {name: 'press-2'},
      {name: 'press-3'},
    ],
    weightStore: {loadMs: 200, loadsPerSecond: 5},
    entrySettings: {
      // Connections that are not yet accepted at the signal are served.
      drain: {noticeMs: 500},
      membership: {
        heartbeatMs: 300,
        suspectAfterMs: 1_500,
        hostListPeriodMs: 500,
      },
      platform: {timeoutMs: 800},
    },
    sideSettings: {platform: {timeoutMs: 800}, orders: {leaseMs: 3_000}},
    objects: [
      {
        kind: 'Route',
        name: 'place-order',
        spec: {
          methods: ['POST'],
          path: '/orders',
          access: 'keyed',
          upstreams: ['orders-1', 'orders-2'],
        },
      },
      {
        kind: 'Route',
        name: 'move-plate',
        spec: makeMovedRoute('press-1'),
      },
      {
        kind: 'Model',
        name: 'layout-7b',
        spec: {memoryMiB: 14_000, maxTokens: 64},
      },
      {
        kind: 'Model',
        name: 'proof-13b',
        spec: {memoryMiB: 18_000, maxTokens: 64},
      },
      {
        kind: 'Adapter',
        name: 'layout-7b-brass',
        spec: {model: 'layout-7b', memoryMiB: 200},
      },
    ],
  },
  accounts: [
    {name: 'plaksne'},
    {name: 'banat'},
    {name: 'spare'},
    {name: 'press'},
    // Asks for several times its rate, and for a model that it may not use.
    {
      name: LIMITED_ACCOUNT,
      rateTokensPerSecond: 40,
      burstTokens: 160,
      models: ['layout-7b', 'layout-7b-brass'],
    },
  ],
};

/** Traffic over all entries, accounts and models, until it is stopped. */
export function makeTraffic(): StepItem[] {
  const common = {
    entries: RANDOM_TARGETS.entries,
    durationMs: TRAFFIC_LIMIT_MS,
    deadlineMs: 8_000,
  };
  const traffic = [
    {
      ...common,
      accounts: ['plaksne', 'banat', 'spare'],
      models: MODELS,
      orderPath: '/orders',
      perSecond: 15,
      repeats: 3,
    },
    {...common, accounts: [LIMITED_ACCOUNT], models: MODELS, perSecond: 12},
    {
      ...common,
      accounts: ['press'],
      orderPath: '/plates',
      orderShare: 1,
      perSecond: 6,
      repeats: 0,
    },
  ];
  return traffic.map(input => ({traffic: input}));
}

/** Requests for each model, sent at the end when no fault is left. */
export function makeLastRequests(): {names: string[]; steps: StepItem[]} {
  const requests = MODELS.map((model, index) => ({
    name: `last-${model}`,
    entry: RANDOM_TARGETS.entries[index % RANDOM_TARGETS.entries.length],
    path: '/v1/completions',
    account: 'plaksne',
    deadlineMs: 20_000,
    body: {model, prompt: `last ${model}`, max_tokens: 8},
    background: true,
  }));
  return {
    names: requests.map(({name}) => name),
    steps: requests.map(input => ({request: input})),
  };
}
