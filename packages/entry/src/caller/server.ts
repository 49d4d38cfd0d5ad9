/** HTTP server for callers. */
import type {Socket} from 'node:net';
import {Either, Left, Right} from 'purify-ts';
import fastify from 'fastify';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {ConfigurationView} from '@siskinplank/configuration';
import {createTurnMonitor, makeSecureId} from '@siskinplank/foundation';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {EntrySettings} from '@siskinplank/settings';
import type {OpenRequests} from '../drain/open-requests';
import {REQUEST_FAILED} from '../events';
import type {EntryMetrics} from '../metrics';
import {
  REQUEST_ID_HEADER,
  getRefusalStatus,
  makeRefusal,
  renderErrorBody,
  renderRefusalHeaders,
} from '../refusals';
import type {Refusal} from '../refusals';
import type {Executor} from '../requests/execute';
import type {StartError} from '../types';
import {CompletionType} from './completion-body';
import {listModelEntries} from './models';
import type {PreparedRequest, RawRequest, RequestPreparer} from './prepare';

/** HTTP server for callers. */
export interface CallerServer {
  listen(): Promise<Either<StartError, void>>;
  close(): Promise<void>;
}

/** Dependencies of the server. */
export interface CallerServerDependencies {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  metrics: EntryMetrics;
  configuration: ConfigurationView;
  preparer: RequestPreparer;
  executor: Executor;
  openRequests: OpenRequests;
  /** Whether the process shuts down, so that readiness probes fail. */
  isLeaving: () => boolean;
  /** Whether new requests are refused. */
  isDraining: () => boolean;
}

/** A request whose head has arrived and that isn't executed yet. */
interface IncomingRequest {
  /** Whether its head arrived before the drain. */
  isAccepted: boolean;
  /** Earliest time at which its head may have arrived. */
  arrivedAtMs: number;
  /** Removes it from the open requests. */
  end: () => void;
}

/** Largest total size of the request headers. */
const MAX_HEADER_BYTES = 16_384;

/** Time for a caller to send a complete request. */
const RECEIVE_TIMEOUT_MS = 60_000;

const DRAIN_RETRY_AFTER_MS = 1_000;

/** Period in which turns of the event loop are observed without requests. */
const TURN_PERIOD_MS = 100;

/** Paths that are served during a drain and don't count as open requests. */
const PROBE_PATHS = new Set(['/healthz', '/readyz', '/metrics']);

