import {afterEach, describe, expect, it} from 'vitest';
import {hashPromptPrefixes} from '@siskinplank/routing';
import type {StandIn} from './control';
import {startEngineStandIn} from './engine';
import {computeExpectedText, computePrefixHashes} from './engine-tokens';
import type {EngineStandInOptions} from './engine-types';
import {listLog, requestJson, sendFault, waitFor} from './testing';

const started: StandIn[] = [];
afterEach(async () => {
  await Promise.all(started.splice(0).map(standIn => standIn.close()));
});

async function startEngine(
  options: EngineStandInOptions = {},
): Promise<StandIn> {
  const engine = await startEngineStandIn({
    totalMemoryMiB: 1_000,
    catalog: {
      models: {base: {memoryMiB: 400}, other: {memoryMiB: 700}},
      adapters: {style: {model: 'base', memoryMiB: 50}},
    },
    preloadedModels: [{name: 'base'}],
    preloadedAdapters: [{name: 'style', model: 'base'}],
    timeScale: 0.05,
    ...options,
  });
  started.push(engine);
  return engine;
}

interface Chunk {
  id: number;
  text: string;
  usage?: {completion_tokens: number};
}

/** Reads server-sent events until the end or a cut of the connection. */
async function readChunks(response: Response): Promise<Chunk[]> {
  let text = '';
  const decoder = new TextDecoder();
  try {
    for await (const part of response.body!) text += decoder.decode(part);
  } catch {
    // A cut stream ends in an error; the chunks received so far are returned.
  }
  return text
    .split('\n\n')
    .filter(event => event !== '')
    .map(event => {
      const [, id, data] = /^id: (\d+)\ndata: (.*)$/.exec(event)!;
      if (data === '[DONE]') return {id: Number(id), text: '[DONE]'};
      const {choices, usage} = JSON.parse(data);
      const choice = choices[0];
      return {
        id: Number(id),
        text: choice?.delta?.content ?? choice?.text ?? '',
        usage: usage ?? undefined,
      };
    });
}

function openStream(
  engine: StandIn,
  id: string,
  body: object,
  signal?: AbortSignal,
): Promise<Response> {
  return fetch(`http://127.0.0.1:${engine.port}/v1/completions`, {
    method: 'POST',
    signal,
    headers: {'content-type': 'application/json', 'x-request-id': id},
    body: JSON.stringify({stream: true, ...body}),
  });
}

const sendOrder = (engine: StandIn, fields: object) =>
  requestJson(engine, 'POST', '/orders', {fencing: 1, ...fields});
const getStatus = async (engine: StandIn) =>
  (await requestJson(engine, 'GET', '/status')).body;
const getMemory = async (engine: StandIn) =>
  (await requestJson(engine, 'GET', '/control/memory')).body;

/** Its completion is longer than 40 tokens, which the first test checks. */
const LONG = {model: 'base', prompt: 'a long report', max_tokens: 40};
const LONG_TEXT = computeExpectedText({
  model: 'base',
  prompt: 'a long report',
  maxTokens: 40,
});

