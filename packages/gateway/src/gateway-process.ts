/** Components, listeners and life cycle of the gateway process. */
import {createDispatchPolicy, createUpstreamTable} from '@siskinplank/dispatch';
import {STORE_RESTORED, createStoreHealth} from '@siskinplank/directory';
import {makeSecureId, waitForPoll} from '@siskinplank/foundation';
import type {Clock, Logger, Metrics, Random} from '@siskinplank/foundation';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import type {PlatformPorts, RouteTable} from '@siskinplank/serving';
import type {GatewaySettings} from '@siskinplank/settings';
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createAnswerObserver} from './answer-observer';
import {drainCallers, planStop} from './caller-drain';
import {createCallerListener} from './caller-listener';
import {createConfigurationReplica} from './configuration-replica';
import {createDemandCounter} from './demand-counter';
import {createDispatcher} from './dispatcher';
import {
  CONNECTIONS_WAIT,
  GATEWAY_DRAIN_STARTED,
  GATEWAY_STARTED,
  GATEWAY_STOPPED,
} from './events';
import {findModel} from './find-model';
import {createFleetNode} from './fleet-node';
import type {FleetNode} from './fleet-node';
import {createGatewayMetrics} from './gateway-metrics';
import {readGateway} from './gateway-readings';
import {createOrderManager} from './order-manager';
import {applyPeerStates} from './peer-states';
import {createProcessWatch} from './process-watch';
import type {ShutdownTimes} from './request-durations';
import {createRequestGuard} from './request-guard';
import {createRequestHandler} from './request-handler';
import {createStreamOrigins} from './stream-origins';
import {createStatusServers} from './status-servers';
import {createSharedLimits} from './shared-limits';
import {createUpstreamBackoffs} from './upstream-backoffs';
import {createUpstreamView} from './upstream-view';
import {waitAtMostUntil} from './wait-at-most-until';

/** What `createGatewayProcess` needs. */
export interface GatewayOptions {
  settings: GatewaySettings;
  ports: PlatformPorts;
  pool: ConnectionPool;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
}

/** The life cycle of a gateway. */
export interface GatewayProcess {
  start(): Promise<Either<{message: string}, void>>;
  /** Stops accepting requests and waits for the open ones. */
  drain(): Promise<void>;
  stop(): Promise<void>;
}

/** Time kept before the forced kill, for the last responses and logs. */
const KILL_MARGIN_MS = 500;
/**
 * Time after the end of the open requests at which the process exits, although
 * the store may not have answered and links may be open. The rest of the margin
 * is for the last log lines.
 */
const EXIT_DELAY_MS = 250;
const MILLISECONDS_PER_SECOND = 1_000;
/** Period of the checks for pauses, stalls, shares and idle connections. */
const HOUSEKEEPING_MS = 100;
/** Later turns, and longer waits in the accept queue, are logged. */
const LOGGED_LATENESS_MS = 400;
/** Drift between the clocks stays below this from one check to the next. */
const PAUSE_TOLERANCE_MS = 250;
/**
 * No orders are sent for this time after a pause, so that messages that
 * arrived during the pause are read first.
 */
const ORDER_PAUSE_MS = 500;
/** Time for an answer of the store on its way, beyond the wait of its watch. */
const ANSWER_MARGIN_MS = 250;
/**
 * Registrations and the lease change rarely, and each wait costs a call. An
 * unresponsive connection is detected only at the end of a wait.
 */
const FLEET_WATCH_WAIT_MS = 10_000;

