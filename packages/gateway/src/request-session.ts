/**
 * One caller request from its complete body to its final answer: attempts at
 * upstreams, the relay of the answer, and the answer to give when there is
 * none. What may be repeated follows from the route's kind.
 */
import type {
  ConnectionPool,
  Exchange,
  ExchangeFailure,
  ResponseHead,
} from '@siskinplank/http-exchange';
import {
  ExchangeFailureCode,
  HeadVerdict,
  createEventSplitter,
} from '@siskinplank/http-exchange';
import type {EventSplitter} from '@siskinplank/http-exchange';
import type {OpenRequest, UpstreamEntry} from '@siskinplank/dispatch';
import type {Clock, Logger} from '@siskinplank/foundation';
import {RequestKind, ResponseMeaning, canRepeat} from '@siskinplank/serving';
import type {
  CallerRequest,
  ClientAccount,
  ExchangeFormat,
  Route,
} from '@siskinplank/serving';
import type {CallerResponse} from './caller-response';
import {ATTEMPT_ENDED} from './events';
import {RefusalCode} from './refusals';
import type {Refusal} from './refusals';

/** A request that was admitted. */
export interface AdmittedRequest {
  request: CallerRequest;
  route: Route;
  /** Service chosen for this attempt of the caller. */
  service: string;
  account: ClientAccount | undefined;
  body: Buffer | undefined;
  /** Monotonic time at which its head had arrived. */
  arrivedAtMs: number;
}

/** How a request ended. */
export interface SessionOutcome {
  /** Status given to the caller; 0 when the caller left or was cut off. */
  status: number;
  refusal: Refusal | undefined;
  attempts: number;
  upstreamId: string | undefined;
  /** Milliseconds from arrival to the first byte of the answer. */
  firstByteMs: number | undefined;
  /** Whether an upstream may have run it. */
  mayHaveRun: boolean;
}

/** What a session needs. */
export interface SessionOptions {
  admitted: AdmittedRequest;
  response: CallerResponse;
  format: ExchangeFormat;
  pool: ConnectionPool;
  clock: Clock;
  logger: Logger;
  /**
   * Finds an upstream for the next attempt, now or later; the result gives the
   * search up.
   */
  acquireUpstream(
    triedIds: ReadonlySet<string>,
    onUpstream: (entry: UpstreamEntry) => void,
    onRefused: (retryAfterMs: number | undefined) => void,
  ): () => void;
  /** Notes the request as open at an upstream. */
  openAt(entry: UpstreamEntry): OpenRequest;
  /** Whether an upstream can still get requests. */
  isUsable(entry: UpstreamEntry): boolean;
  /** Notes a fault of an upstream. */
  noteFault(entry: UpstreamEntry, weight: number): void;
  /** Takes a second send from the budget of the service. */
  tryRepeat(): boolean;
  sendRefusal(refusal: Refusal): void;
  onEnd(outcome: SessionOutcome): void;
}

/** A running session. */
export interface RequestSession {
  start(): void;
  /** The caller has left; upstreams are told at once. */
  abandon(): void;
}

/** Bodies up to this size are sent whole, so that a broken one can be repeated. */
const MAX_BUFFERED_BYTES = 262_144;
/** Weights of faults: a failure that the upstream answered, and a broken answer. */
const FAILURE_FAULT = 0.15;
const BREAK_FAULT = 0.5;
/** Retry-After when upstreams rejected a request or none is left to try. */
const REJECTED_RETRY_MS = 200;
/** Pause before a request is sent again to the upstream that rejected it. */
const SAME_UPSTREAM_DELAY_MS = 60;
/** Less time than this is no use to an upstream, in milliseconds. */
const MIN_SEND_MS = 5;

interface Attempt {
  entry: UpstreamEntry;
  open: OpenRequest;
  exchange: Exchange | undefined;
  meaning: ResponseMeaning | undefined;
  head: ResponseHead | undefined;
  pieces: Buffer[];
  bufferedBytes: number;
  isStreaming: boolean;
  splitter: EventSplitter | undefined;
  wasSent: boolean;
}

