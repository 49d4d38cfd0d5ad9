/** Steps of callers: requests, cancellation and waiting for the end. */
import {z} from 'zod';
import type {ScenarioContext} from '../context';
import {failStep, waitUntil} from '../context';
import type {CallRecord} from '../caller';
import {defineStep} from '../types';

const REPEAT_WAIT_MS = 200;

/** Fields of a request, shared with traffic. */
export const requestSchema = z.strictObject({
  name: z.string().optional(),
  entry: z.string(),
  method: z.string().default('POST'),
  path: z.string(),
  account: z.string().optional(),
  headers: z.record(z.string(), z.string()).optional(),
  /** Further headers that carry the key of the account. */
  keyHeaders: z.array(z.string()).optional(),
  idempotencyKey: z.string().optional(),
  deadlineMs: z.int().positive().optional(),
  body: z.unknown().optional(),
  /** Sends the request again while its answer holds this text. */
  whileContains: z.string().optional(),
  /** Goes on with the next step before the answer. */
  background: z.boolean().default(false),
});

/** Sends a request through the caller of the scenario. */
export function sendScenarioRequest(
  input: Omit<z.output<typeof requestSchema>, 'background' | 'whileContains'>,
  {cluster, caller, keys}: ScenarioContext,
): CallRecord {
  const entry = cluster.entries.find(({name}) => name === input.entry);
  const {account, idempotencyKey, deadlineMs, keyHeaders = []} = input;
  const key = account === undefined ? undefined : keys.get(account)?.key;
  return caller.sendRequest({
    name: input.name,
    entry: input.entry,
    deadlineMs,
    url: entry?.callerUrl ?? 'http://127.0.0.1:1',
    method: input.method,
    path: input.path,
    account,
    key,
    body: input.body,
    headers: {
      ...input.headers,
      ...Object.fromEntries(keyHeaders.map(name => [name, key ?? ''])),
      ...(idempotencyKey === undefined
        ? {}
        : {'idempotency-key': idempotencyKey}),
      ...(deadlineMs === undefined
        ? {}
        : {'x-siskinplank-deadline-ms': String(deadlineMs)}),
    },
  });
}

/** Finds a named request or fails the step. */
export function getRecord(
  context: ScenarioContext,
  name: string,
): Promise<CallRecord> {
  const record = context.caller.findRecord(name);
  if (record !== undefined) return Promise.resolve(record);
  return failStep(`no request is named ${name}`);
}

/** Sends one request. */
export const requestStep = defineStep(requestSchema, async (input, context) => {
  if (!context.cluster.entries.some(({name}) => name === input.entry)) {
    return failStep(`no entry is named ${input.entry}`);
  }
  const {whileContains} = input;
  if (whileContains !== undefined) {
    return waitUntil(`an answer without ${whileContains}`, async () => {
      const record = sendScenarioRequest(input, context);
      await record.done;
      await context.clock.waitMs(REPEAT_WAIT_MS);
      return !record.text.includes(whileContains);
    });
  }
  const record = sendScenarioRequest(input, context);
  if (!input.background) return record.done;
  context.background.push(record.done);
});

/** Closes the caller's connection. */
export const cancelStep = defineStep(
  z.strictObject({request: z.string()}),
  async ({request}, context) => {
    const record = await getRecord(context, request);
    record.cancel();
    await record.done;
  },
);

/** Waits for the end of requests, or of all work in the background. */
export const joinStep = defineStep(
  z.strictObject({requests: z.array(z.string()).default([])}),
  async ({requests}, context) => {
    if (requests.length === 0) {
      await Promise.all(context.background);
      return;
    }
    for (const name of requests) await (await getRecord(context, name)).done;
  },
);
