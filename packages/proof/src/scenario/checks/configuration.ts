/** Check that a changed route is in force in time and never goes back. */
import {z} from 'zod';
import {ResourceKind} from '@siskinplank/resources';
import {MARKER_HEADER} from '../caller';
import type {ScenarioContext} from '../context';
import {listVersions} from '../platform-history';
import {defineCheck, describeTooFew} from '../types';

/** Bound of the invariant. */
const BOUND_MS = 7_000;
const HOPS_HEADER = 'x-siskinplank-hops';

/** A run at a service. */
export interface ServedRun {
  upstream: string;
  entry: string | undefined;
  atMs: number;
}

/** Runs at the given services, with the entry host that served each. */
async function listServedRuns(
  upstreams: readonly string[],
  {cluster, caller}: ScenarioContext,
): Promise<ServedRun[]> {
  const entries = new Map(
    caller.listRecords().map(({marker, entry, headers}) => [
      marker,
      // A failed request has no answer that names its entry host.
      entry ?? headers[HOPS_HEADER]?.split('>')[0],
    ]),
  );
  const runs: ServedRun[] = [];
  for (const upstream of upstreams) {
    for (const entry of await cluster.getStandIn(upstream).listLog('run')) {
      const headers = entry.headers as Record<string, string | undefined>;
      const marker = headers[MARKER_HEADER] ?? '';
      runs.push({upstream, entry: entries.get(marker), atMs: entry.atMs});
    }
  }
  return runs.sort((left, right) => left.atMs - right.atMs);
}

/** Time at which the platform accepted the last change of a route. */
async function findAcceptance(
  route: string,
  {cluster}: ScenarioContext,
): Promise<number | undefined> {
  const writes = await cluster.platform.listLog('write');
  return writes
    .filter(({kind, name}) => kind === ResourceKind.Route && name === route)
    .at(-1)?.atMs;
}

/** Runs at the former upstream after an entry host served the new one. */
function listReversals(
  runs: readonly ServedRun[],
  newUpstream: string,
): string[] {
  const current = new Set<string>();
  const problems: string[] = [];
  for (const {upstream, entry, atMs} of runs) {
    if (entry === undefined) continue;
    if (upstream === newUpstream) current.add(entry);
    else if (current.has(entry)) {
      problems.push(`${entry} went back to ${upstream} at ${atMs.toFixed(0)}`);
    }
  }
  return problems;
}

/**
 * The route moved from one service to another: after the bound nothing runs at
 * the former one, and no entry host that served the new one goes back.
 */
export const routeInForceCheck = defineCheck(
  z.strictObject({
    route: z.string(),
    from: z.string(),
    to: z.string(),
    boundMs: z.number().default(BOUND_MS),
    /** Least number of runs at the new service after the bound. */
    servedAtLeast: z.int().min(1).default(1),
  }),
  async ({route, from, to, boundMs, servedAtLeast}, context) => {
    const acceptedMs = await findAcceptance(route, context);
    if (acceptedMs === undefined) return ['the route was not changed'];
    const runs = await listServedRuns([from, to], context);
    const late = runs.filter(({atMs}) => atMs > acceptedMs + boundMs);
    const stale = late
      .filter(({upstream}) => upstream === from)
      .map(
        ({entry, atMs}) =>
          `${entry ?? 'an entry'}: ran at ${from} ${(atMs - acceptedMs).toFixed(0)} ms after the change`,
      );
    const served = late.length - stale.length;
    return [
      ...stale,
      ...listReversals(runs, to),
      ...describeTooFew('runs at the new service', served, servedAtLeast),
    ];
  },
);

interface RouteSpec {
  upstreams?: string[];
}

/** A version of a route. */
export interface RouteVersion {
  upstream: string;
  atMs: number;
}

/**
 * Compares runs, in order of time, with the versions of a route. An upstream
 * that several versions name counts for the first of them that explains the
 * run.
 */
export function listHistoryProblems(
  versions: readonly RouteVersion[],
  runs: readonly ServedRun[],
  boundMs: number,
): string[] {
  const newest = new Map<string, number>();
  const problems: string[] = [];
  for (const {upstream, entry = 'an entry', atMs} of runs) {
    const reached = newest.get(entry) ?? 0;
    const named = [...versions.keys()].filter(
      index => versions[index].upstream === upstream,
    );
    const index = named.find(
      candidate =>
        candidate >= reached &&
        atMs <= (versions.at(candidate + 1)?.atMs ?? Infinity) + boundMs,
    );
    if (index !== undefined) {
      newest.set(entry, index);
      continue;
    }
    const last = named.at(-1);
    if (last === undefined || last < reached) {
      problems.push(`${entry} went back to ${upstream}`);
    }
    const replacedMs = last === undefined ? atMs : versions[last + 1]?.atMs;
    if (replacedMs !== undefined && atMs > replacedMs + boundMs) {
      const lateMs = (atMs - replacedMs).toFixed(0);
      problems.push(
        `${entry}: ran at ${upstream} ${lateMs} ms after its replacement`,
      );
    }
  }
  return problems;
}

/**
 * A route that was changed several times:
 * nothing runs at a former upstream once its replacement is older than the
 * bound, and no entry host goes back to one.
 */
export const routeHistoryCheck = defineCheck(
  z.strictObject({
    route: z.string(),
    boundMs: z.number().default(BOUND_MS),
    /** Least number of runs at the last upstream. */
    servedAtLeast: z.int().min(0).default(1),
  }),
  async ({route, boundMs, servedAtLeast}, context) => {
    const accepted = await listVersions(context, ResourceKind.Route, route);
    const versions = accepted.map(({value, atMs}) => ({
      upstream: (value as RouteSpec).upstreams?.[0] ?? '',
      atMs,
    }));
    const upstreams = [...new Set(versions.map(({upstream}) => upstream))];
    const runs = await listServedRuns(upstreams, context);
    const last = versions.at(-1)?.upstream;
    const served = runs.filter(({upstream}) => upstream === last).length;
    return [
      ...listHistoryProblems(versions, runs, boundMs),
      ...describeTooFew('runs at the last upstream', served, servedAtLeast),
    ];
  },
);
