/** Creates a side process from its parts. */
import type {Timer} from '@siskinplank/foundation';
import {Either, Right} from 'purify-ts';
import {MemberState} from '@siskinplank/messages';
import {
  RefusalCode,
  ResourceKind,
  UpstreamState,
  UpstreamType,
} from '@siskinplank/resources';
import type {Upstream} from '@siskinplank/resources';
import {createAttemptController} from './attempts/controller';
import {createAttemptTable} from './attempts/table';
import * as constants from './constants';
import {createDispatcher} from './dispatcher';
import {createEndReporter} from './ends/end-reporter';
import {probeRefusal} from './ends/probe';
import {createEngineControl} from './engine-control';
import * as events from './events';
import {runAttempt} from './handover/runner';
import {createUpstreamClient} from './handover/upstream-client';
import type {UpstreamClient} from './handover/upstream-client';
import {createHealthServer} from './http/server';
import {createDemandMeter} from './load/demand';
import {createLoadReporter} from './load/reporter';
import {createSideMetrics} from './metrics';
import {createFairQueue} from './queue/fair-queue';
import {chooseRedirect} from './redirects';
import {createServiceControl} from './service-control';
import {getTargetName} from './targets';
import type {SideOptions, SideProcess, StartError} from './types';
import type {UpstreamControl} from './upstream-control';

/** Parts that exist once the Upstream object was received. */
interface UpstreamParts {
  /** Properties that require a new control when they change. */
  controlKey: string;
  /** Properties that require a new client when they change. */
  clientKey: string;
  client: UpstreamClient;
  control: UpstreamControl;
}

