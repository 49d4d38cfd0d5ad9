/** Schema of a scenario file. */
import {z} from 'zod';
import {ResourceKind} from '@siskinplank/resources';

/** Invariants of the design, in its order. */
export const INVARIANTS = [
  'INV-01',
  'INV-02',
  'INV-03',
  'INV-04',
  'INV-05',
  'INV-06',
  'INV-07',
  'INV-08',
  'INV-09',
  'INV-10',
  'INV-11',
  'INV-12',
] as const;

export type InvariantId = (typeof INVARIANTS)[number];

/** Kinds of faults that a scenario can name. */
export enum FaultKind {
  PlannedStop = 'planned-stop',
  HostListLag = 'host-list-lag',
  DemandShift = 'demand-shift',
  Kill = 'kill',
  Cut = 'cut',
  Freeze = 'freeze',
  PlatformDown = 'platform-down',
  PlatformSlow = 'platform-slow',
  ReplyLost = 'reply-lost',
  OrderLost = 'order-lost',
  OrderLate = 'order-late',
  OldOrder = 'old-order',
  CacheEventsLate = 'cache-events-late',
  CacheEventsGaps = 'cache-events-gaps',
  LoadReportLag = 'load-report-lag',
  OperatorsRace = 'operators-race',
  KeyWithdrawn = 'key-withdrawn',
  WeightStoreDown = 'weight-store-down',
  WeightStoreSlow = 'weight-store-slow',
}

const optionsSchema = z.record(z.string(), z.unknown());

const nodeShape = {
  name: z.string().optional(),
  failureDomain: z.string().optional(),
  region: z.string().optional(),
  settings: optionsSchema.optional(),
};

const upstreamSchema = z.strictObject({
  ...nodeShape,
  upstream: optionsSchema.optional(),
  options: optionsSchema.optional(),
});

const systemSchema = z.strictObject({
  entries: z
    .union([z.int().min(1), z.array(z.strictObject(nodeShape))])
    .default(1),
  engines: z.array(upstreamSchema).default([]),
  services: z.array(upstreamSchema).default([]),
  platform: optionsSchema.optional(),
  weightStore: optionsSchema.optional(),
  collector: z.boolean().default(false),
  entrySettings: optionsSchema.optional(),
  sideSettings: optionsSchema.optional(),
  objects: z
    .array(
      z.strictObject({
        kind: z.enum(ResourceKind),
        name: z.string(),
        spec: optionsSchema,
      }),
    )
    .default([]),
});

const accountSchema = z.strictObject({
  name: z.string(),
  rateTokensPerSecond: z.number().positive().default(100_000),
  burstTokens: z.number().positive().default(1_000_000),
  weight: z.number().positive().optional(),
  models: z.array(z.string()).optional(),
});

/** One kind with its parameters, as `kind: {…}`. */
const itemSchema = z
  .record(z.string(), z.unknown())
  .refine(item => Object.keys(item).length === 1, 'expected one kind');

/** Schema of a scenario; steps and checks are parsed by their own tables. */
export const scenarioSchema = z.strictObject({
  invariant: z.enum(INVARIANTS),
  title: z.string().min(1),
  seed: z.int().default(1),
  faults: z.array(z.enum(FaultKind)).default([]),
  system: systemSchema,
  accounts: z.array(accountSchema).default([]),
  steps: z.array(itemSchema).min(1),
  checks: z.array(itemSchema).min(1),
  /** Variant of the product without the protection under test. */
  unprotected: z.string().optional(),
});

export type Scenario = z.output<typeof scenarioSchema>;
