/** Check that a leaving upstream gets no new work. */
import {z} from 'zod';
import {ResourceKind, UpstreamState} from '@siskinplank/resources';
import type {ScenarioContext} from '../context';
import {defineCheck, describeTooFew} from '../types';

/** Bound of INV-10. */
const BOUND_MS = 5_000;
const WORK_TYPES = ['generation-started', 'run'];

async function listStarts(
  standIn: string,
  {cluster}: ScenarioContext,
): Promise<number[]> {
  const log = await cluster.getStandIn(standIn).listLog();
  return log
    .filter(({type}) => WORK_TYPES.includes(type))
    .map(({atMs}) => atMs);
}

/**
 * From the bound after an operator marked the upstream as leaving until its
 * next change, the upstream starts no work although others do.
 */
export const noWorkAfterLeavingCheck = defineCheck(
  z.strictObject({
    upstream: z.string(),
    boundMs: z.number().default(BOUND_MS),
    /** Upstream that stays in use, so that there is traffic. */
    elsewhere: z.string(),
    /** Least number of starts there in the same time. */
    elsewhereAtLeast: z.int().min(0).default(1),
    /** Whether the platform may have refused the mark, as in an outage. */
    mayBeUnmarked: z.boolean().default(false),
  }),
  async (input, context) => {
    const {upstream, boundMs, elsewhere, elsewhereAtLeast} = input;
    const writes = (await context.cluster.platform.listLog('write')).filter(
      ({kind, name}) => kind === ResourceKind.Upstream && name === upstream,
    );
    const marked = writes.find(({state}) => state === UpstreamState.Leaving);
    if (marked === undefined) {
      return input.mayBeUnmarked ? [] : [`${upstream} was not marked`];
    }
    const next = writes.find(
      ({state, atMs}) => state === UpstreamState.Active && atMs > marked.atMs,
    );
    const fromMs = marked.atMs + boundMs;
    const toMs = next?.atMs ?? Infinity;
    const isWithin = (atMs: number): boolean => atMs > fromMs && atMs < toMs;
    const late = (await listStarts(upstream, context)).filter(isWithin);
    const others = (await listStarts(elsewhere, context)).filter(isWithin);
    const problems =
      late.length === 0
        ? []
        : [`${upstream} started ${late.length} requests after the bound`];
    return [
      ...problems,
      ...describeTooFew(
        `starts at ${elsewhere}`,
        others.length,
        elsewhereAtLeast,
      ),
    ];
  },
);
