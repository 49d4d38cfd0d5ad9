import {describe, expect, it} from 'vitest';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createSystemClock} from './clock';
import {createTurnMonitor, startWaitTimer} from './turn-monitor';

describe('turn monitor', () => {
  it('dates input of a late turn back to the turn before', () => {
    const ends: Array<() => void> = [];
    const monitor = createTurnMonitor({
      usualGapMs: 150,
      scheduleTurnEnd: callback => ends.push(callback),
    });
    const runTurn = (...timesMs: number[]): number[] => {
      const arrivals = timesMs.map(nowMs => {
        monitor.observe(nowMs);
        return monitor.getEarliestArrivalMs(nowMs);
      });
      for (const end of ends.splice(0)) end();
      return arrivals;
    };
    expect(runTurn(0)).toEqual([0]);
    expect(runTurn(100, 110)).toEqual([100, 110]);
    // All input of the late turn is dated back, not only the first.
    expect(runTurn(900, 950)).toEqual([100, 100]);
    // The input of the late turn may have been polled before a stop, so that
    // what arrived during the stop is read in the next turn.
    expect(runTurn(910)).toEqual([100]);
    expect(runTurn(1_000)).toEqual([1_000]);
  });

  it('dates input back by one turn only while all turns are slow', () => {
    const ends: Array<() => void> = [];
    const monitor = createTurnMonitor({
      usualGapMs: 150,
      scheduleTurnEnd: callback => ends.push(callback),
    });
    const waits = Array.from({length: 20}, (_, turn) => {
      const nowMs = turn * 300;
      monitor.observe(nowMs);
      const waitMs = nowMs - monitor.getEarliestArrivalMs(nowMs);
      for (const end of ends.splice(0)) end();
      return waitMs;
    });
    expect(Math.max(...waits)).toBe(300);
    expect(monitor.takeLongestGapMs()).toBe(300);
    expect(monitor.takeLongestGapMs()).toBe(0);
  });
});

describe('wait timer', () => {
  // After a late turn, timers run before the sockets are read.
  it('does not end a wait for data that has arrived', async () => {
    const clock = createSystemClock();
    const accepted: Socket[] = [];
    const server = createServer(socket => accepted.push(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    await new Promise<void>(resolve => socket.once('connect', resolve));
    await clock.waitMs(50);
    const order = await new Promise<string[]>(resolve => {
      const events: string[] = [];
      socket.once('data', () => events.push('data'));
      setImmediate(() => {
        accepted[0].write('data');
        startWaitTimer(clock, 20, () => {
          events.push('timer');
          resolve(events);
        });
        const endsAtMs = clock.getNowMs() + 60;
        while (clock.getNowMs() < endsAtMs);
      });
    });
    expect(order).toEqual(['data', 'timer']);
    socket.destroy();
    server.close();
  });
});
