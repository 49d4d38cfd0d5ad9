import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {ResourceKind, RunState} from '@siskinplank/resources';
import {startCluster} from '../cluster/cluster';
import type {Cluster} from '../cluster/types';
import {issueKey, makeAccount, waitUntil} from './support';

const SERVICES = ['service-1', 'service-2'];
const STATUSES = ['000', '099', '101', '600', '999', '20', '2000', '+20', 'x'];
/** Longer than the requests beside which it runs. */
const SLOW_MS = 1_000;
const MAX_ANSWER_MS = 8_000;

let cluster: Cluster;
let key: string;

beforeAll(async () => {
  cluster = await startCluster({
    entries: 1,
    services: SERVICES.map(name => ({name})),
    objects: [
      makeAccount('plaksne'),
      ...['GET', 'POST'].map(method => ({
        kind: ResourceKind.Route,
        name: `route-${method.toLowerCase()}`,
        value: {
          name: `route-${method.toLowerCase()}`,
          methods: [method],
          path: '/desk/*',
          access: 'keyed',
          idempotent: method === 'GET',
          upstreams: SERVICES,
        },
      })),
    ],
  });
  key = await issueKey(cluster, 'plaksne');
}, 60_000);

afterAll(() => cluster?.stop(), 60_000);

const send = async (
  method: string,
  path: string,
): Promise<{status: number; runState: string | null; text: string}> => {
  const response = await fetch(`${cluster.entries[0].callerUrl}${path}`, {
    method,
    headers: {authorization: `Bearer ${key}`},
    signal: AbortSignal.timeout(MAX_ANSWER_MS),
  });
  const runState = response.headers.get('x-siskinplank-run-state');
  return {status: response.status, runState, text: await response.text()};
};

const countRuns = async (path: string): Promise<number> => {
  const logs = await Promise.all(
    SERVICES.map(name => cluster.getStandIn(name).listLog()),
  );
  return logs
    .flat()
    .filter(({type, path: run}) => type === 'run' && run === path).length;
};

const setStatuses = async (
  names: readonly string[],
  statuses: string[],
  delayMs = 0,
): Promise<void> => {
  for (const name of names) {
    await cluster.getStandIn(name).sendFault({statuses, delayMs});
  }
};

describe('caller of services with malformed statuses', () => {
  // Guards against an answer with such a status, and against a second run.
  it.each(STATUSES)(
    'learns that a request may have run after %s',
    async status => {
      await setStatuses(SERVICES, [status]);
      const path = `/desk/order-${encodeURIComponent(status)}`;
      const answered = await send('POST', path);
      await setStatuses(SERVICES, []);
      expect(answered).toMatchObject({status: 502, runState: RunState.Unknown});
      expect(answered.text).not.toMatch(/odd|assert/);
      expect(await countRuns(path)).toBe(1);
    },
  );

  it.each(STATUSES)(
    'gets the answer of another service after %s',
    async status => {
      const path = `/desk/read-${encodeURIComponent(status)}`;
      const [name] = SERVICES;
      const countOdd = async (): Promise<number> =>
        (await cluster.getStandIn(name).listLog()).filter(
          ({type}) => type === 'odd-status',
        ).length;
      const formerCount = await countOdd();
      await setStatuses([name], [status]);
      await waitUntil(async () => {
        const {status: answered, runState} = await send('GET', path);
        expect([answered, runState]).toEqual([200, RunState.Ran]);
        return (await countOdd()) > formerCount;
      });
    },
  );

  // Guards against a link that breaks, with the other requests on it.
  it.each(STATUSES)(
    'gets the answers to other requests beside %s',
    async status => {
      await setStatuses(SERVICES, [], SLOW_MS);
      const paths = Array.from(
        {length: 6},
        (_, index) => `/desk/slow-${index}-${encodeURIComponent(status)}`,
      );
      const slow = Promise.all(paths.map(path => send('POST', path)));
      const hasStarted = async (path: string): Promise<boolean> =>
        (await countRuns(path)) === 1;
      for (const path of paths) await waitUntil(() => hasStarted(path));
      await setStatuses(SERVICES, [status]);
      const odd = await send('POST', `/desk/odd-${encodeURIComponent(status)}`);
      await setStatuses(SERVICES, []);
      expect(odd.status).toBe(502);
      expect((await slow).map(answered => answered.status)).toEqual(
        paths.map(() => 200),
      );
    },
  );
});
