/** Check that a withdrawn key stops working in time. */
import {z} from 'zod';
import {ResourceKind} from '@siskinplank/resources';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {MARKER_HEADER} from '../caller';
import type {CallRecord} from '../caller';
import type {ScenarioContext} from '../context';
import {defineCheck, describeTooFew} from '../types';

const HTTP_OK = 200;
/** Bound of the invariant. */
const BOUND_MS = 7_000;

/** Time at which the platform accepted the withdrawal. */
async function findWithdrawal(
  account: string,
  {cluster, keys}: ScenarioContext,
): Promise<number | undefined> {
  const keyId = keys.get(account)?.keyId;
  const writes = (await cluster.platform.listLog('write')).filter(
    ({kind, name}) => kind === ResourceKind.ApiKey && name === keyId,
  );
  // The first write issued the key and the next one withdrew it.
  return writes.at(1)?.atMs;
}

/** Times of requests at engines, by the marker of the request. */
async function listEngineTimes({
  cluster,
}: ScenarioContext): Promise<Map<string, number>> {
  const times = new Map<string, number>();
  const engines = cluster.listUpstreams().filter(({type}) => type === 'engine');
  for (const {name} of engines) {
    for (const entry of await cluster.getStandIn(name).listLog('request')) {
      const headers = entry.headers as Record<string, string | undefined>;
      times.set(headers[MARKER_HEADER] ?? '', entry.atMs);
    }
  }
  return times;
}

function isOpenAt(record: CallRecord, atMs: number): boolean {
  const {startedAtMs, endedAtMs, status} = record;
  const isStarted = startedAtMs <= atMs && status === HTTP_OK;
  return isStarted && (endedAtMs === undefined || endedAtMs > atMs);
}

/**
 * From the bound on, no request of the key is accepted or reaches an engine,
 * and no answer to one is open.
 */
export const keyStoppedCheck = defineCheck(
  z.strictObject({
    account: z.string(),
    boundMs: z.number().default(BOUND_MS),
    /** Bound for open answers, above the time that their host is frozen. */
    openBoundMs: z.number().default(BOUND_MS),
    /** Least number of requests after the bound. */
    refusedAtLeast: z.int().min(0).default(1),
    /** Least number of answers that are open at the withdrawal. */
    openAtLeast: z.int().min(0).default(0),
    /** Whether the withdrawal may have failed, as in an outage. */
    mayBeKept: z.boolean().default(false),
  }),
  async ({account, boundMs, openBoundMs, mayBeKept, ...least}, context) => {
    const acceptedMs = await findWithdrawal(account, context);
    if (acceptedMs === undefined) {
      return mayBeKept ? [] : ['the key was not withdrawn'];
    }
    const times = await listEngineTimes(context);
    // Callers and stand-ins count from different starts of the same clock.
    const offsetMs = getMonotonicMs() - context.clock.getNowMs();
    const withdrawnMs = acceptedMs - offsetMs;
    const records = context.caller
      .listRecords()
      .filter(record => record.account === account);
    const late = records.filter(
      ({startedAtMs}) => startedAtMs > withdrawnMs + boundMs,
    );
    const open = records.filter(record => isOpenAt(record, withdrawnMs));
    const problems: string[] = [];
    for (const {name, marker, startedAtMs, status} of late) {
      const afterMs = (startedAtMs - withdrawnMs).toFixed(0);
      if (status === HTTP_OK) {
        problems.push(`${name ?? marker}: accepted ${afterMs} ms after`);
      }
    }
    for (const {name, marker} of records) {
      const afterMs = (times.get(marker) ?? 0) - acceptedMs;
      if (afterMs > boundMs) {
        problems.push(`${name ?? marker}: ran ${afterMs.toFixed(0)} ms after`);
      }
    }
    for (const record of open) {
      if (isOpenAt(record, withdrawnMs + openBoundMs)) {
        problems.push(`${record.name ?? record.marker}: open after the bound`);
      }
    }
    return [
      ...problems,
      ...describeTooFew('late requests', late.length, least.refusedAtLeast),
      ...describeTooFew('open answers', open.length, least.openAtLeast),
    ];
  },
);
