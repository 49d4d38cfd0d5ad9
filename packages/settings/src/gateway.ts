/** Schema of the settings of the gateway role. */
import {DispatchPolicyName} from '@siskinplank/dispatch';
import {LogLevel} from '@siskinplank/foundation';
import {z} from 'zod';

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;

/** `IP:PORT`. */
const addressSchema = z
  .string()
  .regex(ADDRESS, 'expected IP:PORT')
  .transform(text => {
    const [, host, port] = ADDRESS.exec(text) ?? [];
    return {host, port: Number(port)};
  });

const durationMsSchema = z.number().min(0).max(3_600_000);

/** Settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
  role: z.literal('gateway'),
  process: z.strictObject({
    name: z.string().min(1),
    failureDomain: z.string().min(1),
    region: z.string().default('default'),
  }),
  /** Listener for callers. */
  caller: z.strictObject({
    address: addressSchema,
    /** Largest head accepted before the first configuration is known. */
    maxHeaderBytes: z.int().positive().default(16_384),
  }),
  /** Listener for the readiness checks of the load balancer. */
  readiness: z.strictObject({address: addressSchema}),
  /** Listener for metrics, in the Prometheus text format. */
  metrics: z.strictObject({address: addressSchema}),
  /** Listener for links from other gateways. */
  link: z.strictObject({address: addressSchema}),
  /** The platform's store. */
  store: z.strictObject({
    address: z.string().regex(ADDRESS, 'expected IP:PORT'),
    /** Longest wait for an answer, besides the wait that a watch asks for. */
    timeoutMs: durationMsSchema.default(1_000),
    /** Longest wait of a watch; bounds the age of an unchanged copy. */
    watchWaitMs: durationMsSchema.default(1_500),
    /** Longest wait of the watch on the upstreams. */
    upstreamWatchWaitMs: durationMsSchema.default(10_000),
    /** Wait before a failed call is repeated. */
    retryDelayMs: durationMsSchema.default(200),
    /**
     * Age of the configuration from which on keys are not trusted. At most the
     * time within which a withdrawn key must stop working.
     */
    maxAgeMs: durationMsSchema,
    /** Age of the configuration from which on the gateway is not ready. */
    readyAgeMs: durationMsSchema,
  }),
  /** Limits of client accounts over all gateways. */
  limits: z.strictObject({
    /** Tokens that an account may get above its rate and burst in a window. */
    slackTokens: z.number().min(0),
    /** Time within which every gateway has seen a change of the gateways. */
    settleMs: durationMsSchema.default(35_000),
  }),
  orders: z.strictObject({
    /** Time within which two gateways must not order the same upstream. */
    leaseMs: durationMsSchema,
    /** Open requests that one copy of a model serves without getting slow. */
    openPerCopy: z.number().positive().default(8),
  }),
  dispatch: z
    .strictObject({
      policy: z
        .enum(DispatchPolicyName)
        .default(DispatchPolicyName.EstimatedLatency),
    })
    .prefault({}),
  upstreams: z
    .strictObject({
      /** Longest wait for a connection. */
      connectTimeoutMs: durationMsSchema.default(500),
      /** Time for which an unused connection without a stated limit is kept. */
      idleMs: durationMsSchema.default(4_000),
    })
    .prefault({}),
  /** Sends beyond the first of each request, over all gateways. */
  retries: z.strictObject({
    ratio: z.number().min(0).max(1),
    slack: z.number().min(0),
    windowSeconds: z.number().positive().max(3_600),
  }),
  drain: z.strictObject({
    /** Time after SIGTERM at which the platform kills the process. */
    graceSeconds: z.number().positive().max(3_600),
    /** Time until load balancers have noticed that the gateway is not ready. */
    noticeMs: durationMsSchema,
  }),
  log: z
    .strictObject({level: z.enum(LogLevel).default(LogLevel.Info)})
    .prefault({}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
