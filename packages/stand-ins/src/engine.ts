/** Stand-in of a model engine with an OpenAI-compatible API. */
import type {FastifyReply, FastifyRequest} from 'fastify';
import {makeSecureId} from '@siskinplank/foundation';
import {z} from 'zod';
import {createControlledServer, resetConnection} from './control';
import type {StandIn} from './control';
import {GenerationState} from './engine-batch';
import type {Generation} from './engine-batch';
import type {MemoryRecord} from './engine-memory';
import {createOrderHandler} from './engine-orders';
import {createEngineState} from './engine-state';
import type {EngineState, GenerationInput} from './engine-state';
import {createStatusHistory} from './engine-status';
import {renderResponse, streamGeneration} from './engine-streams';
import {computePrefixHashes, formatChatPrompt} from './engine-tokens';
import {applyEngineDefaults, engineFaultSchema} from './engine-types';
import type {EngineStandInOptions} from './engine-types';

const DEFAULT_MAX_TOKENS = 256;
const GENERATION_ID_BYTES = 8;

const tokenLimitSchema = z.int().min(1).max(100_000);
const completionSchema = z
  .object({
    model: z.string(),
    messages: z
      .array(z.looseObject({role: z.string(), content: z.unknown()}))
      .optional(),
    prompt: z.union([z.string(), z.array(z.string())]).optional(),
    max_tokens: tokenLimitSchema.nullish(),
    max_completion_tokens: tokenLimitSchema.nullish(),
    stream: z.boolean().nullish(),
    stream_options: z.object({include_usage: z.boolean().nullish()}).nullish(),
  })
  .refine(body => body.messages !== undefined || body.prompt !== undefined, {
    message: 'expected messages or prompt',
  });

/** Generation that one engine exports and another imports (`/v1/kv`). */
const kvSchema = z.object({
  id: z.string(),
  model: z.string(),
  adapter: z.string(),
  prompt: z.string(),
  prefixText: z.string(),
  maxTokens: z.int(),
  priority: z.number(),
  isChat: z.boolean(),
  includeUsage: z.boolean(),
  produced: z.int(),
});

function parsePriority(value: unknown): number {
  if (value === 'overnight') return 1;
  const number = Number(value);
  return Number.isFinite(number) ? number : 0;
}

function readPrompt(
  {messages = [], prompt = ''}: z.output<typeof completionSchema>,
  isChat: boolean,
): {prompt: string; prefixText: string} {
  if (isChat) {
    const prefixText = JSON.stringify(messages);
    return {prompt: formatChatPrompt(messages), prefixText};
  }
  return {
    prompt: [prompt].flat().join('\n'),
    prefixText: typeof prompt === 'string' ? prompt : JSON.stringify(prompt),
  };
}

/** Whether a repeated generation id comes with the same request. */
function isSameRequest(
  generation: Generation,
  {model, adapter, prompt, maxTokens, isChat, includeUsage}: GenerationInput,
): boolean {
  return (
    generation.model === model &&
    generation.adapter === adapter &&
    generation.prompt === prompt &&
    generation.maxTokens === maxTokens &&
    generation.isChat === isChat &&
    generation.includeUsage === includeUsage
  );
}

function sendError(
  reply: FastifyReply,
  status: number,
  code: string,
  message: string,
): FastifyReply {
  return reply.code(status).send({error: {code, message, type: code}});
}

