/** Composes the entry role from its components. */
import type {Either} from 'purify-ts';
import type {ConfigurationChange} from '@siskinplank/configuration';
import {MemberState, MessageType} from '@siskinplank/messages';
import {RefusalCode, ResourceKind} from '@siskinplank/resources';
import type {ApiKey} from '@siskinplank/resources';
import {createLoadTable} from '@siskinplank/routing';
import {createAttemptRelay} from './attempts/relay';
import {isWithdrawn} from './authentication/authenticate';
import {createRequestPreparer} from './caller/prepare';
import {createRouteTable} from './caller/route-table';
import {createCallerServer} from './caller/server';
import {createPoisonGuard} from './deadly-requests/poison-guard';
import {createDrain} from './drain/drain';
import {createOpenRequests} from './drain/open-requests';
import type {OpenRequest} from './drain/open-requests';
import {ENTRY_STARTED, REQUEST_REVOKED} from './events';
import {createSideLinks} from './links/side-links';
import {createEntryMetrics} from './metrics';
import {makeRefusal} from './refusals';
import {createDispatcher} from './requests/dispatch';
import {createExecutor} from './requests/execute';
import {createRetryBudget} from './retries/budget';
import type {EntryDependencies, EntryProcess, StartError} from './types';

/** Creates the entry role; the calling code starts its dependencies. */
export function createEntryProcess(deps: EntryDependencies): EntryProcess {
  const {settings, clock, logger, network, configuration} = deps;
  const metrics = createEntryMetrics(deps.metrics);
  const loads = createLoadTable();
  const openRequests = createOpenRequests();
  const relay = createAttemptRelay({network, clock, logger});
  const drain = createDrain({
    clock,
    logger,
    openRequests,
    ...settings.drain,
    announce: () => deps.membership.setOwnState(MemberState.Leaving),
    finish: () => deps.claims.stop(),
  });
  const sideLinks = createSideLinks({...deps, loads});
  const poisonGuard = createPoisonGuard({
    processName: settings.process.name,
    logger,
    listMembers: () => deps.membership.listMembers(clock.getNowMs()),
    hashKey: deps.hashKey,
  });
  const dispatcher = createDispatcher({
    ...deps,
    poisonGuard,
    metrics,
    loads,
    sideLinks,
    relay,
    budget: createRetryBudget(settings.retries.budgetRatio, clock.getNowMs()),
  });
  const executor = createExecutor({
    ...deps,
    metrics,
    dispatcher,
    openRequests,
    reserveWaitMs: settings.limits.reserveWaitMs,
    processName: settings.process.name,
    isLeaving: drain.isLeaving,
  });
  const preparer = createRequestPreparer({
    ...deps,
    routes: createRouteTable(configuration),
  });
  const server = createCallerServer({
    settings,
    clock,
    logger,
    metrics,
    configuration,
    preparer,
    executor,
    openRequests,
    isLeaving: drain.isLeaving,
    isDraining: drain.isDraining,
  });

  const abortRevoked = (change: ConfigurationChange): void => {
    const isAffected = makeRevocationTest(change);
    if (isAffected === undefined) return;
    const count = openRequests.abortMatching(
      isAffected,
      makeRefusal(RefusalCode.KeyWithdrawn, 'The API key was withdrawn.'),
    );
    if (count > 0) logger.log(REQUEST_REVOKED, {kind: change.kind, count});
  };

  const subscriptions = [
    network.subscribe([MessageType.LoadReport], (_link, message) =>
      loads.recordReport(message.load, clock.getNowMs()),
    ),
    network.subscribe([MessageType.LoadUpdate], (link, message) => {
      const nowMs = clock.getNowMs();
      if (!loads.recordUpdate(message, nowMs)) {
        sideLinks.requestReport(link, nowMs);
      }
    }),
    network.subscribe([MessageType.UpstreamEnded], (_link, message) =>
      poisonGuard.recordEnd(message, clock.getNowMs()),
    ),
    network.subscribe([MessageType.RequestAnswered], (_link, message) =>
      poisonGuard.recordAnswer(message.requestKey, clock.getNowMs()),
    ),
    configuration.subscribe(changes => {
      if (changes.some(change => change.kind === ResourceKind.Upstream)) {
        sideLinks.reconcile();
      }
      changes.forEach(abortRevoked);
    }),
  ];

  return {
    start: async (): Promise<Either<StartError, void>> => {
      sideLinks.start();
      const result = await server.listen();
      if (result.isRight()) {
        logger.log(ENTRY_STARTED, {port: settings.caller.port});
      }
      return result;
    },
    drain: drain.run,
    listLoads: nowMs => loads.listReports(nowMs),
    setFullView: isFull => sideLinks.setFullView(isFull),
    isViewComplete: nowMs => sideLinks.isViewComplete(nowMs),
    getReportAgeLimitMs: () => sideLinks.getReportAgeLimitMs(),
    stop: async () => {
      await drain.force();
      await server.close();
      for (const unsubscribe of subscriptions) unsubscribe();
      relay.stop();
      sideLinks.stop();
    },
  };
}

/** Selects the open requests whose key or account a change withdraws. */
function makeRevocationTest(
  change: ConfigurationChange,
): ((request: OpenRequest) => boolean) | undefined {
  if (change.kind === ResourceKind.ApiKey) {
    const key = change.object?.value as ApiKey | undefined;
    if (key !== undefined && !isWithdrawn(key)) return undefined;
    return request => request.keyId === change.name;
  }
  if (
    change.kind === ResourceKind.ClientAccount &&
    change.object === undefined
  ) {
    return request => request.account === change.name;
  }
  return undefined;
}
