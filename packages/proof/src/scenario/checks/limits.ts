/** Check that an account got no more than its rate and burst. */
import {z} from 'zod';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {MARKER_HEADER} from '../caller';
import type {ScenarioContext} from '../context';
import {defineCheck, describeTooFew} from '../types';

/** Tokens generated for a request, admitted at some time of the interval. */
interface Spending {
  fromMs: number;
  toMs: number;
  tokens: number;
}

/** Most tokens above what a window allows. */
interface Excess {
  tokens: number;
  allowed: number;
  windowMs: number;
}

/**
 * Finds the window with the largest excess. A request was admitted after its
 * caller sent it and before an engine got it, so it counts for each window
 * that holds all of that time.
 */
export function findLargestExcess(
  spendings: readonly Spending[],
  limit: {rateTokensPerSecond: number; burstTokens: number},
): Excess | undefined {
  const byEnd = [...spendings].sort((a, b) => a.toMs - b.toMs);
  let largest: Excess | undefined;
  for (const {fromMs} of spendings) {
    let tokens = 0;
    for (const spending of byEnd) {
      if (spending.fromMs < fromMs) continue;
      tokens += spending.tokens;
      const windowMs = spending.toMs - fromMs;
      const allowed =
        limit.burstTokens + (limit.rateTokensPerSecond * windowMs) / 1_000;
      const excess = tokens - allowed;
      if (excess <= 0) continue;
      if (largest && excess <= largest.tokens - largest.allowed) continue;
      largest = {tokens, allowed, windowMs};
    }
  }
  return largest;
}

/** Reads from the engines what was generated for an account. */
async function listSpendings(
  account: string,
  {cluster, caller, clock}: ScenarioContext,
): Promise<Spending[]> {
  // Callers and stand-ins count from different starts of the same clock.
  const offsetMs = getMonotonicMs() - clock.getNowMs();
  const records = new Map(
    caller
      .listRecords()
      .filter(record => record.account === account)
      .map(record => [record.marker, record]),
  );
  const spendings: Spending[] = [];
  const engines = cluster.listUpstreams().filter(({type}) => type === 'engine');
  for (const {name} of engines) {
    const log = await cluster.getStandIn(name).listLog();
    const produced = new Map(
      log
        .filter(({type}) => type === 'generation-ended')
        .map(entry => [entry.generationId, Number(entry.produced)]),
    );
    for (const entry of log) {
      if (entry.type !== 'request') continue;
      const headers = entry.headers as Record<string, string | undefined>;
      const record = records.get(headers[MARKER_HEADER] ?? '');
      if (record === undefined) continue;
      spendings.push({
        fromMs: record.startedAtMs + offsetMs,
        toMs: entry.atMs,
        tokens: produced.get(entry.generationId) ?? 0,
      });
    }
  }
  return spendings;
}

/** Over every window, at most rate × window + burst tokens were generated. */
export const rateCeilingCheck = defineCheck(
  z.strictObject({
    account: z.string(),
    /** Least number of generated tokens, so that the limit was reached. */
    atLeastTokens: z.int().min(0).default(1),
  }),
  async ({account, atLeastTokens}, context) => {
    const limit = context.scenario.accounts.find(({name}) => name === account);
    if (limit === undefined) return [`no account ${account}`];
    const spendings = await listSpendings(account, context);
    const total = spendings.reduce((sum, {tokens}) => sum + tokens, 0);
    const excess = findLargestExcess(spendings, limit);
    const problems =
      excess === undefined
        ? []
        : [
            `${account} got ${excess.tokens} tokens in ${excess.windowMs.toFixed(0)} ms,` +
              ` ${excess.allowed.toFixed(0)} allowed`,
          ];
    return [
      ...problems,
      ...describeTooFew('generated tokens', total, atLeastTokens),
    ];
  },
);
