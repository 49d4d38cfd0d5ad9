/** Stand-in of a plain service that records every run of every call. */
import type {FastifyReply, FastifyRequest} from 'fastify';
import {z} from 'zod';
import {createControlledServer, resetConnection, waitMs} from './control';
import type {StandIn} from './control';

/** Schema of `POST /control/faults`; an absent field changes nothing. */
export const serviceFaultSchema = z.strictObject({
  /** Resets the connection of the next calls after they ran. */
  dropReplies: z.int().min(0).optional(),
  /** Runs the next calls and never replies to them. */
  hangs: z.int().min(0).optional(),
  /** Replies 503 to the next calls without running them. */
  unavailable: z.int().min(0).optional(),
  delayMs: z.number().min(0).optional(),
  /** Statuses of the next replies, written as they are; the calls run. */
  statuses: z.array(z.string()).optional(),
});

export type ServiceFault = z.input<typeof serviceFaultSchema>;

/** Options of the plain service stand-in. */
export interface ServiceStandInOptions {
  port?: number;
  host?: string;
  name?: string;
  delayMs?: number;
  /** A call whose path contains this kills the process of the stand-in. */
  killedBy?: string;
}

/** Starts a plain service that echoes each call. */
export async function startServiceStandIn(
  options: ServiceStandInOptions = {},
): Promise<StandIn> {
  let delayMs = options.delayMs ?? 0;
  const pending = {dropReplies: 0, hangs: 0, unavailable: 0};
  let statuses: string[] = [];
  let runs = 0;
  const server = createControlledServer(serviceFaultSchema, fault => {
    delayMs = fault.delayMs ?? delayMs;
    pending.dropReplies = fault.dropReplies ?? pending.dropReplies;
    pending.hangs = fault.hangs ?? pending.hangs;
    pending.unavailable = fault.unavailable ?? pending.unavailable;
    statuses = fault.statuses ?? statuses;
  });
  const {app, log} = server;
  app.removeAllContentTypeParsers();
  app.addContentTypeParser(
    ['application/json', 'text/plain', '*'],
    {parseAs: 'buffer'},
    (request, body, done) => {
      const isControl = request.url.startsWith('/control/');
      const text = body.toString();
      try {
        done(null, isControl ? JSON.parse(text) : text);
      } catch (error) {
        done(error as Error);
      }
    },
  );
  const handleRun = async (
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> => {
    if (pending.unavailable > 0) {
      pending.unavailable -= 1;
      return reply.code(503).send({error: 'unavailable'});
    }
    runs += 1;
    const run = runs;
    const {method, url: path, headers, body} = request;
    const status = statuses.shift();
    log.record('run', {run, method, path, headers, body: body ?? ''});
    const {killedBy} = options;
    if (killedBy !== undefined && path.includes(killedBy)) {
      process.kill(process.pid, 'SIGKILL');
    }
    await waitMs(delayMs);
    if (pending.hangs > 0) {
      pending.hangs -= 1;
      log.record('hang', {run});
      reply.hijack();
      return reply;
    }
    if (pending.dropReplies > 0) {
      pending.dropReplies -= 1;
      log.record('reply-dropped', {run});
      return resetConnection(reply);
    }
    if (status !== undefined) {
      log.record('odd-status', {run, status});
      reply.hijack();
      reply.raw.socket?.write(
        `HTTP/1.1 ${status} X\r\nContent-Length: 3\r\n\r\nodd`,
      );
      return reply;
    }
    log.record('replied', {run});
    return {
      service: options.name ?? 'service',
      run,
      method,
      path,
      body: body ?? '',
    };
  };
  app.all('/*', handleRun);
  const port = await server.startListening(options.port, options.host);
  return {port, close: server.close};
}
