import {afterEach, describe, expect, it} from 'vitest';
import {startCollectorStandIn} from './collector';
import type {StandIn} from './control';
import {startServiceStandIn} from './service';
import {listLog, requestJson, sendFault, waitFor} from './testing';
import {startWeightStoreStandIn} from './weight-store';

let standIn: StandIn;
afterEach(() => standIn.close());

describe('plain service stand-in', () => {
  // Guards against a record that misses runs whose replies were lost.
  it('records each run, also without a reply', async () => {
    standIn = await startServiceStandIn({name: 'orders'});
    const send = () =>
      requestJson(standIn, 'POST', '/orders/7', {brass: 2}, {'x-a': 'b'});
    expect((await send()).body).toMatchObject({service: 'orders', run: 1});
    await sendFault(standIn, {dropReplies: 1, unavailable: 1});
    expect((await send()).status).toBe(503);
    await expect(send()).rejects.toThrow();
    const runs = await listLog(standIn, 'run');
    expect(runs).toHaveLength(2);
    expect(runs[1]).toMatchObject({
      method: 'POST',
      path: '/orders/7',
      body: '{"brass":2}',
    });
    expect(runs[1].headers).toMatchObject({'x-a': 'b'});
  });

  // Guards against a hanging call that gets a reply or does not run.
  it('hangs after the run', async () => {
    standIn = await startServiceStandIn();
    await sendFault(standIn, {hangs: 1});
    const abort = new AbortController();
    const call = fetch(`http://127.0.0.1:${standIn.port}/x`, {
      signal: abort.signal,
    });
    const failure = expect(call).rejects.toThrow();
    await waitFor('hang', async () => {
      return (await listLog(standIn, 'hang')).length === 1;
    });
    abort.abort();
    await failure;
  });
});

describe('weight store stand-in', () => {
  // Guards against loads above the store's concurrency and rate.
  it('limits concurrent loads and loads per second', async () => {
    standIn = await startWeightStoreStandIn({
      loadsPerSecond: 20,
      maxConcurrentLoads: 2,
      loadMs: 10,
    });
    const load = () => requestJson(standIn, 'GET', '/v1/weights/m');
    const answers = await Promise.all([load(), load(), load(), load()]);
    expect(answers.map(({status}) => status)).toEqual([200, 200, 200, 200]);
    const starts = await listLog(standIn, 'load-started');
    expect(starts.every(({running}) => Number(running) <= 2)).toBe(true);
    // Timers may fire a fraction of a millisecond early.
    expect(starts[3].atMs - starts[0].atMs).toBeGreaterThan(148);
    await sendFault(standIn, {down: true});
    expect((await load()).status).toBe(503);
  });
});

describe('collector stand-in', () => {
  // Guards against spans that lose their service or parent.
  it('stores the received spans', async () => {
    standIn = await startCollectorStandIn();
    const resource = {
      attributes: [{key: 'service.name', value: {stringValue: 'entry'}}],
    };
    const span = {
      traceId: 't',
      spanId: 's',
      parentSpanId: 'p',
      name: 'hop',
      attributes: [{key: 'n', value: {intValue: 3}}],
    };
    const scopeSpans = [{scope: {name: 'x'}, spans: [span]}];
    await requestJson(standIn, 'POST', '/v1/traces', {
      resourceSpans: [{resource, scopeSpans}],
    });
    const {body} = await requestJson(standIn, 'GET', '/control/spans');
    expect(body.spans).toEqual([
      {...span, service: 'entry', attributes: {n: 3}},
    ]);
  });
});
