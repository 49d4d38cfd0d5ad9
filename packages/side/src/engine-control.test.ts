import {afterEach, describe, expect, it, vi} from 'vitest';
import {MessageType} from '@siskinplank/messages';
import {RefusalCode, ResourceKind, RunState} from '@siskinplank/resources';
import {RESERVED_ORDER_IDS} from './constants';
import {SIZES, TOTAL_MIB, stopAll, startBench} from './testing/engine-bench';

afterEach(stopAll);

describe('side process of an engine', () => {
  // INV-02: a request for a missing model or adapter loads it.
  it('loads on demand and evicts an idle model for another', async () => {
    const {engine, entry, open, waitForEnd} = await startBench();
    const first = await waitForEnd(open('a', 'x'));
    expect(first).toMatchObject({
      usage: {promptTokens: 4, completionTokens: 3},
    });
    expect(first.error).toBeUndefined();
    await waitForEnd(open('b'));
    expect([...engine.models.keys()]).toEqual(['b@1']);
    expect(engine.state.peakMiB).toBeLessThanOrEqual(TOTAL_MIB);
    expect(engine.orders.every(({fencing}) => fencing === 1)).toBe(true);
    await vi.waitFor(
      () =>
        expect(entry.list(MessageType.LoadReport).at(-1)?.load).toMatchObject({
          models: ['b'],
          freeMemoryMiB: 40,
        }),
      {timeout: 5_000},
    );
  });

  // INV-02: a busy model must not prevent loading another one forever.
  it('drains a busy model to load one with waiting requests', async () => {
    const {engine, open, waitForEnd} = await startBench();
    await waitForEnd(open('a'));
    let isOver = false;
    const keepBusy = async (): Promise<void> => {
      while (!isOver) await waitForEnd(open('a'));
    };
    engine.state.delayMs = 150;
    const busy = Array.from({length: 6}, keepBusy);
    await engine.waitForTicks();
    await waitForEnd(open('b'));
    const loaded = engine.orders.map(({type, model}) => `${type} ${model}`);
    expect(loaded).toContain('load-model b');
    isOver = true;
    await Promise.all(busy);
    expect(engine.state.peakMiB).toBeLessThanOrEqual(TOTAL_MIB);
  });

  // A request that can never be served must not wait for its deadline.
  it('refuses unknown models and models that do not fit', async () => {
    const {bench, entry, open} = await startBench();
    bench.put(ResourceKind.Model, 'huge', {memoryMiB: 101});
    for (const attemptId of [open('huge'), open('none')]) {
      await vi.waitFor(() =>
        expect(entry.list(MessageType.Refused, attemptId)).toMatchObject([
          {code: RefusalCode.NoUpstream, runState: RunState.NotRun},
        ]),
      );
    }
  });

  // INV-07: a stream interrupted inside an event must continue without a gap.
  it('resumes an interrupted stream at the engine', async () => {
    const {engine, entry, open, waitForEnd} = await startBench();
    engine.state.isStreamInterrupted = true;
    const attemptId = open('a');
    const end = await waitForEnd(attemptId);
    expect(end.error).toBeUndefined();
    expect(engine.offsets).toEqual(['2']);
    const body = entry.readBody(attemptId);
    expect(body.match(/"n":\d/g)).toEqual(['"n":0', '"n":1', '"n":2']);
  });

  // Guards against a response joined from what two versions of an engine wrote.
  it('ends a stream whose generation a restarted engine began anew', async () => {
    const {engine, entry, open, waitForEnd} = await startBench();
    await waitForEnd(open('a'));
    const requestId = 'request';
    engine.state.isStreamInterrupted = true;
    engine.state.isResumeBroken = true;
    const attemptId = open('a', undefined, {requestId});
    await vi.waitFor(() => expect(engine.offsets).toEqual(['2']));
    const models = [...engine.models];
    engine.restart();
    for (const [key, version] of models) engine.models.set(key, version);
    // An earlier attempt of the request, delayed, reaches the new engine.
    await waitForEnd(open('a', undefined, {requestId}));
    engine.state.isResumeBroken = false;
    const end = await waitForEnd(attemptId);
    expect(entry.readBody(attemptId)).not.toContain('"start":2');
    expect(end.error).toBe('engine cannot resume the generation: 404');
  });

  // Guards against a repeated request that ends when the former attempt is cancelled.
  it('cancels only the generation of the cancelled attempt', async () => {
    const {engine, entry, open, waitForEnd} = await startBench();
    await waitForEnd(open('a'));
    engine.begun.clear();
    engine.state.isResponseHeld = true;
    const [cancelled, kept] = [0, 1].map(() =>
      open('a', undefined, {requestId: 'request'}),
    );
    await vi.waitFor(() => expect(engine.held).toHaveLength(2));
    entry.link.send({type: MessageType.Cancel, attemptId: cancelled});
    await vi.waitFor(() => expect(engine.cancelled).toHaveLength(1));
    expect(engine.begun).toEqual(new Set([cancelled, kept]));
    expect(engine.cancelled).toEqual([`/v1/generations/${cancelled}`]);
  });

  // A caller that disconnected must not keep the accelerator busy.
  it('cancels the generation when the caller cancels', async () => {
    const {engine, entry, open, waitForEnd} = await startBench();
    await waitForEnd(open('a'));
    engine.state.isResponseHeld = true;
    const attemptId = open('a');
    await vi.waitFor(() => expect(engine.held).toHaveLength(1));
    entry.link.send({type: MessageType.Cancel, attemptId});
    await vi.waitFor(() =>
      expect(engine.cancelled).toEqual([`/v1/generations/${attemptId}`]),
    );
  });

  // Lost replies and failed loads must neither duplicate nor lose an order.
  it('resends lost orders with the same id and retries failed loads', async () => {
    const {engine, open, waitForEnd} = await startBench();
    engine.state.failedLoads = 1;
    engine.state.lostReplies = 1;
    await waitForEnd(open('a'));
    const loads = engine.orders.filter(({type}) => type === 'load-model');
    expect(loads.length).toBeGreaterThanOrEqual(2);
    expect(engine.models.size).toBe(1);
  });

  // INV-01: a side process without its lease must not send orders.
  it('sends no order without the lease or after a newer token', async () => {
    const {engine, bench, open, waitForEnd} = await startBench();
    await vi.waitFor(() => expect(engine.fences).toHaveLength(1));
    await engine.waitForTicks();
    bench.setEpoch(undefined);
    const attemptId = open('a');
    await engine.waitForTicks();
    expect(engine.orders).toEqual([]);
    engine.state.fencing = 2;
    bench.setEpoch(1);
    await vi.waitFor(() => expect(engine.orders).toHaveLength(1));
    await engine.waitForTicks();
    expect(engine.orders).toHaveLength(1);
    bench.setEpoch(2);
    await waitForEnd(attemptId);
  });

  // INV-01: the engine accepts a delayed order of a predecessor until it has
  // the token of the successor; reports taken before that must not be used.
  it('ignores reports taken before the engine accepted its token', async () => {
    const {engine, bench, open, waitForEnd} = await startBench();
    await vi.waitFor(() => expect(engine.fences).toHaveLength(1));
    bench.setEpoch(undefined);
    const attemptId = open('a');
    await engine.waitForTicks();
    engine.state.isReportHeld = true;
    await engine.waitForTicks();
    const late = {type: 'load-model', model: 'b', version: '1'};
    engine.state.onFence = () =>
      engine.execute({...late, orderId: 'late', fencing: 1});
    bench.setEpoch(2);
    await vi.waitFor(() => expect(engine.fences).toHaveLength(2));
    await engine.waitForTicks();
    expect(engine.orders).toEqual([]);
    engine.state.isReportHeld = false;
    await waitForEnd(attemptId);
    expect(engine.state.peakMiB).toBeLessThanOrEqual(TOTAL_MIB);
    expect(engine.fences[1]).toMatchObject({fencing: 2, role: 'serve'});
  });

  // INV-01: an engine loses the token when it restarts.
  it('raises the token again after the engine restarted', async () => {
    const {engine, open, waitForEnd} = await startBench();
    await waitForEnd(open('a'));
    engine.restart();
    engine.state.fencing = 0;
    await vi.waitFor(() => expect(engine.state.fencing).toBe(1));
    await waitForEnd(open('b'));
    expect(engine.fences).toHaveLength(2);
  });

  // INV-01: orders that a paused predecessor may still send must be counted.
  it('adopts intents for engines that ignore fencing tokens', async () => {
    const {engine, bench, open, waitForEnd} = await startBench(
      {checksFencing: false},
      'b',
    );
    engine.state.checksFencing = false;
    await waitForEnd(open('a'));
    expect(engine.orders[0]).toMatchObject({orderId: 'old', model: 'b'});
    expect(engine.state.peakMiB).toBeLessThanOrEqual(TOTAL_MIB);
    await vi.waitFor(() =>
      expect(
        bench.store.platform.listObjects(ResourceKind.OrderIntent),
      ).toEqual([]),
    );
  });

  // INV-02: a missing model must load even while no intent can be stored, but
  // only under an id that a successor will find.
  it('sends orders under reserved ids while the platform is down', async () => {
    const {engine, bench, open, waitForEnd} = await startBench({
      checksFencing: false,
    });
    engine.state.checksFencing = false;
    await waitForEnd(open('a'));
    const listReserved = () =>
      bench.store.platform
        .listObjects(ResourceKind.OrderReserve)
        .flatMap(({value}) => value.orderIds);
    await vi.waitFor(() =>
      expect(listReserved()).toHaveLength(RESERVED_ORDER_IDS),
    );
    const reserved = listReserved();
    bench.store.platform.isDown = true;
    const orderCount = engine.orders.length;
    let rounds = 0;
    while (rounds < RESERVED_ORDER_IDS / 2) {
      await waitForEnd(open(rounds % 2 === 0 ? 'b' : 'a'));
      rounds += 1;
    }
    const ids = engine.orders.slice(orderCount).map(({orderId}) => orderId);
    expect([...new Set(ids)].sort()).toEqual([...reserved].sort());
    open('b');
    await engine.waitForTicks();
    expect(engine.orders).toHaveLength(orderCount + ids.length);
    expect(engine.state.peakMiB).toBeLessThanOrEqual(TOTAL_MIB);
    bench.store.platform.isDown = false;
    await vi.waitFor(
      () => {
        expect(listReserved()).toHaveLength(RESERVED_ORDER_IDS);
        expect(listReserved().some(id => reserved.includes(id))).toBe(false);
      },
      {timeout: 20_000},
    );
  }, 60_000);

  // INV-01: it is unknown what a predecessor ordered under a reserved id, and
  // its order may arrive after the reports that the successor plans with.
  it.each(['before', 'during', 'after'] as const)(
    "counts a predecessor's order that arrives %s the no-op order",
    async time => {
      const {engine, bench, open, waitForEnd} = await startBench({
        checksFencing: false,
      });
      engine.state.checksFencing = false;
      await engine.waitForTicks();
      bench.setEpoch(undefined);
      const attemptId = open('a');
      await engine.waitForTicks();
      const late = {
        ...{type: 'load-model', model: 'b', version: '1'},
        ...{orderId: 'reserved', fencing: 1},
      };
      const name = 'u1';
      const orderIds = [late.orderId];
      bench.store.platform.putDirectly(ResourceKind.OrderReserve, name, {
        ...{name, epoch: 1, orderIds},
      });
      if (time === 'before') engine.execute(late);
      if (time === 'during') engine.state.ignoredOrderIds.add(late.orderId);
      bench.setEpoch(2);
      if (time === 'during') {
        await vi.waitFor(() =>
          expect(engine.fences.map(({orderId}) => orderId)).toContain(
            late.orderId,
          ),
        );
        await engine.waitForTicks();
        expect(engine.orders).toEqual([]);
        engine.execute(late);
      }
      await waitForEnd(attemptId);
      engine.execute(late);
      await engine.waitForTicks();
      expect(engine.state.peakMiB).toBeLessThanOrEqual(TOTAL_MIB);
      expect(engine.models.has('a@1')).toBe(true);
      if (time !== 'after') return;
      // A restarted engine no longer knows the id.
      engine.restart();
      await vi.waitFor(() =>
        expect(
          engine.fences.filter(({orderId}) => orderId === late.orderId),
        ).toHaveLength(2),
      );
      await vi.waitFor(() =>
        expect(engine.hasExecuted(late.orderId)).toBe(true),
      );
      engine.execute(late);
      expect(engine.models.has('b@1')).toBe(false);
    },
  );

  // INV-01: a predecessor deletes an intent once it sees the load. After a
  // quick takeover of the lease, a lagging report may not show that load yet.
  it('ignores reports taken before it adopted the intents', async () => {
    const {engine, bench, open, waitForEnd} = await startBench({
      checksFencing: false,
    });
    engine.state.checksFencing = false;
    await engine.waitForTicks();
    bench.setEpoch(undefined);
    const attemptId = open('a');
    await engine.waitForTicks();
    engine.state.isReportHeld = true;
    await engine.waitForTicks();
    const seen = {type: 'load-model', model: 'b', version: '1'};
    engine.execute({...seen, orderId: 'settled', fencing: 1});
    bench.setEpoch(2);
    await engine.waitForTicks();
    expect(engine.orders).toEqual([]);
    engine.state.isReportHeld = false;
    await waitForEnd(attemptId);
    expect(engine.state.peakMiB).toBeLessThanOrEqual(TOTAL_MIB);
  });

  // INV-12: a placement of an older epoch must not replace a newer one.
  it('follows placements of higher epochs and new versions', async () => {
    const {engine, bench} = await startBench();
    const place = (epoch: number, name: string) =>
      bench.put(ResourceKind.Placement, 'u1', {
        epoch,
        models: [{name, version: '1'}],
        adapters: [],
      });
    place(5, 'c');
    await vi.waitFor(() => expect([...engine.models.keys()]).toEqual(['c@1']));
    place(4, 'a');
    bench.put(ResourceKind.Model, 'c', {memoryMiB: SIZES.c, version: '2'});
    await vi.waitFor(() => expect([...engine.models.keys()]).toEqual(['c@2']), {
      timeout: 5_000,
    });
  });

  // A restarted engine has lost its models; they must be loaded again.
  it('loads again after the engine restarts', async () => {
    const {engine, open, waitForEnd} = await startBench();
    await waitForEnd(open('a'));
    engine.restart();
    await vi.waitFor(() => expect(engine.models.size).toBe(0));
    await engine.waitForTicks();
    await waitForEnd(open('a'));
    expect(engine.models.size).toBe(1);
  });
});
