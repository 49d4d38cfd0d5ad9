/** Open requests during a graceful shutdown or the withdrawal of their key. */
import * as http from 'node:http';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {MessageType} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {RefusalCode, ResourceKind, RunState} from '@siskinplank/resources';
import {
  KEY_ID,
  makeReplyScript,
  replyWithResponse,
  startHarness,
} from '../testing/harness';
import type {Harness} from '../testing/harness';

type Open = MessageOf<MessageType.RequestOpen>;

describe('open requests', () => {
  let harness: Harness;
  afterEach(() => harness.entry.stop());

  const findOpen = async (): Promise<Open> => {
    await vi.waitFor(() =>
      expect(harness.sides[0].listOpens()).toHaveLength(1),
    );
    return harness.sides[0].listOpens()[0];
  };

  const pushHead = (open: Open): void => {
    const {attemptId} = open;
    const data = new TextEncoder().encode('data: 1\n\n');
    const messages: Message[] = [
      {
        type: MessageType.ResponseHead,
        attemptId,
        sideIncarnation: 'any',
        status: 200,
        headers: {'content-type': 'text/event-stream'},
      },
      {type: MessageType.ResponseChunk, attemptId, sequence: 0, data},
    ];
    messages.forEach(message => harness.sides[0].push(message));
  };

  // Guards against a drain that aborts open requests or accepts new ones.
  it('finishes open requests and refuses new ones while draining', async () => {
    harness = await startHarness(() => undefined);
    const pending = harness.sendChat();
    const open = await findOpen();
    let isDrained = false;
    const draining = harness.entry.drain().then(() => (isDrained = true));
    const refused = await harness.sendChat();
    expect(refused.status).toBe(503);
    expect(refused.headers.get('connection')).toBe('close');
    expect(refused.headers.get('x-siskinplank-run-state')).toBe('not-run');
    expect((await fetch(`${harness.baseUrl}/readyz`)).status).toBe(503);
    expect((await fetch(`${harness.baseUrl}/healthz`)).status).toBe(200);
    expect(isDrained).toBe(false);
    replyWithResponse(open, message => harness.sides[0].push(message), ['{}']);
    expect((await pending).status).toBe(200);
    await draining;
    expect(harness.limiter.settled).toEqual([7]);
  });

  // Guards against failed requests between the shutdown signal and the
  // readiness probe by which load balancers notice it.
  it('accepts requests during the notice period', async () => {
    harness = await startHarness(makeReplyScript(['{}']), {
      settings: {drain: {graceMs: 4_000, noticeMs: 1_500}},
    });
    const draining = harness.entry.drain();
    expect((await fetch(`${harness.baseUrl}/readyz`)).status).toBe(503);
    const taken = await harness.sendChat();
    expect(taken.status).toBe(200);
    expect(taken.headers.get('connection')).toBe('close');
    await draining;
    expect((await harness.sendChat()).status).toBe(503);
  });

  // Guards against requests that fail because the only upstream restarts.
  it('waits until the only upstream is available again', async () => {
    let refusals = 0;
    harness = await startHarness((message, reply) => {
      if (message.type !== MessageType.RequestOpen) return;
      if (refusals >= 4) return replyWithResponse(message, reply, ['{}']);
      refusals += 1;
      reply({
        type: MessageType.Refused,
        attemptId: message.attemptId,
        code:
          refusals % 2 === 0
            ? RefusalCode.Draining
            : RefusalCode.ConfigurationStale,
        runState: RunState.NotRun,
        message: 'the upstream takes no new requests',
      });
    });
    expect((await harness.sendChat()).status).toBe(200);
    refusals = -1_000;
    const headers = {'x-siskinplank-deadline-ms': '400'};
    const late = await harness.sendChat({}, headers);
    expect(late.status).toBe(504);
    expect(late.headers.get('x-siskinplank-run-state')).toBe('not-run');
  });

  const startSlowUpload = async () => {
    const body = JSON.stringify({model: 'birch', prompt: 'x'});
    const half = Math.floor(body.length / 2);
    const request = http.request(`${harness.baseUrl}/v1/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${harness.key}`,
        'content-type': 'application/json',
        'content-length': body.length,
      },
    });
    const response = new Promise<http.IncomingMessage>((resolve, reject) => {
      request.on('response', resolve).on('error', reject);
    });
    // Prevents an unhandled rejection when the test awaits it late.
    response.catch(() => undefined);
    request.write(body.slice(0, half));
    // Gives the request head time to arrive.
    await new Promise(resolve => setTimeout(resolve, 100));
    return {
      response,
      sendRest: () => void request.end(body.slice(half)),
    };
  };

  // Guards against a drain that ends while the body of a request arrives.
  it('waits for a request whose head arrived before the drain', async () => {
    harness = await startHarness(makeReplyScript(['{}']));
    const upload = await startSlowUpload();
    const stopped = harness.entry.drain().then(() => harness.entry.stop());
    await new Promise(resolve => setTimeout(resolve, 100));
    upload.sendRest();
    expect((await upload.response).statusCode).toBe(200);
    await stopped;
  });

  // Guards against a body that never ends and delays the shutdown forever.
  it('refuses a request whose body arrives beyond the grace period', async () => {
    harness = await startHarness(makeReplyScript(['{}']), {
      settings: {drain: {graceMs: 50, noticeMs: 0}},
    });
    const upload = await startSlowUpload();
    await harness.entry.drain();
    const {statusCode, headers} = await upload.response;
    expect(statusCode).toBe(503);
    expect(headers['x-siskinplank-run-state']).toBe('not-run');
    await harness.entry.stop();
  });

  // Guards against a drain that never ends.
  it('aborts open requests after the grace period', async () => {
    harness = await startHarness(() => undefined, {
      settings: {drain: {graceMs: 50, noticeMs: 0}},
    });
    const pending = harness.sendChat();
    await findOpen();
    await harness.entry.drain();
    const response = await pending;
    expect(response.status).toBe(503);
    expect(response.headers.get('x-siskinplank-run-state')).toBe('unknown');
  });

  // Guards against a stream that continues after its key was withdrawn.
  it('ends the streams of a withdrawn key with an error event', async () => {
    harness = await startHarness(() => undefined);
    const pending = harness.sendChat({stream: true});
    pushHead(await findOpen());
    const reader = (await pending).body!.getReader();
    const first = await reader.read();
    let text = new TextDecoder().decode(first.value);
    harness.configuration.remove(ResourceKind.ApiKey, KEY_ID);
    await expect(async () => {
      for (;;) {
        const {done, value} = await reader.read();
        if (done) return;
        text += new TextDecoder().decode(value);
      }
    }).rejects.toThrow();
    expect(text).toContain(`"code":"${RefusalCode.KeyWithdrawn}"`);
    expect(harness.sides[0].received.at(-1)?.type).toBe(MessageType.Cancel);
  });

  // Guards against queued requests of a removed account that still run, and
  // against the run state not-run without a report of the side process.
  it('refuses queued requests of a removed account', async () => {
    for (const runState of [RunState.NotRun, RunState.Unknown]) {
      harness = await startHarness((message, reply) => {
        if (message.type !== MessageType.Cancel) return;
        if (runState === RunState.Unknown) return;
        reply({
          type: MessageType.Refused,
          attemptId: message.attemptId,
          code: RefusalCode.Cancelled,
          runState,
          message: 'cancelled in the queue',
        });
      });
      const pending = harness.sendChat();
      await findOpen();
      harness.configuration.remove(ResourceKind.ClientAccount, 'plaksne');
      const response = await pending;
      expect(response.status).toBe(401);
      expect(await response.json()).toMatchObject({
        error: {code: RefusalCode.KeyWithdrawn},
        run_state: runState,
      });
      if (runState === RunState.NotRun) await harness.entry.stop();
    }
  });

  // Guards against a queued request that a side process starts because the one
  // before it was cancelled first.
  it('cancels the newest requests of a removed account first', async () => {
    harness = await startHarness(() => undefined);
    const pending: Array<Promise<Response>> = [];
    for (const count of [1, 2, 3]) {
      pending.push(harness.sendChat());
      await vi.waitFor(() =>
        expect(harness.sides[0].listOpens()).toHaveLength(count),
      );
    }
    harness.configuration.remove(ResourceKind.ClientAccount, 'plaksne');
    await Promise.all(pending);
    const cancelled = harness.sides[0].received.flatMap(message =>
      message.type === MessageType.Cancel ? [message.attemptId] : [],
    );
    const opened = harness.sides[0].listOpens().map(open => open.attemptId);
    expect(cancelled).toEqual(opened.reverse());
  });
});
