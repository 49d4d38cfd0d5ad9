import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {CONTACT_MS} from './checks/bounds';
import {startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {wait} from './testing/single-gateway';

const LIMIT_PER_SECOND = 1.5;
const WINDOW_SECONDS = 4;
/** Requests allowed in a window: half more than the limit, and five. */
const ALLOWED = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5;
const SECONDS = 12;
const REQUESTS_PER_SECOND = 12;

describe('upstream that names a limit', () => {
  let fleet: GatewayFleet;
  /** Arrivals from the time at which the limit must be kept, in order. */
  let arrivedAtMs: number[] = [];
  let fromMs = 0;

  beforeAll(async () => {
    fleet = await startGatewayFleet({gatewayCount: 3, engineCount: 1});
    const {gateways, models, upstreams, history} = fleet;
    const [{standIn}] = upstreams;
    standIn.setFault({namedLimit: LIMIT_PER_SECOND});
    const startedAtMs = fleet.getNowMs();
    const calls: Array<Promise<unknown>> = [];
    for (let index = 0; index < SECONDS * REQUESTS_PER_SECOND; index += 1) {
      calls.push(
        fleet.sendStream({
          attemptId: `call-${index}`,
          gateway: gateways[index % gateways.length],
          model: models[0],
          promptParts: ['c0de', `d${index.toString(16)}`],
        }),
      );
      await wait(1_000 / REQUESTS_PER_SECOND);
    }
    const endedAtMs = fleet.getNowMs();
    await Promise.all(calls);
    fromMs = startedAtMs + CONTACT_MS;
    arrivedAtMs = history.arrivals
      .map(({atMs}) => atMs)
      .filter(atMs => atMs > fromMs && atMs < endedAtMs);
  }, 120_000);

  afterAll(() => fleet.close());

  it('gets no more than it allows from all gateways together', () => {
    const counts = arrivedAtMs.map(
      endMs =>
        arrivedAtMs.filter(
          atMs => atMs <= endMs && atMs > endMs - WINDOW_SECONDS * 1_000,
        ).length,
    );
    expect(Math.max(...counts)).toBeLessThanOrEqual(ALLOWED);
  });

  it('gets most of what it allows while requests wait', () => {
    const seconds = SECONDS - CONTACT_MS / 1_000;
    expect(arrivedAtMs.length).toBeGreaterThan(
      0.6 * LIMIT_PER_SECOND * seconds,
    );
  });
}, 120_000);
