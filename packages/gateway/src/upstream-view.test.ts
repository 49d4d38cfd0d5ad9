import {createStoreHealth} from '@siskinplank/directory';
import type {StoreCall, StoreHealth} from '@siskinplank/directory';
import {createManualClock} from '@siskinplank/foundation';
import type {Logger, ManualClock} from '@siskinplank/foundation';
import {UpstreamState} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {FakeDirectory} from './testing/fake-directory';
import {createUpstreamView} from './upstream-view';
import type {UpstreamView} from './upstream-view';

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};

function makeUpstream(
  id: string,
  state = UpstreamState.Ready,
  startedAtMs = 1,
): Upstream {
  return {
    id,
    service: 'llm',
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'a',
    softwareVersion: '',
    slots: 8,
    state,
    startedAtMs,
    models: undefined,
    orderSequence: 0,
    remainingMs: undefined,
  };
}

const ANSWER_GAP_MS = 1_600;

interface Bench {
  clock: ManualClock;
  directory: FakeDirectory<Upstream>;
  health: StoreHealth;
  view: UpstreamView;
  runFor(durationMs?: number): Promise<void>;
  listIds(): string[];
}

/** Time by which the timers of Node.js may fire before their delay has passed. */
const EARLY_MS = 0.5;

async function startBench(earlyMs = 0): Promise<Bench> {
  const clock = createManualClock();
  const directory = new FakeDirectory<Upstream>();
  directory.items.set('u1', makeUpstream('u1'));
  directory.items.set('u2', makeUpstream('u2'));
  const health = createStoreHealth(ANSWER_GAP_MS);
  const view = createUpstreamView({
    directory,
    watchWaitMs: 1_000,
    retryDelayMs: 100,
    storeHealth: health,
    getEra: () => directory.era,
    countGateways: () => 1,
    clock: {
      ...clock,
      startTimer: (delayMs, callback) =>
        clock.startTimer(delayMs - earlyMs, callback),
    },
    logger: SILENT_LOGGER,
    onChange: () => undefined,
  });
  const runFor = async (durationMs = 0): Promise<void> => {
    for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
    clock.runFor(durationMs);
    for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
  };
  view.start();
  await runFor();
  return {
    clock,
    directory,
    health,
    view,
    runFor,
    listIds: () => view.listUsable().map(({id}) => id),
  };
}

