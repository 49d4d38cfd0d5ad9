import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {ResourceKind, RunState} from '@siskinplank/resources';
import {startCluster} from '../cluster/cluster';
import type {Cluster} from '../cluster/types';
import {issueKey, makeAccount, waitUntil} from './support';

const SERVICE_COUNT = 5;
const services = Array.from(
  {length: SERVICE_COUNT},
  (_, index) => `service-${index + 1}`,
);

let cluster: Cluster;
let key: string;

beforeAll(async () => {
  cluster = await startCluster({
    entries: 2,
    // A proxy would accept connections to a service that has ended.
    hasProxies: false,
    services: services.map(name => ({name, options: {killedBy: 'deadly'}})),
    objects: [
      makeAccount('plaksne'),
      {
        kind: ResourceKind.Route,
        name: 'catalogue',
        value: {
          name: 'catalogue',
          methods: ['GET'],
          path: '/catalogue/*',
          access: 'keyed',
          idempotent: true,
          upstreams: services,
        },
      },
    ],
  });
  key = await issueKey(cluster, 'plaksne');
}, 60_000);

afterAll(() => cluster?.stop(), 60_000);

function sendGet(index: number, path: string): Promise<Response> {
  const {callerUrl} = cluster.entries[index % cluster.entries.length];
  return fetch(`${callerUrl}${path}`, {
    headers: {authorization: `Bearer ${key}`},
  });
}

function countEnded(): number {
  return services.filter(name => !cluster.getProcess(name).isRunning()).length;
}

describe('requests that end upstreams', () => {
  // Guards against entry processes that send such a request to one upstream
  // after another each time it is sent again.
  it('end two upstreams over all entry hosts', async () => {
    const states: Array<string | null> = [];
    for (let index = 0; index < 12; index += 1) {
      const response = await sendGet(index, '/catalogue/deadly');
      await response.text();
      states.push(response.headers.get('x-siskinplank-run-state'));
    }
    expect(countEnded()).toBe(2);
    expect(states[0]).toBe(RunState.Unknown);
    expect(new Set(states.slice(1))).toEqual(new Set([RunState.NotRun]));
    for (let index = 0; index < 4; index += 1) {
      const response = await sendGet(index, '/catalogue/sound');
      expect(response.status).toBe(200);
    }
  }, 60_000);

  // Guards against refusing a sound request whose side processes stopped.
  it('are not those of which side processes were killed', async () => {
    // Attempts at services that have ended would use up the retries.
    for (const name of services) {
      if (!cluster.getProcess(name).isRunning()) await cluster.restart(name);
      await cluster.getStandIn(name).sendFault({delayMs: 1_000});
    }
    const path = '/catalogue/slow';
    /** Service that runs the request now. */
    const findRunning = async (): Promise<string | undefined> => {
      for (const name of services) {
        const log = await cluster.getStandIn(name).listLog();
        const runs = log.filter(
          ({type, path: run}) => type === 'run' && run === path,
        );
        const replies = log.filter(({type}) => type === 'replied');
        if (runs.some(({run}) => replies.every(reply => reply.run !== run))) {
          return name;
        }
      }
      return undefined;
    };
    const sent = sendGet(0, path);
    let killed: string | undefined;
    await waitUntil(async () => {
      killed = await findRunning();
      return killed !== undefined;
    });
    await cluster.kill(`side-${killed}`);
    expect((await sent).status).toBe(200);
    expect((await sendGet(1, path)).status).toBe(200);
  }, 60_000);
});
