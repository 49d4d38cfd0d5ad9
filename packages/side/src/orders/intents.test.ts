import {describe, expect, it, vi} from 'vitest';
import {ResourceKind} from '@siskinplank/resources';
import {MemoryPlatform, MemoryStore} from '@siskinplank/testing';
import {OrderType} from '../memory/types';
import {clock, logger} from '../testing/bench';
import {createIntentLog} from './intents';

const ORDER = {
  orderId: 'o1',
  type: OrderType.LoadModel,
  model: 'a',
  version: '1',
  memoryMiB: 60,
};

const startLogs = () => {
  const platform = new MemoryPlatform();
  const store = new MemoryStore(platform, clock);
  const createLog = () => createIntentLog('u1', store, clock, logger);
  return {platform, store, createLog, first: createLog(), second: createLog()};
};

describe('intent log', () => {
  // INV-01: if a replaced side process receives a rejection late, it must not
  // delete the intent of the order that its successor has resent, because the
  // next successor would not account for that order.
  it('keeps an intent that a successor has adopted', async () => {
    const {platform, createLog, first, second} = startLogs();
    await first.record(ORDER, 1);
    expect(await second.adoptUnresolved(2)).toEqual([ORDER]);
    first.settle(ORDER.orderId);
    await vi.waitFor(() => first.sweep(clock.getNowMs()));
    expect(await createLog().adoptUnresolved(3)).toEqual([ORDER]);
    expect(platform.objects.size).toBe(1);
  });

  // INV-01: a process may regain the lease after its successor held it.
  it('readopts an intent that it settled before it was replaced', async () => {
    const {platform, first, second} = startLogs();
    await first.record(ORDER, 1);
    platform.isDown = true;
    first.settle(ORDER.orderId);
    platform.isDown = false;
    await second.adoptUnresolved(2);
    expect(await first.adoptUnresolved(3)).toEqual([ORDER]);
  });

  // An intent that is never deleted would reserve memory forever.
  it('deletes a settled intent once the platform is available', async () => {
    const {platform, first} = startLogs();
    await first.record(ORDER, 1);
    platform.isDown = true;
    first.settle(ORDER.orderId);
    await Promise.resolve();
    platform.isDown = false;
    expect(await first.adoptUnresolved(1)).toEqual([]);
    first.sweep(clock.getNowMs());
    await vi.waitFor(() => expect(platform.objects.size).toBe(0));
  });

  // INV-01: two processes must not both adopt an intent.
  it('does not adopt an intent that was changed concurrently', async () => {
    const {store, first, second} = startLogs();
    await first.record(ORDER, 1);
    const stale = await store.listObjects(ResourceKind.OrderIntent);
    await second.adoptUnresolved(2);
    store.listObjects = () => Promise.resolve(stale as never);
    expect(await first.adoptUnresolved(3)).toBeUndefined();
  });
});
