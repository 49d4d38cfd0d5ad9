import {createServer, connect} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {createSystemClock, createTurnMonitor} from '@siskinplank/foundation';
import {afterEach, describe, expect, it} from 'vitest';
import {createAcceptProbe} from './accept-probe';
import {createArrivalTimes} from './arrival-times';

const USUAL_GAP_MS = 150;

describe('arrival times', () => {
  const createLoop = () => {
    const ends: Array<() => void> = [];
    const turns = createTurnMonitor({
      usualGapMs: USUAL_GAP_MS,
      scheduleTurnEnd: callback => ends.push(callback),
    });
    let pendingMs = 0;
    let measuredMs: number | undefined;
    const starts: Array<[number, number]> = [];
    const arrivals = createArrivalTimes({
      turns,
      probe: {
        start: (nowMs, queuedSinceMs) =>
          void starts.push([nowMs, queuedSinceMs]),
        takeWaitMs: () => measuredMs,
        getPendingMs: () => pendingMs,
        discard: () => (pendingMs = 0),
      },
      onWaitMeasured: () => undefined,
    });
    /** Runs one turn; accepts a connection and reads its request. */
    const runTurn = (nowMs: number, isAccepting = true): number => {
      turns.observe(nowMs);
      const socket = {} as Socket;
      if (isAccepting) arrivals.recordConnection(socket, nowMs);
      const waitMs = nowMs - arrivals.takeArrivalMs(socket, nowMs);
      for (const end of ends.splice(0)) end();
      return waitMs;
    };
    /** Accepts a connection; the result reads its request in a later turn. */
    const acceptOnly = (acceptedAtMs: number): ((nowMs: number) => number) => {
      const socket = {} as Socket;
      turns.observe(acceptedAtMs);
      arrivals.recordConnection(socket, acceptedAtMs);
      for (const end of ends.splice(0)) end();
      return nowMs => nowMs - arrivals.takeArrivalMs(socket, nowMs);
    };
    return {
      runTurn,
      acceptOnly,
      starts,
      setPendingMs: (ms: number) => (pendingMs = ms),
      measure: (waitMs: number, nowMs: number) => {
        measuredMs = waitMs;
        runTurn(nowMs);
        measuredMs = undefined;
      },
    };
  };

  it('dates back all connections that waited during a late turn', () => {
    const {runTurn} = createLoop();
    runTurn(0, false);
    expect([1_500, 1_505, 1_510].map(nowMs => runTurn(nowMs))).toEqual([
      1_500, 1_505, 1_505,
    ]);
    runTurn(1_515, false);
    expect(runTurn(1_520)).toBe(0);
  });

  it('does not add up the turns of a busy listener', () => {
    const {runTurn} = createLoop();
    const waits = Array.from({length: 50}, (_, turn) => runTurn(turn * 200));
    expect(Math.max(...waits)).toBe(200);
  });

  it('dates connections back by the measured wait, until the queue is empty', () => {
    const {runTurn, setPendingMs, measure} = createLoop();
    runTurn(0);
    setPendingMs(900);
    expect(runTurn(20)).toBe(900);
    setPendingMs(0);
    measure(950, 70);
    expect(runTurn(90)).toBe(950);
    measure(400, 110);
    expect(runTurn(130)).toBe(400);
    runTurn(150, false);
    expect(runTurn(170)).toBe(0);
  });

  // Dated back to their connection, requests on connections that were opened
  // ahead would be refused as ones that waited for too long.
  it('does not date back a request that follows its connection later', () => {
    const {runTurn, acceptOnly} = createLoop();
    runTurn(0);
    const read = acceptOnly(20);
    for (let nowMs = 120; nowMs < 2_000; nowMs += 100) runTurn(nowMs, false);
    expect(read(2_020)).toBe(0);
  });

  it('dates back a request that is read in the turn after its connection', () => {
    const {runTurn, acceptOnly} = createLoop();
    runTurn(0, false);
    const read = acceptOnly(1_500);
    expect(read(1_505)).toBe(1_505);
  });

  // Guards against a full deadline for a request that waited behind another one.
  it('dates back each request that is read with the first of its connection', () => {
    const {runTurn, acceptOnly} = createLoop();
    runTurn(0, false);
    const read = acceptOnly(1_500);
    expect([read(1_505), read(1_505)]).toEqual([1_505, 1_505]);
  });

  // Turns of a busy machine can each be just short of late.
  it('dates back the connections before the first measurement', () => {
    const {runTurn, starts} = createLoop();
    runTurn(0, false);
    expect(runTurn(140)).toBe(0);
    expect(runTurn(280)).toBe(140);
    expect(starts).toEqual([[280, 140]]);
  });

  // A measurement whose connection is not recognized would date all later
  // connections back to its start.
  it('drops a measurement that is pending when the queue is empty', () => {
    const {runTurn, setPendingMs} = createLoop();
    runTurn(0);
    setPendingMs(900);
    runTurn(20, false);
    expect(runTurn(40)).toBe(0);
  });
});

