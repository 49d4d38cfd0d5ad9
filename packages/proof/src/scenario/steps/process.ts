/** Steps that signal, restart and announce processes. */
import {z} from 'zod';
import type {ScenarioContext} from '../context';
import {defineStep} from '../types';

const processSchema = z.strictObject({process: z.string()});

/** Ends a process at once. */
export const killStep = defineStep(processSchema, async (input, context) => {
  await context.cluster.kill(input.process);
});

async function stopProcess(
  process: string,
  {cluster, clock, plannedExits}: ScenarioContext,
): Promise<void> {
  const signalledAtMs = clock.getNowMs();
  const exit = await cluster.term(process);
  const endedAtMs = clock.getNowMs();
  plannedExits.push({process, signalledAtMs, endedAtMs, exit});
}

/** Stops a process gracefully; with `background`, does not wait for its exit. */
export const termStep = defineStep(
  processSchema.extend({background: z.boolean().default(false)}),
  async (input, context) => {
    const work = stopProcess(input.process, context);
    if (input.background) context.background.push(work);
    else await work;
  },
);

/** Stops the execution of a process without ending it. */
export const freezeStep = defineStep(processSchema, (input, context) =>
  context.cluster.freeze(input.process),
);

/** Resumes a frozen process. */
export const thawStep = defineStep(processSchema, (input, context) =>
  context.cluster.thaw(input.process),
);

/** Starts a process again at its addresses and waits until it is ready. */
export const restartStep = defineStep(
  processSchema.extend({waitsForReady: z.boolean().default(true)}),
  async (input, context) => {
    const {cluster} = context;
    await cluster.restart(input.process);
    const isRole = [...cluster.entries, ...cluster.sides].some(
      ({name}) => name === input.process,
    );
    if (isRole && input.waitsForReady) {
      await cluster.waitForReady([input.process]);
    }
  },
);

/** Sets or removes a host in the platform's host list. */
export const hostStateStep = defineStep(
  z.strictObject({
    host: z.string(),
    state: z.enum(['live', 'leaving', 'removed']),
  }),
  ({host, state}, {cluster}) =>
    state === 'removed'
      ? cluster.removeHost(host)
      : cluster.setHostState(host, state),
);
