/**
 * Closes caller connections so that callers receive all that was written. The
 * kernel resets a connection that is closed while bytes of the caller are unread
 * or still arrive, and drops what the caller has not received yet. So only the
 * own side is closed first, and the connection is read until the caller closes
 * it, too (RFC 9112, section 9.6).
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@siskinplank/foundation';

/** Time for a caller to receive what was written, and to close. */
const MAX_LINGER_MS = 5_000;

/** Connections of one listener whose own side is closed. */
export interface LingeringConnections {
  /** Closes all connections; their callers receive what was written. */
  closeAll(): void;
  /** Connections that are closed here, and not yet by their callers. */
  count(): number;
}

/** What a caller sent after its connection was closed here. */
export interface UnansweredBytes {
  bytes: number;
  /** Time from the close until the first of them was read. */
  closedAgoMs: number;
}

/**
 * Replaces `destroySoon`, by which Node.js ends connections with their last
 * responses, for the connections of a listener that has none yet.
 *
 * @param onUnanswered called when a connection ends on which bytes arrived
 *     after its close, such as a request that crossed it.
 */
export function installLingeringClose(
  server: Server,
  clock: Clock,
  onUnanswered: (unanswered: UnansweredBytes) => void = () => undefined,
): LingeringConnections {
  const sockets = new Set<Socket>();
  const lingering = new Set<Socket>();

  const close = (socket: Socket): void => {
    if (socket.destroyed || lingering.has(socket)) return;
    lingering.add(socket);
    const closedAtMs = clock.getNowMs();
    let bytes = 0;
    let closedAgoMs = 0;
    const skipData = (data: Buffer): void => {
      if (bytes === 0) closedAgoMs = clock.getNowMs() - closedAtMs;
      bytes += data.length;
    };
    socket.once('close', () => {
      lingering.delete(socket);
      if (bytes > 0) onUnanswered({bytes, closedAgoMs});
    });
    // The parser would pause the connection, and end it at what is no request.
    socket.removeAllListeners('data');
    socket.removeAllListeners('resume');
    socket.on('data', skipData);
    socket.setTimeout(0);
    socket.end(() => {
      if (socket.destroyed) return;
      const timer = clock.startTimer(MAX_LINGER_MS, () => socket.destroy());
      socket.once('close', () => timer.cancel());
    });
    socket.resume();
  };

  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.destroySoon = () => close(socket);
  });
  return {
    closeAll: () => {
      for (const socket of sockets) close(socket);
    },
    count: () => lingering.size,
  };
}
