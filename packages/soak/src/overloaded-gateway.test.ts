import {CallKind} from '@siskinplank/platform-stand-ins';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {startProcessorQuota} from './testing/processor-quota';
import type {ProcessorQuota} from './testing/processor-quota';
import {startSingleGateway, wait} from './testing/single-gateway';
import type {SingleGateway} from './testing/single-gateway';

const DEADLINE_MS = 3_000;
const TIMEOUT_MS = 1_500;
/** Time after a time-out or a close from which work is late. */
const SLACK_MS = 500;
/** Callers leave when they have no response after this time. */
const PATIENCE_MS = 1_000;
/** Late runs that are allowed for callers that left. */
const MAX_LATE_RUNS = 3;
/** More late answers than both are a broken promise. */
const MIN_HELD_ON = 8;
const MAX_HELD_ON_FRACTION = 0.25;
const CPU_SHARE = 0.05;
const LOAD_MS = 6_000;
const REQUEST_PERIOD_MS = 10;

describe('gateway with more connections than processor time', () => {
  let single: SingleGateway;
  let quota: ProcessorQuota;

  beforeAll(async () => {
    single = await startSingleGateway({
      timeoutMs: TIMEOUT_MS,
      targetMs: 300,
      deadlineMs: DEADLINE_MS,
      cpuShare: CPU_SHARE,
    });
    quota = startProcessorQuota(single.gateway, CPU_SHARE);
  }, 60_000);

  afterAll(async () => {
    await quota.end();
    await single.close();
  });

  it('ends requests by their time-out and starts none for callers that left', async () => {
    const orders: Array<{sentAtMs: number; endedAtMs: number}> = [];
    const leftAtMs = new Map<string, number>();
    const open: Array<Promise<void>> = [];
    const startedAtMs = getMonotonicMs();
    for (let index = 0; index * REQUEST_PERIOD_MS < LOAD_MS; index += 1) {
      const isOrder = index % 2 === 0;
      const id = `load-${index}`;
      const kind = isOrder ? CallKind.Order : CallKind.Status;
      const {caller, sentAtMs, record} = single.sendRequest(id, kind);
      const leave = setTimeout(() => {
        if (isOrder) return;
        leftAtMs.set(id, getMonotonicMs());
        caller.close();
      }, PATIENCE_MS);
      open.push(
        record.then(({endedAtMs}) => {
          clearTimeout(leave);
          if (isOrder) orders.push({sentAtMs, endedAtMs});
        }),
      );
      const nextAtMs = startedAtMs + (index + 1) * REQUEST_PERIOD_MS;
      await wait(Math.max(0, nextAtMs - getMonotonicMs()));
    }
    await Promise.all(open);

    const tookMs = orders.map(order => order.endedAtMs - order.sentAtMs);
    const timedOut = tookMs.filter(ms => ms >= TIMEOUT_MS);
    const heldOn = timedOut.filter(ms => ms >= TIMEOUT_MS + SLACK_MS);
    const lateRuns = single.runs.filter(
      ({attemptId, atMs}) =>
        atMs > (leftAtMs.get(attemptId) ?? Infinity) + SLACK_MS,
    );
    const isHeldOn =
      heldOn.length >= MIN_HELD_ON &&
      heldOn.length > timedOut.length * MAX_HELD_ON_FRACTION;
    expect(isHeldOn, `${heldOn.length} of ${timedOut.length}`).toBe(false);
    expect(lateRuns.length).toBeLessThanOrEqual(MAX_LATE_RUNS);
  });
}, 60_000);
