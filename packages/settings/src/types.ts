/** Schemas of the settings files of all roles. */
import {LogLevel} from '@siskinplank/foundation';
import {z} from 'zod';
import {gatewaySettingsSchema} from './gateway';

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$/,
    'expected a lower-case name',
  );
const portSchema = z.int().min(1).max(65535);
const millisecondsSchema = z.int().positive().max(3_600_000);
/** Longest retention of claims: 30 days. */
const MAX_RETENTION_MS = 2_592_000_000;
/** Factor over longest deadline plus outage; the margin covers late repeats. */
const RETENTION_MARGIN = 1.5;
const listenSchema = z.strictObject({
  host: z.string().min(1).default('127.0.0.1'),
  port: portSchema,
});

const commonShape = {
  process: z.strictObject({
    name: nameSchema,
    failureDomain: nameSchema,
    region: nameSchema.default('default'),
    /** Memory that the process may use, in MB. */
    memoryMb: z.number().positive().default(256),
  }),
  /** Listener for links from other processes of the cluster. */
  link: z.strictObject({
    host: z.string().min(1).default('127.0.0.1'),
    port: portSchema,
    /** Address that other processes connect to, if it differs. */
    advertise: z
      .strictObject({host: z.string().min(1), port: portSchema})
      .optional(),
    /** Files with one cluster key each: all accepted, the first preferred. */
    clusterKeyFiles: z.array(z.string().min(1)).min(1),
    tls: z
      .strictObject({
        certificateFile: z.string().min(1),
        privateKeyFile: z.string().min(1),
        certificateAuthorityFile: z.string().min(1),
      })
      .optional(),
  }),
  platform: z.strictObject({
    host: z.string().min(1),
    port: portSchema,
    timeoutMs: millisecondsSchema.default(2_000),
    callsPerSecond: z.number().positive().default(50),
  }),
  log: z
    .strictObject({level: z.enum(LogLevel).default(LogLevel.Info)})
    .prefault({}),
  tracing: z.strictObject({endpoint: z.url().optional()}).prefault({}),
  drain: z
    .strictObject({
      /** Longest wait of a graceful shutdown for open requests. */
      graceMs: millisecondsSchema.default(30_000),
      /**
       * Time for which a draining entry process still accepts requests, until
       * load balancers detect that it is not ready.
       */
      noticeMs: z.int().min(0).max(60_000).default(5_000),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      /** Age of the last confirmation from which the keys are stale. */
      freshnessMs: millisecondsSchema.default(5_000),
      /** Longest platform outage during which keys are still accepted. */
      outageGraceMs: millisecondsSchema.default(600_000),
      digestPeriodMs: millisecondsSchema.default(2_000),
      watchWaitMs: millisecondsSchema.default(10_000),
    })
    .prefault({}),
  membership: z
    .strictObject({
      heartbeatMs: millisecondsSchema.default(1_000),
      suspectAfterMs: millisecondsSchema.default(4_000),
      hostListPeriodMs: millisecondsSchema.default(2_000),
      /** Processes asked for members when the platform is down at the start. */
      seeds: z
        .array(z.strictObject({host: z.string().min(1), port: portSchema}))
        .max(32)
        .default([]),
    })
    .prefault({}),
};

