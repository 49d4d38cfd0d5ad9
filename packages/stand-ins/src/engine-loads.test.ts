import {afterEach, describe, expect, it} from 'vitest';
import type {LogEntry, StandIn} from './control';
import {startEngineStandIn} from './engine';
import {listLog, requestJson, sendFault, waitFor} from './testing';
import {startWeightStoreStandIn} from './weight-store';

const started: StandIn[] = [];
afterEach(async () => {
  await Promise.all(started.splice(0).map(standIn => standIn.close()));
});

const sendOrder = (engine: StandIn, fields: object) =>
  requestJson(engine, 'POST', '/orders', {fencing: 1, ...fields});

describe('engine stand-in loads', () => {
  // Guards against model loads that bypass the weight store's limits, and
  // against a failed load whose memory stays in use.
  it('loads models through the weight store', async () => {
    const store = await startWeightStoreStandIn({loadMs: 5});
    const weightStoreUrl = `http://127.0.0.1:${store.port}`;
    const engine = await startEngineStandIn({weightStoreUrl});
    started.push(store, engine);
    const load = (orderId: string) =>
      sendOrder(engine, {orderId, type: 'load-model', model: orderId});
    await load('a');
    await waitFor('load', async () => {
      const {body} = await requestJson(engine, 'GET', '/status');
      return body.models[0]?.state === 'loaded';
    });
    expect(await listLog(store, 'load-ended')).toHaveLength(1);
    await sendFault(store, {down: true});
    await load('b');
    await waitFor('failed order', async () => {
      const {body} = await requestJson(engine, 'GET', '/status');
      return body.completedOrders[1]?.outcome === 'failed';
    });
    const {body} = await requestJson(engine, 'GET', '/status');
    expect(body.models).toHaveLength(1);
  });

  // Guards against adapter loads beyond the in-flight limit without slowdown.
  it('slows adapter loads down beyond the limit', async () => {
    const engine = await startEngineStandIn({
      preloadedModels: [{name: 'base'}],
      adapterLoadMs: 200,
      adapterLoadsInFlight: 2,
    });
    started.push(engine);
    const names = Array.from({length: 8}, (_, index) => `adapter-${index}`);
    for (const adapter of names) {
      const order = {orderId: adapter, type: 'load-adapter', model: 'base'};
      await sendOrder(engine, {...order, adapter});
    }
    await waitFor('loads', async () => {
      const ends = await listLog(engine, 'order-completed');
      return ends.length === names.length;
    });
    const starts = await listLog(engine, 'order-started');
    const ends = await listLog(engine, 'order-completed');
    const durations = names.map(name => {
      const isName = (entry: LogEntry) => entry.orderId === name;
      return ends.find(isName)!.atMs - starts.find(isName)!.atMs;
    });
    expect(Math.max(...durations)).toBeGreaterThan(398);
    // Timers may fire a fraction of a millisecond early.
    expect(Math.min(...durations)).toBeGreaterThan(198);
  });
});
