/**
 * Step that sends requests as callers behind a load balancer do: only to entry
 * processes whose `/readyz` answered 200 at the last probe, and never twice.
 */
import {z} from 'zod';
import type {ScenarioContext} from '../context';
import {defineStep} from '../types';
import {sendScenarioRequest} from './request';

const balancedSchema = z.strictObject({
  entries: z.array(z.string()).min(1),
  account: z.string(),
  models: z.array(z.string()).default([]),
  /** Path of a keyed route; absent, there are no orders. */
  orderPath: z.string().optional(),
  perSecond: z.number().positive(),
  /** Goes on until a `stopTraffic` step or for this long. */
  maxMs: z.number().positive().default(90_000),
  probeMs: z.int().positive().default(200),
  maxTokens: z.int().positive().default(24),
  deadlineMs: z.int().positive().default(30_000),
});

type BalancedInput = z.output<typeof balancedSchema>;

const HTTP_OK = 200;
const PROBE_LIMIT_MS = 1_000;
/** Contexts whose balanced traffic must end. */
const stopped = new WeakSet<ScenarioContext>();

async function isReady(url: string): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(PROBE_LIMIT_MS);
    const response = await fetch(`${url}/readyz`, {signal});
    await response.text();
    return response.status === HTTP_OK;
  } catch {
    return false;
  }
}

/** Probes the readiness of all entry processes until `isOver`. */
async function probeEntries(
  input: BalancedInput,
  context: ScenarioContext,
  ready: Set<string>,
  isOver: () => boolean,
): Promise<void> {
  const nodes = context.cluster.entries.filter(({name}) =>
    input.entries.includes(name),
  );
  while (!isOver()) {
    await Promise.all(
      nodes.map(async ({name, callerUrl}) => {
        if (await isReady(callerUrl)) ready.add(name);
        else ready.delete(name);
      }),
    );
    await context.clock.waitMs(input.probeMs);
  }
}

function sendOne(
  input: BalancedInput,
  context: ScenarioContext,
  entry: string,
  index: number,
): Promise<void> {
  const {account, deadlineMs, models, orderPath, maxTokens} = input;
  const common = {entry, method: 'POST', account, deadlineMs};
  const isOrder =
    orderPath !== undefined && (models.length === 0 || index % 3 === 0);
  const record = isOrder
    ? sendScenarioRequest(
        {
          ...common,
          path: orderPath,
          idempotencyKey: `balanced-${index}`,
          body: {plate: `plate ${index}`},
        },
        context,
      )
    : sendScenarioRequest(
        {
          ...common,
          path: '/v1/completions',
          body: {
            model: models[index % models.length],
            prompt: `balanced ${index}`,
            max_tokens: maxTokens,
            stream: index % 2 === 0,
          },
        },
        context,
      );
  return record.done;
}

async function sendBalanced(
  input: BalancedInput,
  context: ScenarioContext,
): Promise<void> {
  const {clock} = context;
  const endMs = clock.getNowMs() + input.maxMs;
  const isOver = (): boolean =>
    stopped.has(context) || clock.getNowMs() > endMs;
  const ready = new Set<string>();
  const probing = probeEntries(input, context, ready, isOver);
  const open: Promise<void>[] = [];
  for (let index = 0; !isOver(); index += 1) {
    const names = [...ready];
    if (names.length > 0) {
      open.push(sendOne(input, context, names[index % names.length], index));
    }
    await clock.waitMs(1_000 / input.perSecond);
  }
  await Promise.all([probing, ...open]);
}

/** Lets the balanced requests of a scenario end, if there are any. */
export function endBalancedTraffic(context: ScenarioContext): void {
  stopped.add(context);
}

/** Whether traffic without a fixed end must end. */
export function isTrafficStopped(context: ScenarioContext): boolean {
  return stopped.has(context);
}

/** Starts the balanced requests. */
export const balancedTrafficStep = defineStep(
  balancedSchema,
  (input, context) =>
    void context.background.push(sendBalanced(input, context)),
);

/** Ends the balanced requests and waits for the open ones. */
export const stopTrafficStep = defineStep(
  z.strictObject({}).nullish(),
  async (_, context) => {
    endBalancedTraffic(context);
    await Promise.all(context.background);
  },
);