/** Starts the engine stand-in. */
export async function startEngineStandIn(
  options: EngineStandInOptions = {},
): Promise<StandIn> {
  const config = applyEngineDefaults(options);
  const memoryRecord: MemoryRecord = {
    totalMiB: config.totalMemoryMiB,
    usedMiB: 0,
    highWaterMiB: 0,
    overcommitted: 0,
  };
  const openReplies = new Set<FastifyReply>();
  let isDown = false;
  let {checksFencing, statusLagMs} = config;
  let failRequests = 0;
  let cutStreams = {count: 0, afterChunks: 0};
  let restartTimer: NodeJS.Timeout | undefined;

  const server = createControlledServer(engineFaultSchema, fault => {
    isDown = fault.down ?? isDown;
    checksFencing = fault.checksFencing ?? checksFencing;
    statusLagMs = fault.statusLagMs ?? statusLagMs;
    failRequests = fault.failRequests ?? failRequests;
    cutStreams = fault.cutStreams ?? cutStreams;
    orders.applyFault(fault);
    if (fault.pauseMs !== undefined) state.batch.pauseFor(fault.pauseMs);
    if (fault.down === true) resetOpenReplies();
    if (fault.crash !== undefined) crashEngine(fault.crash.downMs);
  });
  const {app, log} = server;
  let state: EngineState = createEngineState(
    config,
    log,
    memoryRecord,
    makeSecureId(GENERATION_ID_BYTES),
  );
  const {dedupsOrders} = config;
  const orders = createOrderHandler(
    {isFencingChecked: () => checksFencing, dedupsOrders},
    log,
    () => state,
  );
  const takeStatus = () => ({
    totalMemoryMiB: config.totalMemoryMiB,
    usedMemoryMiB: state.memory.getUsedMiB(),
    role: state.memory.getRole(),
    models: state.memory.listModels(),
    adapters: state.memory.listAdapters(),
    running: state.batch.countRunning(),
    waiting: state.batch.countWaiting(),
    reportedAtMs: state.getEngineMs(),
    generation: state.generationNumber,
    completedOrders: state.memory.listCompletedOrders(),
  });
  const history = createStatusHistory(
    () => (isDown ? undefined : takeStatus()),
    takeStatus(),
  );
  const resetOpenReplies = (): void => {
    for (const reply of openReplies) reply.raw.socket?.resetAndDestroy();
  };
  const crashEngine = (downMs: number): void => {
    isDown = true;
    state.stop();
    resetOpenReplies();
    orders.reset();
    memoryRecord.usedMiB = 0;
    clearTimeout(restartTimer);
    restartTimer = setTimeout(() => {
      const generationNumber = makeSecureId(GENERATION_ID_BYTES);
      const freshConfig = {
        ...config,
        preloadedModels: [],
        preloadedAdapters: [],
      };
      state = createEngineState(
        freshConfig,
        log,
        memoryRecord,
        generationNumber,
      );
      isDown = false;
      log.record('restarted', {generation: generationNumber});
    }, downMs);
  };

  app.addHook('onRequest', async (request, reply) => {
    if (request.url.startsWith('/control/')) return;
    if (isDown) return resetConnection(reply);
    openReplies.add(reply);
    reply.raw.on('close', () => openReplies.delete(reply));
  });

  const waitForEnd = (generation: Generation): Promise<void> =>
    new Promise(resolve => {
      const checkEnd = (): void => {
        const {state: progress} = generation;
        if (progress === GenerationState.Waiting) return;
        if (progress === GenerationState.Running) return;
        generation.listeners.delete(checkEnd);
        resolve();
      };
      generation.listeners.add(checkEnd);
      checkEnd();
    });
  const streamToReply = (
    generation: Generation,
    reply: FastifyReply,
    offset: number,
  ): FastifyReply => {
    const endReading = state.registerReader(generation);
    const isCut = cutStreams.count > 0;
    if (isCut) cutStreams.count -= 1;
    reply.hijack();
    streamGeneration({
      generation,
      response: reply.raw,
      offset,
      cutAfterChunks: isCut ? cutStreams.afterChunks : undefined,
      onClose: endReading,
    });
    return reply;
  };
  const handleCompletion = async (
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> => {
    const parsed = completionSchema.safeParse(request.body);
    if (!parsed.success) {
      return sendError(reply, 400, 'invalid_request', parsed.error.message);
    }
    const body = parsed.data;
    const isChat = request.url.startsWith('/v1/chat/');
    const id = String(request.headers['x-request-id'] ?? makeSecureId());
    log.record('request', {
      generationId: id,
      path: request.url,
      headers: request.headers,
      body: request.body,
    });
    if (failRequests > 0) {
      failRequests -= 1;
      return sendError(reply, 500, 'internal_error', 'scripted failure');
    }
    const target = state.memory.findTarget(body.model);
    if (target === undefined) {
      log.record('request-refused', {generationId: id, model: body.model});
      return sendError(reply, 404, 'model_not_loaded', body.model);
    }
    const input: GenerationInput = {
      ...target,
      id,
      isChat,
      ...readPrompt(body, isChat),
      maxTokens:
        body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
      priority: parsePriority(request.headers['x-priority']),
      includeUsage: body.stream_options?.include_usage === true,
    };
    const existing = state.findGeneration(id);
    if (existing !== undefined) {
      const isSame = isSameRequest(existing, input);
      log.record('request-repeated', {generationId: id, isSame});
      if (!isSame) return sendError(reply, 409, 'generation_exists', id);
    }
    const generation = existing ?? state.startGeneration(input);
    if (existing === undefined) {
      log.record('generation-started', {generationId: id, ...target});
    }
    if (body.stream === true) return streamToReply(generation, reply, 0);
    const endReading = state.registerReader(generation);
    reply.raw.on('close', endReading);
    await waitForEnd(generation);
    if (generation.state === GenerationState.Cancelled) {
      return resetConnection(reply);
    }
    void reply.header('x-request-id', id);
    return renderResponse(generation);
  };
  app.post('/v1/chat/completions', handleCompletion);
  app.post('/v1/completions', handleCompletion);
  app.get('/v1/generations/:id', (request, reply) => {
    const {id} = request.params as {id: string};
    const offset = Number((request.query as {offset?: string}).offset ?? 0);
    const generation = state.findGeneration(id);
    log.record('resume', {
      generationId: id,
      offset,
      isFound: generation !== undefined,
      headers: request.headers,
    });
    if (generation === undefined) {
      return sendError(reply, 404, 'generation_not_found', id);
    }
    if (!Number.isInteger(offset) || offset < 0) {
      return sendError(reply, 400, 'invalid_request', 'offset');
    }
    return streamToReply(generation, reply, offset);
  });
  app.delete('/v1/generations/:id', (request, reply) => {
    const {id} = request.params as {id: string};
    const generation = state.findGeneration(id);
    if (generation === undefined) {
      return sendError(reply, 404, 'generation_not_found', id);
    }
    state.cancelGeneration(generation, 'deleted');
    return reply.code(204).send();
  });
  app.post('/orders', orders.handleOrder);
  app.get('/status', () => history.getSample(statusLagMs));
  app.get('/cache-events', request => {
    const from = Number((request.query as {from?: string}).from ?? 0);
    return state.cache.listEvents(from);
  });
  app.post('/v1/kv/export', (request, reply) => {
    const {generationId} = request.body as {generationId?: string};
    const generation = state.findGeneration(generationId ?? '');
    if (generation === undefined) {
      return sendError(reply, 404, 'generation_not_found', `${generationId}`);
    }
    log.record('kv-export', {generationId});
    return kvSchema.parse(generation);
  });
  app.post('/v1/kv/import', (request, reply) => {
    const parsed = kvSchema.safeParse(request.body);
    if (!parsed.success) {
      return sendError(reply, 400, 'invalid_request', parsed.error.message);
    }
    const {id, model, adapter, prefixText} = parsed.data;
    const scope = adapter === '' ? model : adapter;
    const target = state.memory.findTarget(scope);
    if (target === undefined) {
      return sendError(reply, 404, 'model_not_loaded', model);
    }
    if (state.findGeneration(id) !== undefined) {
      return sendError(reply, 409, 'generation_exists', id);
    }
    state.cache.admitBlocks(computePrefixHashes(scope, prefixText));
    const generation = state.startGeneration(parsed.data);
    state.registerReader(generation)();
    log.record('kv-import', {generationId: id, produced: parsed.data.produced});
    return {generationId: id};
  });
  app.get('/control/memory', () => memoryRecord);

  const port = await server.startListening(options.port, options.host);
  return {
    port,
    close: async () => {
      clearTimeout(restartTimer);
      history.stop();
      state.stop();
      await server.close();
    },
  };
}
