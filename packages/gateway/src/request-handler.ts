/** Admits caller requests and starts a session for each. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  LATE_START_RETRY_MS,
  SHUTDOWN_RETRY_AFTER_MS,
  shouldRefuseLateStart,
} from '@siskinplank/dispatch';
import type {RetryBudgetOptions, UpstreamTable} from '@siskinplank/dispatch';
import {waitForPoll} from '@siskinplank/foundation';
import type {Clock, Logger, Random} from '@siskinplank/foundation';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import {RequestKind, canRepeat, isResumingStream} from '@siskinplank/serving';
import type {LimitReadings} from '@siskinplank/token-shares';
import type {
  CallerRequest,
  ExchangeFormat,
  Upstream,
} from '@siskinplank/serving';
import {countTokens} from './account-limiter';
import type {AccountLimiter} from './account-limiter';
import {computeDeadlineAtMs, createAdmission} from './admission';
import type {AdmittedTarget} from './admission';
import type {ArrivalTimes} from './arrival-times';
import {receiveBody, skipBody} from './caller-body';
import {describeClose} from './caller-close';
import type {CallerClose} from './caller-close';
import {createCallerConnections} from './caller-connections';
import {createCallerResponse} from './caller-response';
import type {ConfigurationReplica} from './configuration-replica';
import type {DemandCounter} from './demand-counter';
import type {Dispatcher} from './dispatcher';
import {RESPONSE_UNSENT} from './events';
import type {GatewayMetrics} from './gateway-metrics';
import type {RequestGuard} from './request-guard';
import {BODY_REFUSALS, REFUSAL_STATUSES, RefusalCode} from './refusals';
import type {Refusal} from './refusals';
import {createRequestDurations} from './request-durations';
import type {ShutdownTimes} from './request-durations';
import {logRequestEnd} from './request-log';
import {createRequestSession} from './request-session';
import {createServiceBudgets} from './service-budgets';
import type {RequestSession, SessionOutcome} from './session-types';
import {computePatienceMs, resolveTarget} from './resumed-streams';
import {createResumeWait} from './resume-wait';
import type {StreamOrigins} from './stream-origins';
import type {UpstreamBackoffs} from './upstream-backoffs';
import type {UpstreamLimits} from './upstream-limits';
import {createUpstreamRecorders} from './upstream-recorders';

/** What `createRequestHandler` needs. */
export interface RequestHandlerOptions {
  configuration: ConfigurationReplica;
  upstreams: UpstreamTable;
  dispatcher: Dispatcher;
  limiter: AccountLimiter;
  demand: DemandCounter;
  pool: ConnectionPool;
  format: ExchangeFormat;
  retryBudget: RetryBudgetOptions;
  guard: RequestGuard;
  origins: StreamOrigins;
  limits: UpstreamLimits;
  backoffs: UpstreamBackoffs;
  /** Fraction of the retry budget of all gateways that this one may use. */
  getFleetFraction(): number;
  /** Age of the configuration from which keys are not trusted. */
  maxConfigurationAgeMs: number;
  clock: Clock;
  arrivals: ArrivalTimes;
  random: Random;
  logger: Logger;
  metrics: GatewayMetrics;
  /** Whether the process stops, so that connections are to be closed. */
  isLeaving(): boolean;
  /** Undefined unless the process stops. */
  getShutdown(): ShutdownTimes | undefined;
  /** Called before a request is admitted. */
  onArrival(): void;
  /** Called when an upstream rejects a request as misdirected. */
  onMisdirected(upstream: Upstream, hasModel: boolean): void;
}

/** Serves caller requests. */
export interface RequestHandler {
  handle(incoming: IncomingMessage, outgoing: ServerResponse): void;
  /** Requests without a final response. */
  countOpen(): number;
  /** Ends the requests without a final response, since the process stops. */
  endOpen(): void;
  /** Stops requests that were blamed before they were answered. */
  refuseBlamed(): void;
  /** Fails requests over from unresponsive upstreams. */
  checkProgress(): void;
}

