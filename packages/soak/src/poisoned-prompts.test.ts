import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {CONTACT_MS} from './checks/bounds';
import {startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {wait} from './testing/single-gateway';

const POISON = 'f00d';
const SHARED = 'c0de';
const SECONDS = 12;
const SOUND_PER_SECOND = 16;
const POISONED_PER_SECOND = 2;
const SLOTS_PER_SECOND = SOUND_PER_SECOND + POISONED_PER_SECOND;
/** Ends after which requests with the part may still reach upstreams. */
const TOLERATED_ENDS = 5;
const TOLERATED_REQUESTS = 3;

describe('prompts with a part that ends upstreams', () => {
  let fleet: GatewayFleet;
  const sound: CallRecord[] = [];

  beforeAll(async () => {
    fleet = await startGatewayFleet({gatewayCount: 3, engineCount: 6});
    const {gateways, models, upstreams, history} = fleet;
    const calls: Array<Promise<unknown>> = [];
    for (let index = 0; index < SECONDS * SLOTS_PER_SECOND; index += 1) {
      const input = {
        attemptId: `call-${index}`,
        gateway: gateways[index % gateways.length],
        model: models[index % models.length],
      };
      const own = `d${index.toString(16)}`;
      const subject = `b${index % 5}`;
      const isPoisoned =
        index >= SLOTS_PER_SECOND &&
        index % (SLOTS_PER_SECOND / POISONED_PER_SECOND) === 0;
      if (index === SLOTS_PER_SECOND) {
        for (const {standIn} of upstreams) {
          standIn.setPoisonedParts(new Set([POISON]));
        }
      }
      if (isPoisoned) {
        history.poisonedAttempts.set(input.attemptId, POISON);
        const promptParts = [SHARED, subject, POISON, own];
        calls.push(fleet.sendStream({...input, promptParts}));
      } else {
        const promptParts = [SHARED, subject, own];
        const sent = fleet.sendStream({...input, promptParts});
        calls.push(sent.then(record => sound.push(record)));
      }
      await wait(1_000 / SLOTS_PER_SECOND);
    }
    await Promise.all(calls);
  }, 120_000);

  afterAll(() => fleet.close());

  it('do not reach upstreams once the part is known', () => {
    const {poisonedEnds, poisonedAttempts, arrivals} = fleet.history;
    const knownAtMs =
      (poisonedEnds[TOLERATED_ENDS - 1]?.atMs ?? Infinity) + CONTACT_MS;
    const late = arrivals.filter(
      ({attemptId, atMs}) =>
        poisonedAttempts.has(attemptId) && atMs > knownAtMs,
    );
    expect(poisonedEnds.length).toBeGreaterThan(0);
    expect(late.length).toBeLessThanOrEqual(TOLERATED_REQUESTS);
  });

  it('do not take sound prompts with the same other parts along', () => {
    const {poisonedEnds} = fleet.history;
    const countedEnd = poisonedEnds.slice(0, TOLERATED_ENDS).at(-1);
    const fromMs = (countedEnd?.atMs ?? Infinity) + 2 * CONTACT_MS;
    const beside = sound.filter(({sentAtMs}) => sentAtMs > fromMs);
    const served = beside.filter(({status}) => status === 200);
    expect(beside.length).toBeGreaterThan(0);
    expect(served.length).toBeGreaterThanOrEqual(beside.length / 2);
  });

  it('are not sent to a second upstream after the first has ended', () => {
    const {poisonedEnds, arrivals} = fleet.history;
    const repeated = poisonedEnds.filter(
      ({attemptId}) =>
        arrivals.filter(arrival => arrival.attemptId === attemptId).length > 1,
    );
    expect(repeated).toEqual([]);
  });
}, 120_000);
