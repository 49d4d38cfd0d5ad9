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
    /** Processor time that the process may use, in cores. */
    cpuShare: z.number().positive().default(1),
    /** Speed of these cores, relative to the slowest kind of host. */
    cpuSpeed: z.number().positive().default(1),
    /** Memory that the process may use, in MB. */
    memoryMb: z.number().positive().default(256),
  }),
  /** Listener for callers. */
  caller: z.strictObject({
    address: addressSchema,
    /** Largest request head in bytes before the first configuration is read. */
    maxHeaderBytes: z.int().positive().default(16_384),
  }),
  /** Listener for the readiness checks of the load balancer. */
  readiness: z.strictObject({address: addressSchema}),
  /** Listener for metrics, in the Prometheus text format. */
  metrics: z.strictObject({address: addressSchema}),
  /** Listener for links from other gateways. */
  link: z.strictObject({
    address: addressSchema,
    /** Address that other gateways connect to, if it differs. */
    advertise: addressSchema.optional(),
  }),
  /** The platform's store. */
  store: z.strictObject({
    address: z.string().regex(ADDRESS, 'expected IP:PORT'),
    /** Longest wait for a response, in addition to the wait of a watch. */
    timeoutMs: durationMsSchema.default(1_000),
    /** Longest wait of a watch; limits the age of an unchanged local copy. */
    watchWaitMs: durationMsSchema.default(1_500),
    /** Longest wait of the watch on the upstreams. */
    upstreamWatchWaitMs: durationMsSchema.default(10_000),
    /** Delay before a failed call is retried. */
    retryDelayMs: durationMsSchema.default(200),
    /**
     * Age of the configuration from which keys are no longer accepted. At most
     * the time within which a withdrawn key must stop working.
     */
    maxAgeMs: durationMsSchema,
    /** Age of the configuration from which the gateway is not ready. */
    readyAgeMs: durationMsSchema,
  }),
  /** Limits of client accounts, applied to all gateways together. */
  limits: z.strictObject({
    /** Tokens that an account may use above its rate and burst in a window. */
    slackTokens: z.number().min(0),
    /** Time until a change in the set of gateways is known to all of them. */
    settleMs: durationMsSchema.default(35_000),
  }),
  orders: z.strictObject({
    /** Time after the last order before a new order leader sends orders. */
    leaseMs: durationMsSchema,
    /** Open requests that one replica of a model serves without slowdown. */
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
      /** Keep-alive time of connections for which the upstream states none. */
      idleMs: durationMsSchema.default(4_000),
    })
    .prefault({}),
  /** Budget of retries (attempts after the first), over all gateways. */
  retries: z.strictObject({
    ratio: z.number().min(0).max(1),
    slack: z.number().min(0),
    windowSeconds: z.number().positive().max(3_600),
  }),
  drain: z.strictObject({
    /** Time after SIGTERM at which the platform kills the process. */
    graceSeconds: z.number().positive().max(3_600),
    /** Time until load balancers detect that the gateway is not ready. */
    noticeMs: durationMsSchema,
  }),
  log: z
    .strictObject({level: z.enum(LogLevel).default(LogLevel.Info)})
    .prefault({}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
