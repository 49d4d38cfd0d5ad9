/** Metrics of one process, exposed in the Prometheus text format. */
import {
  Counter,
  Gauge,
  Histogram,
  Registry,
  collectDefaultMetrics,
} from 'prom-client';

/** Creates metrics in one registry; every name gets the prefix `siskinplank_`. */
export interface Metrics {
  createCounter<L extends string>(
    name: string,
    help: string,
    labels?: readonly L[],
  ): Counter<L>;
  createGauge<L extends string>(
    name: string,
    help: string,
    labels?: readonly L[],
  ): Gauge<L>;
  createHistogram<L extends string>(
    name: string,
    help: string,
    buckets: readonly number[],
    labels?: readonly L[],
  ): Histogram<L>;
  /** Registers a callback that runs before each rendering, to set gauges. */
  onRender(callback: () => void): void;
  /** Renders all metrics in the Prometheus text format. */
  renderText(): Promise<string>;
}

const METRIC_PREFIX = 'siskinplank_';
/** Each sample wakes the process, also when it is idle. */
const EVENT_LOOP_SAMPLE_MS = 250;

/** Creates a registry, on request with the default metrics of prom-client. */
export function createMetrics(
  options: {withProcessMetrics?: boolean} = {},
): Metrics {
  const registry = new Registry();
  const renderCallbacks: Array<() => void> = [];
  if (options.withProcessMetrics) {
    collectDefaultMetrics({
      register: registry,
      prefix: METRIC_PREFIX,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
    });
  }
  return {
    createCounter: (name, help, labels = []) =>
      new Counter({
        name: METRIC_PREFIX + name,
        help,
        labelNames: labels,
        registers: [registry],
      }),
    createGauge: (name, help, labels = []) =>
      new Gauge({
        name: METRIC_PREFIX + name,
        help,
        labelNames: labels,
        registers: [registry],
      }),
    createHistogram: (name, help, buckets, labels = []) =>
      new Histogram({
        name: METRIC_PREFIX + name,
        help,
        buckets: [...buckets],
        labelNames: labels,
        registers: [registry],
      }),
    onRender: callback => void renderCallbacks.push(callback),
    renderText: () => {
      for (const callback of renderCallbacks) callback();
      return registry.metrics();
    },
  };
}
