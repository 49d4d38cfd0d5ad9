/** Platform calls with a rate limit, circuit breaker, metrics and retries. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock, Logger, Metrics, Random} from '@siskinplank/foundation';
import {CircuitPermit, createCircuit} from './circuit';
import {createCallBudget} from './call-budget';
import {CIRCUIT_CLOSED, CIRCUIT_OPENED} from './events';
import type {
  HttpCaller,
  HttpFailure,
  HttpReply,
  HttpRequest,
} from './http-call';
import {PlatformErrorCode} from './types';
import type {PlatformError} from './types';

/** Kind of a call; the label `kind` of the call metrics. */
export enum CallKind {
  Get = 'get',
  List = 'list',
  Put = 'put',
  Delete = 'delete',
  Watch = 'watch',
  Hosts = 'hosts',
}

/** A failed call. */
export interface CallFailure extends PlatformError {
  /** True only when the platform cannot have executed the request. */
  isUnsent: boolean;
}

/** How a call uses the call budget. */
export enum BudgetUse {
  Normal = 'normal',
  /** Finds the outcome of a write without a reply; may overdraw the budget. */
  Forced = 'forced',
}

/** Sends calls as far as the call budget and the circuit allow. */
export interface GuardedCaller {
  /** Sends once. */
  send(
    kind: CallKind,
    request: HttpRequest,
    use?: BudgetUse,
  ): Promise<Either<CallFailure, HttpReply>>;
  /** Sends a read and retries it while the platform is unavailable. */
  read(
    kind: CallKind,
    request: HttpRequest,
    use?: BudgetUse,
  ): Promise<Either<CallFailure, HttpReply>>;
  isClosed(): boolean;
  isHealthy(): boolean;
}

const READ_ATTEMPTS = 3;
const FIRST_RETRY_MS = 30;

const refuse = (code: PlatformErrorCode): Either<CallFailure, HttpReply> =>
  Left({code, message: `not sent: ${code}`, isUnsent: true});

/** Whether a reply reports that the platform is temporarily unavailable. */
const isUnavailable = (reply: HttpReply): boolean =>
  reply.status >= 500 || reply.status === 429 || reply.status === 408;

/** Creates the guarded caller of one process. */
export function createGuardedCaller(options: {
  http: HttpCaller;
  callsPerSecond: number;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  /**
   * Called at the first reply after a failed call. Calls that were sent before
   * `sentBeforeMs` may have lost their reply.
   */
  onRecovery(sentBeforeMs: number): void;
}): GuardedCaller {
  const {clock, random, logger} = options;
  const budget = createCallBudget(options.callsPerSecond, clock.getNowMs());
  const circuit = createCircuit({
    random,
    onOpen: () => logger.log(CIRCUIT_OPENED),
    onClose: () => logger.log(CIRCUIT_CLOSED),
  });
  const counter = options.metrics.createCounter(
    'platform_calls_total',
    'Calls to the platform by kind and outcome.',
    ['kind', 'outcome'],
  );

  /** End of the last failed call until a later call gets a reply. */
  let failedAtMs: number | undefined;

  const recordSuccess = (sentAtMs: number): void => {
    circuit.recordSuccess();
    if (failedAtMs === undefined || sentAtMs < failedAtMs) return;
    failedAtMs = undefined;
    options.onRecovery(sentAtMs);
  };

  const recordFailure = (): void => {
    failedAtMs = clock.getNowMs();
    circuit.recordFailure(failedAtMs);
  };

  const checkReply = (
    kind: CallKind,
    sentAtMs: number,
    reply: Either<HttpFailure, HttpReply>,
  ): Either<CallFailure, HttpReply> => {
    const checked = reply
      .mapLeft(failure => ({
        code: PlatformErrorCode.Unavailable,
        ...failure,
      }))
      .chain(received =>
        isUnavailable(received)
          ? Left({
              code: PlatformErrorCode.Unavailable,
              message: `platform replied with status ${received.status}`,
              // An overloaded platform rejects requests before executing them.
              isUnsent: received.status === 429,
            })
          : Right(received),
      );
    checked.ifLeft(recordFailure).ifRight(() => recordSuccess(sentAtMs));
    const outcome = checked
      .mapLeft(failure => String(failure.code))
      .map(received => String(received.status))
      .extract();
    counter.inc({kind, outcome});
    return checked;
  };

  const send: GuardedCaller['send'] = async (kind, request, use) => {
    const nowMs = clock.getNowMs();
    const permit = circuit.acquirePermit(nowMs);
    if (permit === CircuitPermit.Denied) {
      counter.inc({kind, outcome: PlatformErrorCode.CircuitOpen});
      return refuse(PlatformErrorCode.CircuitOpen);
    }
    if (use === BudgetUse.Forced) budget.forceTake(nowMs);
    else if (!budget.tryTake(nowMs)) {
      if (permit === CircuitPermit.Probe) circuit.cancelProbe();
      counter.inc({kind, outcome: PlatformErrorCode.BudgetExceeded});
      return refuse(PlatformErrorCode.BudgetExceeded);
    }
    return checkReply(kind, nowMs, await options.http.send(request));
  };

  const read: GuardedCaller['read'] = async (kind, request, use) => {
    let result = await send(kind, request, use);
    for (let attempt = 1; attempt < READ_ATTEMPTS; attempt += 1) {
      const canRetry = result
        .mapLeft(failure => failure.code === PlatformErrorCode.Unavailable)
        .map(() => false)
        .extract();
      if (!canRetry || !circuit.isClosed()) return result;
      const delayMs = FIRST_RETRY_MS * 2 ** (attempt - 1);
      await clock.waitMs(delayMs * (0.5 + random.getNext()));
      result = await send(kind, request, use);
    }
    return result;
  };

  return {
    send,
    read,
    isClosed: circuit.isClosed,
    isHealthy: circuit.isHealthy,
  };
}
