/** Checks on what ran, from the upstreams' own records. */
import {z} from 'zod';
import type {LogEntry} from '@siskinplank/stand-ins';
import {MARKER_HEADER, getRunState} from '../caller';
import type {CallRecord} from '../caller';
import type {ScenarioContext} from '../context';
import {defineCheck, describeTooFew} from '../types';

/** Runs of one request, as upstreams recorded them. */
interface UpstreamRun {
  upstream: string;
  marker: string;
  idempotencyKey: string | undefined;
}

function toRun(upstream: string, entry: LogEntry): UpstreamRun {
  const headers = entry.headers as Record<string, string | undefined>;
  return {
    upstream,
    marker: headers[MARKER_HEADER] ?? '',
    idempotencyKey: headers['idempotency-key'],
  };
}

/** Lists runs at plain services and generations at engines. */
async function listRuns(
  {cluster, standIns}: ScenarioContext,
  isWanted: (type: string) => boolean,
): Promise<UpstreamRun[]> {
  const runs: UpstreamRun[] = [];
  for (const name of standIns.filter(isWanted)) {
    const log = await cluster.getStandIn(name).listLog();
    // An engine refuses some of the requests that it records; only a
    // generation counts as a run.
    const started = new Set(
      log
        .filter(({type}) => type === 'generation-started')
        .map(({generationId}) => generationId),
    );
    for (const entry of log) {
      const isRun =
        entry.type === 'run' ||
        (entry.type === 'request' && started.has(entry.generationId));
      if (isRun) runs.push(toRun(name, entry));
    }
  }
  return runs;
}

function listUpstreams(context: ScenarioContext): Set<string> {
  return new Set(context.cluster.listUpstreams().map(({name}) => name));
}

function listServices(context: ScenarioContext): Set<string> {
  return new Set(
    context.cluster
      .listUpstreams()
      .filter(({type}) => type === 'service')
      .map(({name}) => name),
  );
}

/** A service call runs at most once, whatever its callers repeat. */
export const atMostOnceCheck = defineCheck(
  z.strictObject({}).nullish(),
  async (_, context) => {
    const services = listServices(context);
    const runs = await listRuns(context, name => services.has(name));
    const records = new Map(
      context.caller.listRecords().map(record => [record.marker, record]),
    );
    const counts = new Map<string, number>();
    const problems: string[] = [];
    for (const {marker, upstream, idempotencyKey} of runs) {
      const record = records.get(marker);
      if (record === undefined) {
        problems.push(`${upstream} ran a request that no caller sent`);
        continue;
      }
      const order =
        idempotencyKey === undefined
          ? marker
          : `key ${idempotencyKey} of ${record.account}`;
      counts.set(order, (counts.get(order) ?? 0) + 1);
    }
    for (const [order, count] of counts) {
      if (count > 1) problems.push(`${order} ran ${count} times`);
    }
    return problems;
  },
);

function isRefusedNotRun(record: CallRecord): boolean {
  if (record.endedAtMs === undefined) return false;
  if (getRunState(record) === 'not-run') return true;
  return /"run_state":"not-run"/.test(record.text);
}

/** A request refused as not run has run at no upstream. */
export const notRunCheck = defineCheck(
  z.strictObject({
    /** Least number of such refusals, so that the check is not empty. */
    atLeast: z.int().min(0).default(1),
  }),
  async ({atLeast}, context) => {
    const upstreams = listUpstreams(context);
    const runs = await listRuns(context, name => upstreams.has(name));
    const refused = context.caller.listRecords().filter(isRefusedNotRun);
    const problems = refused.flatMap(record =>
      runs
        .filter(({marker}) => marker === record.marker)
        .map(
          ({upstream}) =>
            `${record.name ?? record.marker} ran at ${upstream}: ${record.text}`,
        ),
    );
    return [
      ...problems,
      ...describeTooFew('refusals', refused.length, atLeast),
    ];
  },
);

/** An answered order ran, and the answer is that of its own run. */
export const answeredRanCheck = defineCheck(
  z.strictObject({}).nullish(),
  async (_, context) => {
    const services = listServices(context);
    const runs = await listRuns(context, name => services.has(name));
    const keys = new Set(runs.map(({idempotencyKey}) => idempotencyKey));
    const markers = new Set(runs.map(({marker}) => marker));
    return context.caller
      .listRecords()
      .filter(({path, status}) => !path.startsWith('/v1/') && status === 200)
      .filter(
        ({marker, idempotencyKey}) =>
          !markers.has(marker) &&
          !(idempotencyKey !== undefined && keys.has(idempotencyKey)),
      )
      .map(({name, marker}) => `${name ?? marker} was answered but not run`);
  },
);