/** Creates a session that does nothing before `start`. */
export function createRequestSession(options: SessionOptions): RequestSession {
  const {admitted, response, format, pool, clock, logger} = options;
  const {request, route} = admitted;
  const deadlineAtMs =
    admitted.arrivedAtMs +
    Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
  const triedIds = new Set<string>();
  let current: Attempt | undefined;
  let sentCount = 0;
  let mayHaveRun = false;
  let lastEventId: string | undefined;
  let hasEnded = false;
  let hasResent = false;
  let stopSearch: (() => void) | undefined;
  let firstByteMs: number | undefined;

  const end = (
    status: number,
    refusal: Refusal | undefined,
    upstreamId: string | undefined,
  ): void => {
    if (hasEnded) return;
    hasEnded = true;
    stopSearch?.();
    timeoutTimer.cancel();
    options.onEnd({
      status,
      refusal,
      attempts: sentCount,
      upstreamId,
      firstByteMs,
      mayHaveRun: mayHaveRun || (current?.wasSent ?? false),
    });
  };

  const dropAttempt = (): void => {
    const attempt = current;
    if (attempt === undefined) return;
    current = undefined;
    attempt.open.end();
    attempt.exchange?.cancel();
  };

  const refuse = (refusal: Refusal, status: number): void => {
    if (hasEnded) return;
    if (response.hasStarted()) {
      response.breakOff();
      end(0, refusal, undefined);
      return;
    }
    options.sendRefusal(refusal);
    end(status, refusal, undefined);
  };

  const refuseUnserved = (retryAfterMs?: number): void => {
    if (mayHaveRun) refuse({code: RefusalCode.OutcomeUnknown}, 502);
    else if (sentCount > 0) {
      refuse(
        {
          code: RefusalCode.Rejected,
          retryAfterMs: retryAfterMs ?? REJECTED_RETRY_MS,
        },
        503,
      );
    } else {
      refuse(
        {
          code: RefusalCode.NoUpstream,
          retryAfterMs: retryAfterMs ?? REJECTED_RETRY_MS,
        },
        503,
      );
    }
  };

  const onTimeout = (): void => {
    const wasSent = current?.wasSent ?? false;
    dropAttempt();
    if (mayHaveRun || wasSent) refuse({code: RefusalCode.TimedOut}, 504);
    else refuse({code: RefusalCode.NoUpstream}, 503);
  };

  const logAttempt = (attempt: Attempt, cause: string): void =>
    logger.log(ATTEMPT_ENDED, {
      request: request.attemptId,
      upstream: attempt.entry.upstream.id,
      attempt: sentCount,
      cause,
      status: attempt.head?.status,
      open: attempt.entry.open.requests,
      leftMs: Math.round(deadlineAtMs - clock.getNowMs()),
    });

  /** Another attempt, or the final answer. */
  const tryNext = (): void => {
    if (hasEnded) return;
    const isFirst = sentCount === 0;
    const isPossible =
      (canRepeat(route) || !mayHaveRun) &&
      triedIds.size < route.maxAttempts &&
      deadlineAtMs - clock.getNowMs() > MIN_SEND_MS;
    if (!isPossible) return refuseUnserved();
    stopSearch = options.acquireUpstream(
      triedIds,
      entry => {
        stopSearch = undefined;
        if (hasEnded) return;
        if (!isFirst && !options.tryRepeat()) refuseUnserved();
        else sendTo(entry);
      },
      retryAfterMs => {
        stopSearch = undefined;
        refuseUnserved(retryAfterMs);
      },
    );
  };

  const failAttempt = (attempt: Attempt, failure: ExchangeFailure): void => {
    if (current !== attempt) return;
    logAttempt(attempt, `${failure.code}: ${failure.reason}`);
    current = undefined;
    attempt.open.end();
    if (attempt.wasSent) mayHaveRun = true;
    options.noteFault(attempt.entry, BREAK_FAULT);
    const wasUntouched = failure.code === ExchangeFailureCode.NotConnected;
    if (wasUntouched) triedIds.add(attempt.entry.upstream.id);
    tryNext();
  };

  const noteFirstByte = (): void => {
    firstByteMs ??= clock.getNowMs() - admitted.arrivedAtMs;
    current?.open.noteRead();
  };

  const startRelay = (attempt: Attempt, head: ResponseHead): void => {
    attempt.isStreaming = true;
    noteFirstByte();
    if (!response.hasStarted()) response.startStream(head);
  };

  const onHead = (attempt: Attempt, head: ResponseHead): HeadVerdict => {
    const meaning = format.resolveMeaning(
      head.status,
      head.headers,
      request.attemptId,
    );
    if (meaning === ResponseMeaning.Stray) return HeadVerdict.Skip;
    attempt.meaning = meaning;
    attempt.head = head;
    if (meaning === ResponseMeaning.Unusable) return HeadVerdict.Reject;
    if (meaning !== ResponseMeaning.Answer) return HeadVerdict.Accept;
    const isSuccess = head.status >= 200 && head.status < 300;
    if (route.kind === RequestKind.Stream && isSuccess) {
      attempt.splitter = createEventSplitter();
    }
    return HeadVerdict.Accept;
  };

  const relay = (attempt: Attempt, bytes: Buffer): void => {
    if (!response.writePiece(bytes)) attempt.exchange?.pause();
  };

  const onData = (attempt: Attempt, piece: Buffer): void => {
    if (current !== attempt || attempt.head === undefined) return;
    if (attempt.meaning !== ResponseMeaning.Answer) return;
    if (attempt.splitter !== undefined) {
      const events = attempt.splitter.push(piece);
      if (events.length === 0) return;
      if (!attempt.isStreaming) startRelay(attempt, attempt.head);
      lastEventId = events.at(-1)?.id ?? lastEventId;
      relay(
        attempt,
        events.length === 1
          ? events[0].bytes
          : Buffer.concat(events.map(({bytes}) => bytes)),
      );
      return;
    }
    if (attempt.isStreaming) {
      relay(attempt, piece);
      return;
    }
    attempt.pieces.push(piece);
    attempt.bufferedBytes += piece.length;
    if (attempt.bufferedBytes <= MAX_BUFFERED_BYTES) return;
    startRelay(attempt, attempt.head);
    for (const buffered of attempt.pieces) relay(attempt, buffered);
    attempt.pieces = [];
  };

  const endAnswer = (attempt: Attempt, head: ResponseHead): void => {
    const {upstream} = attempt.entry;
    if (attempt.splitter !== undefined && !attempt.isStreaming) {
      startRelay(attempt, head);
    }
    if (attempt.isStreaming) {
      response.endStream();
    } else {
      noteFirstByte();
      response.sendWhole(head, Buffer.concat(attempt.pieces));
    }
    end(head.status, undefined, upstream.id);
  };

  /** Tries elsewhere; the failure is the answer when that is not possible. */
  const repeatFailed = (attempt: Attempt, head: ResponseHead): void => {
    const giveUp = (): void => {
      stopSearch = undefined;
      if (!hasEnded) endAnswer(attempt, head);
    };
    stopSearch = options.acquireUpstream(
      triedIds,
      entry => {
        stopSearch = undefined;
        if (hasEnded) return;
        if (options.tryRepeat()) sendTo(entry);
        else giveUp();
      },
      giveUp,
    );
  };

  /** A request that was rejected: again there, elsewhere, or refused. */
  const handleRejection = (attempt: Attempt): void => {
    logAttempt(attempt, String(attempt.meaning));
    const {entry} = attempt;
    const hasOthers = triedIds.size < route.maxAttempts;
    if (hasOthers || hasResent) {
      tryNext();
      return;
    }
    // The model or adapter may just have been on its way.
    hasResent = true;
    clock.startTimer(SAME_UPSTREAM_DELAY_MS, () => {
      if (hasEnded) return;
      const isCurrent = options.isUsable(entry);
      if (isCurrent && options.tryRepeat()) sendTo(entry);
      else refuseUnserved();
    });
  };

  const onEnd = (attempt: Attempt): void => {
    const {head} = attempt;
    if (current !== attempt || head === undefined) return;
    current = undefined;
    attempt.open.end();
    if (attempt.meaning !== ResponseMeaning.Answer) {
      handleRejection(attempt);
      return;
    }
    const isFailure = head.status >= 500;
    if (isFailure) options.noteFault(attempt.entry, FAILURE_FAULT);
    const mayTryAgain =
      isFailure &&
      !response.hasStarted() &&
      canRepeat(route) &&
      triedIds.size < route.maxAttempts;
    if (mayTryAgain) {
      logAttempt(attempt, 'failure');
      mayHaveRun = true;
      repeatFailed(attempt, head);
      return;
    }
    if (response.hasStarted() && !attempt.isStreaming) {
      // A resumed stream was answered by a failure after its head was sent.
      response.breakOff();
      end(0, {code: RefusalCode.OutcomeUnknown}, attempt.entry.upstream.id);
      return;
    }
    endAnswer(attempt, head);
  };

  const sendTo = (entry: UpstreamEntry): void => {
    const {upstream} = entry;
    const attempt: Attempt = {
      entry,
      open: options.openAt(entry),
      exchange: undefined,
      meaning: undefined,
      head: undefined,
      pieces: [],
      bufferedBytes: 0,
      isStreaming: false,
      splitter: undefined,
      wasSent: false,
    };
    current = attempt;
    triedIds.add(upstream.id);
    const headers = format.encodeUpstreamHeaders(request, {
      upstreamId: upstream.id,
      account: admitted.account?.name,
      deadlineMs: deadlineAtMs - clock.getNowMs(),
      rank: undefined,
      lastEventId,
    });
    attempt.exchange = pool.send(
      {
        key: `${upstream.id}/${upstream.startedAtMs}`,
        host: upstream.address.host,
        port: upstream.address.port,
      },
      {
        method: request.method,
        target: request.target,
        headers,
        body: admitted.body,
      },
      {
        onSend: () => {
          attempt.wasSent = true;
          sentCount += 1;
        },
        onHead: head => onHead(attempt, head),
        onData: piece => onData(attempt, piece),
        onEnd: () => onEnd(attempt),
        onFailure: failure => failAttempt(attempt, failure),
      },
    );
  };

  const timeoutTimer = clock.startTimer(
    Math.max(0, deadlineAtMs - clock.getNowMs()),
    onTimeout,
  );

  response.onDrain(() => current?.exchange?.resume());

  return {
    start: tryNext,
    abandon: () => {
      if (hasEnded) return;
      dropAttempt();
      end(0, undefined, undefined);
    },
  };
}
