import {createRandom} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {createLimiterFleet} from './testing/limiter-fleet';
import type {LimitedRequest, LimiterFleet} from './testing/limiter-fleet';

const ACCOUNT = 'acme';
const RATE = 20_000;
const GATEWAY_COUNT = 5;
const REQUEST_TOKENS = 1_600;
const STEP_MS = 10;
/** Longest wait of a request that resumes a stream. */
const RESUMED_PATIENCE_MS = 1_000;

describe('resumed streams of an account that is over its limit', () => {
  const createFleet = (seed: number): LimiterFleet =>
    createLimiterFleet({
      gatewayCount: GATEWAY_COUNT,
      limits: new Map([[ACCOUNT, {ratePerSecond: RATE, burst: RATE}]]),
      extraBurst: 5_000,
      seed,
    });

  /** Sends new requests that need a multiple of the account's rate. */
  const createLoad = (
    fleet: LimiterFleet,
    multiple: number,
    seed: number,
  ): (() => void) => {
    const random = createRandom(seed);
    const perStep = (multiple * RATE * STEP_MS) / 1_000 / REQUEST_TOKENS;
    return () => {
      for (let left = perStep; random.getNext() < left; left -= 1) {
        const gateway = random.getInteger(GATEWAY_COUNT);
        fleet.request(gateway, ACCOUNT, REQUEST_TOKENS);
      }
    };
  };

  const sendResumed = (fleet: LimiterFleet, gateway: number): void =>
    fleet.request(gateway, ACCOUNT, REQUEST_TOKENS, RESUMED_PATIENCE_MS);

  const isResumed = ({patienceMs}: LimitedRequest): boolean =>
    patienceMs === RESUMED_PATIENCE_MS;

  const sumGranted = (requests: readonly LimitedRequest[]): number =>
    requests
      .filter(({isRefused}) => !isRefused)
      .reduce((sum, {tokens}) => sum + tokens, 0);

  // After a kill of all gateways, they were refused as often as new streams.
  it('get tokens before new ones, which get theirs soon after', async () => {
    const fleet = createFleet(1);
    await fleet.run(3_000, createLoad(fleet, 8, 1));
    const fromMs = fleet.clock.getNowMs();
    for (let index = 0; index < 10; index += 1) {
      sendResumed(fleet, index % GATEWAY_COUNT);
    }
    await fleet.run(5_000, createLoad(fleet, 2, 2));
    const resumed = fleet.ended.filter(isResumed);
    expect(resumed.length).toBe(10);
    expect(sumGranted(resumed)).toBeGreaterThanOrEqual(9 * REQUEST_TOKENS);
    const later = fleet.ended.filter(
      request => !isResumed(request) && request.askedAtMs > fromMs + 1_500,
    );
    expect(sumGranted(later)).toBeGreaterThan(0.9 * RATE * 3.5);
  });

  it('leave the rest of the rate to new ones', async () => {
    const fleet = createFleet(2);
    const load = createLoad(fleet, 2, 2);
    const random = createRandom(3);
    const resumedPeriodMs = 200;
    await fleet.run(20_000, nowMs => {
      load();
      if (nowMs % resumedPeriodMs > 0) return;
      sendResumed(fleet, random.getInteger(GATEWAY_COUNT));
    });
    const resumed = fleet.ended.filter(isResumed);
    const resumedTokens = resumed.length * REQUEST_TOKENS;
    expect(sumGranted(resumed)).toBeGreaterThan(0.95 * resumedTokens);
    const others = fleet.ended.filter(request => !isResumed(request));
    const restTokens = 20 * RATE - resumedTokens;
    expect(sumGranted(others)).toBeGreaterThan(0.8 * restTokens);
  });
});
