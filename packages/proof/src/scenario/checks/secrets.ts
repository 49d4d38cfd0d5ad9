/** Check that callers' keys stay with the entry hosts. */
import {z} from 'zod';
import type {ScenarioContext} from '../context';
import {defineCheck} from '../types';

async function collectTexts(
  context: ScenarioContext,
): Promise<Map<string, string>> {
  const {cluster, standIns, caller} = context;
  const texts = new Map<string, string>();
  for (const name of standIns) {
    const log = await cluster.getStandIn(name).listLog();
    texts.set(`log of ${name}`, JSON.stringify(log));
  }
  for (const {name} of [...cluster.entries, ...cluster.sides]) {
    const lines = cluster.getProcess(name).listLines();
    texts.set(`output of ${name}`, lines.join('\n'));
  }
  if (cluster.collector !== undefined) {
    const spans = await cluster.collector.requestJson('GET', '/control/spans');
    texts.set('traces', JSON.stringify(spans));
  }
  for (const {marker, text, headers} of caller.listRecords()) {
    texts.set(`answer ${marker}`, text + JSON.stringify(headers));
  }
  return texts;
}

/** No key appears in an upstream, a log, a trace or an answer. */
export const keyNeverSeenCheck = defineCheck(
  z.strictObject({}).nullish(),
  async (_, context) => {
    const texts = await collectTexts(context);
    const problems: string[] = [];
    for (const [account, {key}] of context.keys) {
      // The secret is the last part; the name of the key is public.
      const secret = key.split('-').at(-1) ?? key;
      for (const [source, text] of texts) {
        if (text.includes(secret))
          problems.push(`${source}: key of ${account}`);
      }
    }
    return problems;
  },
);
