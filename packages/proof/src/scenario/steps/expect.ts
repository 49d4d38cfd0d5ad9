/** Steps that fail the scenario unless an observation is as expected. */
import {z} from 'zod';
import {getRunState} from '../caller';
import {failStep, listMatchingEntries} from '../context';
import {defineStep} from '../types';
import {getRecord} from './request';

const responseSchema = z.strictObject({
  request: z.string(),
  /** One of these status codes. */
  status: z.array(z.int()).optional(),
  /** One of these run states. */
  runState: z.array(z.string()).optional(),
  /** Text that the answer holds, such as an error code. */
  contains: z.string().optional(),
  /** Named request with the same answer. */
  sameAs: z.string().optional(),
  /** Whether the connection failed. */
  isCut: z.boolean().optional(),
});

/** Expects an answer; waits for its end. */
export const expectResponseStep = defineStep(
  responseSchema,
  async (expected, context) => {
    const record = await getRecord(context, expected.request);
    await record.done;
    const {status, text, error} = record;
    const runState = getRunState(record);
    const seen = JSON.stringify({status, runState, error, text});
    const problems: string[] = [];
    if (expected.status && !expected.status.includes(status ?? 0)) {
      problems.push(`status ${expected.status.join(' or ')}`);
    }
    if (expected.runState && !expected.runState.includes(runState ?? '')) {
      problems.push(`run state ${expected.runState.join(' or ')}`);
    }
    if (expected.contains && !text.includes(expected.contains)) {
      problems.push(`text ${expected.contains}`);
    }
    if (expected.isCut !== undefined) {
      const isCut = error !== undefined;
      if (isCut !== expected.isCut) problems.push(`isCut ${expected.isCut}`);
    }
    if (expected.sameAs !== undefined) {
      const other = await getRecord(context, expected.sameAs);
      await other.done;
      if (other.text !== text) problems.push(`the answer ${other.text}`);
    }
    if (problems.length === 0) return;
    return failStep(
      `${expected.request}: expected ${problems.join(', ')}; saw ${seen}`,
    );
  },
);

/** Expects a number of runs at upstreams. */
export const expectRunsStep = defineStep(
  z.strictObject({
    standIns: z.array(z.string()).min(1),
    type: z.string().default('run'),
    contains: z.string().optional(),
    atLeast: z.int().min(0).default(0),
    atMost: z.int().min(0).optional(),
  }),
  async ({standIns, type, contains, atLeast, atMost}, context) => {
    let runs = 0;
    for (const standIn of standIns) {
      const filter = {standIn, type, contains};
      runs += (await listMatchingEntries(context, filter)).length;
    }
    if (runs >= atLeast && runs <= (atMost ?? Infinity)) return;
    return failStep(`${runs} runs; expected ${atLeast} to ${atMost ?? 'any'}`);
  },
);
