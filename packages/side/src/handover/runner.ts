/** Sends one attempt to the upstream and relays its response. */
import {Right} from 'purify-ts';
import {SpanSide} from '@siskinplank/foundation';
import type {Clock, Logger, Random, Tracing} from '@siskinplank/foundation';
import {TargetType} from '@siskinplank/messages';
import type {Usage} from '@siskinplank/messages';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {RefusalCode, RunState} from '@siskinplank/resources';
import {computeBackoffMs} from '@siskinplank/transport';
import type {Attempt, Refusal} from '../attempts/types';
import * as constants from '../constants';
import * as events from '../events';
import {createEventsReader} from './events-reader';
import type {EventsReader} from './events-reader';
import {filterRequestHeaders, filterResponseHeaders} from './headers';
import {createUsageCollector} from './usage-collector';
import type {
  UpstreamClient,
  UpstreamFailure,
  UpstreamResponse,
} from './upstream-client';

/** Outcome of running an attempt at the upstream. */
export interface RunOutcome {
  /** Set when no response head was sent. */
  refusal?: Refusal;
  usage?: Usage;
}

/** Dependencies of `runAttempt`. */
export interface RunnerContext {
  client: UpstreamClient;
  clock: Clock;
  random: Random;
  tracing: Tracing;
  logger: Logger;
  receiveBudget: ReceiveBudget;
  /** Checks the upstream after a connection broke and reports its end. */
  checkAfterBreak(attempt: Attempt): Promise<void>;
}

function makeRefusal(attempt: Attempt, failure: UpstreamFailure): Refusal {
  return {
    code: attempt.cancelCode ?? RefusalCode.UpstreamFailed,
    runState: failure.isHandedOver ? RunState.Unknown : RunState.NotRun,
    message: failure.message,
  };
}

/** Runs an attempt to its end; the caller sends the refusal, if any. */
export async function runAttempt(
  attempt: Attempt,
  context: RunnerContext,
): Promise<RunOutcome> {
  const {client, clock, tracing} = context;
  const {open, stream, abort} = attempt;
  const isGeneration = open.target.type === TargetType.Model;
  const span = tracing.startSpan(
    'side.upstream',
    SpanSide.Client,
    attempt.span.traceparent,
  );
  const deadlineTimer = clock.startTimer(
    Math.max(0, attempt.item.deadlineAtMs - clock.getNowMs()),
    () => {
      if (stream.hasHead()) return;
      attempt.cancelCode ??= RefusalCode.DeadlineExceeded;
      abort.abort();
    },
  );
  const headers = {
    ...filterRequestHeaders(open.headers),
    ...(isGeneration && {
      // Unlike the request's id, the attempt's reaches one engine process only:
      // a restarted one, maybe of another version, can't know its generation.
      'x-request-id': open.attemptId,
      'x-priority': open.priority,
      'x-account-tag': open.accountTag,
    }),
    ...(span.traceparent !== '' && {traceparent: span.traceparent}),
  };
  const result = await client.send({
    method: open.method,
    path: open.path,
    headers,
    body: open.body.byteLength > 0 ? open.body : undefined,
    idempotent: open.idempotent,
    signal: abort.signal,
  });
  deadlineTimer.cancel();
  if (result.isRight()) {
    const response = result.extract() as UpstreamResponse;
    span.setAttribute('http.response.status_code', response.status);
    const relayed = await forwardResponse(attempt, response, context);
    span.end(relayed.error);
    return {usage: relayed.usage};
  }
  const failure = result.extract() as UpstreamFailure;
  if (failure.isHandedOver && !abort.signal.aborted) {
    await context.checkAfterBreak(attempt);
  }
  // The engine may still be running the request although it is refused.
  if (isGeneration && failure.isHandedOver) {
    await client.cancelGeneration(open.attemptId);
  }
  span.end(failure.message);
  return {refusal: makeRefusal(attempt, failure)};
}

