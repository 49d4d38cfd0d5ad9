/**
 * Measures how long connections wait to be accepted. libuv 1.46 accepts one
 * connection of a listener in each turn of the event loop, so that connections
 * wait in the queue of the kernel for many turns under load, although no single
 * turn is late. A connection of the process to its own listener waits in the
 * same queue.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';

/** Measures the accept queue of one listener. */
export interface AcceptProbe {
  /** Starts a measurement unless one is pending or one started just before. */
  start(nowMs: number): void;
  /**
   * Ends the measurement if `socket` is its accepted connection, closes the
   * connection, and returns for how long it waited, in milliseconds.
   */
  takeWaitMs(socket: Socket, nowMs: number): number | undefined;
  /**
   * Age of the pending measurement, in milliseconds; 0 without one. Connections
   * that are accepted before it have waited at least as long.
   */
  getPendingMs(nowMs: number): number;
  stop(): void;
}

/** Address of the measured listener. */
export interface AcceptProbeOptions {
  host: string;
  port: number;
}

interface Measurement {
  socket: Socket;
  startedAtMs: number;
  /** Whether the connection is in the queue, or was accepted. */
  isConnected: boolean;
}

/** Least time between the starts of two measurements. */
const PROBE_PERIOD_MS = 100;
/** A connection that is not made for this time never entered the queue. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Creates a probe without a measurement. */
export function createAcceptProbe(options: AcceptProbeOptions): AcceptProbe {
  let pending: Measurement | undefined;
  let startedAtMs = -Infinity;

  const endPending = (): void => {
    const ended = pending;
    pending = undefined;
    ended?.socket.destroy();
  };

  return {
    start: nowMs => {
      if (nowMs - startedAtMs < PROBE_PERIOD_MS) return;
      if (pending !== undefined) {
        const isLost =
          !pending.isConnected && nowMs - startedAtMs > CONNECT_TIMEOUT_MS;
        if (!isLost) return;
        endPending();
      }
      startedAtMs = nowMs;
      const socket = connect(options.port, options.host);
      const measurement = {socket, startedAtMs, isConnected: false};
      pending = measurement;
      socket.on('connect', () => (measurement.isConnected = true));
      // The listener is closed while the process stops.
      socket.on('error', () => undefined);
      socket.on('close', () => {
        if (pending === measurement) pending = undefined;
      });
    },
    takeWaitMs: (socket, nowMs) => {
      if (pending === undefined) return undefined;
      const {localPort, localAddress} = pending.socket;
      const isOwn =
        localPort !== undefined &&
        socket.remotePort === localPort &&
        socket.remoteAddress === localAddress;
      if (!isOwn) return undefined;
      const waitMs = nowMs - pending.startedAtMs;
      socket.destroy();
      endPending();
      return waitMs;
    },
    getPendingMs: nowMs =>
      pending?.isConnected === true ? nowMs - pending.startedAtMs : 0,
    stop: endPending,
  };
}
