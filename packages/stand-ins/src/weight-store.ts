/** Stand-in of the rate-limited weight store. */
import {z} from 'zod';
import {createControlledServer, getMonotonicMs, waitMs} from './control';
import type {StandIn} from './control';

/** Schema of `POST /control/faults`; an absent field changes nothing. */
export const weightStoreFaultSchema = z.strictObject({
  down: z.boolean().optional(),
  slowMs: z.number().min(0).optional(),
});

export type WeightStoreFault = z.input<typeof weightStoreFaultSchema>;

/** Options of the weight store stand-in. */
export interface WeightStoreStandInOptions {
  port?: number;
  host?: string;
  loadsPerSecond?: number;
  maxConcurrentLoads?: number;
  /** Time of one load before `timeScale` is applied. */
  loadMs?: number;
  /** Factor on all times. */
  timeScale?: number;
}

const DEFAULT_LOADS_PER_SECOND = 2;
const DEFAULT_CONCURRENT_LOADS = 3;
const DEFAULT_LOAD_MS = 1_000;

/**
 * Starts the weight store. `GET /v1/weights/:model` replies after the load
 * time; a load above the rate or the concurrency limit is queued.
 */
export async function startWeightStoreStandIn(
  options: WeightStoreStandInOptions = {},
): Promise<StandIn> {
  const timeScale = options.timeScale ?? 1;
  const rate = options.loadsPerSecond ?? DEFAULT_LOADS_PER_SECOND;
  const intervalMs = (1_000 / rate) * timeScale;
  const maxConcurrent = options.maxConcurrentLoads ?? DEFAULT_CONCURRENT_LOADS;
  const loadMs = (options.loadMs ?? DEFAULT_LOAD_MS) * timeScale;
  const waiting: Array<() => void> = [];
  let running = 0;
  let nextStartMs = 0;
  let isDown = false;
  let slowMs = 0;
  const server = createControlledServer(weightStoreFaultSchema, fault => {
    isDown = fault.down ?? isDown;
    slowMs = fault.slowMs ?? slowMs;
  });
  const acquireSlot = async (): Promise<void> => {
    if (running < maxConcurrent) running += 1;
    // A finished load passes its slot to the next one: `running` is unchanged.
    else await new Promise<void>(resolve => waiting.push(resolve));
    const nowMs = getMonotonicMs();
    const startMs = Math.max(nowMs, nextStartMs);
    nextStartMs = startMs + intervalMs;
    await waitMs(startMs - nowMs);
  };
  const releaseSlot = (): void => {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next();
  };
  server.app.get('/v1/weights/:model', async (request, reply) => {
    const {model} = request.params as {model: string};
    server.log.record('requested', {model});
    if (isDown) return reply.code(503).send({error: 'unavailable'});
    await acquireSlot();
    server.log.record('load-started', {model, running});
    await waitMs(loadMs + slowMs);
    releaseSlot();
    server.log.record('load-ended', {model});
    if (isDown) return reply.code(503).send({error: 'unavailable'});
    return {model, loaded: true};
  });
  const port = await server.startListening(options.port, options.host);
  return {port, close: server.close};
}
