import {CallKind} from '@siskinplank/platform-stand-ins';
import {ProxyDirection, getMonotonicMs} from '@siskinplank/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';
import {CALM_MS, startSingleGateway, wait} from './testing/single-gateway';
import type {SingleGateway} from './testing/single-gateway';

const RESPONSE_MS = 12_000;
/** So late that the store is silent only at the end of the stop. */
const SILENCE_MS = 7_000;
/** The platform would kill the process this long after SIGTERM. */
const KILL_MS = 8_000;
const TERM_STARTED_EVENT = 6210;
const ROLE_STOPPED_EVENT = 5002;
const TERM_WAIT_MS = 15_000;

describe('stop of the last gateway, which has the order lease', () => {
  let single: SingleGateway;

  afterEach(() => single.close());

  const hasLogged = (number: number): boolean =>
    single.gateway.readLog().some(({event}) => event === number);

  // Guards against a kill, and last lines that are lost by it.
  it('ends in the grace though the store does not answer', async () => {
    single = await startSingleGateway({
      timeoutMs: RESPONSE_MS,
      targetMs: RESPONSE_MS,
      deadlineMs: RESPONSE_MS,
    });
    const {gateway, upstream} = single;
    upstream.setFault({plainResponseMs: RESPONSE_MS});
    const endsAtMs = getMonotonicMs() + TERM_WAIT_MS;
    while (!hasLogged(TERM_STARTED_EVENT) && getMonotonicMs() < endsAtMs) {
      await wait(CALM_MS);
    }
    expect(hasLogged(TERM_STARTED_EVENT)).toBe(true);
    const {caller, record} = single.sendRequest('open', CallKind.Order);
    await wait(CALM_MS);
    gateway.send('SIGTERM');
    const stoppedAtMs = getMonotonicMs();
    await wait(SILENCE_MS);
    gateway.storeProxy.applyFault({stall: ProxyDirection.ToClient});
    expect((await record).status).toBe(502);
    caller.close();
    await gateway.waitForExit();
    expect(getMonotonicMs() - stoppedAtMs).toBeLessThan(KILL_MS);
    expect(hasLogged(ROLE_STOPPED_EVENT)).toBe(true);
  }, 60_000);
});