describe('engine stand-in completions', () => {
  // Guards against completions that a test cannot predict.
  it('returns the expected text, streamed and not, with usage', async () => {
    const engine = await startEngine();
    expect(LONG_TEXT.split(' ')).toHaveLength(40);
    const whole = await requestJson(engine, 'POST', '/v1/completions', LONG);
    expect(whole.body.choices[0].text).toBe(LONG_TEXT);
    expect(whole.body.usage).toMatchObject({
      prompt_tokens: 3,
      completion_tokens: 40,
      total_tokens: 43,
    });
    const stream = await openStream(engine, 'g1', {
      ...LONG,
      stream_options: {include_usage: true},
    });
    const chunks = await readChunks(stream);
    expect(chunks.map(({id}) => id)).toEqual([...chunks.keys()]);
    expect(chunks.map(({text}) => text).join('')).toBe(`${LONG_TEXT}[DONE]`);
    expect(chunks.at(-2)?.usage?.completion_tokens).toBe(40);
    const adapted = await requestJson(engine, 'POST', '/v1/chat/completions', {
      model: 'style',
      messages: [{role: 'user', content: 'hello'}],
      max_tokens: 12,
    });
    expect(adapted.body.choices[0].message.content).toBe(
      computeExpectedText({
        model: 'base',
        adapter: 'style',
        prompt: 'user: hello',
        maxTokens: 12,
      }),
    );
    const absent = {...LONG, model: 'other'};
    const refused = await requestJson(
      engine,
      'POST',
      '/v1/completions',
      absent,
    );
    expect(refused.status).toBe(404);
  });

  // Guards against a resumed stream that repeats or skips a chunk.
  it('resumes a cut stream at an offset', async () => {
    const engine = await startEngine();
    await sendFault(engine, {cutStreams: {count: 1, afterChunks: 5}});
    const first = await readChunks(await openStream(engine, 'g1', LONG));
    expect(first.map(({id}) => id)).toEqual([0, 1, 2, 3, 4]);
    const url = `http://127.0.0.1:${engine.port}/v1/generations/g1?offset=5`;
    const rest = await readChunks(await fetch(url));
    const text = [...first, ...rest].map(chunk => chunk.text).join('');
    expect(text).toBe(`${LONG_TEXT}[DONE]`);
    const runs = await listLog(engine, 'generation-started');
    expect(runs).toHaveLength(1);
  });

  // Guards against a repeated generation id that runs twice, or that returns
  // the response to another request.
  it('joins a repeated request and rejects a different one', async () => {
    const engine = await startEngine({timeScale: 0.5});
    const texts = await Promise.all(
      [1, 2].map(async () => {
        const chunks = await readChunks(await openStream(engine, 'g1', LONG));
        return chunks.map(({text}) => text).join('');
      }),
    );
    expect(texts).toEqual([`${LONG_TEXT}[DONE]`, `${LONG_TEXT}[DONE]`]);
    expect(await listLog(engine, 'generation-started')).toHaveLength(1);
    const other = await openStream(engine, 'g1', {...LONG, prompt: 'other'});
    expect(other.status).toBe(409);
  });

  // Guards against generations that keep running for disconnected callers.
  it('cancels on DELETE, and after the grace time on disconnect', async () => {
    const engine = await startEngine({resumeGraceMs: 30, timeScale: 10});
    const abort = new AbortController();
    await openStream(engine, 'left', LONG, abort.signal);
    abort.abort();
    await waitFor('cancellation', async () => {
      const [entry] = await listLog(engine, 'generation-cancelled');
      return entry?.reason === 'no reader';
    });
    const stream = await openStream(engine, 'deleted', LONG);
    const path = '/v1/generations/deleted';
    expect((await requestJson(engine, 'DELETE', path)).status).toBe(204);
    expect((await readChunks(stream)).at(-1)?.text).not.toBe('[DONE]');
    expect((await getStatus(engine)).running).toBe(0);
  });

  // Guards against a batch that ignores the priority of a request.
  it('runs interactive requests before overnight ones', async () => {
    const engine = await startEngine({maxBatch: 1});
    const send = (priority: string) =>
      requestJson(engine, 'POST', '/v1/completions', LONG, {
        'x-priority': priority,
        'x-request-id': priority,
      });
    const waitForCounts = (running: number, waiting: number) =>
      waitFor(`${running} running, ${waiting} waiting`, async () => {
        const status = await getStatus(engine);
        return status.running === running && status.waiting === waiting;
      });
    await sendFault(engine, {pauseMs: 60_000});
    const first = send('first');
    await waitForCounts(1, 0);
    const overnight = send('overnight');
    await waitForCounts(1, 1);
    const awaited = send('awaited');
    await waitForCounts(1, 2);
    await sendFault(engine, {pauseMs: 0});
    await Promise.all([first, overnight, awaited]);
    const ended = await listLog(engine, 'generation-ended');
    expect(ended.map(entry => entry.generationId)).toEqual([
      'first',
      'awaited',
      'overnight',
    ]);
  });

  // Guards against a prefix cache that never hits or exceeds its capacity.
  it('reuses cached prefixes, publishes delayed events with gaps', async () => {
    const engine = await startEngine({
      prefixCacheTokens: 256,
      cacheEventGapEvery: 2,
      cacheEventLagMs: 30,
    });
    const prefix = 'word '.repeat(154);
    const send = async (prompt: string): Promise<number> => {
      const body = {model: 'base', prompt, max_tokens: 1};
      const answer = await requestJson(engine, 'POST', '/v1/completions', body);
      return answer.body.usage.prompt_tokens_details.cached_tokens;
    };
    expect(await send(`${prefix}one`)).toBe(0);
    // Three blocks of 256 of 773 bytes.
    expect(await send(`${prefix}two`)).toBe(Math.floor((155 * 768) / 773));
    await send('different '.repeat(103));
    expect(await send(`${prefix}two`)).toBe(0);
    await waitFor('events', async () => {
      const {body} = await requestJson(engine, 'GET', '/cache-events?from=0');
      const sequences: number[] = body.events.map(
        (event: {sequence: number}) => event.sequence,
      );
      return sequences.length > 3 && sequences.every(n => n % 2 === 0);
    });
  });

  // Guards against cache events with hashes that routing cannot match.
  it('hashes prefixes as the routing package does', () => {
    const text = 'word '.repeat(200);
    const expected = hashPromptPrefixes('base', Buffer.from(text));
    expect(computePrefixHashes('base', text)).toEqual([...expected].reverse());
  });

  // Guards against an imported generation that starts from the beginning.
  it('continues an exported generation on another engine', async () => {
    const source = await startEngine();
    const target = await startEngine();
    await sendFault(source, {cutStreams: {count: 1, afterChunks: 5}});
    await readChunks(await openStream(source, 'g1', LONG));
    const exported = await requestJson(source, 'POST', '/v1/kv/export', {
      generationId: 'g1',
    });
    await requestJson(target, 'POST', '/v1/kv/import', exported.body);
    const url = `http://127.0.0.1:${target.port}/v1/generations/g1?offset=0`;
    const chunks = await readChunks(await fetch(url));
    expect(chunks.map(({text}) => text).join('')).toBe(`${LONG_TEXT}[DONE]`);
  });
});

