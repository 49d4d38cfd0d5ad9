/** Stand-in of an OTLP/HTTP trace collector that accepts JSON. */
import {z} from 'zod';
import {createControlledServer} from './control';
import type {StandIn} from './control';

/** One received span with its attributes as a plain record. */
export interface ReceivedSpan {
  service: string;
  traceId: string;
  spanId: string;
  parentSpanId?: string;
  name: string;
  kind?: number;
  startTimeUnixNano?: string;
  endTimeUnixNano?: string;
  attributes: Record<string, unknown>;
}

/** Options of the collector stand-in. */
export interface CollectorStandInOptions {
  port?: number;
  host?: string;
}

const attributesSchema = z
  .array(z.object({key: z.string(), value: z.record(z.string(), z.unknown())}))
  .default([]);

const traceRequestSchema = z.object({
  resourceSpans: z
    .array(
      z.object({
        resource: z.object({attributes: attributesSchema}).optional(),
        scopeSpans: z
          .array(
            z.object({
              spans: z
                .array(
                  z.object({
                    traceId: z.string(),
                    spanId: z.string(),
                    parentSpanId: z.string().optional(),
                    name: z.string(),
                    kind: z.number().optional(),
                    startTimeUnixNano: z.coerce.string().optional(),
                    endTimeUnixNano: z.coerce.string().optional(),
                    attributes: attributesSchema,
                  }),
                )
                .default([]),
            }),
          )
          .default([]),
      }),
    )
    .default([]),
});

const faultSchema = z.strictObject({down: z.boolean().optional()});

function convertAttributes(
  attributes: z.output<typeof attributesSchema>,
): Record<string, unknown> {
  return Object.fromEntries(
    attributes.map(({key, value}) => [key, Object.values(value)[0]]),
  );
}

/** Starts the collector: `POST /v1/traces`, `GET /control/spans`. */
export async function startCollectorStandIn(
  options: CollectorStandInOptions = {},
): Promise<StandIn> {
  const spans: ReceivedSpan[] = [];
  let isDown = false;
  const server = createControlledServer(faultSchema, fault => {
    isDown = fault.down ?? isDown;
  });
  server.app.post('/v1/traces', (request, reply) => {
    if (isDown) return reply.code(503).send({});
    const parsed = traceRequestSchema.safeParse(request.body);
    if (!parsed.success) {
      return reply.code(400).send({message: parsed.error.message});
    }
    for (const resourceSpan of parsed.data.resourceSpans) {
      const resource = convertAttributes(
        resourceSpan.resource?.attributes ?? [],
      );
      const service = String(resource['service.name'] ?? '');
      for (const scope of resourceSpan.scopeSpans) {
        for (const span of scope.spans) {
          const attributes = convertAttributes(span.attributes);
          spans.push({...span, service, attributes});
        }
      }
    }
    return {partialSuccess: {}};
  });
  server.app.get('/control/spans', () => ({spans}));
  const port = await server.startListening(options.port, options.host);
  return {port, close: server.close};
}
