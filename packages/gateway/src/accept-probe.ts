/**
 * Measures how long connections wait to be accepted. libuv 1.46 accepts one
 * connection of a listener in each turn of the event loop, so that connections
 * wait in the queue of the kernel for many turns under load, although no single
 * turn is late. A connection of the process to its own listener waits in the
 * same queue.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {Clock} from '@siskinplank/foundation';

/** Measures the accept queue of one listener. */
export interface AcceptProbe {
  /**
   * Starts a measurement unless one is pending or one started just before.
   * `queuedSinceMs` is when the connection that was accepted last had arrived.
   */
  start(nowMs: number, queuedSinceMs: number): void;
  /**
   * Ends the measurement if `socket` is its accepted connection, closes the
   * connection, and returns for how long it waited, in milliseconds.
   */
  takeWaitMs(socket: Socket, nowMs: number): number | undefined;
  /**
   * Longest time for which connections that are accepted now may have waited,
   * by the pending measurement, in milliseconds; 0 without one. They entered the
   * queue before the connection of the measurement, and after the connection
   * that was accepted when it started.
   */
  getPendingMs(nowMs: number): number;
  /** Drops the pending measurement, as the queue was seen empty since. */
  discard(): void;
  stop(): void;
}

/** Address of the measured listener, and the time source. */
export interface AcceptProbeOptions {
  host: string;
  port: number;
  clock: Clock;
}

interface Measurement {
  socket: Socket;
  startedAtMs: number;
  /** Arrival of the last connection that was accepted before the start. */
  queuedSinceMs: number;
  /** When the connection entered the queue; undefined until it is made. */
  queuedAtMs: number | undefined;
  /** Connections that were accepted before this one was known to be made. */
  acceptedBefore: Socket[];
}

/** Least time between the starts of two measurements. */
const PROBE_PERIOD_MS = 100;
/**
 * A connection that takes longer to be made was dropped by a full queue first,
 * and repeated by the kernel, which does so after a second at the earliest.
 */
const MAX_CONNECT_MS = 500;
/** Pending connections are given up after this time without being made. */
const CONNECT_TIMEOUT_MS = 2_000;

/**
 * Measurements that take longer were accepted without being recognized, or lost
 * their connection; the queue itself is shorter.
 */
const MAX_PENDING_MS = 2_000;

/** When a connection that is known to be made at `nowMs` entered the queue. */
function getQueuedAtMs({startedAtMs}: Measurement, nowMs: number): number {
  return nowMs - startedAtMs > MAX_CONNECT_MS ? nowMs : startedAtMs;
}

/** Whether an accepted connection is that of the measurement. */
function isOwnConnection({socket}: Measurement, accepted: Socket): boolean {
  const {localPort, localAddress} = socket;
  return (
    localPort !== undefined &&
    accepted.remotePort === localPort &&
    accepted.remoteAddress === localAddress
  );
}

/** Creates a probe without a measurement. */
export function createAcceptProbe(options: AcceptProbeOptions): AcceptProbe {
  const {host, port, clock} = options;
  let pending: Measurement | undefined;
  let startedAtMs = -Infinity;

  const endPending = (): void => {
    const ended = pending;
    pending = undefined;
    ended?.socket.destroy();
  };

  return {
    start: (nowMs, queuedSinceMs) => {
      if (nowMs - startedAtMs < PROBE_PERIOD_MS) return;
      if (pending !== undefined) {
        const isLost =
          pending.queuedAtMs === undefined &&
          nowMs - startedAtMs > CONNECT_TIMEOUT_MS;
        if (!isLost) return;
        endPending();
      }
      startedAtMs = nowMs;
      const socket = connect(port, host);
      const measurement: Measurement = {
        socket,
        startedAtMs,
        queuedSinceMs,
        queuedAtMs: undefined,
        acceptedBefore: [],
      };
      pending = measurement;
      socket.on('connect', () => {
        measurement.queuedAtMs = getQueuedAtMs(measurement, clock.getNowMs());
        const own = measurement.acceptedBefore.find(accepted =>
          isOwnConnection(measurement, accepted),
        );
        measurement.acceptedBefore = [];
        if (own === undefined) return;
        // It hardly waited, so there is nothing to report.
        own.destroy();
        if (pending === measurement) endPending();
      });
      // The listener is closed while the process stops.
      socket.on('error', () => undefined);
      socket.on('close', () => {
        if (pending === measurement) pending = undefined;
      });
    },
    takeWaitMs: (socket, nowMs) => {
      if (pending === undefined) return undefined;
      const {queuedAtMs} = pending;
      if (queuedAtMs === undefined) {
        // Node.js remembers the local address from the first time it is asked
        // for, also if the socket was not bound by then.
        pending.acceptedBefore.push(socket);
        return undefined;
      }
      if (!isOwnConnection(pending, socket)) return undefined;
      const waitMs = nowMs - queuedAtMs;
      socket.destroy();
      endPending();
      return waitMs;
    },
    getPendingMs: nowMs => {
      if (pending === undefined) return 0;
      const {queuedAtMs = getQueuedAtMs(pending, nowMs)} = pending;
      if (nowMs - queuedAtMs > MAX_PENDING_MS) {
        endPending();
        return 0;
      }
      const hasWaited = queuedAtMs === pending.startedAtMs;
      return nowMs - (hasWaited ? pending.queuedSinceMs : queuedAtMs);
    },
    discard: endPending,
    stop: endPending,
  };
}
