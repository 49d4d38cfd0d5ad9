/** One attempt of a request at one upstream: the exchange and its response. */
import type {OpenRequest, UpstreamEntry} from '@siskinplank/dispatch';
import type {Clock} from '@siskinplank/foundation';
import {
  ExchangeFailureCode,
  HeadVerdict,
  createEventSplitter,
} from '@siskinplank/http-exchange';
import type {
  ConnectionPool,
  EventSplitter,
  Exchange,
  ExchangeFailure,
  ExchangeRequest,
  ResponseHead,
} from '@siskinplank/http-exchange';
import {createByteAccumulator} from '@siskinplank/receive-buffers';
import type {ByteAccumulator} from '@siskinplank/receive-buffers';
import {ResponseClass, formatIncarnation} from '@siskinplank/serving';

/** Options of `startAttempt`. */
export interface AttemptOptions {
  entry: UpstreamEntry;
  /** Open-request record at the upstream. */
  open: OpenRequest;
  request: ExchangeRequest;
  /** Model for which pauses between events are recorded. */
  model: string | undefined;
  /** Whether a successful response is an event stream. */
  isStream: boolean;
  pool: ConnectionPool;
  clock: Clock;
  resolveResponseClass(head: ResponseHead, isReused: boolean): ResponseClass;
  observer: AttemptObserver;
}

/** Receives the response of an attempt; nothing after its end or `cancel`. */
export interface AttemptObserver {
  /** Called with complete events of a stream, or with a chunk of a long body. */
  onChunk(head: ResponseHead, chunk: Buffer, lastEventId?: string): void;
  /** The response is complete; `body` is what `onChunk` has not delivered. */
  onAnswer(head: ResponseHead, body: Buffer): void;
  /** The upstream states that the request has not run. */
  onRejection(responseClass: ResponseClass): void;
  onFailure(failure: ExchangeFailure): void;
  /** The request was written to the upstream's connection. */
  onSent(): void;
  /** The head of a response to this request has arrived. */
  onHead(head: ResponseHead, responseClass: ResponseClass): void;
  /** The upstream has begun to answer and still runs. */
  onAnswering(): void;
}

