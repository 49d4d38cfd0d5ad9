/** Test setup of a side process with a fake engine. */
import type * as http from 'node:http';
import {expect, vi} from 'vitest';
import {MessageType, TargetType} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import {startEntry, startHttp, startSide} from './bench';

const cleanups: Array<() => unknown> = [];

/** Stops everything that a test started. */
export async function stopAll(): Promise<void> {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
}

interface ReceivedOrder {
  orderId: string;
  fencing: number;
  type: string;
  role?: string;
  model: string;
  adapter?: string;
  version: string;
}

/** Memory of the models and adapters, in MiB. */
export const SIZES: Record<string, number> = {a: 60, b: 60, c: 30, x: 5};
/** Memory of the engine, in MiB. */
export const TOTAL_MIB = 100;

/** Engine that loads immediately and streams three events per request. */
async function startEngine() {
  const orders: ReceivedOrder[] = [];
  /** Orders that only raise the fencing token. */
  const fences: ReceivedOrder[] = [];
  const executed = new Set<string>();
  const models = new Map<string, string>();
  const adapters = new Map<string, string>();
  const offsets: string[] = [];
  const cancelled: string[] = [];
  /** Ids of the generations since the start. */
  const begun = new Set<string>();
  const held: http.ServerResponse[] = [];
  const state = {
    generation: 1,
    peakMiB: 0,
    /** Number of next orders that are executed without a reply. */
    lostReplies: 0,
    failedLoads: 0,
    isStreamInterrupted: false,
    isResponseHeld: false,
    /** Breaks the connections of requests to resume. */
    isResumeBroken: false,
    /** Base duration of a generation. */
    delayMs: 0,
    statusCalls: 0,
    fencing: 0,
    checksFencing: true,
    /** Returns the same report until set to false. */
    isReportHeld: false,
    /** Orders that are accepted but have no effect. */
    ignoredOrderIds: new Set<string>(),
    /** Runs when a token is accepted. */
    onFence: (): void => undefined,
  };
  let repeatedReport: string | undefined;
  let requestCount = 0;
  const getUsedMiB = (): number =>
    [...models.keys(), ...adapters.keys()].reduce(
      (sum, key) => sum + SIZES[key.split('@')[0]],
      0,
    );
  const execute = (order: ReceivedOrder): void => {
    if (executed.has(order.orderId)) return;
    executed.add(order.orderId);
    const {type, model, adapter = '', version} = order;
    if (type === 'load-model') {
      if (state.failedLoads-- > 0) executed.delete(order.orderId);
      else models.set(`${model}@${version}`, version);
    }
    if (type === 'unload-model') models.delete(`${model}@${version}`);
    if (type === 'load-adapter') adapters.set(adapter, model);
    if (type === 'unload-adapter') adapters.delete(adapter);
    state.peakMiB = Math.max(state.peakMiB, getUsedMiB());
  };
  const makeReport = (): string =>
    JSON.stringify({
      totalMemoryMiB: TOTAL_MIB,
      usedMemoryMiB: getUsedMiB(),
      role: 'serve',
      models: [...models].map(([key, version]) => ({
        name: key.split('@')[0],
        version,
        state: 'loaded',
        memoryMiB: SIZES[key.split('@')[0]],
      })),
      adapters: [...adapters].map(([name, model]) => ({
        name,
        model,
        state: 'loaded',
        memoryMiB: SIZES[name],
      })),
      running: 0,
      waiting: 0,
      reportedAtMs: Number(process.hrtime.bigint() / 1_000_000n),
      generation: state.generation,
      completedOrders: [...executed].map(orderId => ({orderId})),
    });
  const sendEvents = (response: http.ServerResponse, from: number): void => {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    for (let id = from; id < 3; id += 1) {
      const event = {n: id, start: state.generation};
      response.write(`id: ${id}\ndata: ${JSON.stringify(event)}\n\n`);
      if (id === 1 && state.isStreamInterrupted) {
        state.isStreamInterrupted = false;
        response.write('id: 2\ndata: {"n"', () => response.destroy());
        return;
      }
    }
    const usage = {prompt_tokens: 4, completion_tokens: 3};
    response.write(`id: 3\ndata: ${JSON.stringify({usage})}\n\n`);
    response.end('id: 4\ndata: [DONE]\n\n');
  };
  const server = await startHttp((request, response) => {
    const url = String(request.url);
    let body = '';
    request.on('data', chunk => (body += String(chunk)));
    request.on('end', () => {
      if (url === '/status') {
        state.statusCalls += 1;
        if (!state.isReportHeld) repeatedReport = undefined;
        else repeatedReport ??= makeReport();
        response.end(repeatedReport ?? makeReport());
      } else if (url === '/orders') {
        const order = JSON.parse(body) as ReceivedOrder;
        const isFence = order.type === 'set-role';
        (isFence ? fences : orders).push(order);
        if (state.checksFencing && order.fencing < state.fencing) {
          response.writeHead(409).end('{"currentFencing":9}');
          return;
        }
        state.fencing = Math.max(state.fencing, order.fencing);
        if (isFence) state.onFence();
        if (state.failedLoads > 0 && order.type === 'load-model') {
          state.failedLoads -= 1;
          response.writeHead(422).end();
          return;
        }
        if (!state.ignoredOrderIds.has(order.orderId)) execute(order);
        if (state.lostReplies-- > 0) response.destroy();
        else response.writeHead(202).end();
      } else if (url.startsWith('/cache-events')) {
        response.end(JSON.stringify({next: 0, events: []}));
      } else if (request.method === 'DELETE') {
        cancelled.push(url);
        response.end();
      } else if (url.startsWith('/v1/generations')) {
        const [id, offset] = url.split('/')[3].split('?offset=');
        offsets.push(offset);
        if (state.isResumeBroken) response.destroy();
        else if (!begun.has(id)) response.writeHead(404).end();
        else sendEvents(response, Number(offset));
      } else if (state.isResponseHeld) {
        begun.add(String(request.headers['x-request-id']));
        held.push(response);
      } else {
        begun.add(String(request.headers['x-request-id']));
        // Different durations keep requests from ending at the same time.
        const delayMs = state.delayMs * (1 + (requestCount++ % 5) / 2);
        setTimeout(() => sendEvents(response, 0), delayMs);
      }
    });
  });
  cleanups.push(server.stop);
  return {
    ...{
      server,
      state,
      orders,
      fences,
      execute,
      models,
      adapters,
      offsets,
      cancelled,
      begun,
      held,
    },
    hasExecuted: (orderId: string): boolean => executed.has(orderId),
    /** Resolves after three more status calls of the control. */
    waitForTicks: async (): Promise<void> => {
      const wanted = state.statusCalls + 3;
      await vi.waitFor(
        () => expect(state.statusCalls).toBeGreaterThanOrEqual(wanted),
        {timeout: 5_000},
      );
    },
    restart: () => {
      state.generation += 1;
      executed.clear();
      models.clear();
      adapters.clear();
      begun.clear();
    },
  };
}

