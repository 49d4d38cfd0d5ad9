import type * as http from 'node:http';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {createMetrics} from '@siskinplank/foundation';
import {AttemptState, MessageType} from '@siskinplank/messages';
import {RefusalCode, ResourceKind, RunState} from '@siskinplank/resources';
import {createLoadTable} from '@siskinplank/routing';
import {LinkCloseReason, createPeerNetwork} from '@siskinplank/transport';
import {createSideProcess} from './process';
import {clock, logger, startEntry, startHttp, startSide} from './testing/bench';

const cleanups: Array<() => unknown> = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startBench(
  handler: http.RequestListener,
  changes: object = {},
  settings: object = {},
) {
  const upstream = await startHttp(handler);
  const bench = await startSide(settings);
  const {network} = bench.options;
  const {address} = network.identity;
  bench.put(ResourceKind.Upstream, 'u1', {
    type: 'service',
    address: {host: '127.0.0.1', port: upstream.port},
    side: address,
    failureDomain: 'a',
    ...changes,
  });
  bench.put(ResourceKind.Route, 'r1', {
    methods: ['POST'],
    path: '/orders',
    access: 'open',
    idempotent: false,
    upstreams: ['u1', 'u2'],
  });
  const entry = await startEntry(network);
  cleanups.push(
    () => upstream.stop(),
    () => bench.side.stop(),
    () => entry.network.stop(),
  );
  return {bench, entry};
}

