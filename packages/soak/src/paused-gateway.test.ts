import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  CallKind,
  createCaller,
  encodeConfiguration,
  isReady,
  startServerStandIn,
  startStoreStandIn,
} from '@siskinplank/platform-stand-ins';
import type {Caller, RunRecord} from '@siskinplank/platform-stand-ins';
import {TYPESCRIPT_ARGUMENTS, WORKSPACE_ROOT} from '@siskinplank/proof';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DEADLINE_SLACK_MS} from './checks/bounds';
import {createSoakGateway} from './gateways';
import type {SoakGateway} from './gateways';

const HOST_NAME = 'paused.example';
const ACCOUNT = 'small';
const KEY = 'key-of-the-paused-gateway-test';
const DEADLINE_MS = 6_000;
const PAUSE_MS = 1_500;
/** Longer than the housekeeping period, so that the pause is seen as one. */
const CALM_MS = 400;
const START_TIMEOUT_MS = 30_000;

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

describe('gateway that was paused', () => {
  const runs: RunRecord[] = [];
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  let gateway: SoakGateway;
  const closers: Array<() => Promise<void>> = [];

  beforeAll(async () => {
    const store = await startStoreStandIn(() => 0.5);
    store.putConfiguration(
      encodeConfiguration({
        version: 1,
        hostName: HOST_NAME,
        accounts: [
          {name: ACCOUNT, keys: [KEY], ratePerSecond: 100_000, burst: 10_000},
        ],
        models: [],
        serverMemoryMb: 1,
        adapterSlots: 1,
        plainTimeoutMs: 10_000,
      }),
    );
    const upstream = await startServerStandIn({
      service: 'desk',
      failureDomain: 'a',
      engine: undefined,
      slots: 8,
      random: () => 0.5,
      getNowMs: getMonotonicMs,
      onRun: run => runs.push(run),
      onOrder: () => undefined,
      onArrival: () => undefined,
    });
    const address = `127.0.0.1:${upstream.port}`;
    store.putServer(upstream.getId(), upstream.describe(address, 'ready'));
    gateway = await createSoakGateway(
      0,
      store.port,
      [
        ...TYPESCRIPT_ARGUMENTS,
        join(WORKSPACE_ROOT, 'packages/cli/src/gateway-main.ts'),
      ],
      directory,
    );
    gateway.start();
    const endsAtMs = getMonotonicMs() + START_TIMEOUT_MS;
    while (!(await isReady(gateway.readinessPort))) {
      expect(getMonotonicMs()).toBeLessThan(endsAtMs);
      await wait(50);
    }
    await wait(CALM_MS);
    closers.push(
      async () => {
        gateway.send('SIGKILL');
        await gateway.waitForExit();
      },
      () => gateway.storeProxy.close(),
      () => upstream.close(),
      () => store.close(),
    );
  }, START_TIMEOUT_MS * 2);

  afterAll(async () => {
    for (const close of closers) await close();
    rmSync(directory, {recursive: true, force: true});
  });

  /** Sends a request for the plain service on a new connection. */
  const sendRequest = (attemptId: string): Caller => {
    const caller = createCaller({
      hostName: HOST_NAME,
      getNowMs: getMonotonicMs,
    });
    void caller.call({
      attemptId,
      kind: CallKind.Status,
      account: ACCOUNT,
      key: KEY,
      model: '',
      promptTokens: 0,
      outputTokens: 0,
      deadlineMs: DEADLINE_MS,
      gateway: gateway.name,
      port: gateway.port,
    });
    return caller;
  };

  const runWhilePaused = async (action: () => Promise<void>): Promise<void> => {
    gateway.send('SIGSTOP');
    await wait(CALM_MS);
    await action();
    await wait(PAUSE_MS);
    gateway.send('SIGCONT');
    await wait(CALM_MS);
  };

  it('does not send a request whose caller left meanwhile', async () => {
    await runWhilePaused(async () => {
      const caller = sendRequest('left');
      await wait(50);
      caller.close();
    });
    expect(runs.map(({attemptId}) => attemptId)).not.toContain('left');
  });

  // The event loop accepts one connection in each of its turns.
  it('counts the deadlines of requests from their arrival', async () => {
    const sentAtMs = new Map<string, number>();
    await runWhilePaused(async () => {
      for (let index = 0; index < 6; index += 1) {
        sentAtMs.set(`waited-${index}`, getMonotonicMs());
        sendRequest(`waited-${index}`);
      }
    });
    const waited = runs.filter(({attemptId}) => sentAtMs.has(attemptId));
    expect(waited).toHaveLength(sentAtMs.size);
    for (const {attemptId, atMs, deadlineMs} of waited) {
      const leftMs = (sentAtMs.get(attemptId) ?? 0) + DEADLINE_MS - atMs;
      expect(deadlineMs).toBeLessThanOrEqual(leftMs + DEADLINE_SLACK_MS);
    }
  });
}, 60_000);
