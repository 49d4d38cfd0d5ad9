/** Which broken connections count as an end of the upstream. */
import type * as http from 'node:http';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {
  MessageType,
  ProcessRole,
  computeRequestKey,
} from '@siskinplank/messages';
import {ResourceKind, RunState} from '@siskinplank/resources';
import {
  createTestNetwork,
  startEntry,
  startHttp,
  startSide,
} from '../testing/bench';
import {startBench, stopAll} from '../testing/engine-bench';

const cleanups: Array<() => unknown> = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
  await stopAll();
});

const REQUEST = {
  accountTag: 'a',
  method: 'GET',
  path: '/catalogue/1',
  body: new Uint8Array(),
};

async function startService(
  handler: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    stop: () => void,
  ) => void,
) {
  const server = await startHttp((request, response) =>
    handler(request, response, server.stop),
  );
  const bench = await startSide();
  const {network} = bench.options;
  const upstream = {
    type: 'service',
    address: {host: '127.0.0.1', port: server.port},
    side: network.identity.address,
    failureDomain: 'a',
  };
  bench.put(ResourceKind.Upstream, 'u1', upstream);
  bench.put(ResourceKind.Route, 'r1', {
    methods: ['GET'],
    path: '/catalogue/*',
    access: 'open',
    idempotent: true,
    upstreams: ['u1'],
  });
  const entry = await startEntry(network);
  cleanups.push(
    () => server.stop(),
    () => bench.side.stop(),
    () => entry.network.stop(),
  );
  return {bench, entry, upstream};
}

async function waitForRefusal(
  entry: Awaited<ReturnType<typeof startEntry>>,
  attemptId: string,
) {
  return vi.waitFor(
    () => {
      const [refused] = entry.list(MessageType.Refused, attemptId);
      expect(refused).toBeDefined();
      return refused;
    },
    {timeout: 5_000},
  );
}

describe('ends of an upstream', () => {
  // Guards against a request that ends one upstream after another unnoticed.
  it('are reported with the requests before these are refused', async () => {
    const {entry} = await startService((_request, _response, stop) => stop());
    const attemptId = entry.open(REQUEST);
    const refused = await waitForRefusal(entry, attemptId);
    expect(refused.runState).toBe(RunState.Unknown);
    const [ended] = entry.list(MessageType.UpstreamEnded);
    expect(ended).toMatchObject({
      upstream: 'u1',
      requests: [[computeRequestKey(REQUEST), expect.any(Number)]],
    });
    expect(entry.received.indexOf(ended)).toBeLessThan(
      entry.received.indexOf(refused),
    );
  });

  // Guards against an end whose head was sent first.
  it('are reported for a response that has just begun', async () => {
    const {entry} = await startService((_request, response, stop) => {
      response.writeHead(200, {'content-type': 'text/plain'});
      response.flushHeaders();
      setTimeout(stop, 20);
    });
    entry.open(REQUEST);
    await vi.waitFor(() =>
      expect(entry.list(MessageType.UpstreamEnded)).toHaveLength(1),
    );
  });

  // Guards against refusing a request because a connection or reply was lost.
  it('are not concluded from lost connections alone', async () => {
    const {entry} = await startService(request => request.socket.destroy());
    for (let count = 0; count < 3; count += 1) {
      await waitForRefusal(entry, entry.open(REQUEST));
    }
    expect(entry.list(MessageType.UpstreamEnded)).toEqual([]);
  });

  // Guards against refusing what a planned stop or a new address cut off.
  it.each([{state: 'leaving'}, {address: {host: '127.0.0.1', port: 1}}])(
    'are not concluded after the upstream changed: %o',
    async changes => {
      let end: (() => void) | undefined;
      const {bench, entry, upstream} = await startService(
        (_request, _response, stop) => {
          end = stop;
        },
      );
      const attemptId = entry.open(REQUEST);
      await vi.waitFor(() => expect(end).toBeDefined());
      bench.put(ResourceKind.Upstream, 'u1', {...upstream, ...changes});
      end?.();
      await waitForRefusal(entry, attemptId);
      expect(entry.list(MessageType.UpstreamEnded)).toEqual([]);
    },
  );

  // Guards against suspecting a request that the upstream has long run.
  it('leave out responses that have gone on for a while', async () => {
    const {entry} = await startService((_request, response, stop) => {
      response.writeHead(200, {'content-type': 'text/plain'});
      response.write('first');
      setTimeout(stop, 400);
    });
    const attemptId = entry.open(REQUEST);
    await vi.waitFor(() =>
      expect(entry.list(MessageType.ResponseEnd, attemptId)).toHaveLength(1),
    );
    expect(entry.list(MessageType.UpstreamEnded)).toEqual([]);
  });

  // Guards against an end that is missed because the engine restarts at once.
  it('are reported when the status shows that the engine restarted', async () => {
    const {engine, entry, open} = await startBench();
    engine.state.isResponseHeld = true;
    const attemptId = open('a');
    await vi.waitFor(() => expect(engine.held).toHaveLength(1), {
      timeout: 5_000,
    });
    engine.held[0].destroy();
    await waitForRefusal(entry, attemptId);
    expect(entry.list(MessageType.UpstreamEnded)).toEqual([]);
    engine.restart();
    await vi.waitFor(
      () => expect(entry.list(MessageType.UpstreamEnded)).toHaveLength(1),
      {timeout: 5_000},
    );
  });

  // Guards against refusals at entry processes that did not see the answer.
  it('are followed by the news of an answer at the other entry processes', async () => {
    const {bench, entry} = await startService((_request, response) =>
      response.end('sound'),
    );
    const other = await createTestNetwork('entry-2', ProcessRole.Entry);
    await other.start();
    cleanups.push(() => other.stop());
    const link = await other.acquireLink(
      bench.options.network.identity.address,
      5_000,
    );
    const requestKey = computeRequestKey(REQUEST);
    link?.send({type: MessageType.RequestAnswered, requestKey});
    await vi.waitFor(() =>
      expect(entry.list(MessageType.RequestAnswered)).toEqual([
        {type: MessageType.RequestAnswered, requestKey},
      ]),
    );
  });
});