const entryShape = z.strictObject({
  role: z.literal('entry'),
  ...commonShape,
  /** Listener for callers. */
  caller: z.strictObject({
    host: z.string().min(1).default('127.0.0.1'),
    port: portSchema,
    bodyLimitBytes: z.int().positive().default(1_048_576),
    defaultDeadlineMs: millisecondsSchema.default(60_000),
    maxDeadlineMs: millisecondsSchema.default(600_000),
  }),
  /** Listener for operators. */
  admin: listenSchema,
  /** File with the secret that hashes caller keys and operator tokens. */
  keyHashSecretFile: z.string().min(1),
  /** File with an operator token that is always accepted, for bootstrapping. */
  bootstrapOperatorTokenFile: z.string().min(1).optional(),
  limits: z
    .strictObject({
      shareUnits: z.int().min(1).max(4096).default(64),
      shareLeaseMs: millisecondsSchema.default(780_000),
      buckets: z.int().min(1).max(1024).default(16),
      loanMs: millisecondsSchema.default(10_000),
      loanRenewMs: millisecondsSchema.default(3_000),
      reserveWaitMs: millisecondsSchema.default(2_000),
    })
    .prefault({}),
  placement: z
    .strictObject({
      leaseMs: millisecondsSchema.default(10_000),
      periodMs: millisecondsSchema.default(3_000),
      /** Model loads per second that the weight store sustains. */
      loadsPerSecond: z.number().positive().default(1),
      /** Tokens per second that one accelerator serves within the targets. */
      tokensPerAccelerator: z.number().positive().default(300),
      /** Time constants of the demand averages. */
      demandFastMs: millisecondsSchema.default(180_000),
      demandSlowMs: millisecondsSchema.default(900_000),
      /** 0 weighs the worst-served client account only, 1 attainment only. */
      attainmentWeight: z.number().min(0).max(1).default(0.5),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /** Shortest time that a claim is kept after its last change. */
      retentionMs: z.int().positive().max(MAX_RETENTION_MS).default(86_400_000),
      /** Longest platform outage after which clients still repeat requests. */
      outageMs: millisecondsSchema.default(600_000),
      /** Deletions of old claims per second, of all entry hosts together. */
      deletesPerSecond: z.number().positive().max(200).default(50),
    })
    .prefault({}),
  retries: z
    .strictObject({
      /** Allowed retries as a fraction of requests. */
      budgetRatio: z.number().min(0).max(1).default(0.1),
      maxAttempts: z.int().min(1).max(10).default(3),
    })
    .prefault({}),
});

/** Computes the shortest accepted retention of claims, in milliseconds. */
export function computeMinimumRetentionMs(settings: {
  caller: {maxDeadlineMs: number};
  claims: {outageMs: number};
}): number {
  const {caller, claims} = settings;
  return (caller.maxDeadlineMs + claims.outageMs) * RETENTION_MARGIN;
}

/** Settings of an entry process. */
export const entrySettingsSchema = entryShape.superRefine(
  (settings, context) => {
    const minimumMs = computeMinimumRetentionMs(settings);
    if (settings.claims.retentionMs >= minimumMs) return;
    context.addIssue({
      code: 'custom',
      path: ['claims', 'retentionMs'],
      message:
        `expected at least ${minimumMs}, ${RETENTION_MARGIN} times the sum of ` +
        'caller.maxDeadlineMs and claims.outageMs',
    });
  },
);

/** Settings of a side process. */
export const sideSettingsSchema = z.strictObject({
  role: z.literal('side'),
  ...commonShape,
  /** Name of the Upstream object that the process serves. */
  upstream: nameSchema,
  /** Listener for health checks and metrics. */
  http: listenSchema,
  queue: z
    .strictObject({
      maxRequests: z.int().positive().default(512),
      maxBytes: z.int().positive().default(67_108_864),
    })
    .prefault({}),
  orders: z
    .strictObject({
      /**
       * Longest platform outage during which orders are sent, plus one minute
       * for the time since the last renewal and for clock drift.
       */
      leaseMs: millisecondsSchema.default(660_000),
      /** Memory kept free because engine reports lag behind. */
      memoryMarginMiB: z.int().min(0).default(0),
      statusPeriodMs: millisecondsSchema.default(500),
    })
    .prefault({}),
});

/** Settings of any role. */
export const settingsSchema = z.discriminatedUnion('role', [
  entrySettingsSchema,
  sideSettingsSchema,
  gatewaySettingsSchema,
]);

export type EntrySettings = z.output<typeof entrySettingsSchema>;
export type SideSettings = z.output<typeof sideSettingsSchema>;
export type Settings = z.output<typeof settingsSchema>;
/** Settings of the roles that link to each other. */
export type LinkedSettings = EntrySettings | SideSettings;
