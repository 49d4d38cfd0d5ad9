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
  /** Time for which its connections waited, as last measured. */
  waitMs: number;
}

/** Creates the arrival times of a listener without connections. */
export function createArrivalTimes(options: ArrivalTimesOptions): ArrivalTimes {
  const {turns, probe} = options;
  const connectionArrivals = new WeakMap<Socket, number>();
  let run: AcceptRun | undefined;

  return {
    recordConnection: (socket, nowMs) => {
      turns.observe(nowMs);
      const lastTurn = turns.countTurns();
      const measuredMs = probe.takeWaitMs(socket, nowMs);
      if (measuredMs !== undefined) {
        run = {lastTurn, waitMs: measuredMs};
        options.onWaitMeasured(measuredMs);
        return;
      }
      // A turn without a new connection had found the queue empty.
      const isQueued = run !== undefined && lastTurn - run.lastTurn <= 1;
      if (!isQueued) probe.discard();
      const lateMs = nowMs - turns.getEarliestArrivalMs(nowMs);
      const waitMs = Math.max(lateMs, isQueued ? (run?.waitMs ?? 0) : 0);
      run = {lastTurn, waitMs};
      connectionArrivals.set(
        socket,
        nowMs - Math.max(waitMs, probe.getPendingMs(nowMs)),
      );
      if (isQueued) probe.start(nowMs);
    },
    takeArrivalMs: (socket, nowMs) => {
      turns.observe(nowMs);
      const connectionMs = connectionArrivals.get(socket) ?? nowMs;
      connectionArrivals.delete(socket);
      return Math.min(connectionMs, turns.getEarliestArrivalMs(nowMs));
    },
  };
}
