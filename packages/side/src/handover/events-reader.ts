/**
 * Splits a server-sent event stream of an engine into complete events and reads
 * its usage. An interrupted stream can thus be resumed at the next event.
 */
import type {Usage} from '@siskinplank/messages';
import {MAX_PARSED_BYTES} from '../constants';

const LINE_FEED = 10;
const DONE_DATA = '[DONE]';

/** Reader of one event stream; its position outlives a lost connection. */
export interface EventsReader {
  /** Adds bytes; returns the bytes of all events that are now complete. */
  push(data: Uint8Array): Uint8Array;
  /** Drops an incomplete event before the stream is resumed. */
  reset(): void;
  /** Number of the first event that is not complete yet. */
  getNextOffset(): number;
  /** Whether the final event was seen. */
  isComplete(): boolean;
  getUsage(): Usage | undefined;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Reads the OpenAI `usage` member of a JSON text. */
export function parseUsage(text: string): Usage | undefined {
  try {
    const {usage} = JSON.parse(text) as {
      usage?: {prompt_tokens?: unknown; completion_tokens?: unknown};
    };
    const promptTokens = usage?.prompt_tokens;
    const completionTokens = usage?.completion_tokens;
    return isCount(promptTokens) && isCount(completionTokens)
      ? {promptTokens, completionTokens}
      : undefined;
  } catch {
    return undefined;
  }
}

function findLastEventEnd(bytes: Uint8Array): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    const hasCarriageReturn = bytes[index - 1] === 13;
    if (hasCarriageReturn && bytes[index - 2] === LINE_FEED) return index + 1;
  }
  return 0;
}

/** Creates a reader at the start of a stream. */
export function createEventsReader(): EventsReader {
  let rest: Uint8Array = new Uint8Array(0);
  let nextOffset = 0;
  let isComplete = false;
  let usage: Usage | undefined;

  const readEvent = (text: string): void => {
    for (const line of text.split(/\r?\n/)) {
      if (line.startsWith('id:')) {
        const id = Number(line.slice(3).trim());
        if (isCount(id)) nextOffset = Math.max(nextOffset, id + 1);
      }
      if (!line.startsWith('data:')) continue;
      const data = line.slice(5).trim();
      if (data === DONE_DATA) isComplete = true;
      else if (data.includes('"usage"')) usage = parseUsage(data) ?? usage;
    }
  };

  return {
    push: data => {
      const joined = Buffer.concat([rest, data]);
      const end = findLastEventEnd(joined);
      const whole = joined.subarray(0, end);
      rest = joined.subarray(end);
      if (end > 0) readEvent(whole.toString('utf8'));
      // An event above the limit is passed on unparsed instead of buffered.
      if (rest.byteLength <= MAX_PARSED_BYTES) return whole;
      rest = new Uint8Array(0);
      return joined;
    },
    reset: () => {
      rest = new Uint8Array(0);
    },
    getNextOffset: () => nextOffset,
    isComplete: () => isComplete,
    getUsage: () => usage,
  };
}
