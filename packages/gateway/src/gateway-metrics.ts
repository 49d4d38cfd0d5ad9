/** Counters and latency histograms of a gateway. */
import type {Metrics} from '@siskinplank/foundation';
import type {ReceiveReadings} from '@siskinplank/receive-buffers';
import type {SessionOutcome} from './session-types';
import type {Refusal} from './refusals';

/** Values of the gauges, read when the metrics are rendered. */
export interface GatewayReadings {
  openRequests: number;
  waitingRequests: number;
  upstreamConnections: number;
  /** Infinite before the first configuration. */
  configurationAgeMs: number;
  isOrdering: boolean;
  peers: number;
  blamedPrompts: number;
  limitedUpstreams: number;
  leavingUpstreams: number;
  backedOffUpstreams: number;
  /** Streams of which the software version is known that began them. */
  streamOrigins: number;
  /** Messages from outside that are not complete. */
  received: ReceiveReadings;
  /** Messages and bytes over the links to other gateways, since the start. */
  links: {
    sentMessages: number;
    receivedMessages: number;
    sentBytes: number;
    receivedBytes: number;
  };
}

/** Records finished requests, failovers and late turns of the event loop. */
export interface GatewayMetrics {
  recordRequest(
    kind: string,
    status: number,
    refusal: Refusal | undefined,
    outcome: Partial<SessionOutcome>,
    totalMs: number,
  ): void;
  recordFailover(reason: string): void;
  /** Records that parts or a request were blamed, or why that was lifted. */
  recordBlame(outcome: string): void;
  /** Records by how much a turn of the event loop was late. */
  recordLateness(lateMs: number): void;
  /** Records for how long a connection waited to be accepted. */
  recordAcceptWait(waitMs: number): void;
}

/** Seconds; latency targets of routes lie between 0.1 and 6 s. */
const LATENCY_BUCKETS = [
  0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6,
];
/** Seconds; bounds for callers that left and for route time-outs are 0.5 s. */
const LATENESS_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4];
const MILLISECONDS_PER_SECOND = 1_000;

/** Registers the metrics; gauges call `read` when they are rendered. */
export function createGatewayMetrics(
  metrics: Metrics,
  read: () => GatewayReadings,
): GatewayMetrics {
  const requests = metrics.createCounter(
    'gateway_requests_total',
    'Requests by kind of route, status class and refusal',
    ['kind', 'status', 'refusal'],
  );
  const repeats = metrics.createCounter(
    'gateway_repeats_total',
    'Attempts beyond the first of each request',
  );
  const failovers = metrics.createCounter(
    'gateway_moved_requests_total',
    'Requests that failed over from an unresponsive upstream, by reason',
    ['reason'],
  );
  const blames = metrics.createCounter(
    'gateway_prompt_blames_total',
    'Blames of prompt parts and requests, and lifted ones by reason',
    ['outcome'],
  );
  const firstBytes = metrics.createHistogram(
    'gateway_first_byte_seconds',
    'Time from the head of a request to the first byte of its response',
    LATENCY_BUCKETS,
    ['kind'],
  );
  const totals = metrics.createHistogram(
    'gateway_request_seconds',
    'Time from the head of a request to its end',
    LATENCY_BUCKETS,
    ['kind'],
  );
  const lateness = metrics.createHistogram(
    'gateway_event_loop_late_seconds',
    'Lateness of the housekeeping timer, sampled at each of its calls',
    LATENESS_BUCKETS,
  );
  const acceptWaits = metrics.createHistogram(
    'gateway_accept_wait_seconds',
    'Time that a connection waited to be accepted, sampled under load',
    LATENESS_BUCKETS,
  );
  const createGauge = (
    name: string,
    help: string,
    select: (readings: GatewayReadings) => number,
  ): void => {
    const gauge = metrics.createGauge(name, help);
    metrics.onRender(() => gauge.set(select(read())));
  };
  createGauge('gateway_open_requests', 'Requests without a final response', r =>
    Number(r.openRequests),
  );
  createGauge(
    'gateway_waiting_requests',
    'Requests that wait for a model or an adapter',
    r => r.waitingRequests,
  );
  createGauge(
    'gateway_upstream_connections',
    'Connections to upstreams',
    r => r.upstreamConnections,
  );
  createGauge(
    'gateway_configuration_age_seconds',
    'Time since the store last confirmed the configuration as the newest',
    r => r.configurationAgeMs / MILLISECONDS_PER_SECOND,
  );
  createGauge(
    'gateway_is_ordering',
    'Whether this gateway is the order leader',
    r => Number(r.isOrdering),
  );
  createGauge(
    'gateway_peers',
    'Other gateways that are responsive',
    r => r.peers,
  );
  createGauge(
    'gateway_blamed_prompts',
    'Requests and sets of prompt parts that are refused',
    r => r.blamedPrompts,
  );
  createGauge(
    'gateway_limited_upstreams',
    'Upstreams that name a limit',
    r => r.limitedUpstreams,
  );
  createGauge(
    'gateway_leaving_upstreams',
    'Upstreams that leave though the store calls them ready',
    r => r.leavingUpstreams,
  );
  createGauge(
    'gateway_backed_off_upstreams',
    'Upstreams that want nothing from this gateway for a time',
    r => r.backedOffUpstreams,
  );
  createGauge(
    'gateway_stream_origins',
    'Streams of which the software version is known that began them',
    r => r.streamOrigins,
  );
  createGauge(
    'gateway_incomplete_bytes',
    'Bytes held for messages from outside that are not complete',
    ({received}) => received.usedBytes,
  );
  createGauge(
    'gateway_evicted_messages',
    'Incomplete messages dropped for want of memory since the start',
    ({received}) => received.evictedCount,
  );
  const linkMessages = metrics.createGauge(
    'gateway_link_messages',
    'Messages over links to other gateways since the start, by direction',
    ['direction'],
  );
  const linkBytes = metrics.createGauge(
    'gateway_link_bytes',
    'Bytes over links to other gateways since the start, by direction',
    ['direction'],
  );
  metrics.onRender(() => {
    const {links} = read();
    linkMessages.set({direction: 'sent'}, links.sentMessages);
    linkMessages.set({direction: 'received'}, links.receivedMessages);
    linkBytes.set({direction: 'sent'}, links.sentBytes);
    linkBytes.set({direction: 'received'}, links.receivedBytes);
  });

  return {
    recordRequest: (kind, status, refusal, outcome, totalMs) => {
      const statusClass =
        status === 0 ? 'none' : `${Math.floor(status / 100)}xx`;
      requests.inc({
        kind,
        status: statusClass,
        refusal: refusal?.code ?? 'none',
      });
      const attempts = outcome.attempts ?? 0;
      if (attempts > 1) repeats.inc(attempts - 1);
      if (outcome.firstByteMs !== undefined) {
        const seconds = outcome.firstByteMs / MILLISECONDS_PER_SECOND;
        firstBytes.observe({kind}, seconds);
      }
      totals.observe({kind}, totalMs / MILLISECONDS_PER_SECOND);
    },
    recordFailover: reason => failovers.inc({reason}),
    recordBlame: outcome => blames.inc({outcome}),
    recordLateness: lateMs =>
      lateness.observe(lateMs / MILLISECONDS_PER_SECOND),
    recordAcceptWait: waitMs =>
      acceptWaits.observe(waitMs / MILLISECONDS_PER_SECOND),
  };
}
