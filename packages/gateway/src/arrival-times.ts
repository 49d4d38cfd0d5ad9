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
  startedAtMs: number;
  /** Earliest time at which its first connection may have arrived. */
  arrivedAtMs: number;
}

/**
 * In a longer series of turns with accepted connections, the connections that
 * came first are assumed to have been accepted.
 */
const MAX_ACCEPT_RUN_MS = 1_500;

/** Creates the arrival times of a listener without connections. */
export function createArrivalTimes(turns: TurnMonitor): ArrivalTimes {
  const connectionArrivals = new WeakMap<Socket, number>();
  let run: AcceptRun | undefined;

  return {
    recordConnection: (socket, nowMs) => {
      turns.observe(nowMs);
      const turn = turns.countTurns();
      // libuv accepts one connection in each turn, so a connection that is
      // accepted right after another one may have waited as long.
      if (run === undefined || turn - run.lastTurn > 1) {
        run = {
          lastTurn: turn,
          startedAtMs: nowMs,
          arrivedAtMs: turns.getEarliestArrivalMs(nowMs),
        };
      }
      run.lastTurn = turn;
      if (nowMs - run.startedAtMs > MAX_ACCEPT_RUN_MS) {
        run.startedAtMs = nowMs - MAX_ACCEPT_RUN_MS;
        run.arrivedAtMs = run.startedAtMs;
      }
      connectionArrivals.set(socket, run.arrivedAtMs);
    },
    takeArrivalMs: (socket, nowMs) => {
      turns.observe(nowMs);
      const connectionMs = connectionArrivals.get(socket) ?? nowMs;
      connectionArrivals.delete(socket);
      return Math.min(connectionMs, turns.getEarliestArrivalMs(nowMs));
    },
  };
}
