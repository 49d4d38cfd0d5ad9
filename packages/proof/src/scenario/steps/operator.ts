/** Steps of operators, through the published procedures. */
import {z} from 'zod';
import type {ScenarioContext} from '../context';
import {failStep} from '../context';
import {sendAdminCall, toResource} from '../operator';
import {defineStep} from '../types';

function getAdminUrl(context: ScenarioContext, entry?: string): string {
  const {entries} = context.cluster;
  const found = entries.find(({name}) => name === entry) ?? entries[0];
  return found.adminUrl;
}

const expectSchema = z.enum(['success', 'failure', 'any']).default('success');

async function checkAdminCall(
  context: ScenarioContext,
  call: {entry?: string; procedure: string; body: unknown},
  expected: z.output<typeof expectSchema>,
): Promise<void> {
  const url = getAdminUrl(context, call.entry);
  const token = context.cluster.secrets.bootstrapToken;
  const result = await sendAdminCall(url, token, call.procedure, call.body);
  if (expected === 'any' || (expected === 'success') === result.isOk) return;
  return failStep(`${call.procedure}: ${JSON.stringify(result.body)}`);
}

/** Calls a procedure of the operators' interface. */
export const adminStep = defineStep(
  z.strictObject({
    entry: z.string().optional(),
    procedure: z.string(),
    body: z.unknown(),
    expect: expectSchema,
    background: z.boolean().default(false),
  }),
  async (input, context) => {
    const work = checkAdminCall(context, input, input.expect);
    if (input.background) context.background.push(work);
    else await work;
  },
);

/** Applies one resource. */
export const applyStep = defineStep(
  z.strictObject({
    entry: z.string().optional(),
    kind: z.string(),
    name: z.string(),
    spec: z.record(z.string(), z.unknown()),
    expect: expectSchema,
    background: z.boolean().default(false),
  }),
  async (input, context) => {
    const body = {resource: toResource(input.kind, input.name, input.spec)};
    const call = {entry: input.entry, procedure: 'ApplyResource', body};
    const work = checkAdminCall(context, call, input.expect);
    if (input.background) context.background.push(work);
    else await work;
  },
);

/** Withdraws the key of an account. */
export const withdrawStep = defineStep(
  z.strictObject({
    account: z.string(),
    entry: z.string().optional(),
    expect: expectSchema,
    background: z.boolean().default(false),
  }),
  async ({account, entry, expect, background}, context) => {
    const keyId = context.keys.get(account)?.keyId;
    const call = {entry, procedure: 'WithdrawKey', body: {keyId}};
    const work = checkAdminCall(context, call, expect);
    if (background) context.background.push(work);
    else await work;
  },
);
