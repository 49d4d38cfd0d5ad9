/** Stand-in of the platform's object API. */
import type {FastifyReply, FastifyRequest} from 'fastify';
import {z} from 'zod';
import {
  createControlledServer,
  getMonotonicMs,
  resetConnection,
  waitMs,
} from './control';
import type {StandIn} from './control';
import {createObjectTable} from './platform-store';
import type {PlatformEvent, WriteResult} from './platform-store';

/** Kinds of calls, as counted in `/control/counts`. */
export enum PlatformCall {
  Get = 'get',
  List = 'list',
  Put = 'put',
  Delete = 'delete',
  Watch = 'watch',
  Hosts = 'hosts',
}

/** How an unavailable platform behaves. */
export enum PlatformOutage {
  /** Connections are reset. */
  Reset = 'reset',
  /** Each call gets status 503. */
  Unavailable = 'unavailable',
  /** Calls never get a reply. */
  Hang = 'hang',
}

/** Schema of `POST /control/faults`; an absent field changes nothing. */
export const platformFaultSchema = z.strictObject({
  /** Null ends the outage. */
  down: z.enum(PlatformOutage).nullable().optional(),
  slowMs: z.number().min(0).optional(),
  /** Resets the connection of the next writes after they took effect. */
  dropReplies: z
    .strictObject({
      count: z.int().min(0),
      kinds: z.array(z.string()).optional(),
    })
    .optional(),
  /** Omits this number of the next events from every watch. */
  dropWatchEvents: z.int().min(0).optional(),
  /** Discards the change log, so that watches of older revisions get 410. */
  compact: z.literal(true).optional(),
});

export type PlatformFault = z.input<typeof platformFaultSchema>;

const hostSchema = z.strictObject({
  name: z.string(),
  role: z.enum(['entry', 'side']),
  address: z.string(),
  port: z.int(),
  failureDomain: z.string(),
  region: z.string().default('default'),
  state: z.enum(['live', 'leaving']).default('live'),
});

/** Query of a list; without a limit, all objects of the kind are returned. */
const pageSchema = z.object({
  after: z.string().default(''),
  limit: z.coerce.number().int().positive().optional(),
  view: z.enum(['objects', 'versions']).default('objects'),
});

/** Host as set with `POST /control/hosts`. */
export type PlatformHost = z.input<typeof hostSchema>;

/** Options of the platform stand-in. */
export interface PlatformStandInOptions {
  port?: number;
  host?: string;
  /** Number of latest changes from which a watch can be resumed. */
  watchHistoryEvents?: number;
  /** Delay between a change of the host list and its publication. */
  hostLagMs?: number;
  hosts?: PlatformHost[];
  /** Delay of every reply, to model the latency of a real service. */
  latencyMs?: number;
}

/** Largest value in bytes of JSON. */
export const MAX_VALUE_BYTES = 1_000_000;
const MAX_WATCH_MS = 60_000;
const DEFAULT_WATCH_HISTORY_EVENTS = 10_000;

type Handler = (
  request: FastifyRequest,
  reply: FastifyReply,
) => unknown | Promise<unknown>;

interface ObjectParams {
  kind: string;
  name: string;
}

function parseExpectedVersion(request: FastifyRequest): number | undefined {
  const match = /^"?(\d+)"?$/.exec(String(request.headers['if-match'] ?? ''));
  return match === null ? undefined : Number(match[1]);
}

