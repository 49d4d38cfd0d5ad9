import {createRandom} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {createUnitLending} from './unit-lending';
import type {UnitLending} from './unit-lending';

const KEY = 'upstream/1';
const STEP_MS = 10;
const WINDOW_MS = 4_000;
/** Time between two states that gateways send each other. */
const STATE_PERIOD_MS = 400;

interface Group {
  /** Indexes of the gateways that reach each other. */
  members: readonly number[];
}

interface Simulation {
  gateways: UnitLending[];
  /** Times at which requests were sent, in order. */
  sentAtMs: number[];
  runFor(ms: number, demandPerSecond: number): void;
  /** Sets which gateways reach each other. */
  setGroups(groups: readonly Group[]): void;
  setLimit(perSecond: number): void;
  countMessages(): number;
  countMostInWindow(fromMs: number): number;
  getNowMs(): number;
}

function makeName(index: number): string {
  return `gateway-${index}`;
}

function createSimulation(count: number, perSecond: number): Simulation {
  const random = createRandom(count);
  const gateways = Array.from({length: count}, (_, index) =>
    createUnitLending({
      ownName: makeName(index),
      chooseOwner: (_key, members) => [...members].sort()[0],
    }),
  );
  let nowMs = 0;
  let messages = 0;
  let groupOf = new Map<number, Group>();
  const sentAtMs: number[] = [];
  const waiting: Array<{gateway: number; endsAtMs: number}> = [];
  /** Transfers on their way. */
  const mail: Array<{to: number; atMs: number; units: Record<string, number>}> =
    [];

  const setGroups = (groups: readonly Group[]): void => {
    groupOf = new Map();
    for (const group of groups) {
      const names = group.members.map(makeName);
      for (const index of group.members) {
        groupOf.set(index, group);
        gateways[index].setMembers(names, count, nowMs);
      }
    }
    gateways.forEach((gateway, index) => {
      gateways.forEach((_, peer) => {
        if (groupOf.get(index) === groupOf.get(peer)) return;
        gateway.removePeer(makeName(peer));
      });
    });
  };

  const reach = (from: number, to: number): boolean =>
    groupOf.get(from) !== undefined && groupOf.get(from) === groupOf.get(to);

  const reportNeeds = (from: number): void => {
    const needs = gateways[from].describeNeeds(nowMs);
    gateways.forEach((gateway, to) => {
      if (to !== from && reach(from, to)) {
        gateway.updatePeer(makeName(from), needs);
      }
    });
  };

  const serveWaiting = (): void => {
    for (const item of [...waiting]) {
      const gateway = gateways[item.gateway];
      const isServed = gateway.trySpend(KEY, nowMs);
      if (!isServed && nowMs < item.endsAtMs) continue;
      if (isServed) sentAtMs.push(nowMs);
      gateway.removeWaiting(KEY);
      waiting.splice(waiting.indexOf(item), 1);
    }
  };

  const step = (demandPerSecond: number): void => {
    nowMs += STEP_MS;
    for (const item of mail.filter(({atMs}) => atMs <= nowMs)) {
      mail.splice(mail.indexOf(item), 1);
      gateways[item.to].deposit(item.units, nowMs);
    }
    if (random.getNext() < (demandPerSecond * STEP_MS) / 1_000) {
      // A few gateways get most of the requests.
      const gateway = Math.floor(random.getNext() ** 3 * count);
      if (gateways[gateway].trySpend(KEY, nowMs)) sentAtMs.push(nowMs);
      else if (gateways[gateway].canWait(KEY, 700)) {
        gateways[gateway].addWaiting(KEY);
        waiting.push({gateway, endsAtMs: nowMs + 700});
        reportNeeds(gateway);
      }
    }
    serveWaiting();
    gateways.forEach((gateway, index) => {
      if ((nowMs + index * STEP_MS) % STATE_PERIOD_MS === 0) reportNeeds(index);
      for (const [peer, units] of gateway.withdrawTransfers(nowMs)) {
        const to = Number(peer.split('-')[1]);
        messages += 1;
        if (reach(index, to)) mail.push({to, atMs: nowMs + 20, units});
      }
    });
  };

  const simulation: Simulation = {
    gateways,
    sentAtMs,
    runFor: (ms, demandPerSecond) => {
      for (let spent = 0; spent < ms; spent += STEP_MS) step(demandPerSecond);
    },
    setGroups,
    setLimit: next => {
      for (const gateway of gateways) gateway.setLimit(KEY, next, nowMs);
    },
    countMessages: () => messages,
    countMostInWindow: fromMs =>
      Math.max(
        0,
        ...sentAtMs
          .filter(atMs => atMs >= fromMs)
          .map(
            startMs =>
              sentAtMs.filter(
                atMs => atMs >= startMs && atMs < startMs + WINDOW_MS,
              ).length,
          ),
      ),
    getNowMs: () => nowMs,
  };
  simulation.setGroups([{members: gateways.map((_, index) => index)}]);
  simulation.setLimit(perSecond);
  return simulation;
}

function countAllowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1_000 + 5;
}

describe('unit lending', () => {
  for (const count of [2, 5, 24, 48]) {
    for (const perSecond of [0.5, 1.5, 2, 20]) {
      it(`keeps ${count} gateways within ${perSecond} a second, and near it`, () => {
        const simulation = createSimulation(count, perSecond);
        simulation.runFor(40_000, perSecond * 3);
        expect(simulation.countMostInWindow(0)).toBeLessThanOrEqual(
          countAllowed(perSecond),
        );
        expect(simulation.sentAtMs.length).toBeGreaterThan(
          perSecond * 40 * 0.8,
        );
      });
    }
  }

  it('never exceeds the limit while gateways lose and regain contact', () => {
    const random = createRandom(7);
    const count = 12;
    const simulation = createSimulation(count, 2);
    for (let round = 0; round < 30; round += 1) {
      const groups: number[][] = [[], [], []];
      for (let index = 0; index < count; index += 1) {
        groups[Math.floor(random.getNext() * groups.length)].push(index);
      }
      simulation.setGroups(groups.map(members => ({members})));
      simulation.runFor(500 + random.getInteger(4_000), 10);
    }
    expect(simulation.countMostInWindow(0)).toBeLessThanOrEqual(
      countAllowed(2),
    );
  });

  it('lets a gateway without contact spend its fraction', () => {
    const simulation = createSimulation(4, 2);
    simulation.setGroups([{members: [0]}, {members: [1, 2, 3]}]);
    const [alone] = simulation.gateways;
    let spent = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += STEP_MS) {
      if (alone.trySpend(KEY, nowMs)) spent += 1;
    }
    expect(spent).toBeGreaterThan(25);
    expect(spent).toBeLessThanOrEqual(31);
  });

  it('spends nothing before it is registered', () => {
    const [gateway] = createSimulation(1, 2).gateways;
    gateway.setMembers(['gateway-0'], 0, 0);
    expect(gateway.canSpend(KEY, 60_000)).toBe(false);
  });

  it('follows a limit that falls and ends', () => {
    const simulation = createSimulation(6, 20);
    simulation.runFor(5_000, 40);
    simulation.setLimit(1.5);
    const loweredAtMs = simulation.getNowMs() + 1_000;
    simulation.runFor(10_000, 40);
    expect(simulation.countMostInWindow(loweredAtMs)).toBeLessThanOrEqual(
      countAllowed(1.5),
    );
    for (const gateway of simulation.gateways) gateway.removeLimit(KEY);
    expect(simulation.gateways[3].canSpend(KEY, 20_000)).toBe(true);
  });

  it('returns units that are not spent', () => {
    const simulation = createSimulation(3, 2);
    const [, borrower] = simulation.gateways;
    simulation.runFor(3_000, 0);
    borrower.noteWish(KEY, simulation.getNowMs());
    simulation.runFor(600, 0);
    expect(borrower.canSpend(KEY, simulation.getNowMs())).toBe(true);
    simulation.runFor(1_500, 0);
    expect(borrower.canSpend(KEY, simulation.getNowMs())).toBe(false);
  });

  it('sends few messages, however many gateways there are', () => {
    const simulation = createSimulation(48, 1.5);
    simulation.runFor(20_000, 20);
    expect(simulation.countMessages()).toBeLessThan(20 * 1.5 * 2.5);
  });
});