describe('upstream view', () => {
  it('removes an upstream that drains or is unregistered', async () => {
    const {directory, listIds, runFor} = await startBench();
    directory.setEntry('u1', makeUpstream('u1', UpstreamState.Draining));
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
    directory.setEntry('u2', undefined);
    await runFor(300);
    expect(listIds()).toEqual([]);
  });

  // Entries expire during a store outage; running upstreams register again 2 s
  // after its end.
  it('keeps upstreams whose entries expired during a store outage', async () => {
    const {clock, directory, health, listIds, runFor} = await startBench();
    const makeCall = (): StoreCall => ({
      watcher: 'other',
      sentAtMs: clock.getNowMs(),
      endedAtMs: clock.getNowMs(),
    });
    health.recordFailure(makeCall());
    await runFor(3_000);
    health.recordAnswer(makeCall(), 0);
    directory.setEntry('u1', undefined);
    await runFor(300);
    directory.setEntry('u2', undefined);
    await runFor(300);
    expect(listIds()).toEqual(['u1', 'u2']);
    directory.setEntry('u2', makeUpstream('u2'));
    await runFor(300);
    await runFor(1_800);
    expect(listIds()).toEqual(['u2']);
  });

  // Guards against upstreams that leave without a notice after the outage, and
  // would be used for a whole grace period more.
  it('keeps expired upstreams no longer than 2 s after the outage', async () => {
    const {clock, directory, health, listIds, runFor} = await startBench();
    const endedAtMs = clock.getNowMs();
    const call = {watcher: 'other', sentAtMs: endedAtMs, endedAtMs};
    health.recordFailure(call);
    health.recordAnswer(call, 0);
    await runFor(1_500);
    directory.setEntry('u1', undefined);
    await runFor(300);
    expect(listIds()).toEqual(['u2', 'u1']);
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
  });

  // Guards against expired upstreams that are used for good because the timer
  // that removes them finds the grace period not quite over.
  it('removes an expired upstream though its timer fires early', async () => {
    const {clock, directory, health, listIds, runFor} =
      await startBench(EARLY_MS);
    const endedAtMs = clock.getNowMs();
    const call = {watcher: 'other', sentAtMs: endedAtMs, endedAtMs};
    health.recordFailure(call);
    health.recordAnswer(call, 0);
    directory.setEntry('u1', undefined);
    await runFor(2_100);
    await runFor(10_000);
    expect(listIds()).toEqual(['u2']);
  });

  // Guards against upstreams that left unseen while a watch of any directory
  // hung, and that would be used for the grace period of an outage.
  it('removes an upstream at once if only one connection had failed', async () => {
    const {clock, directory, health, listIds, runFor} = await startBench();
    const hungSinceMs = clock.getNowMs();
    for (let watch = 0; watch < 7; watch += 1) {
      const sentAtMs = clock.getNowMs();
      await runFor(ANSWER_GAP_MS - 100);
      const endedAtMs = clock.getNowMs();
      health.recordAnswer({watcher: 'other', sentAtMs, endedAtMs}, 0);
    }
    health.recordFailure({
      watcher: 'hung',
      sentAtMs: hungSinceMs,
      endedAtMs: clock.getNowMs(),
    });
    directory.setEntry('u1', undefined);
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
  });

  it('removes an upstream that another gateway reports as draining', async () => {
    const {listIds, runFor, view} = await startBench();
    view.recordLeaving([['u1', 1, 1_005, 1, false]], 0);
    await runFor();
    expect(listIds()).toEqual(['u2']);
  });

  // An id that holds a slash must not be forgotten while its entry is there.
  it.each(['u1', 'a/b'])(
    'keeps out the leaving upstream %s while it is registered',
    async id => {
      const {clock, directory, listIds, runFor, view} = await startBench();
      directory.setEntry(id, makeUpstream(id));
      await runFor(300);
      const report = [id, 1, directory.revision + 50, 1, false] as const;
      view.recordLeaving([report], clock.getNowMs());
      await runFor(60_000);
      // The store still shows it as ready, so that others may not know of it.
      expect(view.listLeaving(clock.getNowMs())).toEqual([report]);
      directory.setEntry('u2', undefined);
      await runFor(300);
      expect(listIds()).not.toContain(id);
    },
  );

  it('ignores an outdated report about an upstream that registered again', async () => {
    const {directory, listIds, runFor, view} = await startBench();
    directory.setEntry('u1', undefined);
    await runFor(300);
    directory.setEntry('u1', makeUpstream('u1'));
    await runFor(300);
    view.recordLeaving([['u1', 1, 1_002, 1, false]], 600);
    view.recordLeaving([['u2', 9, 1_050, 1, false]], 600);
    expect(listIds()).toEqual(['u2', 'u1']);
  });

  it('removes an upstream that says that it leaves, whatever the store says', async () => {
    const {directory, listIds, runFor, view} = await startBench();
    expect(view.recordDeclared('u1/1', 0)).toBe(true);
    expect(listIds()).toEqual(['u2']);
    directory.setEntry('u1', {...makeUpstream('u1'), orderSequence: 1});
    await runFor(300);
    directory.setEntry('u1', undefined);
    await runFor(300);
    directory.setEntry('u1', makeUpstream('u1'));
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
    expect(view.recordDeclared('u1/1', 1_000)).toBe(false);
  });

  it('uses an upstream that said that it leaves once it has restarted', async () => {
    const {directory, listIds, runFor, view} = await startBench();
    view.recordDeclared('u1/1', 0);
    directory.setEntry('u1', makeUpstream('u1', UpstreamState.Ready, 2));
    await runFor(300);
    expect(listIds()).toEqual(['u1', 'u2']);
  });

  it('tells peers that an upstream said it leaves, and for 15 s more', async () => {
    const {clock, directory, runFor, view} = await startBench();
    const listIds = (): string[] =>
      view.listLeaving(clock.getNowMs()).map(([id]) => id);
    view.recordDeclared('u1/1', clock.getNowMs());
    await runFor(600_000);
    expect(listIds()).toEqual(['u1']);
    directory.setEntry('u1', undefined);
    await runFor(300);
    await runFor(14_000);
    expect(listIds()).toEqual(['u1']);
    await runFor(2_000);
    expect(listIds()).toEqual([]);
    directory.setEntry('u1', makeUpstream('u1'));
    await runFor(300);
    expect(listIds()).toEqual(['u1']);
  });

  it('believes a peer that an upstream said it leaves, against its own store', async () => {
    const [teller, told] = [await startBench(), await startBench()];
    teller.view.recordDeclared('u1/1', 0);
    told.directory.setEntry('u1', {...makeUpstream('u1'), slots: 4});
    await told.runFor(300);
    told.view.recordLeaving(teller.view.listLeaving(0), 300);
    expect(told.listIds()).toEqual(['u2']);
    told.directory.setEntry('u1', makeUpstream('u1'));
    await told.runFor(300);
    expect(told.listIds()).toEqual(['u2']);
  });

  it('knows when all upstreams of a service leave', async () => {
    const {view} = await startBench();
    view.recordDeclared('u1/1', 0);
    expect(view.isServiceLeaving('llm')).toBe(false);
    expect(view.countDisputed()).toBe(1);
    view.recordDeclared('u2/1', 0);
    expect(view.isServiceLeaving('llm')).toBe(true);
    expect(view.isServiceLeaving('none')).toBe(false);
  });
});

