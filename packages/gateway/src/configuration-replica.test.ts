import {createManualClock} from '@siskinplank/foundation';
import type {Logger} from '@siskinplank/foundation';
import type {ServingConfiguration} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {createConfigurationReplica} from './configuration-replica';
import {FakeDirectory} from './testing/fake-directory';

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};
const ENTRY = 'main';

function makeConfiguration(version: number): ServingConfiguration {
  return {
    version,
    routes: [],
    services: new Map(),
    accounts: [],
    limits: {
      maxHeaderBytes: 1_000,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
  };
}

async function startBench(version: number, {areHeard = true} = {}) {
  const peers = {version: 0, areHeard};
  const clock = createManualClock();
  const directory = new FakeDirectory<ServingConfiguration>();
  directory.items.set(ENTRY, makeConfiguration(version));
  const replica = createConfigurationReplica({
    directory,
    watchWaitMs: 1_000,
    retryDelayMs: 100,
    clock,
    logger: SILENT_LOGGER,
    getPeerVersion: () => peers.version,
    hasHeardPeers: () => peers.areHeard,
    onApply: () => undefined,
  });
  const runFor = async (durationMs = 0): Promise<void> => {
    for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
    clock.runFor(durationMs);
    for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
  };
  replica.start();
  await runFor();
  replica.observePeers(clock.getNowMs());
  return {
    clock,
    directory,
    replica,
    runFor,
    setPeerVersion: (peerVersion: number): void => {
      peers.version = peerVersion;
      replica.observePeers(clock.getNowMs());
    },
    setPeersHeard: (areHeard: boolean): void => {
      peers.areHeard = areHeard;
    },
    mayBeLost: () => replica.mayBeLost(clock.getNowMs()),
    getVersion: () => replica.getTable()?.configuration.version,
    getAgeMs: () => replica.getAgeMs(clock.getNowMs()),
  };
}

describe('configuration replica', () => {
  // Guards against keys that stay trusted although they were withdrawn in a
  // version that the restored store has lost.
  it('is not confirmed by a store that shows an older version', async () => {
    const bench = await startBench(5);
    const {directory, getAgeMs, getVersion, runFor} = bench;
    await runFor(500);
    directory.setEntry(ENTRY, makeConfiguration(7));
    await runFor(100);
    directory.endWatch();
    await runFor(400);
    expect(getAgeMs()).toBe(400);
    directory.restore(new Map([[ENTRY, makeConfiguration(5)]]));
    await runFor(1_000);
    directory.endWatch();
    await runFor(1_000);
    expect(getVersion()).toBe(7);
    expect(getAgeMs()).toBe(2_400);
    // A version in between was written before the one in force.
    directory.setEntry(ENTRY, makeConfiguration(6));
    await runFor(100);
    expect(getAgeMs()).toBe(2_500);
  });

  it('is confirmed again once the store shows its version again', async () => {
    const {directory, getAgeMs, runFor} = await startBench(7);
    directory.restore(new Map([[ENTRY, makeConfiguration(5)]]));
    await runFor(3_000);
    directory.endWatch();
    await runFor(500);
    directory.setEntry(ENTRY, makeConfiguration(7));
    await runFor();
    expect(getAgeMs()).toBe(500);
    await runFor(200);
    directory.endWatch();
    await runFor();
    expect(getAgeMs()).toBe(200);
  });

  it('is not confirmed by a store without a configuration', async () => {
    const {directory, getAgeMs, runFor} = await startBench(7);
    await runFor(500);
    directory.restore(new Map());
    await runFor(2_000);
    expect(getAgeMs()).toBe(2_500);
  });

  // Guards against keys that were withdrawn and are valid again at a gateway
  // that started from the copy.
  it('may be lost once the store shows less than a peer applies', async () => {
    const {directory, mayBeLost, runFor, setPeerVersion} = await startBench(5);
    await runFor(100);
    setPeerVersion(7);
    expect(mayBeLost()).toBe(false);
    await runFor(200);
    expect(mayBeLost()).toBe(true);
    directory.setEntry(ENTRY, makeConfiguration(6));
    await runFor();
    expect(mayBeLost()).toBe(true);
    directory.setEntry(ENTRY, makeConfiguration(7));
    await runFor();
    expect(mayBeLost()).toBe(false);
  });

  it('is not lost while an ordinary change spreads, and needs no list', async () => {
    const {directory, mayBeLost, runFor, setPeerVersion} = await startBench(5);
    for (const version of [6, 8, 9]) {
      await runFor(400);
      directory.endWatch();
      await runFor(100);
      setPeerVersion(version);
      await runFor(150);
      expect(mayBeLost()).toBe(false);
      directory.setEntry(ENTRY, makeConfiguration(version));
      await runFor();
      expect(mayBeLost()).toBe(false);
    }
    await runFor(1_000);
    expect(directory.listCount).toBe(1);
  });

  it('is not lost before a call to the store has shown that', async () => {
    const {mayBeLost, runFor, setPeerVersion} = await startBench(5);
    await runFor(100);
    setPeerVersion(7);
    await runFor(100);
    expect(mayBeLost()).toBe(false);
  });

  // Guards against gateways that never serve again because nobody has the
  // lost version.
  it('is not lost any more without a peer that applies a newer version', async () => {
    const {mayBeLost, runFor, setPeerVersion} = await startBench(5);
    await runFor(100);
    setPeerVersion(7);
    await runFor(200);
    expect(mayBeLost()).toBe(true);
    setPeerVersion(5);
    expect(mayBeLost()).toBe(false);
  });

  it('may be lost after the start until the peers are heard, for 1 s at most', async () => {
    const {mayBeLost, runFor, setPeerVersion} = await startBench(5, {
      areHeard: false,
    });
    expect(mayBeLost()).toBe(true);
    await runFor(900);
    expect(mayBeLost()).toBe(true);
    await runFor(100);
    expect(mayBeLost()).toBe(false);
    setPeerVersion(5);
    expect(mayBeLost()).toBe(false);

    const other = await startBench(5, {areHeard: false});
    expect(other.mayBeLost()).toBe(true);
    other.setPeersHeard(true);
    other.setPeerVersion(7);
    expect(other.mayBeLost()).toBe(true);
    other.setPeerVersion(5);
    expect(other.mayBeLost()).toBe(false);
  });
});
