/** Authentication, admission, request checks and the fixed endpoints. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import fc from 'fast-check';
import OpenAI from 'openai';
import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import {FreshnessState} from '@siskinplank/messages';
import {
  RefusalCode,
  ResourceKind,
  formatKey,
  hashSecret,
} from '@siskinplank/resources';
import {
  HASH_KEY,
  KEY_ID,
  SECRET,
  makeReplyScript,
  startHarness,
} from '../testing/harness';
import type {Harness} from '../testing/harness';
import {CompletionType, parseCompletionBody} from './completion-body';
import {parseCallerOptions, selectRequestHeaders} from './headers';

const ANSWER =
  '{"id":"1","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"lengthwise"}}]}';

const wait = (forMs: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, forMs));

const LIMITS = {defaultDeadlineMs: 1_000, maxDeadlineMs: 9_000};

describe('caller interface', () => {
  let harness: Harness;
  beforeAll(async () => {
    harness = await startHarness(makeReplyScript([ANSWER]));
  });
  afterAll(() => harness.entry.stop());
  beforeEach(() => {
    harness.limiter.refusal = undefined;
    harness.configuration.freshness = FreshnessState.Confirmed;
    putKey({});
  });

  const putKey = (change: Record<string, unknown>): void =>
    harness.configuration.put(ResourceKind.ApiKey, {
      name: KEY_ID,
      account: 'plaksne',
      secretHash: hashSecret(HASH_KEY, SECRET),
      createdAtMs: 0,
      ...change,
    });

  const expectRefusal = async (
    response: Response,
    status: number,
    code: RefusalCode,
  ): Promise<void> => {
    expect(response.status).toBe(status);
    expect(await response.json()).toMatchObject({
      error: {code, message: expect.any(String), type: expect.any(String)},
      run_state: 'not-run',
    });
    expect(response.headers.get('x-siskinplank-run-state')).toBe('not-run');
    expect(response.headers.get('x-request-id')).toMatch(/^[0-9a-f]{32}$/);
  };

  const openConnection = async (): Promise<Socket> => {
    const socket = connect(harness.port, '127.0.0.1');
    await new Promise<void>(resolve => socket.once('connect', resolve));
    // Long enough for the event loop to be observed as idle.
    await wait(300);
    return socket;
  };

  const readStatus = async (socket: Socket): Promise<number> => {
    const data = await new Promise<Buffer>(resolve =>
      socket.once('data', resolve),
    );
    socket.destroy();
    return Number(String(data).split(' ')[1]);
  };

  const renderChatRequest = (deadlineMs: number): [string, string] => {
    const body = JSON.stringify({
      model: 'birch',
      messages: [{role: 'user', content: 'late'}],
    });
    const head = [
      'POST /v1/chat/completions HTTP/1.1',
      'host: a',
      `authorization: Bearer ${harness.key}`,
      'content-type: application/json',
      `content-length: ${body.length}`,
      `x-siskinplank-deadline-ms: ${deadlineMs}`,
    ];
    return [`${head.join('\r\n')}\r\n\r\n`, body];
  };

  // Guards against work for callers whose deadline passed while the process
  // was paused or had no processor time.
  it('counts the deadline from the arrival of a request, not from its reading', async () => {
    const socket = await openConnection();
    const status = readStatus(socket);
    socket.write(renderChatRequest(500).join(''));
    const endsAtMs = process.uptime() * 1_000 + 900;
    while (process.uptime() * 1_000 < endsAtMs);
    expect(await status).toBe(504);
  });

  it('counts the deadline from the head of a request with a slow body', async () => {
    const socket = await openConnection();
    const status = readStatus(socket);
    const [head, body] = renderChatRequest(400);
    socket.write(head);
    await wait(700);
    socket.write(body);
    expect(await status).toBe(504);
  });

  // Guards against a response or model list that the OpenAI client rejects.
  it('serves the OpenAI client', async () => {
    const client = new OpenAI({
      apiKey: harness.key,
      baseURL: `${harness.baseUrl}/v1`,
      maxRetries: 0,
    });
    const completion = await client.chat.completions.create({
      model: 'birch-lv',
      messages: [{role: 'user', content: 'How?'}],
    });
    expect(completion.choices[0].message.content).toBe('lengthwise');
    expect(harness.sides[0].listOpens().at(-1)?.target).toMatchObject({
      model: 'birch',
      adapter: 'birch-lv',
    });
    const names: string[] = [];
    for await (const model of client.models.list()) names.push(model.id);
    expect(names).toEqual(['birch', 'birch-lv']);
  });

  // Guards against requests that run without a valid key of their account.
  it('refuses wrong, withdrawn and expired keys', async () => {
    const wrong = formatKey(KEY_ID, 'cd'.repeat(32));
    for (const authorization of [
      '',
      'Basic x',
      'Bearer x',
      `Bearer ${wrong}`,
    ]) {
      const response = await harness.sendChat({}, {authorization});
      await expectRefusal(response, 401, RefusalCode.InvalidKey);
    }
    putKey({expiresAtMs: 1});
    await expectRefusal(await harness.sendChat(), 401, RefusalCode.InvalidKey);
    putKey({withdrawnAtMs: 1});
    await expectRefusal(
      await harness.sendChat(),
      401,
      RefusalCode.KeyWithdrawn,
    );
    putKey({account: 'removed'});
    await expectRefusal(await harness.sendChat(), 401, RefusalCode.InvalidKey);
  });

  // Guards against a withdrawn key that still works on an isolated host.
  it('refuses keyed requests while the configuration is stale', async () => {
    harness.configuration.freshness = FreshnessState.Isolated;
    const response = await harness.sendChat();
    await expectRefusal(response, 503, RefusalCode.ConfigurationStale);
    expect(response.headers.get('retry-after')).toBe('2');
    harness.configuration.freshness = FreshnessState.PlatformDown;
    expect((await harness.sendChat()).status).toBe(200);
  });

  // Guards against the use of models of other accounts.
  it('refuses models that are unknown or not permitted', async () => {
    await expectRefusal(
      await harness.sendChat({model: 'elm'}),
      404,
      RefusalCode.ModelNotFound,
    );
    await expectRefusal(
      await harness.sendChat({model: 'oak'}),
      403,
      RefusalCode.NotPermitted,
    );
  });

  // Guards against use above the rate limit, and against retries of requests
  // that exceed the burst.
  it('refuses requests that the limiter refuses', async () => {
    harness.limiter.refusal = {exceedsBurst: false, retryAfterMs: 2_100};
    const limited = await harness.sendChat();
    await expectRefusal(limited, 429, RefusalCode.RateLimited);
    expect(limited.headers.get('retry-after')).toBe('3');
    harness.limiter.refusal = {exceedsBurst: true, retryAfterMs: 0};
    const large = await harness.sendChat();
    await expectRefusal(large, 429, RefusalCode.TooLargeForBurst);
    expect(large.headers.get('x-should-retry')).toBe('false');
  });

  // Guards against crashes and unclear errors on malformed requests.
  it('refuses malformed requests', async () => {
    const cases: Array<[number, RequestInit]> = [
      [400, {body: '{"model":'}],
      [400, {body: '{"model":"birch","messages":[]}'}],
      [400, {body: '{}', headers: {'x-siskinplank-deadline-ms': '-1'}}],
      [400, {body: '{}', headers: {'x-siskinplank-priority': 'urgent'}}],
      [413, {body: 'x'.repeat(5_000)}],
      [415, {body: '{}', headers: {'content-type': 'text/csv'}}],
      [400, {body: `{"model":"${harness.key}"}`}],
      [400, {body: `{"model":"${harness.key.replace('s', '\\u0073')}"}`}],
      [400, {body: harness.key.replace('s', '%73')}],
    ];
    for (const [status, init] of cases) {
      const response = await fetch(`${harness.baseUrl}/v1/chat/completions`, {
        method: 'POST',
        ...init,
        headers: {
          authorization: `Bearer ${harness.key}`,
          'content-type': 'application/json',
          ...init.headers,
        },
      });
      const code =
        status === 413 ? RefusalCode.BodyTooLarge : RefusalCode.InvalidRequest;
      await expectRefusal(response, status, code);
    }
    for (const path of ['/nothing', '/v1/nothing']) {
      const response = await fetch(harness.baseUrl + path);
      await expectRefusal(response, 404, RefusalCode.RouteNotFound);
    }
    const encoded = await fetch(`${harness.baseUrl}/catalogue/%2e%2e%2fx`);
    await expectRefusal(encoded, 400, RefusalCode.InvalidRequest);
  });

  // Guards against HTTP parser errors, to which Node.js itself would reply
  // without a JSON body.
  it('replies to oversized headers and invalid HTTP with a JSON error', async () => {
    const long = `GET /healthz HTTP/1.1\r\nhost: x\r\nx-long: ${'a'.repeat(40_000)}\r\n\r\n`;
    for (const [text, status] of [
      [long, '431'],
      ['NOT HTTP\r\n\r\n', '400'],
    ]) {
      const socket = connect(harness.port, '127.0.0.1');
      let answer = '';
      socket.on('data', data => (answer += data.toString()));
      socket.on('error', () => undefined);
      socket.write(text);
      await new Promise(resolve => socket.once('close', resolve));
      expect(answer.split(' ')[1]).toBe(status);
      expect(answer).toContain('"run_state":"not-run"');
    }
  });

  // Guards against exceptions on arbitrary bodies and against a wrong model.
  it('parses any body without an exception', () => {
    const bodies = fc.oneof(
      fc.uint8Array({maxLength: 200}),
      fc.json().map(text => new TextEncoder().encode(text)),
    );
    fc.assert(
      fc.property(bodies, body => {
        const parsed = parseCompletionBody(CompletionType.Chat, body);
        if (parsed.isLeft()) return;
        const {model} = JSON.parse(new TextDecoder().decode(body));
        expect(parsed.unsafeCoerce().model).toBe(model);
      }),
    );
  });

  // Guards against exceptions on arbitrary headers and against a key in a
  // forwarded header.
  it('parses any headers and forwards no key', () => {
    const names = fc.constantFrom(
      'x-siskinplank-deadline-ms',
      'x-siskinplank-priority',
      'idempotency-key',
      'traceparent',
      'x-other',
      'cookie',
    );
    const values = fc
      .tuple(fc.string(), fc.boolean(), fc.string())
      .map(([start, hasOne, end]) =>
        hasOne ? start + harness.key + end : start + end,
      );
    fc.assert(
      fc.property(fc.dictionary(names, values), headers => {
        const selected = selectRequestHeaders(headers);
        expect(JSON.stringify(selected)).not.toContain(SECRET);
        const parsed = parseCallerOptions(headers, LIMITS);
        if (parsed.isLeft()) return;
        const {deadlineMs} = parsed.unsafeCoerce();
        expect(deadlineMs).toBeGreaterThan(0);
        expect(deadlineMs).toBeLessThanOrEqual(LIMITS.maxDeadlineMs);
      }),
    );
  });
});
