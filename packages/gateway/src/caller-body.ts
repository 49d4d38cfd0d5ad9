/** Receives the bodies of callers' requests within bounds. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@siskinplank/foundation';
import {BufferFault, createByteAccumulator} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';

/** Options of `receiveBody`. */
export interface ReceiveBodyOptions {
  incoming: IncomingMessage;
  maxBytes: number;
  receiveBudget: ReceiveBudget;
  /** Whose bytes they are, as the budget counts them. */
  source: string;
  /** The body is complete; undefined if the request has none. */
  onBody(body: Buffer | undefined): void;
  /** The body is not kept; its rest has still to be read. */
  onFault(fault: BufferFault): void;
}

/**
 * What is read of the rest of a refused request, so that a caller that sends
 * its whole body before it reads still reads the refusal.
 */
const MAX_SKIPPED_BYTES = 16_777_216;
const MAX_SKIP_MS = 5_000;

/** Collects a body. Returns a function that drops it. */
export function receiveBody(options: ReceiveBodyOptions): () => void {
  const {incoming, maxBytes} = options;
  let hasEnded = false;
  const end = (): void => {
    hasEnded = true;
    accumulator.clear();
  };
  const fail = (fault: BufferFault): void => {
    if (hasEnded) return;
    end();
    options.onFault(fault);
  };
  const accumulator = createByteAccumulator({
    maxBytes,
    reservation: options.receiveBudget.open(options.source, () =>
      fail(BufferFault.Evicted),
    ),
  });
  const length = incoming.headers['content-length'];
  if (Number(length ?? 0) > maxBytes) {
    fail(BufferFault.TooLong);
    return end;
  }
  incoming.on('data', (chunk: Buffer) => {
    if (!hasEnded) accumulator.append(chunk).ifLeft(fail);
  });
  incoming.on('end', () => {
    if (hasEnded) return;
    const hasBody = accumulator.getLength() > 0 || length !== undefined;
    const body = accumulator.take();
    end();
    options.onBody(hasBody ? body : undefined);
  });
  return end;
}

/**
 * Reads the rest of a refused request. If it is long, its connection is closed
 * after the refusal, which earlier requests on the connection precede.
 */
export function skipBody(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  clock: Clock,
): void {
  if (!incoming.complete) {
    const {socket} = incoming;
    let bytes = 0;
    let isClosing = false;
    const close = (): void => {
      if (isClosing) return;
      isClosing = true;
      if (outgoing.writableFinished) socket.destroy();
      else outgoing.once('finish', () => socket.destroySoon());
    };
    const timer = clock.startTimer(MAX_SKIP_MS, close);
    incoming.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_SKIPPED_BYTES) close();
    });
    incoming.once('end', () => timer.cancel());
    incoming.once('close', () => timer.cancel());
  }
  incoming.resume();
}
