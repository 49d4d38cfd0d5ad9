/** Requests from a caller's connection to a side process and back. */
import {afterEach, describe, expect, it} from 'vitest';
import {MessageType} from '@siskinplank/messages';
import {makeReplyScript, startHarness} from './testing/harness';
import type {Harness} from './testing/harness';

describe('createEntryProcess', () => {
  let harness: Harness | undefined;
  afterEach(async () => {
    await harness?.entry.stop();
    harness = undefined;
  });

  // Guards against a changed or truncated response and wrong headers.
  it('passes a chat completion through unchanged', async () => {
    const answer = '{"choices": [ {"text":"lengthwise"}]}';
    harness = await startHarness(
      makeReplyScript(['{"choices": [', answer.slice(13)]),
    );
    const response = await harness.sendChat();
    expect(response.status).toBe(200);
    expect(await response.text()).toBe(answer);
    expect(response.headers.get('x-siskinplank-hops')).toBe(
      'entry-1>side-0>engine-0',
    );
    expect(response.headers.get('x-siskinplank-run-state')).toBe('ran');
    expect(harness.limiter.settled).toEqual([7]);
  });

  // Guards against streams that are changed or lose the end marker.
  it('streams server-sent events byte for byte', async () => {
    const parts = ['id: 0\ndata: {"a":1}\n\n', 'data: [DO', 'NE]\n\n'];
    harness = await startHarness(makeReplyScript(parts, 'text/event-stream'));
    const response = await harness.sendChat({stream: true});
    expect(await response.text()).toBe(parts.join(''));
  });

  // Guards against the caller's key reaching a side process in any field.
  it('serves a route and removes the key', async () => {
    harness = await startHarness(makeReplyScript(['{"ordered":true}']));
    const response = await fetch(`${harness.baseUrl}/orders/17?rush=1`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${harness.key}`,
        'x-copy-of-key': `Bearer ${harness.key}`,
        'content-type': 'application/json',
      },
      body: '{"brass":2}',
    });
    expect(await response.text()).toBe('{"ordered":true}');
    const [open] = harness.sides[0].listOpens();
    expect(open.type).toBe(MessageType.RequestOpen);
    expect(open.path).toBe('/orders/17?rush=1');
    expect(JSON.stringify(open)).not.toContain(harness.key);
    expect(open.headers).not.toHaveProperty('authorization');
    expect(harness.logLines.join('')).not.toContain(harness.key);
  });
});
