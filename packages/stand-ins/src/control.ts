/** Parts common to all stand-ins: HTTP server, event log and fault commands. */
import Fastify from 'fastify';
import type {FastifyInstance, FastifyReply} from 'fastify';
import type {z} from 'zod';

/** One event that a stand-in recorded. */
export interface LogEntry {
  sequence: number;
  /** Monotonic time of the host, comparable between its processes. */
  atMs: number;
  type: string;
  [field: string]: unknown;
}

/** A running stand-in. */
export interface StandIn {
  port: number;
  close(): Promise<void>;
}

/** Log of a stand-in; the oldest entries are dropped beyond a limit. */
export interface StandInLog {
  record(type: string, fields?: Record<string, unknown>): void;
  getEntries(fromSequence?: number): LogEntry[];
}

/** An HTTP server with `/control/log` and `/control/faults`. */
export interface ControlledServer {
  app: FastifyInstance;
  log: StandInLog;
  startListening(port?: number, host?: string): Promise<number>;
  close(): Promise<void>;
}

/** Keeps a long load run within a few hundred megabytes of memory. */
const MAX_LOG_ENTRIES = 200_000;
const NANOSECONDS_IN_MILLISECOND = 1e6;
/** Above the platform's value limit, so that the stand-in sends the 413. */
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const MAX_PATH_PARAMETER_LENGTH = 2_000;

/** Reads the monotonic clock of the host in milliseconds. */
export function getMonotonicMs(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_IN_MILLISECOND;
}

/** Waits; a time of zero or less resolves at once. */
export function waitMs(delayMs: number): Promise<void> {
  if (delayMs <= 0) return Promise.resolve();
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Creates an empty log. */
export function createStandInLog(): StandInLog {
  let entries: LogEntry[] = [];
  let nextSequence = 0;
  return {
    record: (type, fields = {}) => {
      entries.push({
        ...fields,
        sequence: nextSequence,
        atMs: getMonotonicMs(),
        type,
      });
      nextSequence += 1;
      if (entries.length > MAX_LOG_ENTRIES) {
        entries = entries.slice(entries.length - MAX_LOG_ENTRIES / 2);
      }
    },
    getEntries: (fromSequence = 0) =>
      entries.filter(entry => entry.sequence >= fromSequence),
  };
}

/** Resets the caller's connection instead of replying. */
export function resetConnection(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.socket?.resetAndDestroy();
  return reply;
}

/** Creates the server; `applyFault` is called with each valid fault command. */
export function createControlledServer<S extends z.ZodType>(
  faultSchema: S,
  applyFault: (fault: z.output<S>) => void | Promise<void>,
): ControlledServer {
  const app = Fastify({
    logger: false,
    forceCloseConnections: true,
    bodyLimit: BODY_LIMIT_BYTES,
    routerOptions: {maxParamLength: MAX_PATH_PARAMETER_LENGTH},
  });
  const log = createStandInLog();
  app.get('/control/log', request => {
    const from = Number((request.query as {from?: string}).from ?? 0);
    const entries = log.getEntries(from);
    return {next: (entries.at(-1)?.sequence ?? from - 1) + 1, entries};
  });
  app.post('/control/faults', async (request, reply) => {
    const parsed = faultSchema.safeParse(request.body);
    if (!parsed.success) {
      return reply.code(400).send({error: parsed.error.message});
    }
    log.record('fault', {fault: parsed.data});
    await applyFault(parsed.data);
    return {applied: parsed.data};
  });
  return {
    app,
    log,
    startListening: async (port = 0, host = '127.0.0.1') => {
      await app.listen({port, host});
      const address = app.server.address();
      return typeof address === 'object' && address !== null ? address.port : 0;
    },
    close: () => app.close(),
  };
}
