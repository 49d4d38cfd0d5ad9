/** Step that sends a seeded stream of requests in the background. */
import {z} from 'zod';
import {createRandom} from '@siskinplank/foundation';
import type {CallRecord} from '../caller';
import type {ScenarioContext} from '../context';
import {defineStep} from '../types';
import {isTrafficStopped} from './balanced';
import {sendScenarioRequest} from './request';

const trafficSchema = z.strictObject({
  entries: z.array(z.string()).min(1),
  accounts: z.array(z.string()).min(1),
  models: z.array(z.string()).default([]),
  /** Path of a keyed, non-idempotent route; absent, there are no orders. */
  orderPath: z.string().optional(),
  /** Share of the requests that are orders. */
  orderShare: z.number().min(0).max(1).default(0.5),
  perSecond: z.number().positive(),
  /** Ends earlier at a `stopTraffic` step. */
  durationMs: z.number().positive(),
  maxTokens: z.int().positive().default(24),
  deadlineMs: z.int().positive().default(10_000),
  /** Upper bound on the open requests of this stream. */
  maxOpen: z.int().positive().default(64),
  /** Times that a failed order is sent again with its key. */
  repeats: z.int().min(0).default(2),
});

type TrafficInput = z.output<typeof trafficSchema>;

const REPEAT_WAIT_MS = 150;

function sendCompletion(
  input: TrafficInput,
  index: number,
  pick: <T>(items: readonly T[]) => T,
  context: ScenarioContext,
): CallRecord {
  return sendScenarioRequest(
    {
      entry: pick(input.entries),
      method: 'POST',
      path: '/v1/completions',
      account: pick(input.accounts),
      deadlineMs: input.deadlineMs,
      body: {
        model: pick(input.models),
        prompt: `traffic ${index} of seed ${context.scenario.seed}`,
        max_tokens: input.maxTokens,
        stream: pick([true, false]),
      },
    },
    context,
  );
}

/** Sends an order and repeats it with its idempotency key after a failure. */
async function sendOrder(
  input: TrafficInput,
  index: number,
  path: string,
  pick: <T>(items: readonly T[]) => T,
  context: ScenarioContext,
): Promise<void> {
  const account = pick(input.accounts);
  for (let sent = 0; sent <= input.repeats; sent += 1) {
    const record = sendScenarioRequest(
      {
        entry: pick(input.entries),
        method: 'POST',
        path,
        account,
        deadlineMs: input.deadlineMs,
        idempotencyKey: `traffic-order-${index}`,
        body: {plate: `plate ${index}`},
      },
      context,
    );
    await record.done;
    if (record.status === 200 && record.error === undefined) return;
    await context.clock.waitMs(REPEAT_WAIT_MS);
  }
}

async function sendTraffic(
  input: TrafficInput,
  seed: number,
  context: ScenarioContext,
): Promise<void> {
  const {clock} = context;
  const random = createRandom(seed);
  const pick = <T>(items: readonly T[]): T =>
    items[random.getInteger(items.length)];
  const endMs = clock.getNowMs() + input.durationMs;
  const open = new Set<Promise<void>>();
  const isOver = (): boolean =>
    isTrafficStopped(context) || clock.getNowMs() >= endMs;
  for (let index = 0; !isOver(); index += 1) {
    if (open.size < input.maxOpen) {
      const {orderPath} = input;
      const isOrder =
        orderPath !== undefined &&
        (input.models.length === 0 || random.getNext() < input.orderShare);
      const work = isOrder
        ? sendOrder(input, index, orderPath, pick, context)
        : sendCompletion(input, index, pick, context).done;
      open.add(work);
      void work.finally(() => open.delete(work));
    }
    // Arrivals of independent callers are exponentially distributed.
    const gap = -Math.log(1 - random.getNext()) / input.perSecond;
    await clock.waitMs(Math.min(gap * 1_000, endMs - clock.getNowMs()));
  }
  await Promise.all(open);
}

/** Starts the stream of requests. */
export const trafficStep = defineStep(trafficSchema, (input, context) => {
  const seed = context.random.getInteger(0x7fff_ffff);
  context.background.push(sendTraffic(input, seed, context));
});
