import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {TargetType} from '@siskinplank/messages';
import {PriorityClass} from '@siskinplank/resources';
import {createFairQueue} from './fair-queue';
import type {QueueItem} from './types';

const LIMITS = {maxRequests: 1_000, maxBytes: 1e9, agingMs: 1_000};
let itemCount = 0;
const makeItem = (changes: Partial<QueueItem>): QueueItem => ({
  id: `i${++itemCount}`,
  account: 'a',
  weight: 1,
  tokens: 10,
  bytes: 100,
  priority: PriorityClass.Awaited,
  enqueuedMs: 0,
  deadlineAtMs: 1e9,
  target: {type: TargetType.Model, model: 'm'},
  ...changes,
});
const isReady = () => true;

describe('fair queue', () => {
  // An account with many requests must not get more than its weighted share.
  it('shares tokens among backlogged accounts by weight', () => {
    const account = fc.record({
      weight: fc.integer({min: 1, max: 8}),
      tokens: fc.array(fc.integer({min: 1, max: 100}), {
        minLength: 40,
        maxLength: 60,
      }),
    });
    fc.assert(
      fc.property(fc.array(account, {minLength: 2, maxLength: 5}), accounts => {
        const queue = createFairQueue(LIMITS);
        accounts.forEach(({weight, tokens}, index) => {
          for (const count of tokens) {
            const name = `a${index}`;
            queue.enqueue(makeItem({account: name, weight, tokens: count}));
          }
        });
        const served = accounts.map(() => 0);
        const left = accounts.map(({tokens}) => tokens.length);
        while (left.every(count => count > 1)) {
          const item = queue.dequeue(0, isReady);
          if (item === undefined) break;
          const index = Number(item.account.slice(1));
          served[index] += item.tokens / item.weight;
          left[index] -= 1;
        }
        accounts.forEach((a, i) =>
          accounts.forEach((b, j) => {
            const bound = 100 / a.weight + 100 / b.weight;
            expect(Math.abs(served[i] - served[j])).toBeLessThanOrEqual(
              bound + 1e-6,
            );
          }),
        );
      }),
      {numRuns: 200},
    );
  });

  // An account that was idle must not be compensated for that time.
  it('gives no credit for idle time', () => {
    const queue = createFairQueue(LIMITS);
    for (let i = 0; i < 40; i += 1) queue.enqueue(makeItem({account: 'busy'}));
    for (let i = 0; i < 20; i += 1) queue.dequeue(0, isReady);
    for (let i = 0; i < 20; i += 1) queue.enqueue(makeItem({account: 'new'}));
    const next = Array.from({length: 10}, () => queue.dequeue(0, isReady));
    const newCount = next.filter(item => item?.account === 'new').length;
    expect(newCount).toBeGreaterThanOrEqual(4);
    expect(newCount).toBeLessThanOrEqual(6);
  });

  // Overnight requests must neither delay awaited ones nor wait forever.
  it('serves awaited first and gives aged overnight requests some turns', () => {
    const queue = createFairQueue(LIMITS);
    const priority = PriorityClass.Overnight;
    for (let i = 0; i < 40; i += 1) {
      queue.enqueue(makeItem({priority}));
      queue.enqueue(makeItem({}));
    }
    const takeSome = (nowMs: number) =>
      Array.from({length: 16}, () => queue.dequeue(nowMs, isReady)).filter(
        item => item?.priority === priority,
      ).length;
    expect(takeSome(999)).toBe(0);
    expect(takeSome(1_000)).toBe(2);
  });

  // Requests for a missing model must neither block others nor be reordered.
  it('skips targets that are not ready and lists them by age', () => {
    const queue = createFairQueue(LIMITS);
    const cold = {type: TargetType.Model, model: 'cold'} as const;
    const colder = {type: TargetType.Model, model: 'colder'} as const;
    queue.enqueue(makeItem({target: cold, enqueuedMs: 5}));
    queue.enqueue(makeItem({target: colder, enqueuedMs: 3}));
    queue.enqueue(makeItem({enqueuedMs: 9}));
    const isWarm = (target: {model?: string}) => target.model === 'm';
    expect(queue.dequeue(10, isWarm as never)?.target).toMatchObject({
      model: 'm',
    });
    expect(queue.dequeue(10, isWarm as never)).toBeUndefined();
    const waiting = queue.listWaiting().map(({target}) => target);
    expect(waiting).toEqual([colder, cold]);
  });

  // Overload caused by one account must not affect accounts within their share.
  it('sheds overnight first, then the account most above its share', () => {
    const queue = createFairQueue({...LIMITS, maxRequests: 4});
    const overnight = makeItem({
      account: 'small',
      priority: PriorityClass.Overnight,
    });
    const greedy = Array.from({length: 3}, () => makeItem({account: 'greedy'}));
    for (const item of [overnight, ...greedy]) {
      expect(queue.enqueue(item)).toEqual([]);
    }
    expect(queue.enqueue(makeItem({account: 'b'}))).toEqual([overnight]);
    expect(queue.enqueue(makeItem({account: 'c'}))).toEqual([greedy[2]]);
    const huge = makeItem({account: 'd', bytes: 2e9});
    expect(queue.enqueue(huge)).toEqual([huge]);
    expect(queue.getTotals().requests).toBe(4);
  });
});
