import {Left} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createRandom} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import {RESERVED_ORDER_IDS, RESERVE_SPREAD_MS} from '../constants';
import {MemoryPlatform, MemoryStore} from '@siskinplank/testing';
import {clock, logger} from '../testing/bench';
import {createOrderReserve} from './reserve';
import type {OrderReserve} from './reserve';

const startReserves = () => {
  const store = new MemoryStore(new MemoryPlatform(), clock);
  const create = () => createOrderReserve('u1', store, createRandom(1), logger);
  const listStored = (): readonly string[] =>
    store.platform.listObjects(ResourceKind.OrderReserve)[0]?.value.orderIds ??
    [];
  return {store, listStored, first: create(), second: create()};
};

/** Makes writes lose their reply; they take effect if `isDone`. */
const loseReplies = (store: MemoryStore, isDone: boolean): (() => void) => {
  const put = store.putObject.bind(store);
  store.putObject = async (kind, name, value, expected) => {
    if (isDone) await put(kind, name, value, expected);
    const code = PlatformErrorCode.OutcomeUnknown;
    return Left({code, message: code});
  };
  return () => void (store.putObject = put);
};

const drawAll = (reserve: OrderReserve, epoch: number): string[] => {
  const drawn: string[] = [];
  for (;;) {
    const orderId = reserve.take(epoch);
    if (orderId === undefined) return drawn;
    drawn.push(orderId);
  }
};

const LATER_MS = RESERVE_SPREAD_MS + 1;

describe('order reserve', () => {
  // INV-01: a successor cannot account for an id that may not be stored.
  it.each([true, false])(
    'uses no id of a write whose reply was lost (done: %s)',
    async isDone => {
      const {store, listStored, first} = startReserves();
      await first.adopt(1, 0);
      const restore = loseReplies(store, isDone);
      await first.refill(1, LATER_MS);
      expect(first.take(1)).toBeUndefined();
      restore();
      await first.refill(1, 3 * LATER_MS);
      const drawn = drawAll(first, 1);
      expect(drawn).toHaveLength(RESERVED_ORDER_IDS);
      expect([...listStored()].sort()).toEqual(drawn.sort());
    },
  );

  // INV-02: ids that are already stored stay usable when a later write fails.
  it('keeps its ids when a refill fails at the start of an outage', async () => {
    const {store, first} = startReserves();
    await first.adopt(1, 0);
    await first.refill(1, LATER_MS);
    for (let count = 0; count < RESERVED_ORDER_IDS / 2; count += 1) {
      first.settle(first.take(1) ?? '');
    }
    loseReplies(store, false);
    await first.refill(1, 3 * LATER_MS);
    store.platform.isDown = true;
    await first.refill(1, 5 * LATER_MS);
    expect(drawAll(first, 1)).toHaveLength(RESERVED_ORDER_IDS / 2);
  });

  // INV-01: a successor does not account for an order under a removed id.
  it('removes settled ids only', async () => {
    const {listStored, first} = startReserves();
    await first.adopt(1, 0);
    await first.refill(1, LATER_MS);
    const [settled, open] = drawAll(first, 1);
    first.settle(settled);
    await first.refill(1, 3 * LATER_MS);
    expect(listStored()).toContain(open);
    expect(listStored()).not.toContain(settled);
  });

  // INV-01: a predecessor that resumes after a pause must not use more ids.
  it('prevents a predecessor from storing or using ids after a takeover', async () => {
    const {listStored, first, second} = startReserves();
    await first.adopt(1, 0);
    await first.refill(1, LATER_MS);
    const before = listStored();
    for (let count = 0; count < RESERVED_ORDER_IDS / 2; count += 1) {
      first.settle(first.take(1) ?? '');
    }
    await second.adopt(2, 0);
    expect(second.listInherited()).toEqual(before);
    await first.refill(1, 3 * LATER_MS);
    expect(listStored()).toEqual(before);
    await first.refill(1, 6 * LATER_MS);
    expect(first.isAdopted(1)).toBe(false);
    expect(first.take(1)).toBeUndefined();
    await first.adopt(3, 0);
    expect(first.take(1)).toBeUndefined();
    expect(first.take(3)).toBeUndefined();
    expect(first.listInherited()).toEqual(before);
  });

  // INV-01: the first write of a predecessor may arrive after the takeover.
  it('adopts the ids that another process stored after the takeover', async () => {
    const {store, first} = startReserves();
    await first.adopt(2, 0);
    const name = 'u1';
    const orderIds = ['late'];
    store.platform.putDirectly(ResourceKind.OrderReserve, name, {
      ...{name, epoch: 1, orderIds},
    });
    await first.refill(2, LATER_MS);
    await first.refill(2, 3 * LATER_MS);
    expect(first.isAdopted(2)).toBe(false);
    expect(first.take(2)).toBeUndefined();
    await first.adopt(2, 0);
    expect(first.listInherited()).toEqual(orderIds);
  });

  // INV-01: when a process regains the lease, its successors must account for
  // its open orders again.
  it('stores the ids of its open orders again at a takeover', async () => {
    const {listStored, first, second} = startReserves();
    await first.adopt(1, 0);
    await first.refill(1, LATER_MS);
    const open = first.take(1);
    await second.adopt(2, 0);
    await second.refill(2, LATER_MS);
    expect(listStored()).not.toContain(open);
    await first.adopt(3, 0);
    expect(listStored()).toContain(open);
  });

  // 920 upstreams that start together must not all write at once.
  it('waits for a random time or the first order before a refill', async () => {
    const {listStored, first} = startReserves();
    await first.adopt(1, 0);
    await first.refill(1, 0);
    expect(listStored()).toEqual([]);
    first.expedite();
    await first.refill(1, 0);
    expect(listStored()).toHaveLength(RESERVED_ORDER_IDS);
  });
});
