import {CallKind} from '@siskinplank/platform-stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {startSingleGateway} from './testing/single-gateway';
import type {SingleGateway} from './testing/single-gateway';

const TARGET_MS = 200;

describe('gateway with enough processor time', () => {
  let single: SingleGateway;

  beforeAll(async () => {
    single = await startSingleGateway({
      timeoutMs: 10_000,
      targetMs: TARGET_MS,
      deadlineMs: 10_000,
    });
  }, 60_000);

  afterAll(() => single.close());

  it('serves a request whose body takes longer than its target latency', async () => {
    const {record, caller} = single.sendRequest(
      'slow-body',
      CallKind.Order,
      TARGET_MS * 3,
    );
    expect((await record).status).toBe(200);
    caller.close();
  });
}, 60_000);