/** Creates a side process; nothing runs before `start`. */
export function createSideProcess(options: SideOptions): SideProcess {
  const {settings, clock, random, logger, tracing, network} = options;
  const {configuration, membership, lease} = options;
  const name = settings.upstream;
  const queue = createFairQueue({
    ...settings.queue,
    agingMs: constants.OVERNIGHT_AGING_MS,
  });
  const table = createAttemptTable({
    retentionMs: constants.FINISHED_RETENTION_MS,
    maxFinished: constants.MAX_FINISHED_ATTEMPTS,
  });
  const demand = createDemandMeter();
  const metrics = createSideMetrics(options.metrics);
  let parts: UpstreamParts | undefined;
  let isLeaving = false;
  let drained: Promise<void> | undefined;
  let sweepTimer: Timer | undefined;
  let unsubscribe: (() => void) | undefined;

  const getUpstream = (): Upstream | undefined =>
    configuration.getObject(ResourceKind.Upstream, name)?.value;

  const getState = (): MemberState =>
    isLeaving ||
    getUpstream()?.state === UpstreamState.Leaving ||
    membership.getMember(settings.process.name)?.state === MemberState.Leaving
      ? MemberState.Leaving
      : MemberState.Live;

  const controller = createAttemptController({
    network,
    clock,
    logger,
    tracing,
    table,
    queue,
    receiveBudget: options.receiveBudget,
    admission: {
      getClosedCode: () => {
        if (getState() === MemberState.Leaving) return RefusalCode.Draining;
        // The process has not received its configuration yet.
        return parts === undefined ? RefusalCode.ConfigurationStale : undefined;
      },
      canServe: target => parts?.control.canServe(target) ?? false,
      chooseRedirect: target =>
        chooseRedirect(target, name, configuration, random),
    },
    onQueued: attempt => {
      const {target, tokens} = attempt.item;
      demand.record(getTargetName(target), tokens, clock.getNowMs());
      dispatcher.dispatch();
      parts?.control.notifyQueued();
    },
    onEndSent: link => {
      reporter.reportTo(link);
      dispatcher.dispatch();
    },
    onRefused: code => {
      metrics.refusals.inc({code});
      dispatcher.dispatch();
    },
  });

  const dispatcher = createDispatcher({
    clock,
    table,
    queue,
    controller,
    getMaxConcurrency: () => getUpstream()?.maxConcurrency ?? 0,
    isReady: target => parts?.control.isReady(target) ?? false,
    run: async attempt => {
      if (parts === undefined) return {};
      const {client} = parts;
      return runAttempt(attempt, {
        client,
        clock,
        random,
        tracing,
        logger,
        receiveBudget: options.receiveBudget,
        checkAfterBreak: async broken => {
          // The address of a replaced upstream proves nothing about this one.
          if (parts?.client !== client) return;
          await endReporter.checkAfterBreak(broken);
        },
      });
    },
    onOutcome: (attempt, outcome) => {
      metrics.attempts.inc({
        outcome: outcome.refusal === undefined ? 'answered' : 'refused',
      });
      const {enqueuedMs} = attempt.item;
      const waitedMs = (attempt.handedOverMs ?? enqueuedMs) - enqueuedMs;
      metrics.queueSeconds.observe(waitedMs / 1_000);
    },
  });

  const endReporter = createEndReporter({
    upstream: name,
    network,
    clock,
    logger,
    listRunning: dispatcher.listRunning,
    probeRefusal: async () => {
      const address = getUpstream()?.address;
      return address !== undefined && probeRefusal(address);
    },
    isLeaving: () => getState() === MemberState.Leaving,
  });

  const reporter = createLoadReporter(network, clock, () => {
    const {requests, tokens} = queue.getTotals();
    const content = parts?.control.summarizeContent();
    return {
      upstream: name,
      state: getState(),
      queuedRequests: requests,
      queuedTokens: tokens,
      running: dispatcher.listRunning().length,
      maxConcurrency: getUpstream()?.maxConcurrency ?? 0,
      freeMemoryMiB: content?.freeMemoryMiB ?? 0,
      models: content?.models ?? [],
      loadingModels: content?.loadingModels ?? [],
      adapters: content?.adapters ?? [],
      demand: demand.listRates(clock.getNowMs()),
      cachedPrefixes: content?.cachedPrefixes ?? [],
    };
  });

  const healthServer = createHealthServer(
    settings.http,
    options.metrics,
    () => parts !== undefined && getState() === MemberState.Live,
  );

  const createControl = (upstream: Upstream): UpstreamControl =>
    upstream.type === UpstreamType.Service
      ? createServiceControl(name, configuration)
      : createEngineControl({
          ...options,
          metrics,
          upstream,
          queue,
          demand,
          listRunning: dispatcher.listRunning,
          onRestarted: endReporter.reportRestart,
          onChanged: dispatcher.dispatch,
        });

  /** Creates or replaces the parts when the Upstream object changes. */
  const applyUpstream = (): void => {
    const upstream = getUpstream();
    if (upstream === undefined) return;
    const {type, address, maxConcurrency} = upstream;
    const controlKey = JSON.stringify([type, address]);
    const clientKey = JSON.stringify([address, maxConcurrency]);
    const former = parts;
    // The control contains the memory ledger, which must be kept unless the
    // engine itself is replaced.
    const keepsControl = former?.controlKey === controlKey;
    if (keepsControl && former?.clientKey === clientKey) return;
    parts = {
      controlKey,
      clientKey,
      client: createUpstreamClient(address, maxConcurrency),
      control: keepsControl ? former.control : createControl(upstream),
    };
    if (!keepsControl) {
      void former?.control.stop();
      parts.control.start();
    }
    // Running requests still use the replaced client.
    void dispatcher.waitForIdle().then(() => former?.client.close());
    dispatcher.dispatch();
  };

  const runDrain = async (): Promise<void> => {
    isLeaving = true;
    logger.log(events.DRAIN_STARTED, {open: table.listOpen().length});
    membership.setOwnState(MemberState.Leaving);
    reporter.reportAll();
    const announcedAtMs = clock.getNowMs();
    const {graceMs} = settings.drain;
    // Entry processes send these to other upstreams or wait for a restart.
    controller.refuseQueued(RefusalCode.Draining, 'the upstream is leaving');
    let graceTimer: Timer | undefined;
    await Promise.race([
      dispatcher.waitForIdle(),
      new Promise<void>(resolve => {
        graceTimer = clock.startTimer(graceMs, resolve);
      }),
    ]);
    graceTimer?.cancel();
    // Requests sent before the announcement arrived still get a refusal.
    const announcedForMs = clock.getNowMs() - announcedAtMs;
    await clock.waitMs(
      Math.max(
        0,
        Math.min(constants.DRAIN_ANNOUNCEMENT_MS, graceMs) - announcedForMs,
      ),
    );
    logger.log(events.DRAIN_ENDED, {open: dispatcher.listRunning().length});
  };

  return {
    start: async (): Promise<Either<StartError, void>> => {
      controller.start();
      reporter.start();
      endReporter.start();
      const bound = await network.start();
      if (bound.isLeft()) return bound.mapLeft(({reason}) => ({reason}));
      const listening = await healthServer.start();
      if (listening.isLeft()) {
        controller.stop();
        reporter.stop();
        endReporter.stop();
        await network.stop();
        return listening;
      }
      configuration.start();
      membership.start();
      lease.start();
      unsubscribe = configuration.subscribe(applyUpstream);
      applyUpstream();
      sweepTimer = clock.startInterval(constants.SWEEP_PERIOD_MS, () => {
        controller.sweep(clock.getNowMs());
        dispatcher.dispatch();
      });
      logger.log(events.SIDE_STARTED, {upstream: name});
      return Right(undefined);
    },
    drain: () => {
      drained ??= runDrain();
      return drained;
    },
    stop: async () => {
      isLeaving = true;
      unsubscribe?.();
      sweepTimer?.cancel();
      controller.stop();
      reporter.stop();
      endReporter.stop();
      await parts?.control.stop();
      await parts?.client.close();
      await lease.stop();
      membership.stop();
      await configuration.stop();
      await network.stop();
      await healthServer.stop();
    },
  };
}
