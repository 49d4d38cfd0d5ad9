/**
 * A fleet of gateway processes before an upstream that names a limit: the most
 * requests that it gets in a window, and the part of the limit that is used.
 */
import {createSystemClock} from '@siskinplank/foundation';
import {startGatewayFleet} from '@siskinplank/soak';
import {GATEWAY_PROGRAM} from './gateway-program';
import type {FigureSink} from './types';

const WINDOW_MS = 4_000;
/** Time in which gateways learn of a limit. */
const CONTACT_MS = 3_000;
const SAMPLE_MS = 20_000;
/** Requests for each that the limit allows. */
const DEMAND_FACTOR = 4;
const MILLISECONDS_PER_SECOND = 1_000;

const clock = createSystemClock();

/** Requests that an upstream may get in a window. */
function countAllowed(limitPerSecond: number): number {
  return (1.5 * limitPerSecond * WINDOW_MS) / MILLISECONDS_PER_SECOND + 5;
}

function countMostInWindow(timesMs: readonly number[]): number {
  let first = 0;
  let most = 0;
  timesMs.forEach((atMs, index) => {
    while (timesMs[first] <= atMs - WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

async function runFleet(
  gatewayCount: number,
  limitPerSecond: number,
): Promise<{most: number; usedFraction: number}> {
  const fleet = await startGatewayFleet({
    gatewayCount,
    engineCount: 1,
    program: GATEWAY_PROGRAM,
  });
  const {gateways, models, upstreams, history} = fleet;
  upstreams[0].standIn.setFault({namedLimit: limitPerSecond});
  const startedAtMs = fleet.getNowMs();
  const endsAtMs = startedAtMs + CONTACT_MS + SAMPLE_MS;
  const calls: Array<Promise<unknown>> = [];
  const periodMs = MILLISECONDS_PER_SECOND / (limitPerSecond * DEMAND_FACTOR);
  for (let index = 0; fleet.getNowMs() < endsAtMs; index += 1) {
    // Squaring gives some gateways many more requests than others.
    const place = ((index * 0.618) % 1) ** 2 * gatewayCount;
    calls.push(
      fleet.sendStream({
        attemptId: `call-${index}`,
        gateway: gateways[Math.floor(place)],
        model: models[0],
        promptParts: ['c0de', `d${index.toString(16)}`],
      }),
    );
    await clock.waitMs(periodMs);
  }
  await Promise.all(calls);
  await fleet.close();
  const arrivedAtMs = history.arrivals
    .map(({atMs}) => atMs)
    .filter(atMs => atMs > startedAtMs + CONTACT_MS && atMs <= endsAtMs);
  const allowedUse = (limitPerSecond * SAMPLE_MS) / MILLISECONDS_PER_SECOND;
  return {
    most: countMostInWindow(arrivedAtMs),
    usedFraction: arrivedAtMs.length / allowedUse,
  };
}

/** Measures fleets of these sizes, one after the other. */
export async function measureServerLimits(
  sink: FigureSink,
  sizes: readonly number[],
  limitsPerSecond: readonly number[],
): Promise<void> {
  for (const limitPerSecond of limitsPerSecond) {
    for (const gatewayCount of sizes) {
      const {most, usedFraction} = await runFleet(gatewayCount, limitPerSecond);
      const size = `gateways=${gatewayCount} limit=${limitPerSecond}/s`;
      sink.add({
        group: 'server-limit',
        name: `most requests in 4 s, ${countAllowed(limitPerSecond)} allowed`,
        size,
        value: most,
        unit: 'requests',
      });
      sink.add({
        group: 'server-limit',
        name: 'used part of the limit',
        size,
        value: usedFraction * 100,
        unit: '%',
      });
    }
  }
}
