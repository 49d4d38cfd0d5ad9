/**
 * Start-time fair queue of one priority class. The virtual time of an account
 * advances by tokens divided by weight with each of its requests that is
 * dequeued; the account with the lowest virtual time is next.
 */
import type {QueueItem} from './types';

interface Flow {
  items: QueueItem[];
  virtualTime: number;
  weight: number;
  /** Whether the flow could have been chosen at the last dequeue. */
  wasReady: boolean;
}

/** Waiting requests of one priority class. */
export interface ClassQueue {
  push(item: QueueItem): void;
  /** Removes the next item that passes the filter. */
  pop(isReady: (item: QueueItem) => boolean): QueueItem | undefined;
  remove(id: string): QueueItem | undefined;
  settle(item: QueueItem, usedTokens: number): void;
  list(): readonly QueueItem[];
  /** Newest item of an account. */
  getNewest(account: string): QueueItem | undefined;
  listAccounts(): readonly string[];
}

/** Creates an empty queue. */
export function createClassQueue(): ClassQueue {
  const flows = new Map<string, Flow>();
  let virtualTime = 0;

  // An empty flow ahead of the class's virtual time is kept, because it
  // records that its account has used more than its share.
  const dropIdleFlows = (): void => {
    for (const [account, flow] of flows) {
      if (flow.items.length === 0 && flow.virtualTime <= virtualTime) {
        flows.delete(account);
      }
    }
  };

  return {
    push: item => {
      const flow = flows.get(item.account) ?? {
        items: [],
        virtualTime,
        weight: item.weight,
        wasReady: false,
      };
      flow.weight = item.weight;
      if (flow.items.length === 0) flow.wasReady = false;
      flow.items.push(item);
      flows.set(item.account, flow);
    },
    pop: isReady => {
      let best: {flow: Flow; index: number} | undefined;
      for (const flow of flows.values()) {
        const index = flow.items.findIndex(isReady);
        if (index === -1) {
          flow.wasReady = false;
          continue;
        }
        // A flow gains no credit for the time in which it had no ready item.
        if (!flow.wasReady) {
          flow.virtualTime = Math.max(flow.virtualTime, virtualTime);
          flow.wasReady = true;
        }
        if (best === undefined || flow.virtualTime < best.flow.virtualTime) {
          best = {flow, index};
        }
      }
      if (best === undefined) return undefined;
      const [item] = best.flow.items.splice(best.index, 1);
      virtualTime = Math.max(virtualTime, best.flow.virtualTime);
      best.flow.virtualTime += item.tokens / item.weight;
      dropIdleFlows();
      return item;
    },
    remove: id => {
      for (const flow of flows.values()) {
        const index = flow.items.findIndex(item => item.id === id);
        if (index !== -1) return flow.items.splice(index, 1)[0];
      }
      return undefined;
    },
    settle: (item, usedTokens) => {
      const flow = flows.get(item.account);
      if (flow === undefined) return;
      flow.virtualTime += (usedTokens - item.tokens) / item.weight;
    },
    list: () => [...flows.values()].flatMap(flow => flow.items),
    getNewest: account => flows.get(account)?.items.at(-1),
    listAccounts: () =>
      [...flows]
        .filter(([, {items}]) => items.length > 0)
        .map(([name]) => name),
  };
}
