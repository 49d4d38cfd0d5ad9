/** Steps about planned stops. */
import {z} from 'zod';
import {failStep, waitUntil} from '../context';
import type {ScenarioContext} from '../context';
import {defineStep} from '../types';

/** Sends SIGTERM and expects the end with status 0 within a bound. */
export const expectStopStep = defineStep(
  z.strictObject({
    process: z.string(),
    withinMs: z.int().positive(),
    /** Signals sent; a later one must change nothing. */
    signals: z.int().positive().default(1),
  }),
  async ({process, withinMs, signals}, {cluster, clock}) => {
    const managed = cluster.getProcess(process);
    const startedMs = clock.getNowMs();
    for (let sent = 0; sent < signals; sent += 1) {
      managed.sendSignal('SIGTERM');
      await clock.waitMs(100);
    }
    const exit = await managed.waitForExit();
    const tookMs = clock.getNowMs() - startedMs;
    if (exit.code === 0 && tookMs <= withinMs) return;
    return failStep(`${process}: ${JSON.stringify(exit)} in ${tookMs} ms`);
  },
);

async function countStarted(
  standIns: readonly string[],
  {cluster}: ScenarioContext,
): Promise<number> {
  let count = 0;
  for (const name of standIns) {
    for (const type of ['generation-started', 'run']) {
      count += (await cluster.getStandIn(name).listLog(type)).length;
    }
  }
  return count;
}

/** Expects that upstreams start no work for a time, in their own records. */
export const expectNoWorkStep = defineStep(
  z.strictObject({
    standIns: z.array(z.string()).min(1),
    forMs: z.int().positive(),
    /** Upstreams that must start work meanwhile, so that there is traffic. */
    elsewhere: z.array(z.string()).min(1),
  }),
  async ({standIns, forMs, elsewhere}, context) => {
    const before = await countStarted(standIns, context);
    const othersBefore = await countStarted(elsewhere, context);
    await context.clock.waitMs(forMs);
    const started = (await countStarted(standIns, context)) - before;
    const others = (await countStarted(elsewhere, context)) - othersBefore;
    if (others === 0) return failStep('no work was started elsewhere');
    if (started === 0) return;
    return failStep(`${started} requests started at ${standIns.join(', ')}`);
  },
);

interface StoredTable {
  value?: {units?: Array<{host?: string; holder?: string}>};
}

/** Expects that a stopped entry process holds no share units. */
export const expectNoShareStep = defineStep(
  z.strictObject({process: z.string()}),
  ({process}, {cluster}) =>
    waitUntil(`${process} holds no share units`, async () => {
      const url = `http://127.0.0.1:${cluster.platform.port}/v1/objects/ShareTable`;
      const response = await fetch(url);
      const {items} = (await response.json()) as {items: StoredTable[]};
      return (
        items.length > 0 && !JSON.stringify(items).includes(`"${process}"`)
      );
    }),
);
