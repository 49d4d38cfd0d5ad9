/**
 * Decides which connections of callers a stopping gateway closes. Callers may
 * send further requests on a connection before the first one is answered; each
 * that is started must be answered before the connection ends.
 */
import type {Socket} from 'node:net';

/** Connections with open requests. */
export interface CallerConnections {
  /** Adds a request; `onClosed` is called if the connection closes first. */
  addRequest(socket: Socket, onClosed: () => void): void;
  removeRequest(socket: Socket, onClosed: () => void): void;
  /**
   * Returns whether the connection ends with the response that is sent now, in
   * which case no further request of it may be started.
   */
  markClosing(socket: Socket): boolean;
  /** Whether the caller closed the connection before this process did. */
  hasCallerEnded(socket: Socket): boolean;
  /** Whether a request that is read now can't be answered any more. */
  isClosing(socket: Socket): boolean;
}

/**
 * Creates a record without connections.
 *
 * @param isLeaving whether connections are to be closed.
 */
export function createCallerConnections(
  isLeaving: () => boolean,
): CallerConnections {
  const openRequests = new WeakMap<Socket, Set<() => void>>();
  const closing = new WeakSet<Socket>();
  const endedByCaller = new WeakSet<Socket>();

  const getRequests = (socket: Socket): Set<() => void> => {
    const known = openRequests.get(socket);
    if (known !== undefined) return known;
    const requests = new Set<() => void>();
    openRequests.set(socket, requests);
    // Node.js closes its own side when the caller has.
    socket.prependOnceListener('end', () => {
      if (!socket.writableEnded) endedByCaller.add(socket);
    });
    // Node.js reports the close only to the response that is being written.
    socket.once('close', () => {
      for (const onClosed of [...requests]) onClosed();
    });
    return requests;
  };

  return {
    addRequest: (socket, onClosed) => void getRequests(socket).add(onClosed),
    removeRequest: (socket, onClosed) =>
      void openRequests.get(socket)?.delete(onClosed),
    markClosing: socket => {
      if (!isLeaving() || (openRequests.get(socket)?.size ?? 0) > 1)
        return false;
      closing.add(socket);
      return true;
    },
    hasCallerEnded: socket => endedByCaller.has(socket),
    isClosing: socket =>
      closing.has(socket) || socket.writableEnded || socket.destroyed,
  };
}
