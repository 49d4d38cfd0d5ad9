/** Tracing with one span for each hop, propagated by W3C Trace Context. */
import {
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  defaultTextMapGetter,
  defaultTextMapSetter,
  trace,
} from '@opentelemetry/api';
import type {Context} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
} from '@opentelemetry/sdk-trace-base';

/** Whether a span covers a received or a sent request. */
export enum SpanSide {
  Server = 'server',
  Client = 'client',
}

/** Span of one hop of a request. */
export interface HopSpan {
  /** Value of the `traceparent` header for the next hop. */
  readonly traceparent: string;
  setAttribute(name: string, value: string | number | boolean): void;
  /** Ends the span; `error` marks it as failed. */
  end(error?: string): void;
}

/** Starts spans and exports them. */
export interface Tracing {
  /** Starts a child span of the `traceparent` in `parent`, or a new trace. */
  startSpan(name: string, side: SpanSide, parent?: string): HopSpan;
  /** Exports pending spans and stops. */
  shutdown(): Promise<void>;
}

/** Options of `createTracing`. */
export interface TracingOptions {
  serviceName: string;
  /** OTLP/HTTP endpoint, for example `http://127.0.0.1:4318/v1/traces`. */
  endpoint?: string;
}

const EXPORT_DELAY_MS = 500;
const TRACEPARENT_HEADER = 'traceparent';

/** Creates tracing; without an endpoint it propagates but does not export. */
export function createTracing(options: TracingOptions): Tracing {
  const propagator = new W3CTraceContextPropagator();
  const processors =
    options.endpoint === undefined
      ? []
      : [
          new BatchSpanProcessor(
            new OTLPTraceExporter({url: options.endpoint}),
            {scheduledDelayMillis: EXPORT_DELAY_MS},
          ),
        ];
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({'service.name': options.serviceName}),
    spanProcessors: processors,
  });
  const tracer = provider.getTracer('siskinplank');

  const extractContext = (parent: string | undefined): Context => {
    if (parent === undefined) return ROOT_CONTEXT;
    return propagator.extract(
      ROOT_CONTEXT,
      {[TRACEPARENT_HEADER]: parent},
      defaultTextMapGetter,
    );
  };

  return {
    startSpan: (name, side, parent) => {
      const kind = side === SpanSide.Server ? SpanKind.SERVER : SpanKind.CLIENT;
      const context = extractContext(parent);
      const span = tracer.startSpan(name, {kind}, context);
      const carrier: Record<string, string> = {};
      propagator.inject(
        trace.setSpan(context, span),
        carrier,
        defaultTextMapSetter,
      );
      return {
        traceparent: carrier[TRACEPARENT_HEADER] ?? '',
        setAttribute: (key, value) => void span.setAttribute(key, value),
        end: error => {
          if (error !== undefined) {
            span.setStatus({code: SpanStatusCode.ERROR, message: error});
          }
          span.end();
        },
      };
    },
    shutdown: () => provider.shutdown(),
  };
}
