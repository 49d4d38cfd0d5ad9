/** Responses of scripted upstreams. */
import {
  computeEvent,
  renderResponseHead,
} from '@siskinplank/platform-stand-ins';
import type {ScriptedRequest} from '@siskinplank/platform-stand-ins';

/** Renders the head of a response to the request. */
export function renderHead(
  {attemptId}: ScriptedRequest,
  status: number,
  more: readonly string[] = [],
): string {
  return renderResponseHead(attemptId, status, more);
}

/** Renders a whole response that is no stream. */
export function renderAnswer(request: ScriptedRequest): string {
  return `${renderHead(request, 200, ['Content-Length: 4'])}done`;
}

/** Renders the events of a stream from one id to another. */
export function renderEvents(
  {attemptId}: ScriptedRequest,
  from: number,
  to: number,
): string {
  let text = '';
  for (let id = from; id <= to; id += 1) text += computeEvent(attemptId, id);
  return text;
}

/** Renders text in the chunked coding. */
export function renderChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Removes the chunked coding; a missing last chunk is left out. */
export function decodeChunks(text: string): string {
  let decoded = '';
  let rest = text;
  for (;;) {
    const end = rest.indexOf('\r\n');
    const size = parseInt(rest.slice(0, end), 16);
    if (end < 0 || !(size > 0)) return decoded;
    decoded += rest.slice(end + 2, end + 2 + size);
    rest = rest.slice(end + 4 + size);
  }
}
