/** Steps that wait for a condition or let time pass. */
import {z} from 'zod';
import type {ScenarioContext} from '../context';
import {
  WAIT_LIMIT_MS,
  failStep,
  listMatchingEntries,
  waitUntil,
} from '../context';
import {sendAdminCall} from '../operator';
import {defineStep} from '../types';
import {getRecord} from './request';

const HTTP_OK = 200;
const HTTP_ERROR_MIN = 400;

const logSchema = z.strictObject({
  type: z.string().optional(),
  contains: z.string().optional(),
  count: z.int().positive().default(1),
});

const conditionSchema = z.strictObject({
  /** Entries in the log of a stand-in. */
  log: logSchema.extend({standIn: z.string()}).optional(),
  /** Entries in the logs of several stand-ins, counted together. */
  anyLog: logSchema.extend({standIns: z.array(z.string())}).optional(),
  /** A named request has its head, some text, or its end. */
  response: z
    .strictObject({
      request: z.string(),
      state: z.enum(['head', 'text', 'ended']),
    })
    .optional(),
  /** A line in the output of a process. */
  output: z
    .strictObject({
      process: z.string(),
      contains: z.string(),
      count: z.int().positive().default(1),
    })
    .optional(),
  /** Processes that answer `/readyz`. */
  ready: z.array(z.string()).optional(),
  /** Sum of a metric of a process over its labels. */
  metric: z
    .strictObject({
      process: z.string(),
      name: z.string(),
      contains: z.string().default(''),
      atLeast: z.number().optional(),
      atMost: z.number().optional(),
    })
    .optional(),
  /** Requests in the queue of an upstream, as reported to operators. */
  queued: z
    .strictObject({upstream: z.string(), atLeast: z.int().positive()})
    .optional(),
  timeoutMs: z.int().positive().default(WAIT_LIMIT_MS),
});

type Condition = z.output<typeof conditionSchema>;

/** Reads a metric of an entry or side process, summed over its labels. */
export async function readMetric(
  {process, name, contains}: NonNullable<Condition['metric']>,
  {cluster}: ScenarioContext,
  limitMs?: number,
): Promise<number> {
  const url =
    cluster.entries.find(node => node.name === process)?.callerUrl ??
    cluster.sides.find(node => node.name === process)?.httpUrl;
  const signal =
    limitMs === undefined ? undefined : AbortSignal.timeout(limitMs);
  const response = await fetch(`${url}/metrics`, {signal});
  const lines = (await response.text()).split('\n');
  return lines
    .filter(line => line.startsWith(name) && line.includes(contains))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

async function countQueued(
  upstream: string,
  {cluster}: ScenarioContext,
): Promise<number> {
  const {adminUrl} = cluster.entries[0];
  const token = cluster.secrets.bootstrapToken;
  const {body} = await sendAdminCall(adminUrl, token, 'GetStatus', {});
  const {upstreams = []} = body as {
    upstreams?: Array<{name: string; queuedRequests?: number}>;
  };
  return upstreams.find(({name}) => name === upstream)?.queuedRequests ?? 0;
}

async function checkLogs(
  {standIns, type, contains, count}: NonNullable<Condition['anyLog']>,
  context: ScenarioContext,
): Promise<boolean> {
  let found = 0;
  for (const standIn of standIns) {
    const filter = {standIn, type, contains};
    found += (await listMatchingEntries(context, filter)).length;
  }
  return found >= count;
}

async function checkResponse(
  {request, state}: NonNullable<Condition['response']>,
  context: ScenarioContext,
): Promise<boolean> {
  const record = await getRecord(context, request);
  // An error body is text as well, and would count as the first token.
  if (state === 'text' && (record.status ?? HTTP_OK) >= HTTP_ERROR_MIN) {
    return failStep(`${request} was refused: ${record.status} ${record.text}`);
  }
  if (record.endedAtMs !== undefined || state === 'ended') {
    return record.endedAtMs !== undefined;
  }
  return state === 'head' ? record.status !== undefined : record.text !== '';
}

async function checkCondition(
  condition: Condition,
  context: ScenarioContext,
): Promise<boolean> {
  const {log, anyLog, response, output, metric, ready, queued} = condition;
  if (log !== undefined) {
    const logs = {...log, standIns: [log.standIn]};
    if (!(await checkLogs(logs, context))) return false;
  }
  if (anyLog !== undefined && !(await checkLogs(anyLog, context))) {
    return false;
  }
  if (response !== undefined && !(await checkResponse(response, context))) {
    return false;
  }
  if (output !== undefined) {
    const lines = context.cluster.getProcess(output.process).listLines();
    const matching = lines.filter(line => line.includes(output.contains));
    if (matching.length < output.count) return false;
  }
  if (metric !== undefined) {
    const value = await readMetric(metric, context);
    if (value < (metric.atLeast ?? -Infinity)) return false;
    if (value > (metric.atMost ?? Infinity)) return false;
  }
  if (queued !== undefined) {
    const count = await countQueued(queued.upstream, context);
    if (count < queued.atLeast) return false;
  }
  if (ready !== undefined) await context.cluster.waitForReady(ready);
  return true;
}

/** Waits until all named conditions hold. */
export const waitForStep = defineStep(conditionSchema, (condition, context) =>
  waitUntil(
    JSON.stringify(condition),
    () => checkCondition(condition, context),
    condition.timeoutMs,
  ),
);

/** Lets time pass, where elapsed time itself is the fault. */
export const pauseForStep = defineStep(
  z.strictObject({ms: z.int().positive()}),
  ({ms}, {clock}) => clock.waitMs(ms),
);
