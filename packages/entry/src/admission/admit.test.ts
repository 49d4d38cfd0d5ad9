import {Left, Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createManualClock} from '@siskinplank/foundation';
import type {AccountLimiter} from '@siskinplank/limits';
import type {CallerRequest} from '../requests/types';
import {admitRequest} from './admit';

const REQUEST = {
  identity: {account: {name: 'parish'}},
  estimatedTokens: 100,
  deadlineAtMs: 10_000,
} as unknown as CallerRequest;

function createRecordingLimiter(available: number) {
  const settled: number[] = [];
  let left = available;
  const limiter: AccountLimiter = {
    start: async () => undefined,
    stop: async () => undefined,
    reserve: async (account, tokens) => {
      if (tokens > left) return Left({exceedsBurst: false, retryAfterMs: 1});
      left -= tokens;
      return Right({id: left, account, tokens});
    },
    settle: (_reservation, used) => void settled.push(used),
  };
  return {limiter, settled};
}

async function admit(available: number) {
  const {limiter, settled} = createRecordingLimiter(available);
  const admission = await admitRequest(
    REQUEST,
    limiter,
    createManualClock(),
    0,
  );
  return {admission: admission.unsafeCoerce(), settled};
}

describe('admission', () => {
  // Guards against an attempt that may have run but isn't charged.
  it('charges each attempt that may have run', async () => {
    const {admission, settled} = await admit(200);
    expect(await admission.reserveRetry()).toBe(true);
    expect(await admission.reserveRetry()).toBe(false);
    admission.settle(Right({usage: {promptTokens: 10, completionTokens: 20}}));
    expect(settled).toEqual([100, 30]);
  });

  // Guards against estimates that are too low, so that the excess is free.
  it('charges tokens beyond the estimate', async () => {
    const {admission, settled} = await admit(200);
    admission.settle(Right({usage: {promptTokens: 90, completionTokens: 60}}));
    await Promise.resolve();
    expect(settled).toEqual([100, 50]);
  });
});