describe('upstream view of a restored store', () => {
  const READY = makeUpstream('u1');
  const DRAINING = makeUpstream('u1', UpstreamState.Draining);
  const COPY = new Map(['u1', 'u2'].map(id => [id, makeUpstream(id)]));

  it('never uses an incarnation again that was draining', async () => {
    const {directory, listIds, runFor} = await startBench();
    directory.setEntry('u1', DRAINING);
    await runFor(300);
    directory.restore(COPY);
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
    await runFor(20_000);
    expect(listIds()).toEqual(['u2']);
    directory.setEntry('u1', {...READY, slots: 4});
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
    directory.setEntry('u1', {...READY, startedAtMs: 2});
    await runFor(300);
    expect(listIds()).toEqual(['u1', 'u2']);
  });

  it('never uses an incarnation again that a later one replaced', async () => {
    const {directory, listIds, runFor} = await startBench();
    directory.setEntry('u1', {...READY, startedAtMs: 2});
    await runFor(300);
    directory.restore(COPY);
    await runFor(300);
    await runFor(10_000);
    expect(listIds()).toEqual(['u2']);
    directory.setEntry('u1', {...READY, startedAtMs: 2});
    await runFor(300);
    expect(listIds()).toEqual(['u1', 'u2']);
  });

  it('remembers for longer than the age of a copy which incarnations left', async () => {
    const {clock, directory, listIds, runFor, view} = await startBench();
    directory.setEntry('u1', DRAINING);
    await runFor(300);
    directory.setEntry('u1', undefined);
    await runFor(20_000);
    expect(view.listLeaving(clock.getNowMs())).toEqual([]);
    directory.restore(COPY);
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
    const reported = view.listLeaving(clock.getNowMs());
    expect(reported.map(([id]) => id)).toEqual(['u1']);
  });

  it('uses an upstream that was removed once it writes its entry again', async () => {
    const {directory, listIds, runFor} = await startBench();
    directory.setEntry('u1', undefined);
    await runFor(300);
    directory.restore(COPY);
    await runFor(300);
    expect(listIds()).toEqual(['u2']);
    directory.setEntry('u1', {...READY, slots: 4});
    await runFor(300);
    expect(listIds().sort()).toEqual(['u1', 'u2']);
  });

  // A server that writes again what the copy has changes nothing.
  it('uses an upstream that was removed if its entry stays', async () => {
    const {directory, listIds, runFor, view} = await startBench();
    directory.setEntry('u1', undefined);
    await runFor(300);
    directory.setEntry('u2', undefined);
    await runFor(300);
    const [report] = view.listLeaving(0);
    directory.restore(COPY);
    await runFor(300);
    expect(listIds()).toEqual([]);
    directory.setEntry('u2', undefined);
    await runFor(5_000);
    expect(listIds()).toEqual(['u1']);
    view.recordLeaving([report], 6_000);
    await runFor(300);
    expect(listIds()).toEqual(['u1']);
  });

  it('keeps a ready upstream that the copy lacks until it can register again', async () => {
    const {directory, listIds, runFor} = await startBench();
    directory.restore(new Map());
    await runFor(300);
    expect(listIds()).toEqual(['u1', 'u2']);
    directory.setEntry('u2', makeUpstream('u2'));
    await runFor(300);
    await runFor(1_800);
    expect(listIds()).toEqual(['u2']);
  });

  it('counts marks of peers from before the restore against the copy', async () => {
    const {clock, directory, listIds, runFor, view} = await startBench();
    directory.restore(COPY);
    await runFor(300);
    view.recordLeaving(
      [
        ['u1', 1, 1_005, 1, true],
        ['u2', 1, 1_006, 1, false],
      ],
      clock.getNowMs(),
    );
    await runFor(300);
    expect(listIds()).toEqual([]);
    await runFor(5_000);
    expect(listIds()).toEqual(['u2']);
  });

  it('ignores marks from before the restore against what was written since', async () => {
    const {clock, directory, listIds, runFor, view} = await startBench();
    directory.restore(new Map([['u2', makeUpstream('u2')]]));
    await runFor(300);
    directory.setEntry('u1', READY);
    await runFor(300);
    view.recordLeaving([['u1', 1, 1_005, 1, false]], clock.getNowMs());
    expect(listIds().sort()).toEqual(['u1', 'u2']);
  });

  it.each(['before', 'after'])(
    'learns from a peer %s the restore that a removed incarnation had been draining',
    async moment => {
      const {clock, directory, listIds, runFor, view} = await startBench();
      const recordPeer = (): void =>
        view.recordLeaving([['u1', 1, 1_001, 1, true]], clock.getNowMs());
      directory.setEntry('u1', undefined);
      await runFor(300);
      if (moment === 'before') recordPeer();
      directory.restore(COPY);
      await runFor(300);
      if (moment === 'after') recordPeer();
      await runFor(10_000);
      expect(listIds()).toEqual(['u2']);
    },
  );
});
