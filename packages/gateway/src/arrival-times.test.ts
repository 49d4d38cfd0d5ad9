import type {Socket} from 'node:net';
import {createTurnMonitor} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {createArrivalTimes} from './arrival-times';

describe('arrival times', () => {
  const createLoop = () => {
    const ends: Array<() => void> = [];
    const turns = createTurnMonitor({
      usualGapMs: 150,
      scheduleTurnEnd: callback => ends.push(callback),
    });
    const arrivals = createArrivalTimes(turns);
    /** Runs one turn; accepts a connection and reads its request. */
    const runTurn = (nowMs: number, isAccepting = true): number => {
      turns.observe(nowMs);
      const socket = {} as Socket;
      if (isAccepting) arrivals.recordConnection(socket, nowMs);
      const waitMs = nowMs - arrivals.takeArrivalMs(socket, nowMs);
      for (const end of ends.splice(0)) end();
      return waitMs;
    };
    return {runTurn};
  };

  it('dates back all connections that waited during a late turn', () => {
    const {runTurn} = createLoop();
    runTurn(0, false);
    expect([1_500, 1_505, 1_510].map(nowMs => runTurn(nowMs))).toEqual([
      1_500, 1_500, 1_500,
    ]);
    runTurn(1_515, false);
    expect(runTurn(1_520)).toBe(0);
  });

  it('does not add up the turns of a busy listener', () => {
    const {runTurn} = createLoop();
    const waits = Array.from({length: 50}, (_, turn) => runTurn(turn * 200));
    expect(Math.max(...waits)).toBe(200);
  });
});
