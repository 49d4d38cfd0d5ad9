/** Admits a request, runs it and writes its response or refusal. */
import type {ServerResponse} from 'node:http';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ClaimRegistry} from '@siskinplank/claims';
import type {Clock, Logger} from '@siskinplank/foundation';
import type {AccountLimiter} from '@siskinplank/limits';
import {RefusalCode, RunState} from '@siskinplank/resources';
import {admitRequest} from '../admission/admit';
import {RESPONSE_BUFFER_BYTES, createDelivery} from '../caller/delivery';
import type {Delivery} from '../caller/delivery';
import type {OpenRequests} from '../drain/open-requests';
import {REQUEST_FAILED} from '../events';
import type {EntryMetrics} from '../metrics';
import {runClaimedRequest} from '../claimed-requests/claimed-requests';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';
import type {DispatchSuccess, Dispatcher} from './dispatch';
import type {CallerRequest} from './types';

/** Dependencies of the executor. */
export interface ExecutorDependencies {
  clock: Clock;
  logger: Logger;
  metrics: EntryMetrics;
  limiter: AccountLimiter;
  claims: ClaimRegistry;
  dispatcher: Dispatcher;
  openRequests: OpenRequests;
  reserveWaitMs: number;
  /** Name of this process in the hops header of a response. */
  processName: string;
  /** Whether the process shuts down; connections close after their response. */
  isLeaving: () => boolean;
}

/** Executes requests and writes the responses. */
export interface Executor {
  executeRequest(request: CallerRequest, raw: ServerResponse): Promise<void>;
}

/**
 * Bytes of the response to a claimed request that are buffered, so that the
 * claim can store it.
 */
const CLAIMED_RESPONSE_BUFFER_BYTES = 16_777_216;

/** Creates the executor. */
export function createExecutor(deps: ExecutorDependencies): Executor {
  const runAdmitted = async (
    request: CallerRequest,
    delivery: Delivery,
    signal: AbortSignal,
  ): Promise<Either<Refusal, DispatchSuccess>> => {
    const admission = await admitRequest(
      request,
      deps.limiter,
      deps.clock,
      deps.reserveWaitMs,
    );
    if (admission.isLeft()) return Left(admission.extract() as Refusal);
    const {settle, reserveRetry} = admission.unsafeCoerce();
    const key = request.idempotencyKey;
    let outcome: Either<Refusal, DispatchSuccess>;
    if (signal.aborted) {
      outcome = Left(signal.reason as Refusal);
    } else if (isClaimed(request) && key !== undefined) {
      outcome = await runClaimedRequest(request, key, delivery, signal, deps);
    } else {
      outcome = await deps.dispatcher.dispatchRequest(
        request,
        delivery,
        signal,
        reserveRetry,
      );
    }
    settle(outcome);
    return outcome;
  };

  const deliverOutcome = (
    outcome: Either<Refusal, DispatchSuccess>,
    delivery: Delivery,
  ): void => {
    if (outcome.isRight()) return delivery.complete();
    const refusal = outcome.extract() as Refusal;
    deps.metrics.countRefusal(refusal);
    delivery.fail(refusal);
  };

  return {
    executeRequest: async (request, raw) => {
      const startedAtMs = deps.clock.getNowMs();
      const abort = new AbortController();
      const remove = deps.openRequests.add({
        keyId: request.identity?.keyId,
        account: request.identity?.account.name,
        abort: reason => abort.abort(reason),
      });
      deps.metrics.setOpenRequests(deps.openRequests.count());
      const handleClose = (): void => {
        if (raw.writableFinished) return;
        // A claimed request runs to its end: when the caller repeats it, the
        // stored response is replayed.
        if (!isClaimed(request)) abort.abort(makeDisconnectRefusal());
      };
      raw.on('close', handleClose);
      // Writes fail after the caller disconnected, which is handled on 'close'.
      raw.on('error', () => undefined);
      const delivery = createDelivery({
        raw,
        requestId: request.requestId,
        maxBufferedBytes: isClaimed(request)
          ? CLAIMED_RESPONSE_BUFFER_BYTES
          : RESPONSE_BUFFER_BYTES,
        isClosing: deps.isLeaving,
      });
      const outcome = await runAdmitted(request, delivery, abort.signal).catch(
        (error: unknown) => {
          deps.logger.log(REQUEST_FAILED, {
            requestId: request.requestId,
            reason: error instanceof Error ? error.name : 'unknown',
          });
          return Left(makeInternalRefusal());
        },
      );
      deliverOutcome(outcome, delivery);
      await waitWritten(raw);
      remove();
      deps.metrics.setOpenRequests(deps.openRequests.count());
      deps.metrics.countRequest(
        raw.statusCode,
        deps.clock.getNowMs() - startedAtMs,
      );
    },
  };
}

/** Whether the request runs under an idempotency claim. */
function isClaimed(request: CallerRequest): boolean {
  return !request.idempotent && request.idempotencyKey !== undefined;
}

function waitWritten(raw: ServerResponse): Promise<void> {
  if (raw.writableFinished || raw.destroyed) return Promise.resolve();
  return new Promise(resolve => {
    raw.once('finish', resolve);
    raw.once('close', resolve);
  });
}

function makeDisconnectRefusal(): Refusal {
  return makeRefusal(RefusalCode.Cancelled, 'The caller hung up.');
}

function makeInternalRefusal(): Refusal {
  return makeRefusal(RefusalCode.UpstreamFailed, 'The request failed.', {
    status: 500,
    runState: RunState.Unknown,
  });
}
