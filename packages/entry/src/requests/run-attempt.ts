/** Runs one attempt of a request at an upstream. */
import type {Either} from 'purify-ts';
import {SpanSide, makeSecureId} from '@siskinplank/foundation';
import type {Clock, Tracing} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Upstream} from '@siskinplank/resources';
import type {LoadTable} from '@siskinplank/routing';
import type {EntrySettings} from '@siskinplank/settings';
import type {Link} from '@siskinplank/transport';
import {CREDIT_WINDOW_BYTES} from '../attempts/attempt';
import type {AttemptRelay} from '../attempts/relay';
import type {AttemptFailure, AttemptSuccess} from '../attempts/types';
import type {Delivery} from '../caller/delivery';
import {makeAccountTag} from './account-tag';
import type {CallerRequest} from './types';

/** Dependencies of attempts. */
export interface AttemptDependencies {
  settings: Pick<EntrySettings, 'process'>;
  clock: Clock;
  tracing: Tracing;
  loads: LoadTable;
  relay: AttemptRelay;
  /** Key of the hash that replaces account names sent to side processes. */
  hashKey: Uint8Array;
}

/** Upstream of an attempt, and how often it may still be redirected. */
export interface AttemptDestination {
  upstream: Upstream;
  /** Open link to the side process of the upstream. */
  link: Link;
  hopsLeft: number;
}

/** Runs one attempt; an aborted `signal` cancels it at the side process. */
export type RunAttempt = (
  request: CallerRequest,
  delivery: Delivery,
  signal: AbortSignal,
  place: AttemptDestination,
) => Promise<Either<AttemptFailure, AttemptSuccess>>;

/** Creates a function that runs attempts. */
export function createAttemptRunner(deps: AttemptDependencies): RunAttempt {
  return async (request, delivery, signal, {upstream, link, hopsLeft}) => {
    const account = request.identity?.account;
    const span = deps.tracing.startSpan(
      'entry.attempt',
      SpanSide.Client,
      request.traceparent,
    );
    span.setAttribute('upstream', upstream.name);
    const closeLoad = deps.loads.openRequest(
      upstream.name,
      request.estimatedTokens,
    );
    const attempt = deps.relay.openAttempt({
      link,
      address: upstream.side,
      hops: `${deps.settings.process.name}>${link.peer.name}>${upstream.name}`,
      observer: delivery,
      open: {
        type: MessageType.RequestOpen,
        attemptId: makeSecureId(),
        requestId: request.requestId,
        accountTag: makeAccountTag(deps.hashKey, account?.name),
        accountWeight: account?.weight ?? 1,
        target: request.target,
        method: request.method,
        path: request.path,
        headers: {...request.headers},
        body: request.body,
        priority: request.priority,
        deadlineMs: Math.max(1, request.deadlineAtMs - deps.clock.getNowMs()),
        estimatedTokens: request.estimatedTokens,
        idempotent: request.idempotent,
        traceparent: span.traceparent,
        credit: CREDIT_WINDOW_BYTES,
        hopsLeft,
      },
    });
    const cancel = (): void => attempt.cancel();
    if (signal.aborted) cancel();
    signal.addEventListener('abort', cancel, {once: true});
    const outcome = await attempt.outcome;
    signal.removeEventListener('abort', cancel);
    closeLoad();
    span.end(outcome.isLeft() ? String(outcome.extract().code) : undefined);
    return outcome;
  };
}
