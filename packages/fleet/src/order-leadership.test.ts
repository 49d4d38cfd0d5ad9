import {
  LogLevel,
  createLogger,
  createManualClock,
} from '@siskinplank/foundation';
import {MemorySharedObjectStore, StoreConnection} from '@siskinplank/testing';
import {describe, expect, it} from 'vitest';
import {createOrderLeadership} from './order-leadership';
import type {OrderLeadership} from './order-leadership';

const LEASE_MS = 3_000;
const STEP_MS = 50;

interface Gateway {
  name: string;
  connection: StoreConnection;
  leadership: OrderLeadership;
}

function createFleet(names: readonly string[]) {
  const clock = createManualClock();
  const objects = new MemorySharedObjectStore();
  /** By receiver and sender: when the last state arrived. */
  const seenAtMs = new Map<string, Map<string, number>>();
  const gateways: Gateway[] = names.map(name => {
    const connection = new StoreConnection(objects);
    const seen = new Map<string, number>();
    seenAtMs.set(name, seen);
    const leadership = createOrderLeadership({
      objects: connection,
      ownName: name,
      ownIncarnation: `${name}-1`,
      watchWaitMs: 10_000,
      retryDelayMs: 200,
      leaseMs: LEASE_MS,
      clock,
      logger: createLogger({
        level: LogLevel.Error,
        fields: {},
        write: () => undefined,
        getWallMs: clock.getWallMs,
      }),
      describePeers: holder => ({
        isLeaving: false,
        candidates: [name, ...seen.keys()],
        holderIncarnation: holder === undefined ? undefined : `${holder}-1`,
        holderLastSeenAtMs: holder === undefined ? undefined : seen.get(holder),
      }),
    });
    leadership.start();
    return {name, connection, leadership};
  });

  const runFor = async (
    durationMs: number,
    isLinked: (from: string, to: string) => boolean,
    onStep: () => void = () => undefined,
  ): Promise<void> => {
    for (let spentMs = 0; spentMs < durationMs; spentMs += STEP_MS) {
      clock.runFor(STEP_MS);
      for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
      const nowMs = clock.getNowMs();
      for (const {name, leadership} of gateways) {
        for (const other of gateways) {
          if (other.name === name || !isLinked(name, other.name)) continue;
          seenAtMs.get(other.name)?.set(name, nowMs);
        }
        leadership.tick(nowMs);
      }
      onStep();
    }
  };
  return {clock, gateways, runFor};
}

describe('order leadership', () => {
  it('does not alternate between gateways without a link to each other', async () => {
    const {gateways, runFor} = createFleet(['a', 'b']);
    const terms = new Set<number>();
    await runFor(
      10_000,
      () => false,
      () => {
        for (const {leadership} of gateways) {
          const term = leadership.getTerm();
          if (term !== undefined) terms.add(term.token);
        }
      },
    );
    // One takeover in each timeout of a silent holder.
    expect(terms.size).toBeLessThanOrEqual(6);
  });

  // Each call to a store that is down is counted and charged like others.
  it('asks a store that refuses calls about once a second', async () => {
    const {gateways, runFor} = createFleet(['a']);
    const [{connection, leadership}] = gateways;
    connection.refusesWrites = true;
    let attempts = 0;
    const create = connection.createObject.bind(connection);
    connection.createObject = (...parts) => {
      attempts += 1;
      return create(...parts);
    };
    await runFor(5_000, () => true);
    expect(attempts).toBeGreaterThanOrEqual(4);
    expect(attempts).toBeLessThanOrEqual(7);
    connection.refusesWrites = false;
    await runFor(1_500, () => true);
    expect(leadership.getTerm()).toBeDefined();
  });
});
