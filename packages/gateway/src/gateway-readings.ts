/** Reads the gauges of a gateway from its components. */
import type {OrderLeadership} from '@siskinplank/fleet';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import type {ConfigurationReplica} from './configuration-replica';
import type {Dispatcher} from './dispatcher';
import type {FleetNode} from './fleet-node';
import type {GatewayReadings} from './gateway-metrics';
import type {RequestGuard} from './request-guard';
import type {RequestHandler} from './request-handler';
import type {StreamOrigins} from './stream-origins';
import type {UpstreamBackoffs} from './upstream-backoffs';
import type {UpstreamLimits} from './upstream-limits';
import type {UpstreamView} from './upstream-view';

/** Components that gauges are read from. */
export interface GatewayComponents {
  handler: RequestHandler;
  dispatcher: Dispatcher;
  pool: ConnectionPool;
  configuration: ConfigurationReplica;
  leadership: OrderLeadership;
  fleet: FleetNode;
  limits: UpstreamLimits;
  view: UpstreamView;
  backoffs: UpstreamBackoffs;
  guard: RequestGuard;
  origins: StreamOrigins;
}

/** Reads all gauges. */
export function readGateway(
  components: GatewayComponents,
  nowMs: number,
): GatewayReadings {
  const {handler, dispatcher, pool, fleet, guard} = components;
  let waitingRequests = 0;
  for (const {count} of dispatcher.describeWaiting(nowMs).values()) {
    waitingRequests += count;
  }
  return {
    openRequests: handler.countOpen(),
    waitingRequests,
    upstreamConnections: pool.countConnections(),
    configurationAgeMs: components.configuration.getAgeMs(nowMs),
    isOrdering: components.leadership.getTerm() !== undefined,
    peers: fleet.peers.listResponsive(nowMs).length,
    limitedUpstreams: components.limits.countLimits(),
    leavingUpstreams: components.view.countDisputed(),
    backedOffUpstreams: components.backoffs.count(nowMs),
    streamOrigins: components.origins.count(),
    received: pool.receiveBudget.getReadings(),
    blamedPrompts: guard.countBlames(),
    links: fleet.getTraffic(),
  };
}