/** Creates the server; it does not listen yet. */
export function createCallerServer(
  deps: CallerServerDependencies,
): CallerServer {
  const handleFrameworkError = (
    error: unknown,
    request: FastifyRequest,
    reply: FastifyReply,
  ): void => {
    void sendRefusal(reply, makeFrameworkRefusal(error), request.id);
  };
  const app = fastify({
    logger: false,
    bodyLimit: deps.settings.caller.bodyLimitBytes,
    requestTimeout: RECEIVE_TIMEOUT_MS,
    http: {maxHeaderSize: MAX_HEADER_BYTES},
    return503OnClosing: false,
    forceCloseConnections: true,
    genReqId: makeRequestId,
    requestIdHeader: false,
    exposeHeadRoutes: false,
    frameworkErrors: handleFrameworkError,
    clientErrorHandler: handleClientError,
  });
  installBodyParser(app);

  const sendRefusal = (
    reply: FastifyReply,
    refusal: Refusal,
    requestId: string,
  ): FastifyReply => {
    deps.metrics.countRefusal(refusal);
    deps.metrics.countRequest(getRefusalStatus(refusal), 0);
    if (deps.isLeaving()) void reply.header('connection', 'close');
    return reply
      .status(getRefusalStatus(refusal))
      .headers(renderRefusalHeaders(refusal))
      .header(REQUEST_ID_HEADER, requestId)
      .send(JSON.stringify(renderErrorBody(refusal)));
  };

  const {clock} = deps;
  const turns = createTurnMonitor({usualGapMs: TURN_PERIOD_MS * 1.5});
  let turnTimer: Timer | undefined;
  const incomingRequests = new WeakMap<FastifyRequest, IncomingRequest>();

  /**
   * Counts a request as open as soon as its head has arrived. Otherwise a drain
   * would end while its body arrives. The head also decides whether a request
   * arrived before the drain.
   */
  app.addHook('onRequest', (request, reply, done) => {
    if (PROBE_PATHS.has(request.url)) return done();
    const nowMs = clock.getNowMs();
    turns.observe(nowMs);
    const arrivedAtMs = turns.getEarliestArrivalMs(nowMs);
    const end = deps.openRequests.add({
      keyId: undefined,
      account: undefined,
      abort: reason => {
        if (!reply.sent) void sendRefusal(reply, reason, request.id);
      },
    });
    const isAccepted = !deps.isDraining();
    incomingRequests.set(request, {isAccepted, arrivedAtMs, end});
    reply.raw.once('close', end);
    done();
  });

  const checkAccepted = (request: FastifyRequest): Either<Refusal, void> =>
    incomingRequests.get(request)?.isAccepted === true
      ? Right(undefined)
      : Left(makeDrainRefusal());

  const toRaw = (request: FastifyRequest): RawRequest => {
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    return {
      requestId: request.id,
      method: request.method,
      url: request.url,
      headers: request.headers,
      rawHeaders: request.raw.rawHeaders,
      body: body as Uint8Array<ArrayBuffer>,
      arrivedAtMs:
        incomingRequests.get(request)?.arrivedAtMs ?? clock.getNowMs(),
    };
  };

  const handleCall = async (
    request: FastifyRequest,
    reply: FastifyReply,
    prepare: (raw: RawRequest) => Either<Refusal, PreparedRequest>,
  ): Promise<FastifyReply> => {
    // The grace period of a drain ended while the body arrived, and the request
    // was refused.
    if (reply.sent) return reply;
    const prepared = checkAccepted(request).chain(() =>
      prepare(toRaw(request)),
    );
    if (prepared.isLeft()) {
      const refusal = prepared.extract() as Refusal;
      return sendRefusal(reply, refusal, request.id);
    }
    const {request: callerRequest, span} = prepared.unsafeCoerce();
    reply.hijack();
    const executed = deps.executor.executeRequest(callerRequest, reply.raw);
    incomingRequests.get(request)?.end();
    await executed;
    span.setAttribute('http.status', reply.raw.statusCode);
    span.end();
    return reply;
  };

  const handleModels = (
    request: FastifyRequest,
    reply: FastifyReply,
    name: string | undefined,
  ): FastifyReply => {
    const listed = checkAccepted(request)
      .chain(() => deps.preparer.authenticate(toRaw(request)))
      .map(({account}) => listModelEntries(account, deps.configuration));
    if (listed.isLeft()) {
      return sendRefusal(reply, listed.extract() as Refusal, request.id);
    }
    const entries = listed.unsafeCoerce();
    void reply.header(REQUEST_ID_HEADER, request.id);
    if (deps.isLeaving()) void reply.header('connection', 'close');
    if (name === undefined) return reply.send({object: 'list', data: entries});
    const entry = entries.find(model => model.id === name);
    if (entry !== undefined) return reply.send(entry);
    const refusal = makeRefusal(
      RefusalCode.ModelNotFound,
      'The requested model does not exist.',
      {param: 'model'},
    );
    return sendRefusal(reply, refusal, request.id);
  };

  app.post('/v1/chat/completions', (request, reply) =>
    handleCall(request, reply, raw =>
      deps.preparer.prepareCompletion(CompletionType.Chat, raw),
    ),
  );
  app.post('/v1/completions', (request, reply) =>
    handleCall(request, reply, raw =>
      deps.preparer.prepareCompletion(CompletionType.Text, raw),
    ),
  );
  app.get('/v1/models', (request, reply) =>
    handleModels(request, reply, undefined),
  );
  app.get<{Params: {'*': string}}>('/v1/models/*', (request, reply) =>
    handleModels(request, reply, request.params['*']),
  );
  app.get('/healthz', (_request, reply) => reply.send({status: 'ok'}));
  app.get('/readyz', (request, reply) => {
    if (deps.isLeaving()) {
      return sendRefusal(reply, makeDrainRefusal(), request.id);
    }
    if (deps.configuration.getRevision() === 0) {
      return sendRefusal(reply, makeNotReadyRefusal(), request.id);
    }
    return reply.send({status: 'ready'});
  });
  app.get('/metrics', async (_request, reply) =>
    reply
      .type('text/plain; version=0.0.4; charset=utf-8')
      .send(await deps.metrics.renderText()),
  );
  app.all('/*', (request, reply) =>
    handleCall(request, reply, raw => deps.preparer.prepareRoute(raw)),
  );
  app.setNotFoundHandler((request, reply) =>
    sendRefusal(
      reply,
      makeRefusal(RefusalCode.RouteNotFound, 'No route for this path.'),
      request.id,
    ),
  );
  app.setErrorHandler((error, request, reply) => {
    const refusal = makeFrameworkRefusal(error);
    if (getRefusalStatus(refusal) === 500) {
      deps.logger.log(REQUEST_FAILED, {requestId: request.id});
    }
    return sendRefusal(reply, refusal, request.id);
  });

  return {
    listen: async () => {
      const {host, port} = deps.settings.caller;
      try {
        await app.listen({host, port});
        turnTimer = clock.startInterval(TURN_PERIOD_MS, () =>
          turns.observe(clock.getNowMs()),
        );
        return Right(undefined);
      } catch (error) {
        return Left({reason: `cannot listen on ${host}:${port}: ${error}`});
      }
    },
    close: async () => {
      turnTimer?.cancel();
      await app.close();
    },
  };
}

