/** Metrics of the side process. */
import type {Metrics} from '@siskinplank/foundation';

const QUEUE_BUCKETS = [0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60, 600];

/** Creates the metrics of the side process. */
export function createSideMetrics(metrics: Metrics) {
  return {
    attempts: metrics.createCounter(
      'side_attempts_total',
      'Attempts sent to the upstream, by outcome.',
      ['outcome'],
    ),
    refusals: metrics.createCounter(
      'side_refusals_total',
      'Attempts refused, by code.',
      ['code'],
    ),
    queueSeconds: metrics.createHistogram(
      'side_queue_seconds',
      'Time from arrival until the upstream gets the request.',
      QUEUE_BUCKETS,
    ),
    orders: metrics.createCounter(
      'side_orders_total',
      'Orders sent to the engine, by type.',
      ['type'],
    ),
  };
}

/** Metrics of the side process. */
export type SideMetrics = ReturnType<typeof createSideMetrics>;
