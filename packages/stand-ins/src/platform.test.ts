import {afterEach, describe, expect, it} from 'vitest';
import type {StandIn} from './control';
import {startPlatformStandIn} from './platform';
import {listLog, requestJson, sendFault, waitFor} from './testing';

let platform: StandIn;
afterEach(() => platform.close());

const CREATE = {'if-none-match': '*'};
const put = (name: string, value: unknown, headers: Record<string, string>) =>
  requestJson(platform, 'PUT', `/v1/objects/Model/${name}`, value, headers);

describe('platform stand-in', () => {
  // Guards against a stand-in that accepts both of two concurrent writes.
  it('accepts a write only at the expected version', async () => {
    platform = await startPlatformStandIn();
    const name = encodeURIComponent('Org/model-a');
    expect((await put(name, {a: 1}, CREATE)).body).toEqual({version: 1});
    const conflict = await put(name, {a: 2}, CREATE);
    expect(conflict.status).toBe(409);
    expect(conflict.body.current).toMatchObject({
      name: 'Org/model-a',
      version: 1,
      value: {a: 1},
    });
    const racing = await Promise.all([
      put(name, {a: 3}, {'if-match': '"1"'}),
      put(name, {a: 4}, {'if-match': '"1"'}),
    ]);
    expect(racing.map(({status}) => status).sort()).toEqual([200, 409]);
    expect((await put('absent', {}, {'if-match': '"1"'})).body).toEqual({
      current: null,
    });
    const path = `/v1/objects/Model/${name}`;
    const remove = await requestJson(platform, 'DELETE', path, undefined, {
      'if-match': '"2"',
    });
    expect(remove.body).toEqual({version: 3});
    expect((await requestJson(platform, 'GET', path)).status).toBe(404);
  });

  // Guards against watches that lose or repeat changes, or resume from a
  // revision whose changes were discarded.
  it('resumes a watch by revision and reports compaction', async () => {
    platform = await startPlatformStandIn({watchHistoryEvents: 3});
    const watch = (from: number, waitLimit = 0) =>
      requestJson(
        platform,
        'GET',
        `/v1/watch?kinds=Model&from=${from}&waitMs=${waitLimit}`,
      );
    const waiting = watch(0, 5_000);
    await waitFor('pending watch', async () => {
      const {body} = await requestJson(platform, 'GET', '/control/counts');
      return body.waitingWatches === 1 && body.calls.watch === 1;
    });
    await put('a', 1, CREATE);
    expect((await waiting).body).toMatchObject({
      revision: 1,
      events: [{type: 'put', name: 'a', version: 1}],
    });
    await put('b', 2, CREATE);
    await put('a', 3, {'if-match': '"1"'});
    expect(
      (await watch(1)).body.events.map(
        (event: {version: number}) => event.version,
      ),
    ).toEqual([2, 3]);
    await put('c', 4, CREATE);
    expect((await watch(0)).status).toBe(410);
    expect((await watch(1)).status).toBe(200);
    await sendFault(platform, {compact: true});
    expect((await watch(3)).status).toBe(410);
    expect((await watch(4)).body).toEqual({revision: 4, events: []});
  });

  // Guards against a dropped reply whose write had no effect either.
  it('drops the reply of a write that took effect', async () => {
    platform = await startPlatformStandIn();
    await sendFault(platform, {dropReplies: {count: 1, kinds: ['Model']}});
    await expect(put('a', {a: 1}, CREATE)).rejects.toThrow();
    const read = await requestJson(platform, 'GET', '/v1/objects/Model/a');
    expect(read.body.version).toBe(1);
    expect(await listLog(platform, 'reply-dropped')).toHaveLength(1);
    expect((await put('b', {}, CREATE)).status).toBe(200);
  });

  // Guards against outages during which some calls still work.
  it('fails each call during an outage and recovers', async () => {
    platform = await startPlatformStandIn();
    const watch = requestJson(
      platform,
      'GET',
      '/v1/watch?kinds=Model&from=0&waitMs=9000',
    );
    const watchFailure = expect(watch).rejects.toThrow();
    await waitFor('pending watch', async () => {
      const {body} = await requestJson(platform, 'GET', '/control/counts');
      return body.waitingWatches === 1;
    });
    await sendFault(platform, {down: 'reset'});
    await watchFailure;
    await expect(put('a', 1, CREATE)).rejects.toThrow();
    await sendFault(platform, {down: 'unavailable'});
    expect((await put('a', 1, CREATE)).status).toBe(503);
    await sendFault(platform, {down: null});
    expect((await put('a', 1, CREATE)).body).toEqual({version: 1});
  });

  // Guards against a dropped event that watches still deliver.
  it('omits dropped events from watches but not from lists', async () => {
    platform = await startPlatformStandIn();
    await sendFault(platform, {dropWatchEvents: 1});
    await put('a', 1, CREATE);
    await put('b', 2, CREATE);
    const {body} = await requestJson(
      platform,
      'GET',
      '/v1/watch?kinds=Model&from=0&waitMs=0',
    );
    expect(body.events.map((event: {name: string}) => event.name)).toEqual([
      'b',
    ]);
    const list = await requestJson(platform, 'GET', '/v1/objects/Model');
    expect(list.body.items).toHaveLength(2);
  });

  // Guards against a host list that is published without its delay.
  it('publishes the host list after the configured delay', async () => {
    platform = await startPlatformStandIn({hostLagMs: 1_000});
    const host = {
      name: 'entry-1',
      role: 'entry',
      address: '127.0.0.1',
      port: 1,
      failureDomain: 'a',
    };
    await requestJson(platform, 'POST', '/control/hosts', {hosts: [host]});
    const early = await requestJson(platform, 'GET', '/v1/hosts');
    expect(early.body.hosts).toEqual([]);
    await waitFor('publication', async () => {
      const {body} = await requestJson(platform, 'GET', '/v1/hosts');
      return body.hosts.length === 1 && body.hosts[0].state === 'live';
    });
  });

  // Guards against writes that the real platform would reject.
  it('rejects values above 1 MB and writes without a condition', async () => {
    platform = await startPlatformStandIn();
    const large = 'x'.repeat(1_000_000);
    expect((await put('a', large, CREATE)).status).toBe(413);
    expect((await put('a', 1, {})).status).toBe(428);
  });
});
