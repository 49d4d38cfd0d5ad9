import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {CallKind} from '@siskinplank/platform-stand-ins';
import type {CallRecord, PlainRequest} from '@siskinplank/platform-stand-ins';
import {FleetAccount, startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {wait} from './testing/single-gateway';

const SHARED = 'c0de';
const DEADLY = 'dead';
/** Times that the caller sends the request, each time to the next gateway. */
const CALLS = 6;
const CALL_GAP_MS = 300;
/** Upstreams that may end under one request. */
const MAX_ENDS = 3;

describe('a request that ends upstreams though all its shared parts are sound', () => {
  let fleet: GatewayFleet;
  const deadly: CallRecord[] = [];
  const beside: CallRecord[] = [];

  beforeAll(async () => {
    fleet = await startGatewayFleet({gatewayCount: 3, engineCount: 6});
    const {gateways, models, upstreams} = fleet;
    const send = (name: string, index: number): Promise<CallRecord> =>
      fleet.sendStream({
        attemptId: `${name}-${index}`,
        gateway: gateways[index % gateways.length],
        model: models[index % models.length],
        promptParts: [SHARED, `${name}${index}`],
      });
    await Promise.all(Array.from({length: 12}, (_, index) => send('a', index)));
    for (const {standIn} of upstreams) {
      standIn.setPoisonedParts(new Set([DEADLY]));
    }
    const calls: Array<Promise<unknown>> = [];
    for (let index = 0; index < CALLS; index += 1) {
      deadly.push(
        await fleet.sendStream({
          attemptId: `deadly-${index}`,
          gateway: gateways[index % gateways.length],
          model: models[0],
          promptParts: [SHARED, DEADLY],
        }),
      );
      await wait(CALL_GAP_MS);
      calls.push(send('b', index).then(record => beside.push(record)));
    }
    await Promise.all(calls);
  }, 90_000);

  afterAll(() => fleet.close());

  it('is not sent on once three have ended under it', () => {
    const {poisonedEnds} = fleet.history;
    expect(poisonedEnds.length).toBeGreaterThan(0);
    expect(poisonedEnds.length).toBeLessThanOrEqual(MAX_ENDS);
    expect(deadly.map(({status}) => status)).not.toContain(200);
  });

  it('is refused as not run when it was not sent', () => {
    const {arrivals} = fleet.history;
    for (const {attemptId, status} of deadly) {
      const wasSent = arrivals.some(arrival => arrival.attemptId === attemptId);
      expect([502, 503]).toContain(status);
      if (status === 503) expect(wasSent).toBe(false);
    }
    expect(deadly.at(-1)?.status).toBe(503);
  });

  it('does not take requests with the same shared parts along', () => {
    const served = beside.filter(({status}) => status === 200);
    expect(served.length).toBeGreaterThanOrEqual(CALLS - 1);
  });
}, 90_000);

const DEADLY_BODY = 'ends-what-runs-it';
const DEADLY_PATH = 'deadly';

/** A status without a body and an order, of one account. */
const isDeadly = ({target, account, body}: PlainRequest): boolean =>
  account === FleetAccount.Small &&
  (target === `/status/${DEADLY_PATH}` || body === DEADLY_BODY);

const PLAIN_CASES = [
  {kind: CallKind.Status, pathEnd: DEADLY_PATH, body: undefined},
  {kind: CallKind.Order, pathEnd: 'x', body: DEADLY_BODY},
] as const;

describe.each(PLAIN_CASES)(
  'a plain request ($kind) that ends upstreams',
  ({kind, pathEnd, body}) => {
    let fleet: GatewayFleet;
    const deadly: CallRecord[] = [];
    const beside: CallRecord[] = [];

    beforeAll(async () => {
      fleet = await startGatewayFleet({
        gatewayCount: 3,
        engineCount: 0,
        deskCount: 6,
      });
      const {gateways, upstreams} = fleet;
      for (const {standIn} of upstreams) standIn.setDeadlyRequests(isDeadly);
      for (let index = 0; index < 2 * CALLS; index += 1) {
        const gateway = gateways[index % gateways.length];
        const send = (
          name: string,
          account: FleetAccount,
          end: string = pathEnd,
        ): Promise<CallRecord> =>
          fleet.sendPlain({
            attemptId: `${name}-${index}`,
            gateway,
            kind,
            account,
            pathEnd: end,
            body,
          });
        deadly.push(await send('deadly', FleetAccount.Small));
        await wait(CALL_GAP_MS);
        beside.push(await send('beside', FleetAccount.Other));
        if (kind === CallKind.Status) {
          beside.push(await send('same', FleetAccount.Small, 'sound'));
        }
      }
    }, 90_000);

    afterAll(() => fleet.close());

    it('is not sent on once three have ended under it', () => {
      const {poisonedEnds} = fleet.history;
      expect(poisonedEnds.length).toBeGreaterThan(0);
      expect(poisonedEnds.length).toBeLessThanOrEqual(MAX_ENDS);
      expect(deadly.map(({status}) => status)).not.toContain(200);
    });

    it('is refused as not run only when it has not run', () => {
      const {runs} = fleet.history;
      for (const {attemptId, status} of deadly) {
        const hasRun = runs.some(run => run.attemptId === attemptId);
        expect([502, 503]).toContain(status);
        expect(status === 503).toBe(!hasRun);
      }
      expect(deadly.at(-1)?.status).toBe(503);
    });

    it('does not take sound requests with the same path or body along', () => {
      expect(beside.map(({status}) => status)).toEqual(beside.map(() => 200));
    });
  },
  90_000,
);

/** Time in which a sound request is tested beside one that ends upstreams. */
const LIFTED_MS = 12_000;
const SLOW_MS = 400;
/** Longer than an upstream takes to come back, and to be known. */
const RETURN_MS = 3_000;

// Guards against a sound request that stays refused since it was open at each
// end that another one caused.
describe('a sound request that was open beside one that ends upstreams', () => {
  it('is served again soon', async () => {
    const fleet = await startGatewayFleet({
      gatewayCount: 3,
      engineCount: 0,
      deskCount: 1,
    });
    const {gateways, upstreams, history} = fleet;
    const [{standIn}] = upstreams;
    standIn.setFault({plainResponseMs: SLOW_MS});
    standIn.setDeadlyRequests(isDeadly);
    let count = 0;
    const send = (body: string): Promise<CallRecord> => {
      count += 1;
      return fleet.sendPlain({
        attemptId: `call-${count}`,
        gateway: gateways[count % gateways.length],
        kind: CallKind.Order,
        account: FleetAccount.Small,
        body,
      });
    };
    for (let round = 0; round < 2; round += 1) {
      const sound = send('sound');
      await wait(SLOW_MS / 2);
      await send(DEADLY_BODY);
      expect((await sound).status).toBe(502);
      await wait(RETURN_MS);
    }
    expect(history.poisonedEnds.length).toBe(2);
    const refused = await send('sound');
    const endsAtMs = fleet.getNowMs() + LIFTED_MS;
    let status = refused.status;
    while (status !== 200 && fleet.getNowMs() < endsAtMs) {
      await wait(CALL_GAP_MS);
      status = (await send('sound')).status;
    }
    // The other gateways hear of the answer with the next state.
    await wait(CALL_GAP_MS);
    const again = await send('sound');
    await fleet.close();
    expect([refused.status, status, again.status]).toEqual([503, 200, 200]);
  }, 90_000);
});
