/** Value of serving demand: total served demand weighed against fairness. */
import type {Fleet} from './fleet';

/** Value function of a placement round. */
export interface DemandValue {
  /** Value of serving `tokensPerSecond` more of the model's demand. */
  computeValue(model: string, tokensPerSecond: number): number;
}

/** Name that stands for the account of a model whose accounts are not known. */
const makeModelAccount = (model: string): string => `model/${model}`;

/**
 * Creates the value function, a weighted sum of two terms. Attainment counts
 * each token equally. Fairness counts a token by its fraction of the account's
 * demand, and more for accounts with a lower served fraction.
 */
export function createDemandValue(
  fleet: Fleet,
  served: ReadonlyMap<string, number>,
  attainmentWeight: number,
): DemandValue {
  const demandByAccount = new Map<string, number>();
  const servedByAccount = new Map<string, number>();
  const accountsOf = new Map<string, Array<[string, number]>>();
  let totalDemand = 0;
  const addTo = (map: Map<string, number>, key: string, value: number): void =>
    void map.set(key, (map.get(key) ?? 0) + value);
  for (const [model, {tokensPerSecond, accounts}] of fleet.demand) {
    if (tokensPerSecond <= 0) continue;
    totalDemand += tokensPerSecond;
    const ratio = Math.min(1, (served.get(model) ?? 0) / tokensPerSecond);
    const accountDemands: Array<[string, number]> =
      accounts.size > 0
        ? [...accounts]
        : [[makeModelAccount(model), tokensPerSecond]];
    accountsOf.set(model, accountDemands);
    for (const [account, tokens] of accountDemands) {
      addTo(demandByAccount, account, tokens);
      addTo(servedByAccount, account, tokens * ratio);
    }
  }
  const shortfall = new Map<string, number>();
  let worst = 0;
  for (const [account, demand] of demandByAccount) {
    const missing = 1 - (servedByAccount.get(account) ?? 0) / demand;
    shortfall.set(account, missing);
    worst = Math.max(worst, missing);
  }
  const meanDemand = totalDemand / Math.max(1, demandByAccount.size);
  return {
    computeValue: (model, tokensPerSecond) => {
      const demand = fleet.demand.get(model)?.tokensPerSecond ?? 0;
      if (demand <= 0) return 0;
      let fairness = 0;
      for (const [account, tokens] of accountsOf.get(model) ?? []) {
        const accountTokens = (tokensPerSecond * tokens) / demand;
        const accountDemand = demandByAccount.get(account) ?? 1;
        // The weight grows evenly with the shortfall, so that small changes of
        // the worst-served accounts do not reverse the order of loads.
        const weight =
          worst > 0 ? 0.5 + (0.5 * (shortfall.get(account) ?? 0)) / worst : 1;
        fairness += (weight * accountTokens * meanDemand) / accountDemand;
      }
      return (
        attainmentWeight * tokensPerSecond + (1 - attainmentWeight) * fairness
      );
    },
  };
}