/** Callers may have left a request that waited at least this long. */
const LATE_READ_MS = 150;

/** Creates the handler. */
export function createRequestHandler(
  options: RequestHandlerOptions,
): RequestHandler {
  const {configuration, upstreams, arrivals, clock, logger, format} = options;
  const requestAdmission = createAdmission(options);
  const budgets = createServiceBudgets(options);
  const durations = createRequestDurations();
  const awaitRetry = createResumeWait(options);
  const sessions = new Set<RequestSession>();
  const connections = createCallerConnections(options.isLeaving);
  const openRequests = new Set<() => void>();

  const handle = (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): void => {
    options.onArrival();
    const {socket} = incoming;
    const readAtMs = clock.getNowMs();
    const arrivedAtMs = arrivals.takeArrivalMs(socket, readAtMs);
    const unreadMs = readAtMs - arrivedAtMs;
    const configurationAgeMs = configuration.getAgeMs(readAtMs);
    let session: RequestSession | undefined;
    let isClosed = false;
    /** How the connection ended before its response was written. */
    let callerClose: CallerClose | undefined;
    /** Drops the body that is being received. */
    let dropBody: (() => void) | undefined;
    const response = createCallerResponse(outgoing, () =>
      connections.markClosing(socket),
    );
    const decoded = format.decodeRequest(
      incoming.method ?? 'GET',
      incoming.url ?? '/',
      incoming.rawHeaders,
    );
    let tokens: number | undefined;
    let modelKey: string | undefined;
    let limit: LimitReadings | undefined;
    const attemptId = decoded.map(request => request.attemptId).orDefault('');
    let hasLogged = false;
    /** First time at which the origin of its stream was looked up. */
    let sinceMs = Infinity;

    const logEnd = (
      status: number,
      refusal: Refusal | undefined,
      outcome: Partial<SessionOutcome>,
      admission: Partial<AdmittedTarget>,
    ): void => {
      hasLogged = true;
      const totalMs = clock.getNowMs() - arrivedAtMs;
      const kind = admission.route?.kind ?? 'none';
      options.metrics.recordRequest(kind, status, refusal, outcome, totalMs);
      logRequestEnd(logger, {
        attemptId,
        request: decoded.toMaybe().extract(),
        status,
        refusal,
        outcome,
        admission,
        modelKey,
        tokens,
        limit,
        totalMs,
        unreadMs,
        configurationVersion: configuration.getTable()?.configuration.version,
        configurationAgeMs,
        close: callerClose,
      });
    };

    const sendRefusal = (refusal: Refusal): void =>
      response.sendStatus(
        REFUSAL_STATUSES[refusal.code],
        format.encodeGatewayHeaders(
          attemptId === '' ? undefined : attemptId,
          refusal.retryAfterMs,
        ),
      );

    const refuse = (
      refusal: Refusal,
      admission: Partial<AdmittedTarget> = {},
    ): void => {
      dropBody?.();
      sendRefusal(refusal);
      skipBody(incoming, outgoing, clock);
      logEnd(REFUSAL_STATUSES[refusal.code], refusal, {}, admission);
    };

    const endForStop = (): void => {
      if (session !== undefined) {
        session.endForStop();
        return;
      }
      if (outgoing.headersSent) return;
      const retryAfterMs = SHUTDOWN_RETRY_AFTER_MS;
      refuse({code: RefusalCode.Stopping, retryAfterMs});
    };
    openRequests.add(endForStop);

    const onClosed = (): void => {
      if (isClosed) return;
      isClosed = true;
      dropBody?.();
      connections.removeRequest(socket, onClosed);
      openRequests.delete(endForStop);
      const hasCallerEnded = connections.hasCallerEnded(socket);
      callerClose = describeClose(socket, outgoing, hasCallerEnded);
      if (hasLogged && callerClose !== undefined)
        logger.log(RESPONSE_UNSENT, {request: attemptId, ...callerClose});
      if (session !== undefined) sessions.delete(session);
      session?.abandon();
      if (!hasLogged) logEnd(0, undefined, {}, {});
    };
    connections.addRequest(socket, onClosed);
    outgoing.on('close', onClosed);

    const run = (
      request: CallerRequest,
      admission: AdmittedTarget,
      body: Buffer | undefined,
      takenTokens: number,
    ): void => {
      const {route, service, account} = admission;
      const {model, adapter} = request;
      const key = adapter === undefined ? model : `${model}/${adapter}`;
      modelKey = key;
      const promptTokens = request.promptTokens ?? 0;
      const outputTokens =
        request.expectedOutputTokens ?? request.maxOutputTokens ?? 0;
      const deadlineAtMs = computeDeadlineAtMs(request, route, arrivedAtMs);
      const budget = budgets.ensureBudget(service);
      budget.recordRequest(clock.getNowMs());
      if (model !== undefined) options.demand.recordRequest(model);
      const duration = durations.measure({request, route, deadlineAtMs});
      const recordDuration = ({
        status,
        firstByteMs = 0,
      }: SessionOutcome): void => {
        const isSuccess = status >= 200 && status < 300;
        const firstByteAtMs = isSuccess ? arrivedAtMs + firstByteMs : undefined;
        duration.end(firstByteAtMs, clock.getNowMs());
      };
      const getLastStartAtMs = (): number | undefined => {
        const shutdown = options.getShutdown();
        // A response that has begun can't be refused any more.
        if (shutdown === undefined || response.hasStarted()) return undefined;
        return duration.getLastStartAtMs(shutdown, clock.getNowMs());
      };
      session = createRequestSession({
        admitted: {
          request,
          ...admission,
          body,
          arrivedAtMs,
          deadlineAtMs,
        },
        response,
        format,
        pool: options.pool,
        clock,
        logger,
        acquireUpstream: (target, onUpstream, onRefused) =>
          options.dispatcher.acquire({
            service,
            model,
            adapter,
            promptTokens,
            isResumable: route.kind === RequestKind.Stream && canRepeat(route),
            ...target,
            // A caller waits from the last event of a stream that has begun.
            arrivedAtMs: response.hasStarted() ? clock.getNowMs() : arrivedAtMs,
            deadlineAtMs,
            targetLatencyMs: route.targetLatencyMs,
            targetPauseMs: route.targetPauseMs,
            getLastStartAtMs,
            onUpstream,
            onRefused,
          }),
        recordOpen: entry => {
          duration.startAttempt(clock.getNowMs());
          return upstreams.open(
            entry.upstream.id,
            key ?? '',
            promptTokens,
            promptTokens + outputTokens,
          );
        },
        ...createUpstreamRecorders(options, request),
        recordFailover: options.metrics.recordFailover,
        guard: options.guard,
        limits: options.limits,
        getLastStartAtMs,
        estimateBackoffMs: target =>
          options.dispatcher.estimateBackoffMs({service, model, ...target}),
        onStreamBegun: ({softwareVersion}) => {
          const origin = {service, softwareVersion};
          if (canRepeat(route)) options.origins.recordBegun(request, origin);
        },
        canSpendRetry: purpose => budget.canSpend(purpose, clock.getNowMs()),
        trySpendRetry: purpose => budget.trySpend(purpose, clock.getNowMs()),
        sendRefusal,
        onEnd: outcome => {
          recordDuration(outcome);
          if (outcome.status !== 0) options.origins.recordCompleted(attemptId);
          const hasNotRun =
            outcome.refusal !== undefined && !outcome.mayHaveRun;
          if (hasNotRun && account !== undefined) {
            options.limiter.refund(account, takenTokens);
          }
          logEnd(outcome.status, outcome.refusal, outcome, admission);
        },
      });
      sessions.add(session);
      session.start();
    };

    /** Whether the request was refused meanwhile, since the process stops. */
    const hasEnded = (): boolean => isClosed || outgoing.headersSent;

    const hasCallerLeft = (): boolean =>
      hasEnded() || socket.readableEnded || connections.isClosing(socket);

    /** Refuses a request, or tries it again if that may help soon. */
    const refuseOrRetry = (
      request: CallerRequest,
      refusal: Refusal,
      admission: Partial<AdmittedTarget>,
      retry: () => void,
    ): void => {
      const refused = {request, refusal, arrivedAtMs, sinceMs};
      const isWaiting = awaitRetry(refused, () => hasCallerLeft() || retry());
      if (!isWaiting) refuse(refusal, admission);
    };

    const start = (
      request: CallerRequest,
      admitted: AdmittedTarget,
      body: Buffer | undefined,
    ): void => {
      if (hasCallerLeft()) return;
      const isResuming = isResumingStream(request, admitted.route);
      if (shouldRefuseLateStart({...admitted.route, unreadMs, isResuming})) {
        const retryAfterMs = LATE_START_RETRY_MS;
        refuse({code: RefusalCode.LateStart, retryAfterMs}, admitted);
        return;
      }
      const nowMs = clock.getNowMs();
      sinceMs = Math.min(sinceMs, nowMs);
      resolveTarget(options, request, admitted, sinceMs, nowMs).caseOf({
        Left: refusal =>
          refuseOrRetry(request, refusal, admitted, () =>
            start(request, admitted, body),
          ),
        Right: target => startAt(request, target, body),
      });
    };

    const startAt = (
      request: CallerRequest,
      admission: AdmittedTarget,
      body: Buffer | undefined,
    ): void => {
      const {route, account} = admission;
      if (account !== undefined) tokens = countTokens(account, request);
      if (account === undefined) {
        run(request, admission, body, 0);
        return;
      }
      const nowMs = clock.getNowMs();
      const patienceMs = computePatienceMs(request, route, arrivedAtMs, nowMs);
      options.limiter.take(account, request, patienceMs, taken => {
        if (hasEnded()) {
          taken.ifRight(tokens => options.limiter.refund(account, tokens));
          return;
        }
        taken.caseOf({
          Left: ({code, retryAfterMs, readings}) => {
            limit = readings;
            refuse({code, retryAfterMs}, admission);
          },
          Right: tokens => run(request, admission, body, tokens),
        });
      });
    };

    const receive = (
      request: CallerRequest,
      admission: AdmittedTarget,
    ): void => {
      const maxBytes =
        configuration.getTable()?.configuration.limits.maxBodyBytes ?? 0;
      const onBody = (body: Buffer | undefined): void => {
        if (unreadMs < LATE_READ_MS) {
          start(request, admission, body);
          return;
        }
        // The caller of a request that waited may have left since. Its
        // close is read in the poll after the one that read the request.
        void waitForPoll()
          .then(waitForPoll)
          .then(() => start(request, admission, body));
      };
      dropBody = receiveBody({
        incoming,
        maxBytes,
        receiveBudget: options.pool.receiveBudget,
        source: `caller ${admission.account?.name ?? admission.route.name}`,
        onBody,
        onFault: fault => refuse(BODY_REFUSALS[fault], admission),
      });
    };

    const admit = (request: CallerRequest): void => {
      requestAdmission.admit(request, clock.getNowMs()).caseOf({
        Left: refusal =>
          refuseOrRetry(request, refusal, {}, () => admit(request)),
        Right: admission => receive(request, admission),
      });
    };

    decoded.caseOf({
      Left: () => refuse({code: RefusalCode.BadRequest}),
      Right: admit,
    });
  };

  return {
    handle,
    countOpen: () => openRequests.size,
    endOpen: () => {
      for (const endForStop of [...openRequests]) endForStop();
    },
    refuseBlamed: () => {
      for (const session of [...sessions]) session.refuseBlamed();
    },
    checkProgress: () => {
      const nowMs = clock.getNowMs();
      for (const session of sessions) session.checkProgress(nowMs);
    },
  };
}