/** Creates a gateway that does nothing before `start`. */
export function createGatewayProcess(options: GatewayOptions): GatewayProcess {
  const {settings, ports, pool, clock, random, logger, metrics} = options;
  const ownName = settings.process.name;
  const ownIncarnation = makeSecureId(8);
  const graceMs =
    settings.drain.graceSeconds * MILLISECONDS_PER_SECOND - KILL_MARGIN_MS;
  let isLeaving = false;
  let shutdown: ShutdownTimes | undefined;
  const upstreams = createUpstreamTable();
  const limits = createSharedLimits({
    ownName,
    capacity: settings.process.cpuShare * settings.process.cpuSpeed,
    // The order leader is busy with plans and reports of upstreams.
    canPool: () => !isLeaving && orders.leadership.getTerm() === undefined,
    slackTokens: settings.limits.slackTokens,
    settleMs: settings.limits.settleMs,
    upstreams,
    clock,
    logger,
    getFleet: () => fleet,
    onUnits: () => dispatcher.retryWaiting(),
  });
  const {turns, checkLateness, checkPause} = createProcessWatch({
    periodMs: HOUSEKEEPING_MS,
    loggedLatenessMs: LOGGED_LATENESS_MS,
    pauseToleranceMs: PAUSE_TOLERANCE_MS,
    clock,
    logger,
    recordLateness: lateMs => gatewayMetrics.recordLateness(lateMs),
    describeLoad: nowMs => ({
      open: handler.countOpen(),
      peers: fleet.peers.listResponsive(nowMs).length,
      ...fleet.getTraffic(),
    }),
    onPause: nowMs => {
      configuration.invalidate(nowMs);
      orders.leadership.pauseOrders(nowMs + ORDER_PAUSE_MS);
    },
  });
  pool.observeReads(() => turns.observe(clock.getNowMs()));
  const backoffs = createUpstreamBackoffs(logger);
  const answers = createAnswerObserver({
    ports,
    pool,
    backoffs,
    clock,
    onLeft: (incarnation, nowMs) => {
      if (view.recordDeclared(incarnation, nowMs)) fleet.scheduleState();
    },
  });

  const applyConfiguration = ({configuration}: RouteTable): void => {
    callers.applyLimits(configuration.limits);
    limits.setAccounts(configuration.accounts ?? []);
    origins.observeRoutes(configuration.routes, clock.getNowMs());
  };

  const storeHealth = createStoreHealth(
    settings.store.watchWaitMs + ANSWER_MARGIN_MS,
  );
  const watchOptions = {
    watchWaitMs: settings.store.watchWaitMs,
    retryDelayMs: settings.store.retryDelayMs,
    storeHealth,
    clock,
    logger,
  };
  const configuration = createConfigurationReplica({
    ...watchOptions,
    directory: ports.configurations,
    hasHeardPeers: () =>
      fleet.registry.getRevision() > 0 &&
      fleet.registry
        .listOthers()
        .every(({name}) => fleet.peers.getLastSeenAtMs(name) !== undefined),
    getPeerVersion: nowMs =>
      Math.max(
        0,
        ...fleet.peers
          .listResponsive(nowMs)
          .map(({state}) => state.configurationVersion),
      ),
    onApply: applyConfiguration,
  });
  const view = createUpstreamView({
    ...watchOptions,
    watchWaitMs: settings.store.upstreamWatchWaitMs,
    directory: ports.upstreams,
    getEra: () => ports.sharedObjects.getEra(),
    countGateways: () => fleet.registry.listOthers().length + 1,
    onChange: (usable, nowMs) => {
      origins.observeUpstreams(usable, nowMs);
      upstreams.setUpstreams(usable);
      dispatcher.retryWaiting();
    },
  });
  const dispatcher = createDispatcher({
    table: upstreams,
    limits: limits.upstreams,
    backoffs,
    policy: createDispatchPolicy(settings.dispatch.policy, random),
    failureDomain: settings.process.failureDomain,
    clock,
    getStoreLoadMs: (service, model) =>
      view.isServiceLeaving(service) || !orders.hasOrderLeader(clock.getNowMs())
        ? undefined
        : findModel(configuration.getTable(), service, model)?.storeLoadMs,
    loadAdapter: (upstreamId, model, adapter) =>
      orders.loadAdapter(upstreamId, model, adapter),
    onWaiting: () => {
      fleet.scheduleStateToLeader();
      orders.schedulePlan();
    },
  });
  const demand = createDemandCounter(
    dispatcher.describeWaiting,
    model => configuration.getTable()?.hasModel(model) === true,
  );
  const orders = createOrderManager({
    objects: ports.sharedObjects,
    control: ports.upstreamControl,
    ownName,
    ownIncarnation,
    ...watchOptions,
    watchWaitMs: FLEET_WATCH_WAIT_MS,
    leaseMs: settings.orders.leaseMs,
    openPerCopy: settings.orders.openPerCopy,
    clock,
    logger,
    table: upstreams,
    demand,
    getFleet: () => fleet,
    getRoutes: configuration.getTable,
    listUpstreams: view.listUsable,
    isLeaving: () => isLeaving,
    onModelStateChange: () => dispatcher.retryWaiting(),
    onUpstreamEnded: answers.recordEnded,
  });

  const fleet: FleetNode = createFleetNode({
    objects: ports.sharedObjects,
    ownRecord: {
      name: ownName,
      incarnation: ownIncarnation,
      address: settings.link.advertise ?? settings.link.address,
      failureDomain: settings.process.failureDomain,
      region: settings.process.region,
    },
    listenAddress: settings.link.address,
    ...watchOptions,
    watchWaitMs: FLEET_WATCH_WAIT_MS,
    clock,
    random,
    logger,
    collectState: (nowMs, {isLeader}) => ({
      isLeaving,
      configurationVersion: configuration.getVersion(),
      orderToken: orders.leadership.getHighestToken(),
      isOrdering: orders.leadership.getTerm() !== undefined,
      open: upstreams.collectLocalLoad(isLeader),
      demand: isLeader ? demand.describe(nowMs) : {},
      waitingStreams: isLeader ? demand.describeStreams(nowMs) : {},
      ...limits.describe(nowMs),
      faults: upstreams.collectLocalFaults(nowMs),
      leaving: view.listLeaving(nowMs).map(report => [...report]),
      poison: guard.describe(nowMs),
    }),
    onPeerStates: (changed, nowMs) =>
      applyPeerStates(
        {orders, upstreams, view, guard, configuration, limits},
        changed,
        nowMs,
      ),
    onReceive: turns.observe,
    onPeerLost: name => {
      upstreams.removePeer(name);
      limits.removePeer(name);
      origins.handleLost();
    },
    onMessage: (peer, message) => {
      const isHandled =
        limits.handleMessage(peer, message) ||
        origins.handleMessage(peer, message);
      if (!isHandled) orders.handleMessage(peer, message);
    },
    onPeerConnected: name => {
      orders.handleConnected(name);
      origins.handleConnected(name);
    },
    onMembersChange: limits.updateMembers,
    listLenders: limits.listLenders,
    mayRemoveRegistrations: () => orders.leadership.getTerm() !== undefined,
    onRegistrationRemoved: name => origins.removeGateway(name),
  });

  const origins = createStreamOrigins({
    ...watchOptions,
    ports,
    ownName,
    getFleet: () => fleet,
  });

  const gatewayMetrics = createGatewayMetrics(metrics, () =>
    readGateway(
      {
        handler,
        dispatcher,
        pool,
        configuration,
        leadership: orders.leadership,
        fleet,
        limits: limits.upstreams,
        view,
        backoffs,
        guard,
        origins,
      },
      clock.getNowMs(),
    ),
  );

  const guard = createRequestGuard({
    upstreams,
    control: ports.upstreamControl,
    pool,
    ...watchOptions,
    metrics: gatewayMetrics,
    getRoutes: configuration.getTable,
    isTrialOwner: key => fleet.isOwner(key),
    onBlame: () => handler.refuseBlamed(),
    onNews: () => fleet.scheduleState(),
  });

  const callers = createCallerListener({
    settings,
    clock,
    logger,
    turns,
    onAcceptWait: waitMs => {
      gatewayMetrics.recordAcceptWait(waitMs);
      if (waitMs < LOGGED_LATENESS_MS) return;
      logger.log(CONNECTIONS_WAIT, {
        waitMs: Math.round(waitMs),
        open: handler.countOpen(),
      });
    },
  });
  const handler = createRequestHandler({
    configuration,
    upstreams,
    dispatcher,
    limiter: limits.accounts,
    demand,
    guard,
    origins,
    limits: limits.upstreams,
    backoffs,
    pool,
    format: ports.exchangeFormat,
    retryBudget: {
      ratio: settings.retries.ratio,
      slack: settings.retries.slack,
      windowMs: settings.retries.windowSeconds * MILLISECONDS_PER_SECOND,
    },
    getFleetFraction: limits.getFraction,
    // Subtracts the longest pause that the detector does not report.
    maxConfigurationAgeMs: settings.store.maxAgeMs - PAUSE_TOLERANCE_MS,
    clock,
    arrivals: callers.arrivals,
    random,
    logger,
    metrics: gatewayMetrics,
    isLeaving: () => isLeaving,
    getShutdown: () => shutdown,
    onArrival: checkPause,
    onMisdirected: answers.checkMisdirected,
  });

  const isReady = (): boolean => {
    const nowMs = clock.getNowMs();
    return (
      !isLeaving &&
      view.isLoaded() &&
      configuration.getAgeMs(nowMs) < settings.store.readyAgeMs &&
      !configuration.mayBeLost(nowMs)
    );
  };

  const statusServers = createStatusServers({
    settings,
    readinessPath: ports.readinessPath,
    isReady,
    metrics,
  });

  const housekeeping = clock.startInterval(HOUSEKEEPING_MS, () => {
    checkLateness();
    checkPause();
    // Responses may have arrived that were not read yet.
    void waitForPoll().then(handler.checkProgress);
    origins.observeUpstreams(view.listUsable(), clock.getNowMs());
    const routes = configuration.getTable()?.configuration.routes;
    origins.observeRoutes(routes ?? [], clock.getNowMs());
    limits.updateMembers();
    limits.sendAccrued();
    pool.closeExpired(clock.getNowMs());
  });

  ports.sharedObjects.observeRestores(era => logger.log(STORE_RESTORED, {era}));

  return {
    start: async () => {
      configuration.start();
      view.start();
      fleet.start();
      origins.start();
      orders.start();
      const listening = await callers.start(handler.handle);
      if (listening.isLeft()) return listening;
      const started = await statusServers.start();
      if (started.isLeft()) return started;
      logger.log(GATEWAY_STARTED, {
        ...settings.caller.address,
        incarnation: ownIncarnation,
      });
      return Right(undefined);
    },
    drain: async () => {
      isLeaving = true;
      const nowMs = clock.getNowMs();
      const {lateMs, endsAtMs: stopAtMs} = planStop(turns, graceMs, nowMs);
      logger.log(GATEWAY_DRAIN_STARTED, {open: handler.countOpen(), lateMs});
      const {noticeMs} = settings.drain;
      shutdown = {noticeEndsAtMs: nowMs + noticeMs, stopAtMs};
      await callers.closeIdle();
      // The store may not answer, and callers are drained all the same.
      const released = orders.releaseLease().then(fleet.scheduleState);
      fleet.scheduleState();
      await drainCallers({callers, handler, clock, noticeMs, stopAtMs});
      await released;
    },
    stop: async () => {
      housekeeping.cancel();
      configuration.stop();
      view.stop();
      origins.stop();
      const stopAtMs = shutdown?.stopAtMs ?? clock.getNowMs() + graceMs;
      const ended = Promise.all([orders.stop(), fleet.stop()]);
      await waitAtMostUntil(ended, stopAtMs + EXIT_DELAY_MS, clock);
      pool.close();
      statusServers.stop();
      logger.log(GATEWAY_STOPPED, {open: handler.countOpen()});
    },
  };
}
