import {CallKind} from '@siskinplank/platform-stand-ins';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';
import {CALM_MS, startSingleGateway, wait} from './testing/single-gateway';
import type {SingleGateway} from './testing/single-gateway';

const RESPONSE_MS = 12_000;
const PAUSE_MS = 1_500;
/** The platform would kill the process this long after SIGTERM. */
const KILL_MS = 8_000;

describe('gateway that handles SIGTERM late', () => {
  let single: SingleGateway;

  afterEach(() => single.close());

  // Guards against a kill that ends requests without an answer and without lines.
  it('ends its requests before the end of the grace', async () => {
    single = await startSingleGateway({
      timeoutMs: RESPONSE_MS,
      targetMs: RESPONSE_MS,
      deadlineMs: RESPONSE_MS,
    });
    single.upstream.setFault({plainResponseMs: RESPONSE_MS});
    const {caller, record} = single.sendRequest('open', CallKind.Order);
    await wait(CALM_MS);
    single.gateway.send('SIGSTOP');
    await wait(CALM_MS);
    single.gateway.send('SIGTERM');
    const signalledAtMs = getMonotonicMs();
    await wait(PAUSE_MS);
    single.gateway.send('SIGCONT');
    const {status, isComplete} = await record;
    caller.close();
    expect([status, isComplete]).toEqual([502, true]);
    await single.gateway.waitForExit();
    expect(getMonotonicMs() - signalledAtMs).toBeLessThan(KILL_MS);
    const [draining] = single.gateway
      .readLog()
      .filter(({event}) => event === 6001);
    expect(draining.lateMs).toBeGreaterThanOrEqual(PAUSE_MS);
  }, 60_000);
});