interface RelayResult {
  usage: Usage | undefined;
  error?: string;
}

async function forwardResponse(
  attempt: Attempt,
  response: UpstreamResponse,
  context: RunnerContext,
): Promise<RelayResult> {
  const {client, clock, logger} = context;
  const {open, stream, abort} = attempt;
  const isGeneration = open.target.type === TargetType.Model;
  const contentType = String(response.headers['content-type'] ?? '');
  const isEventStream =
    isGeneration && contentType.startsWith('text/event-stream');
  const reservation = context.receiveBudget.open(
    constants.UPSTREAM_SOURCE,
    () => abort.abort(),
  );
  const reader = isEventStream ? createEventsReader(reservation) : undefined;
  const collector = createUsageCollector(contentType, context.receiveBudget);
  stream.sendHead(response.status, filterResponseHeaders(response.headers));

  const relayBody = async (
    body: AsyncIterable<Uint8Array>,
  ): Promise<string | undefined> => {
    try {
      for await (const data of body) {
        if (data.byteLength > 0) attempt.firstDataMs ??= clock.getNowMs();
        collector.push(data);
        const whole = reader === undefined ? Right(data) : reader.push(data);
        const hasCapacity = await whole
          .map(bytes => stream.push(bytes))
          .orDefault(Promise.resolve(false));
        if (!hasCapacity) {
          abort.abort();
          return 'cancelled';
        }
      }
    } catch (error) {
      return (error as Error).message;
    }
    if (reader === undefined || reader.isComplete()) return undefined;
    return 'upstream ended the stream early';
  };

  let error = await relayBody(response.body);
  if (error !== undefined && !abort.signal.aborted) {
    logger.log(events.UPSTREAM_DISCONNECTED, {
      attemptId: open.attemptId,
      detail: error,
    });
    await context.checkAfterBreak(attempt);
    if (reader !== undefined && open.idempotent) {
      error = await resumeAtEngine(attempt, reader, relayBody, context);
    }
  }
  if (error !== undefined && isGeneration) {
    await client.cancelGeneration(open.attemptId);
  }
  if (abort.signal.aborted && error !== undefined) {
    error = attempt.cancelCode ?? 'cancelled';
  }
  reservation.release();
  const usage = reader?.getUsage() ?? collector.getUsage();
  stream.end(usage, error);
  return {usage, error};
}

/** Resumes an interrupted generation; returns the error if that fails. */
async function resumeAtEngine(
  attempt: Attempt,
  reader: EventsReader,
  relayBody: (body: AsyncIterable<Uint8Array>) => Promise<string | undefined>,
  context: RunnerContext,
): Promise<string | undefined> {
  const {client, clock, random, logger} = context;
  const {attemptId, requestId} = attempt.open;
  const {signal} = attempt.abort;
  let error: string | undefined = 'upstream broke off';
  for (let tries = 0; tries < constants.MAX_ENGINE_RESUMES; tries += 1) {
    if (signal.aborted) break;
    const delayMs = computeBackoffMs(
      tries,
      constants.ENGINE_RESUME_BASE_MS,
      constants.ENGINE_RESUME_MAX_MS,
      random,
    );
    await clock.waitMs(delayMs);
    reader.reset();
    const offset = reader.getNextOffset();
    const headers = {traceparent: attempt.span.traceparent};
    const resumed = await client.resumeGeneration(
      attemptId,
      offset,
      headers,
      signal,
    );
    if (resumed.isLeft()) continue;
    const response = resumed.extract() as UpstreamResponse;
    if (response.status !== 200) {
      // The engine responded but does not know the generation, or no longer.
      await response.drain();
      return `engine cannot resume the generation: ${response.status}`;
    }
    logger.log(events.GENERATION_RESUMED, {
      attemptId,
      requestId,
      offset,
    });
    error = await relayBody(response.body);
    if (error === undefined) return undefined;
  }
  return error;
}
