/**
 * Estimates when requests arrived, from when they are read. Deadlines of callers
 * count from the arrival, which may be long before under load or after a pause.
 */
import type {Socket} from 'node:net';
import type {TurnMonitor} from '@siskinplank/foundation';
import type {AcceptProbe} from './accept-probe';

/** Arrival times of the requests of one listener. */
export interface ArrivalTimes {
  /** Must be called for each accepted connection. */
  recordConnection(socket: Socket, nowMs: number): void;
  /** Earliest time at which a request that is read now may have arrived. */
  takeArrivalMs(socket: Socket, nowMs: number): number;
}

/** What `createArrivalTimes` needs. */
export interface ArrivalTimesOptions {
  turns: TurnMonitor;
  /** Measures the accept queue of the listener. */
  probe: Omit<AcceptProbe, 'stop'>;
  /** Called with each measured wait in the accept queue. */
  onWaitMeasured(waitMs: number): void;
}

/** A series of turns of the event loop that each accepted a connection. */
interface AcceptRun {
  lastTurn: number;
  lastAtMs: number;
  /** Time for which its connections waited, as last measured. */
  waitMs: number;
  /** Whether only one connection was accepted so far. */
  isFirst: boolean;
}

/** When a connection arrived, and the turn in which it was accepted. */
interface ConnectionArrival {
  atMs: number;
  turn: number;
}

/**
 * Requests that waited together with their connection are read in the turn after
 * the one that accepts it. Later ones were sent later.
 */
const MAX_TURNS_TO_REQUEST = 2;

/** Creates the arrival times of a listener without connections. */
export function createArrivalTimes(options: ArrivalTimesOptions): ArrivalTimes {
  const {turns, probe} = options;
  const connectionArrivals = new WeakMap<Socket, ConnectionArrival>();
  let run: AcceptRun | undefined;

  /** Longest wait of the next connection of a run that is not measured yet. */
  const estimateQueueMs = (nowMs: number): number => {
    if (run === undefined) return 0;
    // The second connection may have arrived together with the first; from then
    // on a measurement is pending.
    return run.waitMs + (run.isFirst ? nowMs - run.lastAtMs : 0);
  };

  return {
    recordConnection: (socket, nowMs) => {
      turns.observe(nowMs);
      const lastTurn = turns.countTurns();
      const measuredMs = probe.takeWaitMs(socket, nowMs);
      if (measuredMs !== undefined) {
        run = {
          lastTurn,
          lastAtMs: nowMs,
          waitMs: measuredMs,
          isFirst: false,
        };
        options.onWaitMeasured(measuredMs);
        return;
      }
      // A turn without a new connection had found the queue empty.
      const isQueued = run !== undefined && lastTurn - run.lastTurn <= 1;
      if (!isQueued) probe.discard();
      const lateMs = nowMs - turns.getEarliestArrivalMs(nowMs);
      const waitMs = Math.max(lateMs, isQueued ? estimateQueueMs(nowMs) : 0);
      run = {lastTurn, lastAtMs: nowMs, waitMs, isFirst: !isQueued};
      connectionArrivals.set(socket, {
        atMs: nowMs - Math.max(waitMs, probe.getPendingMs(nowMs)),
        turn: lastTurn,
      });
      if (isQueued) probe.start(nowMs, nowMs - waitMs);
    },
    takeArrivalMs: (socket, nowMs) => {
      turns.observe(nowMs);
      const connection = connectionArrivals.get(socket);
      const earliestMs = turns.getEarliestArrivalMs(nowMs);
      if (connection === undefined) return earliestMs;
      const turnsSince = turns.countTurns() - connection.turn;
      if (turnsSince > MAX_TURNS_TO_REQUEST) {
        connectionArrivals.delete(socket);
        return earliestMs;
      }
      return Math.min(connection.atMs, earliestMs);
    },
  };
}
