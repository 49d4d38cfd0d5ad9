/**
 * Estimates when requests arrived, from when they are read. Deadlines of callers
 * count from the arrival, which may be long before under load or after a pause.
 */
import type {Socket} from 'node:net';
import type {TurnMonitor} from '@siskinplank/foundation';

/** Arrival times of the requests of one listener. */
export interface ArrivalTimes {
  /** Must be called for each accepted connection. */
  recordConnection(socket: Socket, nowMs: number): void;
  /** Earliest time at which a request that is read now may have arrived. */
  takeArrivalMs(socket: Socket, nowMs: number): number;
}

/** A series of turns of the event loop that each accepted a connection. */
interface AcceptRun {
  lastTurn: number;
  /** Longest time for which the connections of one of its turns may have waited. */
  waitMs: number;
}

/** Creates the arrival times of a listener without connections. */
export function createArrivalTimes(turns: TurnMonitor): ArrivalTimes {
  const connectionArrivals = new WeakMap<Socket, number>();
  let run: AcceptRun | undefined;

  return {
    recordConnection: (socket, nowMs) => {
      turns.observe(nowMs);
      const turn = turns.countTurns();
      const waitMs = nowMs - turns.getEarliestArrivalMs(nowMs);
      // libuv accepts one connection in each turn, so a connection that is
      // accepted right after another one may have waited as long.
      const formerWaitMs =
        run !== undefined && turn - run.lastTurn <= 1 ? run.waitMs : 0;
      run = {lastTurn: turn, waitMs: Math.max(waitMs, formerWaitMs)};
      connectionArrivals.set(socket, nowMs - run.waitMs);
    },
    takeArrivalMs: (socket, nowMs) => {
      turns.observe(nowMs);
      const connectionMs = connectionArrivals.get(socket) ?? nowMs;
      connectionArrivals.delete(socket);
      return Math.min(connectionMs, turns.getEarliestArrivalMs(nowMs));
    },
  };
}