/** A running attempt. */
export interface Attempt {
  readonly entry: UpstreamEntry;
  getHead(): ResponseHead | undefined;
  wasSent(): boolean;
  /** Whether events were received. */
  hasEvents(): boolean;
  /** Whether the upstream has begun to answer and still ran after that. */
  isAnswering(): boolean;
  /** Milliseconds since the last bytes, or since the request was sent. */
  getIdleMs(nowMs: number): number;
  /** Whether the caller has not read what was passed on. */
  isPaused(): boolean;
  /** Cancels the exchange, so that the upstream stops. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/**
 * Bodies up to this size are buffered completely, so that a request can be
 * retried when its response breaks off.
 */
const MAX_BUFFERED_BYTES = 262_144;
/** An upstream that ends as it begins to answer ends within this time. */
const ANSWERING_MS = 100;
/** A longer event counts as one that never ends. */
const MAX_EVENT_BYTES = 1_048_576;
/** The rest of a longer rejection is not read. */
const MAX_REJECTION_BYTES = 65_536;

/** Returns the log fields of an attempt. */
export function describeAttempt(
  attempt: Attempt,
  nowMs: number,
): Record<string, string | number | boolean | undefined> {
  return {
    upstream: attempt.entry.upstream.id,
    softwareVersion: attempt.entry.upstream.softwareVersion,
    status: attempt.getHead()?.status,
    wasSent: attempt.wasSent(),
    hadEvents: attempt.hasEvents(),
    open: attempt.entry.open.requests,
    idleMs: Math.round(attempt.getIdleMs(nowMs)),
    waitsForCaller: attempt.isPaused(),
  };
}

/** Sends the request. */
export function startAttempt(options: AttemptOptions): Attempt {
  const {entry, open, pool, clock, observer} = options;
  const {progress, upstream} = entry;
  let responseClass: ResponseClass | undefined;
  let head: ResponseHead | undefined;
  let splitter: EventSplitter | undefined;
  /** What was received and not passed on yet. */
  let received: ByteAccumulator | undefined;
  let rejectionBytes = 0;
  let isStreamed = false;
  let hasEvents = false;
  let firstEventAtMs = 0;
  let isAnswering = false;
  let wasSent = false;
  let hasEnded = false;
  let isPaused = false;
  let lastBytesAtMs = clock.getNowMs();

  const end = (): boolean => {
    if (hasEnded) return false;
    hasEnded = true;
    received?.clear();
    open.end();
    if (hasEvents && !isPaused) progress.removeStream();
    return true;
  };

  /** Returns the time since the previous bytes. */
  const recordBytes = (): number => {
    const nowMs = clock.getNowMs();
    progress.recordBytesReceived(nowMs);
    const pauseMs = nowMs - lastBytesAtMs;
    lastBytesAtMs = nowMs;
    return pauseMs;
  };

  const markAnswering = (): void => {
    if (isAnswering) return;
    isAnswering = true;
    observer.onAnswering();
  };

  const fail = (reason: string): void => {
    if (!end()) return;
    exchange.cancel();
    const code = ExchangeFailureCode.Malformed;
    observer.onFailure({code, reason, wasReused: false});
  };

  const openAccumulator = (maxBytes: number): ByteAccumulator =>
    createByteAccumulator({
      maxBytes,
      reservation: pool.receiveBudget.open(formatIncarnation(upstream), () =>
        fail('response gave way to other messages'),
      ),
    });

  const recordEvents = (pauseMs: number): void => {
    if (hasEvents) {
      if (lastBytesAtMs - firstEventAtMs >= ANSWERING_MS) markAnswering();
      progress.recordPause(options.model ?? '', pauseMs, lastBytesAtMs);
      return;
    }
    hasEvents = true;
    firstEventAtMs = lastBytesAtMs;
    progress.addStream(lastBytesAtMs);
    open.markPromptProcessed();
  };

  const onHead = (next: ResponseHead, isReused: boolean): HeadVerdict => {
    recordBytes();
    const resolved = options.resolveResponseClass(next, isReused);
    if (resolved === ResponseClass.Stray) return HeadVerdict.Skip;
    responseClass = resolved;
    head = next;
    observer.onHead(next, resolved);
    if (resolved === ResponseClass.Unusable) return HeadVerdict.Reject;
    const isSuccess = next.status >= 200 && next.status < 300;
    if (resolved !== ResponseClass.Answer) return HeadVerdict.Accept;
    const isEventStream = options.isStream && isSuccess;
    received = openAccumulator(
      isEventStream ? MAX_EVENT_BYTES : MAX_BUFFERED_BYTES,
    );
    if (isEventStream) splitter = createEventSplitter(received);
    return HeadVerdict.Accept;
  };

  const pushEvents = (
    answer: ResponseHead,
    events: EventSplitter,
    chunk: Buffer,
    pauseMs: number,
  ): void => {
    events.push(chunk).caseOf({
      Left: fault => fail(`event: ${fault}`),
      Right: batch => {
        if (batch === undefined) return;
        recordEvents(pauseMs);
        isStreamed = true;
        observer.onChunk(answer, batch.bytes, batch.lastEventId);
      },
    });
  };

  const readRejection = (count: number): void => {
    rejectionBytes += count;
    if (rejectionBytes <= MAX_REJECTION_BYTES || !end()) return;
    exchange.cancel();
    observer.onRejection(responseClass ?? ResponseClass.Unusable);
  };

  const onData = (chunk: Buffer): void => {
    if (hasEnded || head === undefined) return;
    const pauseMs = recordBytes();
    if (responseClass !== ResponseClass.Answer) {
      readRejection(chunk.length);
      return;
    }
    if (splitter !== undefined) {
      pushEvents(head, splitter, chunk, pauseMs);
      return;
    }
    if (received === undefined) return;
    const isTooLong = received.getLength() + chunk.length > MAX_BUFFERED_BYTES;
    if (!isStreamed && !isTooLong) {
      received.append(chunk).ifLeft(fault => fail(`body: ${fault}`));
      return;
    }
    isStreamed = true;
    const isFirst = received.getLength() > 0;
    const bytes = isFirst ? Buffer.concat([received.take(), chunk]) : chunk;
    observer.onChunk(head, bytes);
  };

  const onEnd = (): void => {
    const answer = head;
    const rest = received?.take();
    if (answer === undefined || !end()) return;
    if (responseClass !== ResponseClass.Answer || rest === undefined) {
      observer.onRejection(responseClass ?? ResponseClass.Unusable);
      return;
    }
    if (splitter !== undefined && rest.length > 0) {
      observer.onFailure({
        code: ExchangeFailureCode.BrokenOff,
        reason: 'stream ended inside an event',
        wasReused: false,
      });
      return;
    }
    if (answer.status < 300) markAnswering();
    observer.onAnswer(answer, rest);
  };

  const exchange: Exchange = pool.send(
    {
      key: formatIncarnation(upstream),
      host: upstream.address.host,
      port: upstream.address.port,
    },
    options.request,
    {
      onSend: () => {
        wasSent = true;
        lastBytesAtMs = clock.getNowMs();
        progress.recordRequestSent(lastBytesAtMs);
        observer.onSent();
      },
      onHead,
      onData,
      onEnd,
      onFailure: failure => {
        if (end()) observer.onFailure(failure);
      },
    },
  );

  return {
    entry,
    getHead: () => head,
    wasSent: () => wasSent,
    hasEvents: () => hasEvents,
    isAnswering: () => isAnswering,
    getIdleMs: nowMs => nowMs - lastBytesAtMs,
    isPaused: () => isPaused,
    cancel: () => {
      if (!end()) return;
      exchange.cancel();
    },
    pause: () => {
      exchange.pause();
      if (isPaused || hasEnded) return;
      isPaused = true;
      // Its silence is that of the caller.
      if (hasEvents) progress.removeStream();
    },
    resume: () => {
      exchange.resume();
      if (!isPaused || hasEnded) return;
      isPaused = false;
      if (hasEvents) progress.addStream(clock.getNowMs());
    },
  };
}
