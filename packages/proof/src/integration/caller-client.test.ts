import OpenAI from 'openai';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {ResourceKind} from '@siskinplank/resources';
import {computeExpectedText, formatChatPrompt} from '@siskinplank/stand-ins';
import {startCluster} from '../cluster/cluster';
import type {Cluster} from '../cluster/types';
import {issueKey, makeAccount, makeModel, waitUntil} from './support';

const MODEL = 'layout-7b';
const ADAPTER = 'layout-7b-brass';
const content = 'Draft the text of a plate';
const messages = [{role: 'user' as const, content}];
const prompt = formatChatPrompt(messages);

let cluster: Cluster;
let key: string;
let smallKey: string;

beforeAll(async () => {
  cluster = await startCluster({
    entries: 1,
    engines: [
      {
        options: {
          totalMemoryMiB: 4_000,
          modelLoadMs: 100,
          catalog: {
            models: {[MODEL]: {memoryMiB: 1_000}},
            adapters: {[ADAPTER]: {model: MODEL, memoryMiB: 100}},
          },
        },
      },
    ],
    objects: [
      makeAccount('plaksne'),
      makeAccount('small', {rateTokensPerSecond: 4, burstTokens: 64}),
      makeModel(MODEL),
      {
        kind: ResourceKind.Adapter,
        name: ADAPTER,
        value: {name: ADAPTER, model: MODEL, memoryMiB: 100},
      },
    ],
  });
  key = await issueKey(cluster, 'plaksne');
  smallKey = await issueKey(cluster, 'small');
}, 60_000);

afterAll(() => cluster?.stop(), 60_000);

function createClient(apiKey = key): OpenAI {
  const baseURL = `${cluster.entries[0].callerUrl}/v1`;
  return new OpenAI({apiKey, baseURL, maxRetries: 0});
}

// Each test guards against a difference from the OpenAI API that the public
// client does not accept.
describe('public OpenAI client', () => {
  it('lists and retrieves models and adapters', async () => {
    const names: string[] = [];
    for await (const {id} of createClient().models.list()) names.push(id);
    expect(names.sort()).toEqual([MODEL, ADAPTER]);
    expect((await createClient().models.retrieve(ADAPTER)).id).toBe(ADAPTER);
    await expect(
      createClient().models.retrieve('absent'),
    ).rejects.toBeInstanceOf(OpenAI.NotFoundError);
  });

  it('gets whole completions of a model and of an adapter by its name', async () => {
    for (const [model, adapter] of [
      [MODEL, undefined],
      [MODEL, ADAPTER],
    ] as const) {
      const chat = await createClient().chat.completions.create({
        model: adapter ?? model,
        messages,
        max_tokens: 24,
      });
      const expected = {model, adapter, prompt, maxTokens: 24};
      const text = computeExpectedText(expected);
      expect(chat.choices[0].message.content).toBe(text);
      expect(chat.model).toBe(adapter ?? model);
      expect(chat.usage?.completion_tokens).toBeGreaterThan(0);
    }
    const legacy = await createClient().completions.create({
      model: MODEL,
      prompt: content,
      max_tokens: 24,
    });
    expect(legacy.choices[0].text).toBe(
      computeExpectedText({model: MODEL, prompt: content, maxTokens: 24}),
    );
  });

  it('streams a completion with usage', async () => {
    const stream = await createClient().chat.completions.create({
      model: MODEL,
      messages,
      max_tokens: 24,
      stream: true,
      stream_options: {include_usage: true},
    });
    let text = '';
    let usage = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      usage = chunk.usage?.completion_tokens ?? usage;
    }
    expect(text).toBe(
      computeExpectedText({model: MODEL, prompt, maxTokens: 24}),
    );
    expect(usage).toBeGreaterThan(0);
  });

  // Guards against generations that continue after their caller disconnected, and
  // that a graceful resume period of the engine would hide.
  it('cancels a stream at the engine', async () => {
    const engine = cluster.getStandIn('engine-1');
    const before = await engine.listLog('generation-cancelled');
    const stream = await createClient().chat.completions.create({
      model: MODEL,
      messages: [{role: 'user', content: 'A long text to be cancelled'}],
      max_tokens: 2_000,
      stream: true,
    });
    for await (const chunk of stream) {
      if (chunk.choices[0]?.delta.content) break;
    }
    stream.controller.abort();
    await waitUntil(
      async () =>
        (await engine.listLog('generation-cancelled')).length > before.length,
      3_000,
    );
    const [last] = (await engine.listLog('generation-cancelled')).slice(-1);
    expect(last.reason).not.toBe('no reader');
  });

  it('reports a wrong key and an unknown model by its error classes', async () => {
    const wrongKeys = ['sk-wrong', `${key.slice(0, -4)}0000`];
    for (const wrong of wrongKeys) {
      await expect(createClient(wrong).models.list()).rejects.toMatchObject({
        constructor: OpenAI.AuthenticationError,
        code: 'invalid_api_key',
      });
    }
    await expect(
      createClient().chat.completions.create({model: 'absent', messages}),
    ).rejects.toMatchObject({
      constructor: OpenAI.NotFoundError,
      code: 'model_not_found',
    });
  });

  it('reports a reached rate limit with Retry-After', async () => {
    const client = createClient(smallKey);
    const send = () =>
      client.chat.completions.create({model: MODEL, messages, max_tokens: 40});
    let error: unknown;
    for (let count = 0; count < 4 && error === undefined; count += 1) {
      error = await send().then(
        () => undefined,
        (reason: unknown) => reason,
      );
    }
    expect(error).toBeInstanceOf(OpenAI.RateLimitError);
    const limited = error as InstanceType<typeof OpenAI.RateLimitError>;
    expect(Number(limited.headers?.get('retry-after'))).toBeGreaterThan(0);
    expect(limited.headers?.get('x-siskinplank-run-state')).toBe('not-run');
    const after = await createClient().models.list();
    expect(after.data.length).toBe(2);
  });
});
