/**
 * Tells by which software version a stream began that a caller resumes.
 * Gateways pass the origins of their streams on to each other also while there
 * is one version, since a gateway that stands still when the second one comes
 * can't any more. While a service has more than one, they store them for the
 * case that all gateways are killed.
 */
import type {
  Directory,
  SharedObjectStore,
  StoreHealth,
} from '@siskinplank/directory';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {RequestKind, canRepeat, isResumingStream} from '@siskinplank/serving';
import type {
  CallerRequest,
  Route,
  ServingConfiguration,
  Upstream,
} from '@siskinplank/serving';
import {
  ORIGIN_KEEP_MS,
  createOriginTable,
  createVersionHistory,
  resolveOrigin,
  collectOrigins,
  listOrigins,
  planOriginSchedule,
} from '@siskinplank/stream-origins';
import type {
  OriginRecord,
  OriginVerdict,
  StreamOrigin,
} from '@siskinplank/stream-origins';
import type {AdmittedTarget} from './admission';
import type {FleetNode} from './fleet-node';
import {ORIGINS_LOADED, VERSIONS_CHANGED} from './events';
import {OriginRead, createOriginRefresh} from './origin-refresh';
import type {OriginRefresh} from './origin-refresh';
import {createOriginStore} from './origin-store';
import type {OriginRecords} from './origin-store';
import {EXPIRED_GRACE_MS, RESTORED_ENTRY_MS} from './upstream-view';

/** The other gateways, as far as origins concern them. */
export type OriginPeers = Pick<
  FleetNode,
  'sendTo' | 'sendToAll' | 'isOwner'
> & {
  registry: Pick<FleetNode['registry'], 'listOthers'>;
  peers: {listResponsive(nowMs: number): ReadonlyArray<{name: string}>};
};

/** What `createStreamOrigins` needs. */
export interface StreamOriginsOptions {
  ports: {
    sharedObjects: SharedObjectStore;
    upstreams: Pick<Directory<Upstream>, 'list'>;
    configurations: Pick<Directory<ServingConfiguration>, 'list'>;
  };
  storeHealth: Pick<StoreHealth, 'getOutageEndMs'>;
  ownName: string;
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
  getFleet(): OriginPeers;
}

/** Origins of the streams that callers may resume. */
export interface StreamOrigins {
  start(): void;
  stop(): void;
  /** Notes the versions that serve now. */
  observeUpstreams(usable: readonly Upstream[], nowMs: number): void;
  /** Notes the services to which the routes lead now. */
  observeRoutes(routes: readonly Route[], nowMs: number): void;
  /** Notes a stream that this gateway begins or goes on with. */
  recordBegun(request: CallerRequest, origin: StreamOrigin): void;
  /** Notes that the caller was sent the whole stream. */
  recordCompleted(attemptId: string): void;
  /**
   * Resolves where a request goes on with a stream; undefined for a request that
   * resumes none. Without a record, only what was read by calls that were sent
   * at `sinceMs` or later counts.
   */
  findOrigin(
    request: CallerRequest,
    target: AdmittedTarget,
    sinceMs: number,
    nowMs: number,
  ): OriginVerdict | undefined;
  /**
   * Reads the store again for a request whose origin is unknown; see
   * `OriginRefresh`.
   */
  awaitRead: OriginRefresh['awaitRead'];
  /** Whether the stored origins were read. */
  isLoaded(): boolean;
  /** Returns false for messages that do not concern origins. */
  handleMessage(peer: string, message: Message): boolean;
  /**
   * Sends a gateway that has just connected the own origins, and those that an
   * earlier process of its host has sent.
   */
  handleConnected(peer: string): void;
  /**
   * Called when a gateway no longer responds. Keeps the origins of those that do
   * not and whose names this one owns: gateways that start or connect later have
   * not been sent them.
   */
  handleLost(): void;
  /** Removes what a gateway has stored that is gone. */
  removeGateway(name: string): void;
  /** Origins known, of own streams and those of other gateways. */
  count(): number;
}