describe('side process of a plain service', () => {
  // The caller must get the full response, and the upstream no credentials.
  it('forwards a request and streams the response back', async () => {
    let seen: http.IncomingHttpHeaders = {};
    const {entry} = await startBench((request, response) => {
      seen = request.headers;
      response.writeHead(201, {'content-type': 'text/plain'});
      response.write('first ');
      response.end('second');
    });
    const attemptId = entry.open({
      headers: {
        Authorization: 'Bearer sk-1',
        'X-Api-Key': 'k',
        'api-key': 'k',
        cookie: 'c=1',
        'proxy-authorization': 'p',
        connection: 'x-hop',
        'x-hop': '1',
        'x-kept': '1',
      },
      traceparent: '00-11111111111111111111111111111111-2222222222222222-01',
    });
    await vi.waitFor(() =>
      expect(entry.list(MessageType.ResponseEnd, attemptId)).toHaveLength(1),
    );
    const [head] = entry.list(MessageType.ResponseHead, attemptId);
    expect(head.status).toBe(201);
    expect(entry.readBody(attemptId)).toBe('first second');
    const [end] = entry.list(MessageType.ResponseEnd, attemptId);
    expect(end).toMatchObject({byteCount: 12});
    expect(end.error).toBeUndefined();
    const forbidden = Object.keys(seen).filter(name =>
      /auth|api-key|cookie|x-hop/.test(name),
    );
    expect(forbidden).toEqual([]);
    expect(seen['x-kept']).toBe('1');
    expect(seen.traceparent).toContain('1'.repeat(32));
    expect(seen.traceparent).not.toContain('2'.repeat(16));
  });

  // Sending beyond the credit would fill the memory of the entry process.
  it('sends only within the credit and resumes on a new link', async () => {
    const text = 'x'.repeat(3_000);
    const {bench, entry} = await startBench((_request, response) =>
      response.end(text),
    );
    const attemptId = entry.open({credit: 1_000});
    await vi.waitFor(() =>
      expect(entry.readBody(attemptId)).toHaveLength(1_000),
    );
    entry.link.send({type: MessageType.Credit, attemptId, bytes: 500});
    await vi.waitFor(() =>
      expect(entry.readBody(attemptId)).toHaveLength(1_500),
    );
    entry.link.close(LinkCloseReason.Local);
    const {address} = bench.options.network.identity;
    const link = await entry.network.acquireLink(address, 5_000);
    link?.send({
      type: MessageType.Resume,
      attemptId,
      nextSequence: 1,
      credit: 5_000,
    });
    await vi.waitFor(() =>
      expect(entry.list(MessageType.ResponseEnd, attemptId)).toHaveLength(1),
    );
    expect(entry.readBody(attemptId)).toBe(text);
  });

  // Guards against a head that the entry process can't decode: it closes the link
  // then, which all requests between the two share.
  it.each(['000', '101', '600', '999'])(
    'keeps the link when the service answers with status %s',
    async status => {
      const {entry} = await startBench((_request, response) => {
        response.socket?.write(
          `HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`,
        );
      });
      const attemptId = entry.open({idempotent: false});
      await vi.waitFor(() =>
        expect(entry.list(MessageType.Refused, attemptId)).toHaveLength(1),
      );
      expect(entry.list(MessageType.Refused, attemptId)[0]).toMatchObject({
        code: RefusalCode.UpstreamFailed,
        runState: RunState.Unknown,
        message: expect.stringMatching(/^malformed/) as string,
      });
      expect(entry.list(MessageType.ResponseHead, attemptId)).toEqual([]);
      expect(entry.link.isOpen()).toBe(true);
    },
  );

  // INV-11/rolling-sides: an idle process that closes its links right after it
  // announced the drain loses a request that was in transit at that time.
  it('refuses a request that was sent before the drain was announced', async () => {
    const {bench, entry} = await startBench((_request, response) =>
      response.end('done'),
    );
    const stopped = bench.side.drain().then(() => bench.side.stop());
    await clock.waitMs(100);
    const attemptId = entry.open({idempotent: false});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.Refused, attemptId)).toHaveLength(1),
    );
    const [refused] = entry.list(MessageType.Refused, attemptId);
    expect(refused).toMatchObject({
      code: RefusalCode.Draining,
      runState: RunState.NotRun,
    });
    await stopped;
  });

  // A duplicated or delayed request must not run twice.
  it('runs an attempt once and refuses a queried id from then on', async () => {
    let calls = 0;
    const {entry} = await startBench((_request, response) => {
      calls += 1;
      response.end('done');
    });
    const attemptId = entry.open({idempotent: false});
    entry.open({idempotent: false, attemptId});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.ResponseEnd, attemptId)).toHaveLength(1),
    );
    entry.open({idempotent: false, attemptId});
    entry.link.send({type: MessageType.AttemptQuery, attemptId: 'late'});
    entry.open({attemptId: 'late'});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.Refused, 'late')).toHaveLength(1),
    );
    const [status] = entry.list(MessageType.AttemptStatus, 'late');
    expect(status.state).toBe(AttemptState.NeverSeen);
    const [refused] = entry.list(MessageType.Refused, 'late');
    expect(refused.runState).toBe(RunState.NotRun);
    expect(calls).toBe(1);
  });

  // `not-run` may be reported only if nothing reached the upstream.
  it('distinguishes requests that did not run from those that may have', async () => {
    const {bench, entry} = await startBench(request =>
      request.socket.destroy(),
    );
    const unknown = entry.open({idempotent: false});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.Refused, unknown)).toMatchObject([
        {code: RefusalCode.UpstreamFailed, runState: RunState.Unknown},
      ]),
    );
    const closed = await startHttp(() => undefined);
    closed.stop();
    bench.put(ResourceKind.Upstream, 'u1', {
      type: 'service',
      address: {host: '127.0.0.1', port: closed.port},
      side: bench.options.network.identity.address,
      failureDomain: 'a',
    });
    const notRun = entry.open({idempotent: false});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.Refused, notRun)).toMatchObject([
        {runState: RunState.NotRun},
      ]),
    );
  });

  // An interrupted response must never look like a complete one.
  it('marks an interrupted response', async () => {
    const {entry} = await startBench((_request, response) => {
      response.writeHead(200, {'content-length': '100'});
      response.write('part', () => response.destroy());
    });
    const attemptId = entry.open({});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.ResponseEnd, attemptId)).toHaveLength(1),
    );
    const [end] = entry.list(MessageType.ResponseEnd, attemptId);
    expect(end.error).toBeDefined();
  });

  // Queued requests past their deadline must be refused as not run.
  it('expires and cancels queued requests without running them', async () => {
    const paths: string[] = [];
    const {entry} = await startBench(
      request => void paths.push(String(request.url)),
      {maxConcurrency: 1},
    );
    const running = entry.open({path: '/running'});
    const expiring = entry.open({path: '/expiring', deadlineMs: 50});
    const cancelled = entry.open({path: '/cancelled'});
    entry.link.send({type: MessageType.Cancel, attemptId: cancelled});
    await vi.waitFor(() => {
      expect(entry.list(MessageType.Refused, cancelled)).toMatchObject([
        {code: RefusalCode.Cancelled, runState: RunState.NotRun},
      ]);
      expect(entry.list(MessageType.Refused, expiring)).toMatchObject([
        {code: RefusalCode.DeadlineExceeded, runState: RunState.NotRun},
      ]);
    });
    entry.link.send({type: MessageType.Cancel, attemptId: running});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.Refused, running)).toMatchObject([
        {code: RefusalCode.Cancelled, runState: RunState.Unknown},
      ]),
    );
    expect(paths).toEqual(['/running']);
  });

  // A lost link must not abort a request that cannot be rerun, and a later
  // attempt with the same id must not run.
  it('finishes a non-idempotent request whose link is lost', async () => {
    const responses: http.ServerResponse[] = [];
    const {bench, entry} = await startBench((_request, response) => {
      responses.push(response);
    });
    const attemptId = entry.open({idempotent: false});
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    entry.link.close(LinkCloseReason.Local);
    responses[0].end('ordered');
    const {address} = bench.options.network.identity;
    const link = await entry.network.acquireLink(address, 5_000);
    link?.send({type: MessageType.AttemptQuery, attemptId});
    await vi.waitFor(() => {
      const status = entry.list(MessageType.AttemptStatus, attemptId).at(-1);
      expect(status?.state).toMatch(/handed-over|finished/);
    });
    link?.send({
      type: MessageType.Resume,
      attemptId,
      nextSequence: 0,
      credit: 100,
    });
    await vi.waitFor(() => expect(entry.readBody(attemptId)).toBe('ordered'));
    entry.open({idempotent: false, attemptId});
    await vi.waitFor(() =>
      expect(
        entry.list(MessageType.AttemptStatus, attemptId).length,
      ).toBeGreaterThan(1),
    );
    expect(responses).toHaveLength(1);
  });

  // A refusal by a full queue must say not-run and name another upstream.
  it('refuses requests with a redirect when the queue is full', async () => {
    const {bench, entry} = await startBench(
      () => undefined,
      {maxConcurrency: 1},
      {queue: {maxRequests: 1}},
    );
    const {address} = bench.options.network.identity;
    bench.put(ResourceKind.Upstream, 'u2', {
      ...{type: 'service', address, side: address, failureDomain: 'b'},
    });
    const [, , shed] = [0, 1, 2].map(() => entry.open({hopsLeft: 1}));
    await vi.waitFor(() =>
      expect(entry.list(MessageType.Refused)).toMatchObject([
        {
          attemptId: shed,
          code: RefusalCode.Overloaded,
          runState: RunState.NotRun,
          redirect: 'u2',
        },
      ]),
    );
  });

  // A drain must not abort open requests and must not accept new ones.
  it('drains: finishes open attempts and refuses new ones', async () => {
    const responses: http.ServerResponse[] = [];
    const {bench, entry} = await startBench((_request, response) => {
      responses.push(response);
    });
    const first = entry.open({});
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    let isDrained = false;
    const drains = [bench.side.drain(), bench.side.drain()];
    void Promise.all(drains).then(() => {
      isDrained = true;
    });
    const late = entry.open({});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.Refused, late)).toMatchObject([
        {code: RefusalCode.Draining, runState: RunState.NotRun},
      ]),
    );
    expect(isDrained).toBe(false);
    responses[0].end('whole');
    await Promise.all(drains);
    await vi.waitFor(() => expect(entry.readBody(first)).toBe('whole'));
    const {port} = bench.options.settings.http;
    const ready = await fetch(`http://127.0.0.1:${port}/readyz`);
    expect(ready.status).toBe(503);
    const metrics = await fetch(`http://127.0.0.1:${port}/metrics`);
    expect(await metrics.text()).toContain('siskinplank_side_refusals_total');
  });

  // Entry processes route by these reports and must see a drain at once.
  it('reports its load to entry processes', async () => {
    const {bench, entry} = await startBench(() => undefined);
    /** Load known to an entry process after all reports so far. */
    const readLoad = () => {
      const table = createLoadTable();
      const last = entry.list(MessageType.LoadReport).at(-1);
      if (last !== undefined) table.recordReport(last.load, 0);
      for (const update of entry.list(MessageType.LoadUpdate)) {
        table.recordUpdate(update, 0);
      }
      return table.getLoad('u1', 0).load;
    };
    entry.open({estimatedTokens: 50});
    await vi.waitFor(
      () => {
        const load = readLoad();
        expect(load).toMatchObject({upstream: 'u1', running: 1});
        expect(load?.demand.r1).toBeGreaterThan(0);
      },
      {timeout: 5_000},
    );
    void bench.side.drain();
    await vi.waitFor(() => expect(readLoad()?.state).toBe('leaving'));
  });

  // INV-01: a process that could not bind its port must not acquire the lease
  // that a frozen process on the same host still holds.
  it('does not acquire the lease before it has bound its port', async () => {
    const {side, options} = await startSide();
    cleanups.push(() => side.stop());
    const start = vi.fn();
    const second = createSideProcess({
      ...options,
      metrics: createMetrics(),
      lease: {...options.lease, start},
      network: createPeerNetwork({
        identity: options.network.identity,
        clusterKeys: [{id: 'k', secret: Buffer.from('secret')}],
        clock,
        random: options.random,
        logger,
      }),
    });
    expect((await second.start()).isLeft()).toBe(true);
    expect(start).not.toHaveBeenCalled();
  });
});
