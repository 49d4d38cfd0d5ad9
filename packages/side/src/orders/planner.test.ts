import {describe, expect, it} from 'vitest';
import {ResourceKind, parseResource} from '@siskinplank/resources';
import {ContentState, OrderType, formatContent} from '../memory/types';
import type {LedgerEntry, PendingOrder} from '../memory/types';
import {planOrders} from './planner';
import type {PlanInput} from './planner';

const VERSION = '1';
const makeEntry = (
  model: string,
  memoryMiB: number,
  changes: Partial<LedgerEntry> = {},
): LedgerEntry => ({
  ...{model, version: VERSION, memoryMiB},
  ...{state: ContentState.Loaded, loadedMs: 0},
  ...changes,
});
const makePending = (type: OrderType, model: string): PendingOrder => ({
  order: {orderId: 'o', type, model, version: VERSION, memoryMiB: 40},
  lastSentMs: 0,
  sentCopies: 1,
  acceptedEngineMs: 0,
});
const makeInput = (changes: Partial<PlanInput>): PlanInput => ({
  entries: [],
  pending: [],
  freeMiB: 0,
  waiting: [],
  placed: [],
  getModel: name =>
    parseResource(ResourceKind.Model, {name, memoryMiB: 40}).unsafeCoerce(),
  getAdapter: () => undefined,
  getUse: () => ({
    ...{running: 0, queued: 0, oldestRunningMs: Infinity, demand: 0},
  }),
  getRetryAtMs: () => 0,
  makeOrderId: () => 'new',
  ...changes,
});

describe('order planner', () => {
  // A lagging report may show a model as loaded although its unload is pending;
  // the model must not get requests.
  it('keeps content draining until its unload has taken effect', () => {
    const plan = planOrders(
      makeInput({
        entries: [makeEntry('a', 40)],
        pending: [makePending(OrderType.UnloadModel, 'a')],
        waiting: [{model: 'b', oldestMs: 0}],
      }),
      10,
    );
    expect(plan.orders).toEqual([]);
    expect([...plan.draining]).toEqual([formatContent(makeEntry('a', 40))]);
  });

  // Evicting placed, busy or popular models would cause needless reloads.
  it('evicts the least valuable idle model', () => {
    const demands: Record<string, number> = {a: 5, b: 1, c: 0, d: 0};
    const plan = planOrders(
      makeInput({
        entries: Object.keys(demands).map(name => makeEntry(name, 40)),
        placed: [{model: 'c'}],
        waiting: [{model: 'w', oldestMs: 0}],
        getUse: model => ({
          running: model === 'd' ? 1 : 0,
          queued: 0,
          oldestRunningMs: 0,
          demand: demands[model],
        }),
      }),
      10,
    );
    expect(plan.orders).toMatchObject([
      {type: OrderType.UnloadModel, model: 'b'},
    ]);
  });

  // An idle adapter that was chosen first once prevented the eviction of its
  // model, so that eventually no missing model could be loaded.
  it('evicts a model whose adapter is less in demand', () => {
    const plan = planOrders(
      makeInput({
        entries: [makeEntry('a', 40), makeEntry('a', 1, {adapter: 'x'})],
        waiting: [{model: 'w', oldestMs: 0}],
        getUse: (_, adapter) => ({
          ...{running: 0, queued: 0, oldestRunningMs: Infinity},
          demand: adapter === undefined ? 5 : 1,
        }),
      }),
      10,
    );
    const unloaded = plan.orders.map(({model, adapter}) => [model, adapter]);
    expect(unloaded).toContainEqual(['a', undefined]);
  });

  // An adapter is kept if evicting a model alone frees enough memory.
  it('keeps an adapter when evicting a model frees enough memory', () => {
    const plan = planOrders(
      makeInput({
        entries: [
          makeEntry('a', 40),
          makeEntry('b', 40),
          makeEntry('b', 1, {adapter: 'y'}),
        ],
        waiting: [{model: 'w', oldestMs: 0}],
        getUse: (model, adapter) => ({
          ...{running: 0, queued: 0, oldestRunningMs: Infinity},
          demand: adapter === undefined ? (model === 'a' ? 2 : 5) : 1,
        }),
      }),
      10,
    );
    expect(plan.orders).toMatchObject([
      {type: OrderType.UnloadModel, model: 'a'},
    ]);
  });

  // Otherwise rarely used models would evict a popular one whenever it is idle
  // for a moment. A request is urgent after half of the time to its deadline.
  it('evicts a model with higher demand only for an urgent request', () => {
    const input = makeInput({
      entries: [makeEntry('hot', 40)],
      waiting: [{model: 'w', oldestMs: 0, deadlineAtMs: 12_000}],
      getUse: model => ({
        ...{running: 0, queued: 0, oldestRunningMs: Infinity},
        demand: model === 'hot' ? 50 : 1,
      }),
    });
    expect(planOrders(input, 5_900).orders).toEqual([]);
    expect(planOrders(input, 6_000).orders).toMatchObject([
      {type: OrderType.UnloadModel, model: 'hot'},
    ]);
  });

  // Freed memory must go to the oldest request, not to a newer, smaller one.
  it('serves waiting models in order of age', () => {
    const plan = planOrders(
      makeInput({
        freeMiB: 20,
        getModel: name =>
          parseResource(ResourceKind.Model, {
            name,
            memoryMiB: name === 'old' ? 40 : 10,
          }).unsafeCoerce(),
        waiting: [
          {model: 'old', oldestMs: 0},
          {model: 'young', oldestMs: 5},
        ],
      }),
      10,
    );
    expect(plan.orders).toEqual([]);
  });
});
