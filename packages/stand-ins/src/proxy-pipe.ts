/** One direction of a proxied connection with a delay and a stall. */
import type {Socket} from 'node:net';
import {getMonotonicMs} from './control';

/** Options of `createProxyPipe`. */
export interface ProxyPipeOptions {
  source: Socket;
  sink: Socket;
  getDelayMs: () => number;
  /** Bytes are buffered while the direction is stalled. */
  isStalled: () => boolean;
  /** Returns false when the chunk must not be forwarded. */
  admitChunk: (chunk: Buffer) => boolean;
}

/** A direction that forwards bytes in order. */
export interface ProxyPipe {
  /** Sends the chunks that are due, for instance after a stall ended. */
  flushChunks(): void;
  stop(): void;
}

/** Buffered bytes at which the source is paused. */
const MAX_QUEUED_BYTES = 1_048_576;

/** Starts forwarding from `source` to `sink`. */
export function createProxyPipe(options: ProxyPipeOptions): ProxyPipe {
  const {source, sink} = options;
  const queue: Array<{dueMs: number; chunk: Buffer | undefined}> = [];
  let queuedBytes = 0;
  let timer: NodeJS.Timeout | undefined;
  let isSinkFull = false;
  const flushChunks = (): void => {
    clearTimeout(timer);
    while (queue.length > 0 && !isSinkFull && !options.isStalled()) {
      const waitLeftMs = queue[0].dueMs - getMonotonicMs();
      if (waitLeftMs > 0) {
        timer = setTimeout(flushChunks, Math.ceil(waitLeftMs));
        break;
      }
      const {chunk} = queue[0];
      queue.shift();
      if (chunk === undefined) {
        sink.end();
        return;
      }
      queuedBytes -= chunk.length;
      isSinkFull = !sink.write(chunk);
    }
    if (queuedBytes < MAX_QUEUED_BYTES && source.isPaused()) source.resume();
  };
  const enqueueChunk = (chunk: Buffer | undefined): void => {
    queue.push({dueMs: getMonotonicMs() + options.getDelayMs(), chunk});
    queuedBytes += chunk?.length ?? 0;
    if (queuedBytes >= MAX_QUEUED_BYTES) source.pause();
    flushChunks();
  };
  source.on('data', (chunk: Buffer) => {
    if (options.admitChunk(chunk)) enqueueChunk(chunk);
  });
  source.on('end', () => enqueueChunk(undefined));
  sink.on('drain', () => {
    isSinkFull = false;
    flushChunks();
  });
  return {flushChunks, stop: () => clearTimeout(timer)};
}
