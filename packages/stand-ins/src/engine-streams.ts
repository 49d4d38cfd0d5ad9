/** Chunks of a generation, the same in the first and in a resumed stream. */
import type {ServerResponse} from 'node:http';
import {GenerationState} from './engine-batch';
import type {Generation} from './engine-batch';

/** Token counts as the OpenAI API reports them. */
export interface EngineUsage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: {cached_tokens: number};
}

/** Fixed, so that a resumed stream equals the first one byte for byte. */
const CREATED_SECONDS = 1_700_000_000;

/** Counts the tokens of a generation. */
export function summarizeUsage(generation: Generation): EngineUsage {
  return {
    prompt_tokens: generation.promptTokens,
    completion_tokens: generation.produced,
    total_tokens: generation.promptTokens + generation.produced,
    prompt_tokens_details: {cached_tokens: generation.cachedTokens},
  };
}

function getPublicName(generation: Generation): string {
  return generation.adapter === '' ? generation.model : generation.adapter;
}

/** Number of chunks of the finished stream, including `[DONE]`. */
export function countChunks(generation: Generation): number {
  const usageChunks = generation.includeUsage ? 1 : 0;
  return generation.completion.tokens.length + 1 + usageChunks + 1;
}

/** Number of chunks that can be sent now. */
export function countReadyChunks(generation: Generation): number {
  return generation.state === GenerationState.Finished
    ? countChunks(generation)
    : Math.min(generation.produced, generation.completion.tokens.length);
}

function buildChoice(generation: Generation, index: number): unknown {
  const {tokens, finishReason} = generation.completion;
  const isEnd = index >= tokens.length;
  const finish_reason = isEnd ? finishReason : null;
  const text = isEnd ? '' : tokens[index];
  if (!generation.isChat) return {index: 0, text, finish_reason};
  if (isEnd) return {index: 0, delta: {}, finish_reason};
  const delta =
    index === 0 ? {role: 'assistant', content: text} : {content: text};
  return {index: 0, delta, finish_reason};
}

/** Renders one server-sent event of a stream. */
export function renderChunk(generation: Generation, index: number): string {
  if (index === countChunks(generation) - 1) {
    return `id: ${index}\ndata: [DONE]\n\n`;
  }
  const isUsage = index > generation.completion.tokens.length;
  const data: Record<string, unknown> = {
    id: generation.id,
    object: generation.isChat ? 'chat.completion.chunk' : 'text_completion',
    created: CREATED_SECONDS,
    model: getPublicName(generation),
    choices: isUsage ? [] : [buildChoice(generation, index)],
  };
  if (generation.includeUsage) {
    data.usage = isUsage ? summarizeUsage(generation) : null;
  }
  return `id: ${index}\ndata: ${JSON.stringify(data)}\n\n`;
}

/** Renders the response body of a request that is not streamed. */
export function renderResponse(generation: Generation): unknown {
  const text = generation.completion.tokens.join('');
  const finish_reason = generation.completion.finishReason;
  const choice = generation.isChat
    ? {index: 0, message: {role: 'assistant', content: text}, finish_reason}
    : {index: 0, text, finish_reason};
  return {
    id: generation.id,
    object: generation.isChat ? 'chat.completion' : 'text_completion',
    created: CREATED_SECONDS,
    model: getPublicName(generation),
    choices: [choice],
    usage: summarizeUsage(generation),
  };
}

/** Options of `streamGeneration`. */
export interface StreamOptions {
  generation: Generation;
  response: ServerResponse;
  offset: number;
  /** Resets the connection after that many chunks. */
  cutAfterChunks?: number;
  onClose: () => void;
}

/** Sends chunks as they become ready, with backpressure from the reader. */
export function streamGeneration(options: StreamOptions): void {
  const {generation, response, cutAfterChunks} = options;
  let next = options.offset;
  let sent = 0;
  let isBlocked = false;
  let isClosed = false;
  const closeStream = (): void => {
    if (isClosed) return;
    isClosed = true;
    generation.listeners.delete(pushChunks);
    options.onClose();
  };
  const pushChunks = (): void => {
    if (isClosed || isBlocked) return;
    const ready = countReadyChunks(generation);
    let text = '';
    while (next < ready && sent !== cutAfterChunks) {
      text += renderChunk(generation, next);
      next += 1;
      sent += 1;
    }
    if (text !== '') isBlocked = !response.write(text);
    if (sent === cutAfterChunks) {
      // Closes after the flush, so that the reader receives these chunks.
      response.write('', () => response.socket?.destroy());
      closeStream();
      return;
    }
    const isWhole = next >= countChunks(generation);
    if (isWhole) response.end();
    else if (generation.state === GenerationState.Cancelled) {
      response.destroy();
    }
  };
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-request-id': generation.id,
  });
  response.flushHeaders();
  response.on('drain', () => {
    isBlocked = false;
    pushChunks();
  });
  response.on('close', closeStream);
  generation.listeners.add(pushChunks);
  pushChunks();
}