/** Starts a side process with a fake engine and a fake entry process. */
export async function startBench(upstream: object = {}, beforeStart?: string) {
  const engine = await startEngine();
  const bench = await startSide();
  const {network} = bench.options;
  for (const name of ['a', 'b', 'c']) {
    bench.put(ResourceKind.Model, name, {memoryMiB: SIZES[name]});
  }
  bench.put(ResourceKind.Adapter, 'x', {model: 'a', memoryMiB: SIZES.x});
  if (beforeStart !== undefined) {
    const intent = {
      ...{name: 'u1.old', upstream: 'u1', epoch: 0, orderId: 'old'},
      ...{type: 'load-model', model: beforeStart, version: '1'},
      memoryMiB: SIZES[beforeStart],
    };
    const {store} = bench;
    await store.putObject(
      ResourceKind.OrderIntent,
      intent.name,
      intent,
      'absent',
    );
  }
  bench.put(ResourceKind.Upstream, 'u1', {
    type: 'engine',
    address: {host: '127.0.0.1', port: engine.server.port},
    side: network.identity.address,
    failureDomain: 'a',
    memoryMiB: TOTAL_MIB,
    ...upstream,
  });
  const entry = await startEntry(network);
  cleanups.push(
    () => bench.side.stop(),
    () => entry.network.stop(),
  );
  const open = (model: string, adapter?: string, changes: object = {}) =>
    entry.open({
      target: {
        type: TargetType.Model,
        model,
        ...(adapter !== undefined && {adapter}),
      },
      path: '/v1/chat/completions',
      ...changes,
    });
  const waitForEnd = (attemptId: string) =>
    vi.waitFor(
      () => {
        const [end] = entry.list(MessageType.ResponseEnd, attemptId);
        expect(end).toBeDefined();
        return end;
      },
      {timeout: 15_000},
    );
  return {engine, bench, entry, open, waitForEnd};
}