describe('engine stand-in orders and memory', () => {
  // Guards against a record that misses memory used during a load or unload.
  it('records the high-water mark and overcommitted orders', async () => {
    const engine = await startEngine();
    expect(await getMemory(engine)).toMatchObject({usedMiB: 450});
    await sendOrder(engine, {
      orderId: 'o1',
      type: 'load-model',
      model: 'other',
    });
    const record = {highWaterMiB: 1_150, overcommitted: 1};
    expect(await getMemory(engine)).toMatchObject(record);
    expect(await listLog(engine, 'overcommitted')).toHaveLength(1);
    await sendOrder(engine, {
      orderId: 'o2',
      type: 'unload-model',
      model: 'base',
    });
    await waitFor('unload', async () => {
      const {models, adapters} = await getStatus(engine);
      return models.length === 1 && adapters.length === 0;
    });
    expect(await getMemory(engine)).toMatchObject({...record, usedMiB: 700});
  });

  // Guards against stale orders that an engine with fencing executes, and
  // against an engine without fencing that rejects them.
  it('checks fencing tokens unless this is disabled', async () => {
    const engine = await startEngine();
    const role = {type: 'set-role', role: 'decode'};
    await sendOrder(engine, {...role, orderId: 'o1', fencing: 5});
    const stale = await sendOrder(engine, {...role, orderId: 'o2', fencing: 4});
    expect(stale).toEqual({status: 409, body: {currentFencing: 5}});
    await sendFault(engine, {checksFencing: false});
    const ignored = await sendOrder(engine, {
      ...role,
      orderId: 'o3',
      fencing: 4,
    });
    expect(ignored.status).toBe(202);
  });

  // Guards against requested order faults that are not injected.
  it('loses and duplicates orders and drops their replies', async () => {
    const engine = await startEngine({dedupsOrders: false});
    const load = {type: 'load-model', model: 'other'};
    await sendFault(engine, {loseOrders: 1});
    const lost = await sendOrder(engine, {...load, orderId: 'o1'});
    expect(lost.status).toBe(202);
    expect((await getStatus(engine)).models).toHaveLength(1);
    await sendFault(engine, {
      duplicateOrders: {count: 1, delayMs: 10},
      dropOrderReplies: 1,
    });
    await expect(sendOrder(engine, {...load, orderId: 'o2'})).rejects.toThrow();
    await waitFor('two executions', async () => {
      const {completedOrders} = await getStatus(engine);
      return completedOrders.length === 2;
    });
  });

  // Guards against a duplicated order that an engine executes twice, and
  // against a delayed order of a former lease holder that is executed.
  it('drops duplicates of orders and delayed, stale orders', async () => {
    const engine = await startEngine();
    const role = {type: 'set-role', role: 'decode'};
    await sendFault(engine, {duplicateOrders: {count: 1, delayMs: 5}});
    await sendOrder(engine, {...role, orderId: 'o1'});
    await waitFor('copy', async () => {
      return (await listLog(engine, 'order-repeated')).length === 1;
    });
    await sendFault(engine, {delayOrders: {count: 1, delayMs: 1_000}});
    await sendOrder(engine, {...role, orderId: 'o2'});
    await sendOrder(engine, {...role, orderId: 'o3', fencing: 2});
    await waitFor('late order', async () => {
      return (await listLog(engine, 'late-order-refused')).length === 1;
    });
    const starts = await listLog(engine, 'order-started');
    expect(starts.map(({orderId}) => orderId)).toEqual(['o1', 'o3']);
  });

  // Guards against a restart that keeps memory or the generation number.
  it('crashes, loses its models and restarts as a new generation', async () => {
    const engine = await startEngine({timeScale: 10});
    const before = await getStatus(engine);
    const stream = await openStream(engine, 'g1', LONG);
    await sendFault(engine, {crash: {downMs: 1_000}});
    expect((await readChunks(stream)).at(-1)?.text).not.toBe('[DONE]');
    await expect(getStatus(engine)).rejects.toThrow();
    await waitFor('restart', async () => {
      const restarts = await listLog(engine, 'restarted');
      return restarts.length === 1;
    });
    const after = await getStatus(engine);
    expect(after.generation).not.toBe(before.generation);
    expect(after).toMatchObject({models: [], usedMemoryMiB: 0});
  });

  // Guards against load reports that are more recent than configured.
  it('reports its load with the configured delay', async () => {
    const engine = await startEngine({statusLagMs: 1_000, modelLoadMs: 1});
    await sendOrder(engine, {
      orderId: 'o1',
      type: 'load-model',
      model: 'other',
    });
    expect((await getMemory(engine)).usedMiB).toBe(1_150);
    expect((await getStatus(engine)).usedMemoryMiB).toBe(450);
    await waitFor('report', async () => {
      return (await getStatus(engine)).usedMemoryMiB === 1_150;
    });
  });
});
