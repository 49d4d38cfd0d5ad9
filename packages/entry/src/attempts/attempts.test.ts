/** Incomplete responses, lost links, refusals, retries and slow callers. */
import {afterEach, describe, expect, it, vi} from 'vitest';
import {AttemptState, MessageType} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {RefusalCode, RunState} from '@siskinplank/resources';
import {replyWithResponse, startHarness} from '../testing/harness';
import type {Harness} from '../testing/harness';
import type {SideScript} from '../testing/fake-network';
import {CREDIT_WINDOW_BYTES} from './attempt';

type Open = MessageOf<MessageType.RequestOpen>;
type Reply = (message: Message) => void;

function replyHead(open: Open, reply: Reply, contentType: string): void {
  reply({
    type: MessageType.ResponseHead,
    attemptId: open.attemptId,
    sideIncarnation: 'any',
    status: 200,
    headers: {'content-type': contentType},
  });
}

function replyChunk(
  attemptId: string,
  reply: Reply,
  sequence: number,
  text: string,
): void {
  const data = new TextEncoder().encode(text);
  reply({type: MessageType.ResponseChunk, attemptId, sequence, data});
}

function replyEnd(
  attemptId: string,
  reply: Reply,
  chunkCount: number,
  byteCount: number,
): void {
  reply({type: MessageType.ResponseEnd, attemptId, chunkCount, byteCount});
}

/** Makes a script that reacts to new requests only. */
function makeOpenScript(
  handle: (open: Open, reply: Reply) => void,
): SideScript {
  return (message, reply) => {
    if (message.type === MessageType.RequestOpen) handle(message, reply);
  };
}

function makeRefuseScript(runState: RunState, redirect?: string): SideScript {
  return makeOpenScript((open, reply) =>
    reply({
      type: MessageType.Refused,
      attemptId: open.attemptId,
      code: RefusalCode.Overloaded,
      runState,
      message: 'the queue is full',
      redirect,
    }),
  );
}

const WITHOUT_RETRIES = {settings: {retries: {maxAttempts: 1}}};

