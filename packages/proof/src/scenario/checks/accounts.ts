/** Check that requests run only for the client account of their key. */
import {z} from 'zod';
import {MARKER_HEADER} from '../caller';
import type {CallRecord} from '../caller';
import type {Scenario} from '../schema';
import {defineCheck, describeTooFew} from '../types';

const MODEL_PATHS = '/v1/completions';
const ACCOUNT_TAG_HEADER = 'x-account-tag';

/** Whether the account of a request may not use its model. */
function isForeign(
  {account, body, path}: CallRecord,
  accounts: Scenario['accounts'],
): boolean {
  if (!path.startsWith(MODEL_PATHS)) return false;
  const allowed = accounts.find(({name}) => name === account)?.models;
  const {model} = JSON.parse(body) as {model: string};
  return allowed !== undefined && !allowed.includes(model);
}

/**
 * Upstreams see one tag for each client account and another for each other
 * one, and requests for models that their account may not use never arrive.
 */
export const accountsApartCheck = defineCheck(
  z.strictObject({
    /** Requests that no upstream may see. */
    foreign: z.array(z.string()).default([]),
    atLeast: z.int().min(0).default(1),
  }),
  async ({foreign, atLeast}, {cluster, caller, scenario}) => {
    const records = new Map(
      caller.listRecords().map(record => [record.marker, record]),
    );
    const owners = new Map<string, string>();
    const problems: string[] = [];
    let seen = 0;
    for (const {name, type} of cluster.listUpstreams()) {
      if (type !== 'engine') continue;
      for (const {headers} of await cluster
        .getStandIn(name)
        .listLog('request')) {
        const values = headers as Record<string, string | undefined>;
        const record = records.get(values[MARKER_HEADER] ?? '');
        if (record?.account === undefined) continue;
        seen += 1;
        if (
          foreign.includes(record.name ?? '') ||
          isForeign(record, scenario.accounts)
        ) {
          problems.push(`${record.name ?? record.marker} ran at ${name}`);
        }
        const tag = values[ACCOUNT_TAG_HEADER] ?? '';
        const owner = owners.get(tag) ?? record.account;
        owners.set(tag, owner);
        if (owner !== record.account) {
          problems.push(`${record.account} ran as ${owner} at ${name}`);
        }
      }
    }
    return [...problems, ...describeTooFew('requests', seen, atLeast)];
  },
);