/** Period of noting the routes again that have not changed. */
const ROUTES_PERIOD_MS = 1_000;
/** New origins are collected for this time before they are sent. */
const MESSAGE_DELAY_MS = 10;

/** Whether callers may resume the streams of a route. */
function isResumable(route: Route): boolean {
  return route.kind === RequestKind.Stream && canRepeat(route);
}

/** Lists what is stored under a name, which may be that of an inherited member. */
function getOwn(
  lists: Readonly<Record<string, string[]>>,
  name: string,
): string[] {
  return Object.hasOwn(lists, name) ? lists[name] : [];
}

/** Creates origins that are neither read nor sent before `start`. */
export function createStreamOrigins(
  options: StreamOriginsOptions,
): StreamOrigins {
  const {clock, logger, ports} = options;
  const table = createOriginTable();
  const history = createVersionHistory();
  const routeHistory = createVersionHistory();
  let loggedVersions = '{}';
  let loggedRoutes = '{}';
  let observedRoutes: readonly Route[] | undefined;
  let routesAtMs = -Infinity;
  /**
   * Records of the other gateways at the last read. Their versions are not
   * added to the history, which would renew them with each read.
   */
  let storedRecords: readonly OriginRecord[] = [];
  /** Time of the last message to all; own origins before it were sent. */
  let sentAtMs = -Infinity;
  let messageTimer: Timer | undefined;
  let restoredAtMs = -Infinity;

  const planSchedule = () =>
    planOriginSchedule(options.getFleet().registry.listOthers().length + 1);

  /**
   * Whether the store showed all that serves to a call that was sent then:
   * upstreams write their entries again after an outage or a restore.
   */
  const hasStoreSettled = (sentAtMs: number, nowMs: number): boolean =>
    sentAtMs - options.storeHealth.getOutageEndMs(nowMs) >= EXPIRED_GRACE_MS &&
    sentAtMs - restoredAtMs >= RESTORED_ENTRY_MS;

  /** Services whose streams can't be told from those of another origin. */
  const listMixedServices = (nowMs: number): ReadonlySet<string> => {
    const routes = Object.values(routeHistory.describeMixed(nowMs));
    return new Set([
      ...Object.keys(history.describeMixed(nowMs)),
      ...routes.flat(),
    ]);
  };

  /** Leaves out streams of which a gateway knows the origin by their route. */
  const selectMixed = (
    origins: ReadonlyArray<[string, StreamOrigin]>,
    nowMs: number,
  ): Array<[string, StreamOrigin]> => {
    const services = listMixedServices(nowMs);
    return origins.filter(([, {service}]) => services.has(service));
  };

  /** Lists where streams of a route may have begun. */
  const listRecentOrigins = (route: Route, nowMs: number): StreamOrigin[] => {
    const services = new Set([
      ...route.services.map(({service}) => service),
      ...routeHistory.listRecent(route.name, nowMs),
      ...storedRecords.flatMap(({routes}) => getOwn(routes, route.name)),
    ]);
    return [...services].flatMap(service => {
      const versions = new Set([
        ...history.listRecent(service, nowMs),
        ...storedRecords.flatMap(({versions}) => getOwn(versions, service)),
      ]);
      return [...versions].map(softwareVersion => ({service, softwareVersion}));
    });
  };

  const makeMessage = (
    sinceMs: number,
    nowMs: number,
    receiver?: string,
  ): MessageOf<MessageType.StreamOrigins> => ({
    type: MessageType.StreamOrigins,
    versions: history.describeAges(nowMs),
    origins: collectOrigins(table.listOwnSince(sinceMs, nowMs)),
    formerOrigins:
      receiver === undefined
        ? {}
        : collectOrigins(table.listReportedBy(receiver, nowMs)),
  });

  const sendNew = (): void => {
    messageTimer = undefined;
    const nowMs = clock.getNowMs();
    options.getFleet().sendToAll(makeMessage(sentAtMs, nowMs));
    sentAtMs = nowMs;
  };

  const scheduleMessage = (): void => {
    if (messageTimer !== undefined) return;
    const nowMs = clock.getNowMs();
    const dueAtMs = sentAtMs + planSchedule().messagePeriodMs;
    const delayMs = Math.max(MESSAGE_DELAY_MS, dueAtMs - nowMs);
    messageTimer = clock.startTimer(delayMs, sendNew);
  };

  const checkVersions = (nowMs: number): void => {
    const versions = JSON.stringify(history.describe(nowMs));
    const routes = JSON.stringify(routeHistory.describeMixed(nowMs));
    if (versions === loggedVersions && routes === loggedRoutes) return;
    loggedVersions = versions;
    loggedRoutes = routes;
    logger.log(VERSIONS_CHANGED, {versions, routes});
    store.requestWrite();
    if (listMixedServices(nowMs).size > 0) scheduleMessage();
  };

  const store = createOriginStore({
    ...options,
    objects: ports.sharedObjects,
    getPeriodMs: () => planSchedule().storePeriodMs,
    collectRecord: nowMs => ({
      versions: history.describe(nowMs),
      routes: routeHistory.describeMixed(nowMs),
      origins: selectMixed(table.listOwnOpen(nowMs), nowMs),
    }),
  });

  /** Counts what was stored as just seen, since hosts' clocks differ. */
  const observeStored = (
    {versions, routes}: OriginRecord,
    nowMs: number,
  ): void => {
    for (const [service, recent] of Object.entries(versions)) {
      for (const version of recent) history.observe(service, version, nowMs);
    }
    for (const [route, services] of Object.entries(routes)) {
      for (const service of services) {
        routeHistory.observe(route, service, nowMs);
      }
    }
  };

  const addStored = (
    gateway: string,
    {origins}: OriginRecord,
    nowMs: number,
  ): void => {
    for (const [attemptId, origin] of origins) {
      // Those of an earlier process of this host have no other owner.
      if (gateway === options.ownName) {
        table.takeOver(attemptId, origin, nowMs);
      } else {
        table.addReported(attemptId, origin, gateway, nowMs);
      }
    }
  };

  /**
   * Leaves out records that a gateway wrote that is gone, and no one has
   * removed: a gateway writes its record again when it forgets a version.
   */
  const selectRecent = (
    records: OriginRecords,
    nowMs: number,
  ): OriginRecord[] =>
    [...records]
      .filter(
        ([gateway, {unchangedSinceMs}]) =>
          gateway !== options.ownName &&
          nowMs - unchangedSinceMs <= ORIGIN_KEEP_MS,
      )
      .map(([, record]) => record);

  const applyRecords = (records: OriginRecords, nowMs: number): void => {
    let originCount = 0;
    for (const [gateway, record] of records) {
      addStored(gateway, record, nowMs);
      originCount += record.origins.length;
    }
    if (refresh.isLoaded()) {
      storedRecords = selectRecent(records, nowMs);
      return;
    }
    for (const record of records.values()) observeStored(record, nowMs);
    logger.log(ORIGINS_LOADED, {gateways: records.size, origins: originCount});
  };

  const refresh = createOriginRefresh({
    ...options,
    getPeriodMs: () => planSchedule().readPeriodMs,
    read: async () => {
      const sentAtMs = clock.getNowMs();
      const [stored, upstreams, configurations] = await Promise.all([
        store.readRecords(),
        ports.upstreams.list(),
        ports.configurations.list(),
      ]);
      const listed = upstreams.toMaybe().extract()?.items;
      const configured = configurations.toMaybe().extract()?.items;
      if (stored === undefined || !listed || !configured) {
        return OriginRead.Failed;
      }
      const nowMs = clock.getNowMs();
      applyRecords(stored.records, nowMs);
      for (const {routes} of configured.values()) noteRoutes(routes, nowMs);
      observeVersions([...listed.values()], nowMs);
      return stored.isComplete && hasStoreSettled(sentAtMs, nowMs)
        ? OriginRead.Complete
        : OriginRead.Partial;
    },
  });

  const noteRoutes = (routes: readonly Route[], nowMs: number): void => {
    for (const route of routes) {
      if (!isResumable(route)) continue;
      for (const {service} of route.services) {
        routeHistory.observe(route.name, service, nowMs);
      }
    }
  };

  const observeVersions = (
    upstreams: readonly Upstream[],
    nowMs: number,
  ): void => {
    for (const {service, softwareVersion} of upstreams) {
      history.observe(service, softwareVersion, nowMs);
    }
    checkVersions(nowMs);
  };

  return {
    start: () => {
      ports.sharedObjects.observeRestores(() => {
        restoredAtMs = clock.getNowMs();
      });
      store.start();
      refresh.start();
    },
    stop: () => {
      store.stop();
      refresh.stop();
      messageTimer?.cancel();
    },
    observeUpstreams: observeVersions,
    observeRoutes: (routes, nowMs) => {
      const isRepeated = routes === observedRoutes;
      if (isRepeated && nowMs - routesAtMs < ROUTES_PERIOD_MS) return;
      observedRoutes = routes;
      routesAtMs = nowMs;
      noteRoutes(routes, nowMs);
      checkVersions(nowMs);
    },
    recordBegun: ({attemptId, resumedAttemptId, lastEventId}, origin) => {
      const nowMs = clock.getNowMs();
      const {service, softwareVersion} = origin;
      history.observe(service, softwareVersion, nowMs);
      table.addOwn(attemptId, origin, nowMs);
      if (resumedAttemptId !== undefined && lastEventId !== undefined) {
        table.addOwn(resumedAttemptId, origin, nowMs);
      }
      checkVersions(nowMs);
      scheduleMessage();
      if (listMixedServices(nowMs).has(service)) store.requestWrite();
    },
    recordCompleted: attemptId => table.complete(attemptId, clock.getNowMs()),
    findOrigin: (request, {route}, sinceMs, nowMs) => {
      const {resumedAttemptId} = request;
      if (!isResumingStream(request, route)) return undefined;
      return resolveOrigin({
        origin:
          resumedAttemptId === undefined
            ? undefined
            : table.find(resumedAttemptId, nowMs),
        routeServices: route.services.map(({service}) => service),
        recentOrigins: listRecentOrigins(route, nowMs),
        isInformed: refresh.getCompleteSentAtMs() >= sinceMs,
      });
    },
    awaitRead: refresh.awaitRead,
    isLoaded: refresh.isLoaded,
    handleMessage: (peer, message) => {
      if (message.type !== MessageType.StreamOrigins) return false;
      const nowMs = clock.getNowMs();
      for (const [service, ages] of Object.entries(message.versions)) {
        for (const [version, ageMs] of Object.entries(ages)) {
          history.observe(service, version, nowMs - ageMs);
        }
      }
      for (const [attemptId, origin] of listOrigins(message.origins)) {
        table.addReported(attemptId, origin, peer, nowMs);
      }
      const former = listOrigins(message.formerOrigins);
      for (const [attemptId, origin] of former) {
        table.takeOver(attemptId, origin, nowMs);
      }
      checkVersions(nowMs);
      if (former.length > 0) scheduleMessage();
      return true;
    },
    handleConnected: peer => {
      const nowMs = clock.getNowMs();
      const isMixed = listMixedServices(nowMs).size > 0;
      if (!isMixed && table.count() === 0) return;
      options.getFleet().sendTo(peer, makeMessage(-Infinity, nowMs, peer));
    },
    handleLost: () => {
      const nowMs = clock.getNowMs();
      const {peers, isOwner} = options.getFleet();
      const responsive = peers.listResponsive(nowMs).map(({name}) => name);
      for (const reporter of table.listReporters(nowMs)) {
        if (responsive.includes(reporter) || !isOwner(reporter)) continue;
        const reported = table.listReportedBy(reporter, nowMs);
        for (const [attemptId, origin] of reported) {
          table.takeOver(attemptId, origin, nowMs);
        }
      }
      scheduleMessage();
      if (listMixedServices(nowMs).size > 0) store.requestWrite();
    },
    removeGateway: name => void store.removeRecord(name),
    count: table.count,
  };
}
