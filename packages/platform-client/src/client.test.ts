import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  LogLevel,
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
} from '@siskinplank/foundation';
import {ResourceKind} from '@siskinplank/resources';
import type {Lease} from '@siskinplank/resources';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {PlatformErrorCode, createPlatformClient} from './index';
import type {PlatformError, PlatformStore} from './index';

/** Faults of the test server, injected into the next requests in order. */
enum Fault {
  /** Applies the request and closes the connection before the reply. */
  CutAfter = 'cut-after',
  /** Closes the connection without applying the request. */
  CutBefore = 'cut-before',
  Hang = 'hang',
  ServerError = 'server-error',
  Serve = 'serve',
}

interface Entry {
  name: string;
  version: number;
  value: unknown;
}

const KIND = ResourceKind.Lease;
const lease = (renewal: number): Lease => ({
  name: 'a',
  holder: 'h',
  epoch: 1,
  durationMs: 100,
  renewal,
});

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

describe('platform client', () => {
  const objects = new Map<string, Entry>();
  const requests: string[] = [];
  let faults: Fault[] = [];
  let revision = 0;
  let beforeReply: () => void = () => undefined;
  let store: PlatformStore;
  const metrics = createMetrics();
  const clock = createSystemClock();

  const makeReply = (
    method: string,
    url: URL,
    match: string | undefined,
    body: string,
  ): [number, unknown] => {
    const [, , section, , name] = url.pathname.split('/');
    if (section === 'watch') {
      if (url.searchParams.get('from') === '0') return [410, {}];
      const events = [
        {type: 'put', kind: KIND, name: 'a', version: 9, value: lease(1)},
        {type: 'put', kind: KIND, name: 'b', version: 8, value: {bad: 1}},
      ];
      return [200, {revision: 9, events}];
    }
    const current = objects.get(name ?? '');
    if (method === 'GET' && name === undefined) {
      return [200, {revision, items: [...objects.values()]}];
    }
    if (method === 'GET') return current ? [200, current] : [404, {}];
    const expected =
      match === undefined ? undefined : Number(match.slice(1, -1));
    if (current?.version !== expected) return [409, {current: current ?? null}];
    revision += 1;
    if (method === 'DELETE') objects.delete(name ?? '');
    else {
      const value: unknown = JSON.parse(body);
      objects.set(name ?? '', {name: name ?? '', version: revision, value});
    }
    return [200, {version: revision}];
  };

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    requests.push(`${request.method} ${request.url}`);
    const fault = faults.shift() ?? Fault.Serve;
    const body = await readText(request);
    if (fault === Fault.Hang) return;
    if (fault === Fault.CutBefore) return void request.socket.destroy();
    if (fault === Fault.ServerError) return void response.writeHead(503).end();
    const url = new URL(request.url ?? '', 'http://x');
    const match = request.headers['if-match'];
    const [status, value] = makeReply(request.method ?? '', url, match, body);
    if (fault === Fault.CutAfter) {
      beforeReply();
      return void request.socket.destroy();
    }
    response.writeHead(status).end(JSON.stringify(value));
  };

  const server = createServer((request, response) => {
    void handleRequest(request, response);
  });

  const openStore = (callsPerSecond: number): PlatformStore =>
    createPlatformClient({
      address: {
        host: '127.0.0.1',
        port: (server.address() as AddressInfo).port,
      },
      timeoutMs: 200,
      callsPerSecond,
      clock,
      random: createRandom(1),
      logger: createLogger({
        level: LogLevel.Error,
        write: () => undefined,
        getWallMs: clock.getWallMs,
      }),
      metrics: callsPerSecond === 1000 ? metrics : createMetrics(),
      writerId: 'test',
    });

  beforeEach(async () => {
    objects.clear();
    requests.length = 0;
    faults = [];
    revision = 0;
    beforeReply = () => undefined;
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
  });
  afterEach(async () => {
    await store.close();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });

  const codeOf = (error: unknown): PlatformErrorCode =>
    (error as PlatformError).code;
  const open = (): PlatformStore => {
    store = openStore(500);
    return store;
  };

  it('reports a conflict with the current object', async () => {
    const first = await open().putObject(KIND, 'a', lease(1), 'absent');
    expect(first.unsafeCoerce().version).toBe(1);
    const second = await store.putObject(KIND, 'a', lease(2), 'absent');
    expect(second.extract()).toMatchObject({
      code: PlatformErrorCode.Conflict,
      current: {version: 1, value: lease(1)},
    });
  });

  it.each([Fault.CutAfter, Fault.CutBefore, Fault.Hang, Fault.ServerError])(
    'completes a put after %s without applying it twice',
    async fault => {
      open();
      faults = [fault];
      const result = await store.putObject(KIND, 'a', lease(1), 'absent');
      expect(result.unsafeCoerce().version).toBe(1);
      expect(revision).toBe(1);
      faults = [fault];
      const removed = await store.deleteObject(KIND, 'a', 1);
      expect(removed.isRight()).toBe(true);
      expect(objects.size).toBe(0);
    },
  );

  it('reports an unknown outcome for a write that was overwritten', async () => {
    // The write took effect and was overwritten before the read-back; Conflict
    // would mean that it was not applied.
    open();
    faults = [Fault.CutAfter];
    beforeReply = () => {
      revision += 1;
      objects.set('a', {name: 'a', version: revision, value: lease(7)});
    };
    const result = await store.putObject(KIND, 'a', lease(1), 'absent');
    expect(codeOf(result.extract())).toBe(PlatformErrorCode.OutcomeUnknown);
  });

  it('reports an unknown outcome when the read-back fails too', async () => {
    open();
    faults = [Fault.CutAfter, ...Array<Fault>(5).fill(Fault.CutBefore)];
    const result = await store.putObject(KIND, 'a', lease(1), 'absent');
    expect(codeOf(result.extract())).toBe(PlatformErrorCode.OutcomeUnknown);
  });

  it('retries reads a bounded number of times', async () => {
    open();
    faults = [Fault.ServerError, Fault.CutBefore];
    expect((await store.getObject(KIND, 'a')).isRight()).toBe(true);
    faults = Array<Fault>(9).fill(Fault.ServerError);
    const sentBefore = requests.length;
    const failed = await store.getObject(KIND, 'a');
    expect(codeOf(failed.extract())).toBe(PlatformErrorCode.Unavailable);
    expect(requests.length - sentBefore).toBe(3);
  });

  it('leaves out objects that do not match their schema', async () => {
    // One malformed object must not make the whole list unusable.
    open();
    objects.set('a', {name: 'a', version: 1, value: lease(1)});
    objects.set('b', {name: 'b', version: 2, value: {bad: true}});
    const list = (await store.listObjects(KIND)).unsafeCoerce();
    expect(list.items.map(item => item.name)).toEqual(['a']);
    const got = await store.getObject(KIND, 'b');
    expect(codeOf(got.extract())).toBe(PlatformErrorCode.Invalid);
  });

  // Guards against a platform that ignores paging and returns all objects,
  // which would be used as one page.
  it('rejects a page that exceeds the requested bounds', async () => {
    open();
    for (const name of ['a', 'b', 'c']) {
      objects.set(name, {name, version: 1, value: lease(0)});
    }
    const page = await store.listVersions(KIND, '', 2);
    expect(codeOf(page.extract())).toBe(PlatformErrorCode.Invalid);
    const again = await store.listVersions(KIND, 'b', 3);
    expect(again.isLeft()).toBe(true);
    expect((await store.listVersions(KIND, '', 3)).isRight()).toBe(true);
  });

  // Guards against changes that stay hidden until the timeout of a watch whose
  // reply was lost in an outage that is over.
  it('sends a watch again when the platform replies after a failure', async () => {
    open();
    faults = [Fault.Hang, Fault.CutBefore];
    const startedAtMs = clock.getNowMs();
    const watched = store.watchObjects([KIND], 1, 5_000);
    await vi.waitFor(() => expect(requests).toHaveLength(1));
    expect((await store.getObject(KIND, 'a')).isRight()).toBe(true);
    const batch = (await watched).unsafeCoerce();
    expect(batch.events).toHaveLength(2);
    expect(clock.getNowMs() - startedAtMs).toBeLessThan(1_000);
  });

  it('turns a malformed watch event into a delete', async () => {
    // Otherwise the replaced value would stay in use.
    const batch = (await open().watchObjects([KIND], 1, 10)).unsafeCoerce();
    expect(batch.events.map(event => event.type)).toEqual(['put', 'delete']);
    const compacted = await store.watchObjects([KIND], 0, 10);
    expect(codeOf(compacted.extract())).toBe(PlatformErrorCode.Compacted);
  });

  it('opens the circuit after failures and closes it after a probe', async () => {
    open();
    faults = Array<Fault>(4).fill(Fault.ServerError);
    await store.getObject(KIND, 'a');
    expect(store.isAvailable()).toBe(false);
    const sentBefore = requests.length;
    const denied = await store.getObject(KIND, 'a');
    expect(codeOf(denied.extract())).toBe(PlatformErrorCode.CircuitOpen);
    expect(requests.length).toBe(sentBefore);
    await vi.waitFor(
      async () => {
        await store.getObject(KIND, 'a');
        expect(store.isAvailable()).toBe(true);
      },
      {timeout: 10_000, interval: 50},
    );
  });

  it('refuses calls beyond the budget, watches included', async () => {
    store = openStore(2);
    await store.watchObjects([KIND], 1, 1);
    await store.listHosts();
    const refused = await store.getObject(KIND, 'a');
    expect(codeOf(refused.extract())).toBe(PlatformErrorCode.BudgetExceeded);
    expect(requests.length).toBe(2);
  });

  it('counts every call by kind and outcome', async () => {
    store = openStore(1000);
    await store.getObject(KIND, 'a');
    const text = await metrics.renderText();
    expect(text).toContain('platform_calls_total{kind="get",outcome="404"} 1');
  });
});
