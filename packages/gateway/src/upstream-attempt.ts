/** One attempt of a request at one upstream: the exchange and what its bytes mean. */
import type {OpenRequest, UpstreamEntry} from '@siskinplank/dispatch';
import type {Clock} from '@siskinplank/foundation';
import {HeadVerdict, createEventSplitter} from '@siskinplank/http-exchange';
import type {
  ConnectionPool,
  EventSplitter,
  Exchange,
  ExchangeFailure,
  ExchangeRequest,
  ResponseHead,
} from '@siskinplank/http-exchange';
import {ResponseClass} from '@siskinplank/serving';

/** What `startAttempt` needs. */
export interface AttemptOptions {
  entry: UpstreamEntry;
  /** The request as open at the upstream. */
  open: OpenRequest;
  request: ExchangeRequest;
  /** Model, for the pauses between events. */
  model: string | undefined;
  /** Whether a success is a series of events. */
  isStream: boolean;
  pool: ConnectionPool;
  clock: Clock;
  resolveResponseClass(head: ResponseHead): ResponseClass;
  observer: AttemptObserver;
}

/** Receives what comes of an attempt; nothing after its end or its drop. */
export interface AttemptObserver {
  /** Whole events, or a part of a long body, of an answer in pieces. */
  onChunk(head: ResponseHead, piece: Buffer, lastEventId?: string): void;
  /** The answer is complete; `body` is what `onPiece` has not delivered. */
  onAnswer(head: ResponseHead, body: Buffer): void;
  /** The upstream states that the request has not run. */
  onRejection(meaning: ResponseClass): void;
  onFailure(failure: ExchangeFailure): void;
}

/** A running attempt. */
export interface Attempt {
  readonly entry: UpstreamEntry;
  getHead(): ResponseHead | undefined;
  wasSent(): boolean;
  /** Whether events have come. */
  hasEvents(): boolean;
  /** Time since its last bytes, or since it was sent, in milliseconds. */
  getIdleMs(nowMs: number): number;
  /** Closes the connection, so that the upstream stops. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Bodies up to this size are kept whole, so that a broken one can be repeated. */
const MAX_BUFFERED_BYTES = 262_144;

/** Sends the request. */
export function startAttempt(options: AttemptOptions): Attempt {
  const {entry, open, pool, clock, observer} = options;
  const {progress, upstream} = entry;
  let meaning: ResponseClass | undefined;
  let head: ResponseHead | undefined;
  let splitter: EventSplitter | undefined;
  let pieces: Buffer[] = [];
  let bufferedBytes = 0;
  let isInPieces = false;
  let isCounted = false;
  let wasSent = false;
  let isOver = false;
  let lastBytesAtMs = clock.getNowMs();

  const end = (): boolean => {
    if (isOver) return false;
    isOver = true;
    open.end();
    if (isCounted) progress.removeStream();
    return true;
  };

  /** Time since the bytes before. */
  const noteBytes = (): number => {
    const nowMs = clock.getNowMs();
    progress.recordBytesReceived(nowMs);
    const pauseMs = nowMs - lastBytesAtMs;
    lastBytesAtMs = nowMs;
    return pauseMs;
  };

  const noteEvents = (pauseMs: number): void => {
    if (isCounted) {
      progress.recordPause(options.model ?? '', pauseMs, lastBytesAtMs);
      return;
    }
    isCounted = true;
    progress.addStream(lastBytesAtMs);
    open.markPromptProcessed();
  };

  const onHead = (next: ResponseHead): HeadVerdict => {
    noteBytes();
    const resolved = options.resolveResponseClass(next);
    if (resolved === ResponseClass.Stray) return HeadVerdict.Skip;
    meaning = resolved;
    head = next;
    if (resolved === ResponseClass.Unusable) return HeadVerdict.Reject;
    const isSuccess = next.status >= 200 && next.status < 300;
    if (resolved === ResponseClass.Answer && options.isStream && isSuccess) {
      splitter = createEventSplitter();
    }
    return HeadVerdict.Accept;
  };

  const pushEvents = (
    answer: ResponseHead,
    events: EventSplitter,
    piece: Buffer,
    pauseMs: number,
  ): void => {
    const whole = events.push(piece);
    if (whole.length === 0) return;
    noteEvents(pauseMs);
    isInPieces = true;
    const bytes =
      whole.length === 1
        ? whole[0].bytes
        : Buffer.concat(whole.map(event => event.bytes));
    observer.onChunk(answer, bytes, whole.findLast(({id}) => id)?.id);
  };

  const onData = (piece: Buffer): void => {
    if (isOver || head === undefined) return;
    const pauseMs = noteBytes();
    if (meaning !== ResponseClass.Answer) return;
    if (splitter !== undefined) {
      pushEvents(head, splitter, piece, pauseMs);
      return;
    }
    if (isInPieces) {
      observer.onChunk(head, piece);
      return;
    }
    pieces.push(piece);
    bufferedBytes += piece.length;
    if (bufferedBytes <= MAX_BUFFERED_BYTES) return;
    isInPieces = true;
    const buffered = Buffer.concat(pieces);
    pieces = [];
    observer.onChunk(head, buffered);
  };

  const onEnd = (): void => {
    const answer = head;
    if (answer === undefined || !end()) return;
    if (meaning === ResponseClass.Answer) {
      observer.onAnswer(answer, Buffer.concat(pieces));
    } else {
      observer.onRejection(meaning ?? ResponseClass.Unusable);
    }
  };

  const exchange: Exchange = pool.send(
    {
      key: `${upstream.id}/${upstream.startedAtMs}`,
      host: upstream.address.host,
      port: upstream.address.port,
    },
    options.request,
    {
      onSend: () => {
        wasSent = true;
        lastBytesAtMs = clock.getNowMs();
        progress.recordRequestSent(lastBytesAtMs);
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
    hasEvents: () => isCounted,
    getIdleMs: nowMs => nowMs - lastBytesAtMs,
    cancel: () => {
      if (!end()) return;
      exchange.cancel();
    },
    pause: () => exchange.pause(),
    resume: () => exchange.resume(),
  };
}
