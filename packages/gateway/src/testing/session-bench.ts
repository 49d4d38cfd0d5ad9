/** A session of one request before three upstreams that a test scripts. */
import {createUpstreamTable} from '@siskinplank/dispatch';
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {
  LogLevel,
  createLogger,
  createManualClock,
} from '@siskinplank/foundation';
import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import type {ExchangeObserver, ResponseHead} from '@siskinplank/http-exchange';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import {ResponseClass, UpstreamState} from '@siskinplank/serving';
import type {RequestKind, Upstream} from '@siskinplank/serving';
import {RefusalCode} from '../refusals';
import {createRequestSession} from '../request-session';
import type {
  AttemptTarget,
  RequestSession,
  SessionOptions,
  SessionOutcome,
} from '../session-types';
import {createPassiveGuard} from './passive-guard';

const UPSTREAM_IDS = ['u-1', 'u-2', 'u-3'];
/** Software version of all upstreams, unless a test sets others. */
const VERSION = 'v1';
/** Time within which the request must be answered. */
export const DEADLINE_MS = 10_000;
/** Status by which the upstreams reject a request. */
export const NOT_RUN_STATUS = 503;

/** The session, and what its caller and the upstreams got. */
export interface SessionBench {
  clock: ReturnType<typeof createManualClock>;
  exchanges: Array<{
    /** Incarnation of the upstream that it is with. */
    key: string;
    observer: ExchangeObserver;
    isCancelled: boolean;
    needsNewConnection: boolean;
  }>;
  /** What the caller got. */
  received: string;
  hasStarted: boolean;
  wasAborted: boolean;
  outcome: SessionOutcome | undefined;
  session: RequestSession;
  isCallerReading: boolean;
  drain(): void;
  logLines: string[];
  /** Retries that the budget of the service has. */
  retriesLeft: number;
  /** Software versions by upstream. */
  versions: Record<string, string>;
  /** Version that began the stream that the request resumes. */
  resumedVersion: string | undefined;
  /** Versions by which streams began. */
  begunBy: string[];
  startSession(kind: RequestKind, maxAttempts?: number): void;
  /** Answers an exchange with a head and the begin of a body. */
  answer(index: number, head: ResponseHead, body: string): void;
  /** @param wasReused whether the connection was a kept one. */
  breakOff(index: number, wasReused?: boolean): void;
}

/** Creates a bench without a session. */
export function createSessionBench(): SessionBench {
  const startSession = (kind: RequestKind, maxAttempts = 3): void => {
    const table = createUpstreamTable();
    table.setUpstreams(
      UPSTREAM_IDS.map(
        id =>
          ({
            id,
            startedAtMs: 1,
            service: 's',
            address: {host: '127.0.0.1', port: 1},
            failureDomain: 'a',
            softwareVersion: bench.versions[id] ?? VERSION,
            state: UpstreamState.Ready,
            models: [],
          }) as never,
      ),
    );
    bench.session = createRequestSession({
      admitted: {
        request: {attemptId: 'a', promptParts: []},
        route: {kind, isResumable: true, maxAttempts, targetLatencyMs: 100},
        service: 's',
        arrivedAtMs: bench.clock.getNowMs(),
        deadlineAtMs: bench.clock.getNowMs() + DEADLINE_MS,
        softwareVersion: bench.resumedVersion,
      },
      response: {
        startStream: ({status}: ResponseHead) => {
          bench.hasStarted = true;
          bench.received += `${status} `;
        },
        sendWhole: ({status}: ResponseHead, body: Buffer) => {
          bench.hasStarted = true;
          bench.received += `${status} ${body.toString()} end`;
        },
        writeChunk: (chunk: Buffer) => {
          bench.received += chunk.toString();
          return bench.isCallerReading;
        },
        endStream: () => (bench.received += 'end'),
        abort: () => (bench.wasAborted = true),
        hasStarted: () => bench.hasStarted,
        onDrain: (callback: () => void) => (bench.drain = callback),
      },
      format: {
        encodeUpstreamHeaders: () => [],
        resolveResponseClass: (status: number) =>
          status === NOT_RUN_STATUS
            ? ResponseClass.NotRun
            : ResponseClass.Answer,
        readUpstreamLimit: () => undefined,
      },
      pool: {
        receiveBudget: createReceiveBudget({maxBytes: 33_554_432}),
        send: (
          {key}: {key: string},
          {needsNewConnection}: {needsNewConnection: boolean},
          observer: ExchangeObserver,
        ) => {
          const exchange = {
            key,
            observer,
            isCancelled: false,
            needsNewConnection,
          };
          bench.exchanges.push(exchange);
          return {
            cancel: () => (exchange.isCancelled = true),
            pause: () => undefined,
            resume: () => undefined,
          };
        },
      },
      clock: bench.clock,
      logger: createLogger({
        level: LogLevel.Info,
        fields: {},
        write: line => void bench.logLines.push(line),
        getWallMs: bench.clock.getWallMs,
      }),
      acquireUpstream: (
        {triedUpstreamIds, softwareVersion}: AttemptTarget,
        onUpstream: (entry: UpstreamEntry) => void,
        onRefused: (retryAfterMs: undefined, code: RefusalCode) => void,
      ) => {
        const id = UPSTREAM_IDS.find(
          known =>
            !triedUpstreamIds.has(known) &&
            (softwareVersion === undefined ||
              softwareVersion === (bench.versions[known] ?? VERSION)),
        );
        const entry = id === undefined ? undefined : table.getEntry(id);
        if (entry === undefined) onRefused(undefined, RefusalCode.NoUpstream);
        else onUpstream(entry);
        return () => undefined;
      },
      isUsable: () => true,
      getLastStartAtMs: () => undefined,
      estimateBackoffMs: () => undefined,
      onStreamBegun: ({softwareVersion}: Upstream) =>
        bench.begunBy.push(softwareVersion),
      recordOpen: () => ({
        markPromptProcessed: () => undefined,
        end: () => undefined,
      }),
      recordFault: () => undefined,
      recordUnreachable: () => undefined,
      recordMisdirected: () => undefined,
      recordFailover: () => undefined,
      canSpendRetry: () => bench.retriesLeft > 0,
      trySpendRetry: () => {
        bench.retriesLeft -= 1;
        return bench.retriesLeft >= 0;
      },
      limits: {observeResponse: () => undefined, trySpend: () => true},
      guard: createPassiveGuard(),
      sendRefusal: ({code}: {code: RefusalCode}) => (bench.received += code),
      onEnd: (ended: SessionOutcome) => (bench.outcome = ended),
    } as unknown as SessionOptions);
    bench.session.start();
  };

  const answer = (index: number, head: ResponseHead, body: string): void => {
    const {observer} = bench.exchanges[index];
    observer.onSend();
    observer.onHead(head, false);
    if (body !== '') observer.onData(Buffer.from(body));
  };

  const breakOff = (index: number, wasReused = false): void =>
    bench.exchanges[index].observer.onFailure({
      code: ExchangeFailureCode.BrokenOff,
      reason: 'reset',
      wasReused,
    });

  const bench: SessionBench = {
    clock: createManualClock(),
    exchanges: [],
    received: '',
    hasStarted: false,
    wasAborted: false,
    outcome: undefined,
    session: undefined as unknown as RequestSession,
    isCallerReading: true,
    drain: () => undefined,
    logLines: [],
    retriesLeft: Infinity,
    versions: {},
    resumedVersion: undefined,
    begunBy: [],
    startSession,
    answer,
    breakOff,
  };
  return bench;
}
