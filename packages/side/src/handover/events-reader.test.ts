import {createReceiveBudget} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {describe, expect, it} from 'vitest';
import {MAX_PARSED_BYTES} from '../constants';
import {createEventsReader} from './events-reader';
import type {EventsReader} from './events-reader';

/**
 * Bound of the work for 1 MB, in processor time; a turn of the event loop takes a
 * part of it.
 */
const MAX_WORK_MS = 400;
const USAGE = '{"prompt_tokens":3,"completion_tokens":5}';

function openReader(
  budget: ReceiveBudget = createReceiveBudget({maxBytes: 33_554_432}),
): EventsReader {
  return createEventsReader(budget.open('upstream', () => undefined));
}

function pushText(reader: EventsReader, text: string): string | undefined {
  return reader
    .push(Buffer.from(text))
    .map(bytes => Buffer.from(bytes).toString())
    .toMaybe()
    .extract();
}

describe('events reader', () => {
  // Guards against an event without end that holds up the loop: the work for
  // each chunk must not grow with the bytes that were received before.
  it.each([
    ['of an event', 'x'.repeat(64)],
    ['of empty events', 'a\n\n'.repeat(21)],
  ])('does work in proportion to the bytes %s', (_name, text) => {
    const reader = openReader();
    const chunk = Buffer.from(text);
    const before = process.cpuUsage();
    for (let bytes = 0; bytes < 1_000_000; bytes += chunk.length) {
      reader.push(chunk);
    }
    const {user, system} = process.cpuUsage(before);
    expect((user + system) / 1_000).toBeLessThan(MAX_WORK_MS);
  });

  // Guards against usage in deeply nested JSON, which costs the parser 100 times
  // its bytes.
  it('does not parse deeply nested usage', () => {
    const reader = openReader();
    const nested = '['.repeat(500) + ']'.repeat(500);
    pushText(reader, `data: {"usage":${USAGE},"a":${nested}}\n\n`);
    expect(reader.getUsage()).toBeUndefined();
    pushText(reader, `data: {"usage":${USAGE}}\n\n`);
    expect(reader.getUsage()).toEqual({promptTokens: 3, completionTokens: 5});
  });

  // Guards against many streams that each stay below their own limit.
  it('fails a stream when its process needs the memory', () => {
    const budget = createReceiveBudget({maxBytes: 1_000});
    const reader = openReader(budget);
    expect(pushText(reader, 'x'.repeat(900))).toBe('');
    expect(pushText(reader, 'x'.repeat(900))).toBeUndefined();
    expect(budget.getReadings().usedBytes).toBe(0);
  });

  // Guards against lost or repeated bytes at any split of the stream.
  it.each([1, 2, 3, 7, 100])('passes on whole events in parts of %i', size => {
    const reader = openReader();
    const text = `id: 0\r\ndata: a\r\n\r\nid: 1\ndata: {"usage":${USAGE}}\n\ndata: [DONE]\n\nrest`;
    let passedOn = '';
    for (let index = 0; index < text.length; index += size) {
      passedOn += pushText(reader, text.slice(index, index + size)) ?? '';
    }
    expect(passedOn).toBe(text.slice(0, -'rest'.length));
    expect(reader.getNextOffset()).toBe(2);
    expect(reader.isComplete()).toBe(true);
    expect(reader.getUsage()).toEqual({promptTokens: 3, completionTokens: 5});
  });

  // Guards against a resume that repeats a part of an event.
  it('drops an incomplete event on a reset', () => {
    const reader = openReader();
    pushText(reader, 'id: 0\ndata: a\n\nid: 1\nda');
    reader.reset();
    expect(pushText(reader, 'id: 1\ndata: b\n\n')).toBe('id: 1\ndata: b\n\n');
  });

  // Guards against a failure of legitimate events above the limit.
  it('passes on an event above the limit', () => {
    const reader = openReader();
    const event = `data: ${'x'.repeat(MAX_PARSED_BYTES + 100_000)}\n\n`;
    let passedOn = '';
    for (let index = 0; index < event.length; index += 50_000) {
      passedOn += pushText(reader, event.slice(index, index + 50_000)) ?? '';
    }
    passedOn += pushText(reader, 'data: [DONE]\n\n') ?? '';
    expect(passedOn).toBe(`${event}data: [DONE]\n\n`);
    expect(reader.isComplete()).toBe(true);
  });
});
