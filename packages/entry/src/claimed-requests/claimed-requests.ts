/** Runs requests at most once, under a claim on their idempotency key. */
import {createHash} from 'node:crypto';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {ClaimOutcomeType} from '@siskinplank/claims';
import type {
  ClaimOutcome,
  ClaimRegistry,
  ClaimResponse,
  HeldClaim,
} from '@siskinplank/claims';
import type {Clock} from '@siskinplank/foundation';
import {TargetType} from '@siskinplank/messages';
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {Delivery} from '../caller/delivery';
import {
  HOPS_HEADER,
  REPLAYED_HEADER,
  RUN_STATE_HEADER,
  makeRefusal,
} from '../refusals';
import type {Refusal} from '../refusals';
import type {DispatchSuccess, Dispatcher} from '../requests/dispatch';
import type {CallerRequest} from '../requests/types';

/** Usage of a replayed response, for which nothing ran. */
const REPLAY_USAGE = {promptTokens: 0, completionTokens: 0};

/** Suggested retry delay while the request with the same key runs. */
const IN_PROGRESS_RETRY_MS = 1_000;

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Dependencies of claimed requests. */
export interface ClaimedRequestDependencies {
  claims: ClaimRegistry;
  clock: Clock;
  dispatcher: Dispatcher;
  processName: string;
}

/** Acquires the claim and runs the request, or replays a stored response. */
export async function runClaimedRequest(
  request: CallerRequest,
  idempotencyKey: string,
  delivery: Delivery,
  signal: AbortSignal,
  deps: ClaimedRequestDependencies,
): Promise<Either<Refusal, DispatchSuccess>> {
  const outcome = await deps.claims.acquire({
    account: getClaimScope(request),
    idempotencyKey,
    bodyHash: hashRequest(request),
    wallMs: deps.clock.getWallMs(),
  });
  if (outcome.type === ClaimOutcomeType.Acquired) {
    return runClaimed(request, outcome.claim, delivery, signal, deps);
  }
  if (outcome.type === ClaimOutcomeType.Replay) {
    replayResponse(delivery, outcome.response, deps.processName);
    return Right({usage: REPLAY_USAGE});
  }
  return Left(makeClaimRefusal(outcome));
}

async function runClaimed(
  request: CallerRequest,
  claim: HeldClaim,
  delivery: Delivery,
  signal: AbortSignal,
  deps: ClaimedRequestDependencies,
): Promise<Either<Refusal, DispatchSuccess>> {
  const outcome = await deps.dispatcher.dispatchRequest(
    request,
    delivery,
    signal,
  );
  if (outcome.isLeft()) {
    const refusal = outcome.extract() as Refusal;
    if (refusal.runState === RunState.NotRun) {
      await deps.claims.release(claim);
    } else {
      await deps.claims.markUnknown(claim);
    }
    return outcome;
  }
  const response = delivery.getBufferedResponse();
  if (response === undefined) {
    await deps.claims.markUnknown(claim);
    return outcome;
  }
  await deps.claims.complete(claim, {
    status: response.status,
    contentType: response.headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
    body: response.body,
  });
  return outcome;
}

/**
 * Scope that keeps equal idempotency keys of different accounts and public
 * routes apart. The name of an account contains no colon.
 */
function getClaimScope(request: CallerRequest): string {
  const account = request.identity?.account.name;
  if (account !== undefined) return account;
  const target = request.target;
  return `open:${target.type === TargetType.Route ? target.route : ''}`;
}

/** Hashes the parts that must be equal when a request is repeated. */
function hashRequest(request: CallerRequest): string {
  return createHash('sha256')
    .update(`${request.method}\0${request.path}\0`)
    .update(`${request.headers['content-type'] ?? ''}\0`)
    .update(request.body)
    .digest('hex');
}

function replayResponse(
  delivery: Delivery,
  response: ClaimResponse,
  processName: string,
): void {
  delivery.sendResponse({
    status: response.status,
    headers: {
      'content-type': response.contentType,
      [RUN_STATE_HEADER]: RunState.Ran,
      [REPLAYED_HEADER]: 'true',
      [HOPS_HEADER]: processName,
    },
    body: Buffer.from(response.body),
  });
}

function makeClaimRefusal(
  outcome: Exclude<
    ClaimOutcome,
    {type: ClaimOutcomeType.Acquired} | {type: ClaimOutcomeType.Replay}
  >,
): Refusal {
  switch (outcome.type) {
    case ClaimOutcomeType.InProgress:
      return makeRefusal(
        RefusalCode.ClaimInProgress,
        'A request with this Idempotency-Key is in progress.',
        {retryAfterMs: IN_PROGRESS_RETRY_MS, runState: RunState.Unknown},
      );
    case ClaimOutcomeType.BodyMismatch:
      return makeRefusal(
        RefusalCode.ClaimMismatch,
        'This Idempotency-Key was used with another request.',
      );
    case ClaimOutcomeType.RanWithoutResponse:
      return makeRefusal(
        RefusalCode.ClaimUnresolved,
        'The request ran, but its response was too large to be kept.',
        {runState: RunState.Ran},
      );
    case ClaimOutcomeType.Unresolved:
      return makeRefusal(
        RefusalCode.ClaimUnresolved,
        'Whether the request with this Idempotency-Key ran is not known.',
        {runState: RunState.Unknown},
      );
    case ClaimOutcomeType.PlatformUnavailable:
      return makeRefusal(
        RefusalCode.PlatformUnavailable,
        'The Idempotency-Key cannot be claimed at present; the request did not run.',
      );
  }
}
