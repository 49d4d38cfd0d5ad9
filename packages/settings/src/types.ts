/** Schemas of the settings files of both roles. */
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
/** Factor over the longest deadline and outage, as a margin for repeats. */
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
  }),
  /** Address for links from other processes of the system. */
  link: z.strictObject({
    host: z.string().min(1).default('127.0.0.1'),
    port: portSchema,
    /** Address that other processes connect to, when it differs. */
    advertise: z
      .strictObject({host: z.string().min(1), port: portSchema})
      .optional(),
    /** Files with one cluster key each; the first signs, all are accepted. */
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
      /** Longest time that a graceful shutdown waits for open requests. */
      graceMs: millisecondsSchema.default(30_000),
      /**
       * Time for which an entry process that is not ready any more still
       * takes requests, until load balancers have noticed.
       */
      noticeMs: z.int().min(0).max(60_000).default(5_000),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      /** Longest time without a confirmation before keys count as stale. */
      freshnessMs: millisecondsSchema.default(5_000),
      /** Longest outage of the platform in which keys are accepted. */
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
  /** File with an operator token that is always accepted; for the first start. */
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
      /** Model loads a second that the weight store sustains. */
      loadsPerSecond: z.number().positive().default(1),
      /** Tokens a second that one accelerator serves within the targets. */
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
      /** Time after its last change for which a claim is kept at least. */
      retentionMs: z.int().positive().max(MAX_RETENTION_MS).default(86_400_000),
      /** Longest outage of the platform after which a repeat is expected. */
      outageMs: millisecondsSchema.default(600_000),
      /** Deletions of old claims a second, summed over all entry hosts. */
      deletesPerSecond: z.number().positive().max(200).default(50),
    })
    .prefault({}),
  retries: z
    .strictObject({
      /** Retries allowed as a share of requests. */
      budgetRatio: z.number().min(0).max(1).default(0.1),
      maxAttempts: z.int().min(1).max(10).default(3),
    })
    .prefault({}),
});

/** Shortest retention of claims that is accepted with the other settings. */
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
  /** Name of the Upstream object beside which the process runs. */
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
       * Longest platform outage in which orders are given, plus one minute for
       * the time since the last renewal and for clock drift.
       */
      leaseMs: millisecondsSchema.default(660_000),
      /** Memory kept free for the lag of engine reports. */
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