/** Starts the platform stand-in. */
export async function startPlatformStandIn(
  options: PlatformStandInOptions = {},
): Promise<StandIn> {
  const table = createObjectTable(
    options.watchHistoryEvents ?? DEFAULT_WATCH_HISTORY_EVENTS,
  );
  const counts = new Map<string, number>();
  const publishTimers = new Set<NodeJS.Timeout>();
  const pendingWatches = new Set<() => void>();
  let hosts: unknown[] = z.array(hostSchema).parse(options.hosts ?? []);
  let outage: PlatformOutage | null = null;
  let slowMs = options.latencyMs ?? 0;
  let dropReplies: {count: number; kinds?: string[]} = {count: 0};
  const droppedVersions = new Set<number>();
  let dropWatchEvents = 0;

  const server = createControlledServer(platformFaultSchema, fault => {
    if (fault.down !== undefined) {
      outage = fault.down;
      if (outage !== null) for (const wake of [...pendingWatches]) wake();
    }
    slowMs = fault.slowMs ?? slowMs;
    dropReplies = fault.dropReplies ?? dropReplies;
    dropWatchEvents = fault.dropWatchEvents ?? dropWatchEvents;
    if (fault.compact) table.compact(table.getRevision());
  });
  const {app, log} = server;
  table.subscribe(() => {
    if (dropWatchEvents === 0) return;
    dropWatchEvents -= 1;
    droppedVersions.add(table.getRevision());
    log.record('watch-event-dropped', {version: table.getRevision()});
  });

  const failByOutage = (reply: FastifyReply): unknown => {
    if (outage === PlatformOutage.Unavailable) {
      return reply.code(503).send({error: 'unavailable'});
    }
    if (outage === PlatformOutage.Hang) {
      reply.hijack();
      return reply;
    }
    return resetConnection(reply);
  };
  const handleCall =
    (call: PlatformCall, handler: Handler): Handler =>
    async (request, reply) => {
      counts.set(call, (counts.get(call) ?? 0) + 1);
      const {kind, name} = request.params as Partial<ObjectParams>;
      log.record('call', {call, kind, name, outage: outage ?? undefined});
      await waitMs(slowMs);
      if (outage !== null) return failByOutage(reply);
      return handler(request, reply);
    };
  const replyToWrite = (
    reply: FastifyReply,
    kind: string,
    name: string,
    result: WriteResult,
  ): unknown => {
    if (!result.written) {
      log.record('conflict', {kind, name});
      return reply.code(409).send({current: result.current});
    }
    const value = table.getObject(kind, name)?.value as {state?: string} | null;
    const {version} = result;
    log.record('write', {kind, name, version, state: value?.state});
    const isDropped =
      dropReplies.count > 0 &&
      (dropReplies.kinds === undefined || dropReplies.kinds.includes(kind));
    if (!isDropped) return {version: result.version};
    dropReplies.count -= 1;
    log.record('reply-dropped', {kind, name, version: result.version});
    return resetConnection(reply);
  };

  app.get(
    '/v1/objects/:kind/:name',
    handleCall(PlatformCall.Get, (request, reply) => {
      const {kind, name} = request.params as ObjectParams;
      const object = table.getObject(kind, name);
      if (object === undefined) return reply.code(404).send({error: 'absent'});
      return object;
    }),
  );
  app.get(
    '/v1/objects/:kind',
    handleCall(PlatformCall.List, request => {
      const {kind} = request.params as ObjectParams;
      const page = pageSchema.parse(request.query);
      const revision = table.getRevision();
      const items =
        page.limit === undefined
          ? table.listObjects(kind)
          : table.listPage(kind, page.after, page.limit);
      if (page.view === 'objects') return {revision, items};
      return {
        revision,
        items: items.map(({name, version}) => ({name, version})),
      };
    }),
  );
  app.put(
    '/v1/objects/:kind/:name',
    handleCall(PlatformCall.Put, (request, reply) => {
      const {kind, name} = request.params as ObjectParams;
      const value = request.body;
      if (Buffer.byteLength(JSON.stringify(value ?? null)) > MAX_VALUE_BYTES) {
        return reply.code(413).send({error: 'value above 1 MB'});
      }
      const isCreate = request.headers['if-none-match'] === '*';
      const expected = isCreate ? null : parseExpectedVersion(request);
      if (expected === undefined) {
        return reply
          .code(428)
          .send({error: 'expected If-Match or If-None-Match'});
      }
      const result = table.putObject(kind, name, value, expected);
      return replyToWrite(reply, kind, name, result);
    }),
  );
  app.delete(
    '/v1/objects/:kind/:name',
    handleCall(PlatformCall.Delete, (request, reply) => {
      const {kind, name} = request.params as ObjectParams;
      const expected = parseExpectedVersion(request);
      if (expected === undefined) {
        return reply.code(428).send({error: 'expected If-Match'});
      }
      const result = table.deleteObject(kind, name, expected);
      if (!result.written && result.current === null) {
        return reply.code(404).send({error: 'absent'});
      }
      return replyToWrite(reply, kind, name, result);
    }),
  );
  const waitForChange = (durationMs: number): Promise<void> =>
    new Promise(resolve => {
      const endWait = (): void => {
        clearTimeout(timer);
        unsubscribe();
        pendingWatches.delete(endWait);
        resolve();
      };
      const timer = setTimeout(endWait, durationMs);
      const unsubscribe = table.subscribe(endWait);
      pendingWatches.add(endWait);
    });
  const listVisibleEvents = (
    kinds: ReadonlySet<string>,
    from: number,
  ): PlatformEvent[] =>
    table
      .listEvents(kinds, from)
      .filter(event => !droppedVersions.has(event.version));
  app.get(
    '/v1/watch',
    handleCall(PlatformCall.Watch, async (request, reply) => {
      const query = request.query as Record<string, string | undefined>;
      const kinds = new Set((query.kinds ?? '').split(',').filter(Boolean));
      const from = Number(query.from ?? 0);
      const waitLimitMs = Math.min(Number(query.waitMs ?? 0), MAX_WATCH_MS);
      const deadlineMs = getMonotonicMs() + waitLimitMs;
      for (;;) {
        if (outage !== null) return failByOutage(reply);
        if (from < table.getOldestWatchable()) {
          return reply.code(410).send({error: 'compacted'});
        }
        const events = listVisibleEvents(kinds, from);
        const leftMs = deadlineMs - getMonotonicMs();
        if (events.length > 0 || leftMs <= 0 || request.raw.socket.destroyed) {
          return {revision: table.getRevision(), events};
        }
        await waitForChange(leftMs);
      }
    }),
  );
  app.get(
    '/v1/hosts',
    handleCall(PlatformCall.Hosts, () => ({hosts})),
  );
  app.post('/control/hosts', (request, reply) => {
    const parsed = z
      .strictObject({hosts: z.array(hostSchema)})
      .safeParse(request.body);
    if (!parsed.success) {
      return reply.code(400).send({error: parsed.error.message});
    }
    const publish = (): void => {
      hosts = parsed.data.hosts;
      log.record('hosts-published', {count: hosts.length});
    };
    const lagMs = options.hostLagMs ?? 0;
    if (lagMs <= 0) publish();
    else {
      const timer = setTimeout(() => {
        publishTimers.delete(timer);
        publish();
      }, lagMs);
      publishTimers.add(timer);
    }
    return {publishedInMs: lagMs};
  });
  app.get('/control/counts', () => ({
    revision: table.getRevision(),
    calls: Object.fromEntries(counts),
    waitingWatches: pendingWatches.size,
  }));

  const port = await server.startListening(options.port, options.host);
  return {
    port,
    close: async () => {
      for (const timer of publishTimers) clearTimeout(timer);
      for (const wake of [...pendingWatches]) wake();
      await server.close();
    },
  };
}