function makeRequestId(): string {
  return makeSecureId();
}

/** Replies to input that Node.js could not parse as HTTP. */
function handleClientError(error: {code?: string}, socket: Socket): void {
  const refusal = makeClientErrorRefusal(error);
  if (socket.writable) socket.end(renderRawRefusal(refusal));
  else socket.destroy();
}

function installBodyParser(app: FastifyInstance): void {
  app.removeAllContentTypeParsers();
  app.addContentTypeParser(
    '*',
    {parseAs: 'buffer'},
    (_request, body, done) => void done(null, body),
  );
}

function makeDrainRefusal(): Refusal {
  return makeRefusal(
    RefusalCode.Draining,
    'This host is being shut down; repeat the request.',
    {retryAfterMs: DRAIN_RETRY_AFTER_MS},
  );
}

function makeNotReadyRefusal(): Refusal {
  return makeRefusal(
    RefusalCode.ConfigurationStale,
    'The configuration has not arrived yet.',
  );
}

function makeFrameworkRefusal(error: unknown): Refusal {
  const {statusCode: status = 500, code = ''} = error as {
    statusCode?: number;
    code?: string;
  };
  if (status === 413) {
    return makeRefusal(RefusalCode.BodyTooLarge, 'The body is too large.');
  }
  if (status >= 500) {
    return makeRefusal(RefusalCode.UpstreamFailed, 'The request failed.', {
      status: 500,
      runState: RunState.Unknown,
    });
  }
  return makeRefusal(
    RefusalCode.InvalidRequest,
    `The request is malformed${code === '' ? '' : ` (${code})`}.`,
    {status},
  );
}

const CLIENT_ERROR_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

function makeClientErrorRefusal(error: {code?: string}): Refusal {
  const status = CLIENT_ERROR_STATUS[error.code ?? ''] ?? 400;
  const messages: Readonly<Record<number, string>> = {
    431: 'The request headers are too large.',
    408: 'The request did not arrive in time.',
  };
  const message = messages[status] ?? 'The request is not valid HTTP.';
  return makeRefusal(RefusalCode.InvalidRequest, message, {status});
}

const STATUS_TEXTS: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

function renderRawRefusal(refusal: Refusal): string {
  const status = getRefusalStatus(refusal);
  const body = JSON.stringify(renderErrorBody(refusal));
  const headers = Object.entries({
    ...renderRefusalHeaders(refusal),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  });
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${STATUS_TEXTS[status] ?? 'Error'}\r\n${lines.join('')}\r\n${body}`;
}
