import {StoreFailureCode} from '@siskinplank/directory';
import {
  LogLevel,
  createLogger,
  createManualClock,
} from '@siskinplank/foundation';
import {MemorySharedObjectStore} from '@siskinplank/testing';
import {Left} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {listExpiredRegistrations} from './registration-expiry';
import {createGatewayRegistry} from './gateway-registry';
import type {GatewayRegistry} from './gateway-registry';
import {GATEWAYS_KIND} from './records';

const clock = createManualClock();

async function runPendingWork(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) {
    clock.runFor(1);
    await Promise.resolve();
  }
}

function startRegistry(
  objects: MemorySharedObjectStore,
  name: string,
): GatewayRegistry {
  const registry = createGatewayRegistry({
    objects,
    ownRecord: {
      name,
      incarnation: `${name}-1`,
      address: {host: '10.0.0.1', port: 7600},
      failureDomain: 'a',
      region: 'r',
    },
    watchWaitMs: 1_000,
    retryDelayMs: 100,
    clock,
    logger: createLogger({
      level: LogLevel.Info,
      fields: {},
      write: () => undefined,
      getWallMs: clock.getWallMs,
    }),
    onChange: () => undefined,
  });
  registry.start();
  return registry;
}

describe('registrations of gateways', () => {
  // The old registration of a host that was replaced under another address
  // would withhold a fraction of every rate for ever.
  it('are removed for gateways that do not return', async () => {
    const objects = new MemorySharedObjectStore();
    const first = startRegistry(objects, 'stopped');
    const second = startRegistry(objects, 'living');
    await runPendingWork();
    first.stop();
    expect(second.listOthers().map(({name}) => name)).toEqual(['stopped']);
    expect(await second.removeRegistration('stopped')).toBe(true);
    await runPendingWork();
    expect(second.listOthers()).toEqual([]);
  });

  // Guards against data of the gateway that would stay in the store for good.
  it('count as removed when the answer to the removal was lost', async () => {
    const objects = new MemorySharedObjectStore();
    const first = startRegistry(objects, 'stopped');
    const second = startRegistry(objects, 'living');
    await runPendingWork();
    first.stop();
    const deleteObject = objects.deleteObject.bind(objects);
    objects.deleteObject = async (...call) => {
      await deleteObject(...call);
      return Left({code: StoreFailureCode.NoAnswer, reason: 'lost'});
    };
    expect(await second.removeRegistration('stopped')).toBe(true);
    await runPendingWork();
    expect(second.listOthers()).toEqual([]);
  });

  it('are renewed with a higher revision by a running gateway', async () => {
    const objects = new MemorySharedObjectStore();
    const alive = startRegistry(objects, 'alive');
    const other = startRegistry(objects, 'other');
    await runPendingWork();
    const formerRevision = alive.getOwnRevision() ?? 0;
    await other.removeRegistration('alive');
    await runPendingWork();
    expect(alive.getOwnRevision()).toBeGreaterThan(formerRevision);
    const listed = await objects.listObjects(GATEWAYS_KIND);
    expect(listed.map(({items}) => items.length).extract()).toBe(2);
  });

  it('expire only after the time within which a gateway may return', () => {
    const input = {
      names: ['silent', 'responsive', 'unseen'],
      getLastSeenAtMs: (name: string) =>
        ({silent: 1_000, responsive: 50_000})[name] ?? undefined,
      listeningSinceMs: 0,
    };
    expect(listExpiredRegistrations({...input, nowMs: 59_000})).toEqual([]);
    expect(listExpiredRegistrations({...input, nowMs: 62_000})).toEqual([
      'silent',
      'unseen',
    ]);
  });
});