describe('accept probe', () => {
  it('gives up on a connection that is not recognized when it is accepted', async () => {
    const clock = createSystemClock();
    const listener = createServer();
    await new Promise<void>(resolve =>
      listener.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = listener.address() as AddressInfo;
    const probe = createAcceptProbe({host: '127.0.0.1', port, clock});
    probe.start(clock.getNowMs(), clock.getNowMs());
    await clock.waitMs(100);
    expect(probe.getPendingMs(clock.getNowMs())).toBeGreaterThan(0);
    expect(probe.getPendingMs(clock.getNowMs() + 3_000)).toBe(0);
    expect(probe.getPendingMs(clock.getNowMs())).toBe(0);
    listener.close();
  });
});

describe('accept probe that is asked before its connection is made', () => {
  it('counts from its start, since the queue is as old at least', async () => {
    const clock = createSystemClock();
    const listener = createServer();
    await new Promise<void>(resolve =>
      listener.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = listener.address() as AddressInfo;
    const probe = createAcceptProbe({host: '127.0.0.1', port, clock});
    // Whole, so that differences of times are exact.
    const startedAtMs = Math.round(clock.getNowMs());
    probe.start(startedAtMs, startedAtMs - 40);
    expect(probe.getPendingMs(startedAtMs + 130)).toBe(170);
    // Its connection was dropped by a full queue.
    expect(probe.getPendingMs(startedAtMs + 900)).toBe(0);
    probe.stop();
    listener.close();
  });

  it('ends with the connection all the same', async () => {
    const clock = createSystemClock();
    const listener = createServer();
    await new Promise<void>(resolve =>
      listener.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = listener.address() as AddressInfo;
    const probe = createAcceptProbe({host: '127.0.0.1', port, clock});
    listener.on('connection', socket => {
      probe.takeWaitMs(socket, clock.getNowMs());
    });
    probe.start(clock.getNowMs(), clock.getNowMs());
    probe.takeWaitMs({} as Socket, clock.getNowMs());
    await clock.waitMs(100);
    expect(probe.getPendingMs(clock.getNowMs())).toBe(0);
    listener.close();
  });
});

describe('arrival times of a listener under load', () => {
  const CONNECTIONS = 40;
  /** Processor time spent on each connection; no single turn is late. */
  const WORK_MS = 30;
  const TOLERANCE_MS = 150;
  let server: Server | undefined;

  afterEach(() => server?.close());

  it('dates back connections that wait for many short turns', async () => {
    const clock = createSystemClock();
    const turns = createTurnMonitor({usualGapMs: USUAL_GAP_MS});
    const listener = createServer();
    server = listener;
    await new Promise<void>(resolve =>
      listener.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = listener.address() as AddressInfo;
    const probe = createAcceptProbe({host: '127.0.0.1', port, clock});
    const arrivals = createArrivalTimes({
      turns,
      probe,
      onWaitMeasured: () => undefined,
    });
    const errorsMs: number[] = [];
    const sockets: Socket[] = [];
    const connectedAtMs = clock.getNowMs();
    listener.on('connection', socket => {
      const nowMs = clock.getNowMs();
      arrivals.recordConnection(socket, nowMs);
      if (socket.destroyed) return;
      sockets.push(socket);
      errorsMs.push(arrivals.takeArrivalMs(socket, nowMs) - connectedAtMs);
      while (clock.getNowMs() < nowMs + WORK_MS);
    });
    for (let index = 0; index < CONNECTIONS; index += 1) {
      sockets.push(connect(port, '127.0.0.1'));
    }
    while (errorsMs.length < CONNECTIONS) await clock.waitMs(10);
    probe.stop();
    for (const socket of sockets) socket.destroy();
    expect(Math.max(...errorsMs)).toBeLessThan(TOLERANCE_MS);
    expect(Math.min(...errorsMs)).toBeGreaterThan(-TOLERANCE_MS);
  });
});
