import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {getMonotonicMs} from './control';
import type {StandIn} from './control';
import {ProxyDirection, createFaultProxy} from './proxy';
import type {FaultProxy} from './proxy';
import {startServiceStandIn} from './service';
import {listLog, requestJson, waitFor} from './testing';

let service: StandIn;
let proxy: FaultProxy;
beforeEach(async () => {
  service = await startServiceStandIn();
  proxy = await createFaultProxy({targetPort: service.port, controlPort: 0});
});
afterEach(async () => {
  await proxy.close();
  await service.close();
});

const send = (path: string) => requestJson(proxy, 'POST', path, {a: 1});

describe('fault proxy', () => {
  // Guards against a proxy that changes bytes, or adds no delay.
  it('forwards whole messages, with a delay if configured', async () => {
    const large = 'x'.repeat(3_000_000);
    const {body} = await requestJson(proxy, 'POST', '/echo', large);
    expect(body.body).toBe(JSON.stringify(large));
    proxy.applyFault({delayMs: 40});
    const startMs = getMonotonicMs();
    expect((await send('/slow')).status).toBe(200);
    expect(getMonotonicMs() - startMs).toBeGreaterThanOrEqual(80);
  });

  // Guards against a dropped reply whose request never ran.
  it('drops a reply after the request ran', async () => {
    proxy.applyFault({dropReplies: 1});
    await expect(send('/order')).rejects.toThrow();
    expect(await listLog(service, 'run')).toHaveLength(1);
    expect((await send('/order')).body.run).toBe(2);
  });

  // Guards against a stall that loses bytes, which TCP does not.
  it('buffers the bytes of a stalled direction until its end', async () => {
    proxy.applyFault({stall: ProxyDirection.ToClient});
    const answer = send('/held');
    await waitFor('run', async () => {
      return (await listLog(service, 'replied')).length === 1;
    });
    proxy.clearFaults();
    expect((await answer).body.run).toBe(1);
  });

  // Guards against a cut that leaves connections open.
  it('cuts and refuses connections, also by its control port', async () => {
    proxy.applyFault({stall: ProxyDirection.Both});
    const cut = expect(send('/cut')).rejects.toThrow();
    await waitFor('connection', () => proxy.countConnections() === 1);
    const control: StandIn = {port: proxy.controlPort!, close: proxy.close};
    const path = '/control/faults';
    await requestJson(control, 'POST', path, {cut: true, refuse: true});
    await cut;
    await expect(send('/refused')).rejects.toThrow();
    await requestJson(control, 'POST', path, {refuse: false, stall: null});
    expect((await send('/open')).status).toBe(200);
    expect(await listLog(service, 'run')).toHaveLength(1);
  });
});