describe('attempts', () => {
  let harness: Harness;
  afterEach(() => harness.entry.stop());

  const sendOrder = (headers: Record<string, string> = {}) =>
    fetch(`${harness.baseUrl}/orders/17`, {
      method: 'POST',
      headers: {authorization: `Bearer ${harness.key}`, ...headers},
      body: 'two plates',
    });

  // Guards against a stream that lacks a chunk and ends without an error.
  it('ends a stream with an error event when a chunk is missing', async () => {
    harness = await startHarness(
      makeOpenScript((open, reply) => {
        replyHead(open, reply, 'text/event-stream');
        replyChunk(open.attemptId, reply, 0, 'data: 1\n\n');
        replyChunk(open.attemptId, reply, 2, 'data: 3\n\n');
        replyEnd(open.attemptId, reply, 3, 27);
      }),
    );
    const response = await harness.sendChat({stream: true});
    const reader = response.body!.getReader();
    let text = '';
    await expect(async () => {
      for (;;) {
        const {done, value} = await reader.read();
        if (done) return;
        text += new TextDecoder().decode(value);
      }
    }).rejects.toThrow();
    expect(text).toContain('data: 1\n\n');
    expect(text).toContain('data: {"error":{');
    expect(text).not.toContain('data: 3');
    expect(text).not.toContain('[DONE]');
    expect(harness.limiter.settled).toEqual(harness.limiter.reserved);
  });

  // Guards against delivering a body with missing bytes as complete.
  it('refuses a body whose byte count differs', async () => {
    harness = await startHarness(
      makeOpenScript((open, reply) => {
        replyHead(open, reply, 'application/json');
        replyChunk(open.attemptId, reply, 0, '{"half":');
        replyEnd(open.attemptId, reply, 1, 16);
      }),
      WITHOUT_RETRIES,
    );
    const response = await harness.sendChat();
    expect(response.status).toBe(502);
    expect(await response.json()).toMatchObject({
      error: {code: RefusalCode.UpstreamFailed},
      run_state: RunState.Ran,
    });
  });

  // Guards against lost or repeated bytes when the link is lost in a stream.
  it('resumes at the next chunk after a lost link', async () => {
    harness = await startHarness((message, reply, side) => {
      if (message.type === MessageType.RequestOpen) {
        replyHead(message, reply, 'text/event-stream');
        replyChunk(message.attemptId, reply, 0, 'data: 1\n\n');
        setTimeout(() => side.dropLink(), 20);
      }
      if (message.type === MessageType.Resume) {
        replyChunk(message.attemptId, reply, message.nextSequence, 'data: 2');
        replyEnd(message.attemptId, reply, 2, 16);
      }
    });
    const response = await harness.sendChat({stream: true});
    expect(await response.text()).toBe('data: 1\n\ndata: 2');
  });

  // Guards against a long stream that fails after MAX_RECOVERIES lost links,
  // although data arrived after each reconnect.
  it('survives any number of lost links while data arrives', async () => {
    const count = 12;
    harness = await startHarness((message, reply, side) => {
      const sequence =
        message.type === MessageType.Resume ? message.nextSequence : 0;
      if (message.type === MessageType.RequestOpen) {
        replyHead(message, reply, 'text/event-stream');
      } else if (message.type !== MessageType.Resume) {
        return;
      }
      const {attemptId} = message;
      replyChunk(attemptId, reply, sequence, 'data: 1\n\n');
      if (sequence < count - 1) setTimeout(() => side.dropLink(), 10);
      else replyEnd(attemptId, reply, count, count * 9);
    });
    const response = await harness.sendChat({stream: true});
    expect(await response.text()).toBe('data: 1\n\n'.repeat(count));
  });

  // Guards against a resume at a restarted process, which has lost the attempt.
  it('reports an unknown run state after a restart', async () => {
    harness = await startHarness((message, _reply, side) => {
      if (message.type !== MessageType.RequestOpen) return;
      side.incarnation = 'side-0-2';
      side.dropLink();
    });
    const response = await sendOrder();
    expect(response.status).toBe(502);
    expect(response.headers.get('x-siskinplank-run-state')).toBe('unknown');
    expect(harness.sides[0].listOpens()).toHaveLength(1);
  });

  // Guards against a second run of a request that the side process received,
  // and against failing a request that never arrived.
  it('retries a non-idempotent request only if it never arrived', async () => {
    for (const state of [AttemptState.NeverSeen, AttemptState.Finished]) {
      let opens = 0;
      harness = await startHarness((message, reply, side) => {
        if (message.type === MessageType.RequestOpen) {
          opens += 1;
          if (opens === 1) side.dropLink();
          else replyWithResponse(message, reply, ['ordered']);
        }
        if (message.type === MessageType.AttemptQuery) {
          const {attemptId} = message;
          const sideIncarnation = side.incarnation;
          const type = MessageType.AttemptStatus;
          reply({type, attemptId, sideIncarnation, state});
        }
        if (message.type === MessageType.Resume) {
          const open = side.listOpens()[0];
          replyWithResponse(open, reply, ['kept']);
        }
      });
      const text = await (await sendOrder()).text();
      const isRetried = state === AttemptState.NeverSeen;
      expect(text).toBe(isRetried ? 'ordered' : 'kept');
      expect(opens).toBe(isRetried ? 2 : 1);
      if (isRetried) await harness.entry.stop();
    }
  });

  // Guards against a second run of a request that may have run.
  it('does not retry a non-idempotent request with unknown run state', async () => {
    harness = await startHarness(makeRefuseScript(RunState.Unknown), {
      sideCount: 2,
    });
    const response = await sendOrder();
    expect(response.headers.get('x-siskinplank-run-state')).toBe('unknown');
    const opens = harness.sides.flatMap(side => side.listOpens());
    expect(opens).toHaveLength(1);
  });

  // Guards against refusing a request that another upstream could serve.
  it('retries at another upstream and follows a redirect', async () => {
    harness = await startHarness(makeRefuseScript(RunState.NotRun), {
      sideCount: 3,
    });
    harness.sides.forEach((side, index) => {
      side.script = makeRefuseScript(RunState.NotRun, 'service-2');
      if (index === 2) {
        side.script = makeOpenScript((open, reply) =>
          replyWithResponse(open, reply, ['ordered']),
        );
      }
    });
    const response = await sendOrder();
    expect(await response.text()).toBe('ordered');
    expect(response.headers.get('x-siskinplank-hops')).toContain('service-2');
    const opens = harness.sides.flatMap(side => side.listOpens());
    expect(opens.length).toBeLessThanOrEqual(2);
  });

  // Guards against endless attempts when every upstream refuses.
  it('refuses with not-run when all attempts were refused', async () => {
    harness = await startHarness(makeRefuseScript(RunState.NotRun), {
      sideCount: 6,
    });
    const response = await harness.sendChat();
    expect(response.status).toBe(503);
    expect(response.headers.get('retry-after')).toBe('1');
    expect(response.headers.get('x-siskinplank-run-state')).toBe('not-run');
    const opens = harness.sides.flatMap(side => side.listOpens());
    expect(opens).toHaveLength(3);
    expect(harness.limiter.settled).toEqual([0]);
  });

  // Guards against generations that continue after the caller disconnected.
  it('cancels the attempt when the caller disconnects', async () => {
    harness = await startHarness(
      makeOpenScript((open, reply) => {
        replyHead(open, reply, 'text/event-stream');
        replyChunk(open.attemptId, reply, 0, 'data: 1\n\n');
      }),
    );
    const response = await harness.sendChat({stream: true});
    await response.body!.getReader().cancel();
    await vi.waitFor(() =>
      expect(harness.sides[0].received.at(-1)?.type).toBe(MessageType.Cancel),
    );
  });

  // Guards against unbounded buffers for a caller that does not read.
  it('returns no credit while the caller does not read', async () => {
    const chunk = 'x'.repeat(16_384);
    const total = 4_096;
    let credit = CREDIT_WINDOW_BYTES;
    let sequence = 0;
    const sendWithinCredit = (attemptId: string, reply: Reply): void => {
      for (; credit > 0 && sequence < total; sequence += 1) {
        credit -= chunk.length;
        replyChunk(attemptId, reply, sequence, chunk);
      }
      if (sequence < total) return;
      replyEnd(attemptId, reply, total, total * chunk.length);
    };
    harness = await startHarness((message, reply) => {
      if (message.type === MessageType.RequestOpen) {
        replyHead(message, reply, 'text/event-stream');
        sendWithinCredit(message.attemptId, reply);
      }
      if (message.type === MessageType.Credit) {
        credit += message.bytes;
        sendWithinCredit(message.attemptId, reply);
      }
    });
    const response = await harness.sendChat({stream: true});
    let last = -1;
    await vi.waitFor(
      () => {
        const isUnchanged = sequence === last;
        last = sequence;
        expect(isUnchanged).toBe(true);
      },
      {timeout: 10_000, interval: 200},
    );
    expect(sequence).toBeGreaterThan(0);
    expect(sequence).toBeLessThan(total);
    const body = await response.arrayBuffer();
    expect(body.byteLength).toBe(total * chunk.length);
  });
});
