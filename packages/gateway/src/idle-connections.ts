/** Closing of idle caller connections, without losing requests or responses. */
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {waitForPoll} from '@siskinplank/foundation';
import type {Clock} from '@siskinplank/foundation';

/** Turns after which the accept queue counts as endless. */
const MAX_ACCEPT_TURNS = 512;
/**
 * Time after a response in which its caller receives it and often sends the
 * next request.
 */
const MIN_REST_MS = 500;
/** The end of a longer response may not have been sent when it counts as written. */
const MAX_SENT_BYTES = 65_536;

/** Closes the idle connections of one listener. */
export interface IdleConnections {
  /**
   * Sets the idle timeout of the listener. Connections that are idle now stay
   * open at least as long, since their callers may reuse them until then.
   */
  setTimeoutMs(timeoutMs: number): void;
  /**
   * Resolves when everything that has arrived is read. Under processor load,
   * connections and requests may have arrived that the process has not read
   * yet; closing them would lose the requests.
   */
  readArrived(): Promise<void>;
  /**
   * Closes connections without a request, after reading what has arrived, and
   * from then on each connection whose requests are answered. What arrives on
   * them later is not read, so that callers may repeat any request.
   */
  closeIdle(): Promise<void>;
  /**
   * Closes connections that were never used, or have rested after a response.
   * What arrives on them later is not read.
   */
  closeRested(): void;
  /**
   * Closes the connection when the requests that were read are answered; false
   * if there are none.
   */
  closeWhenAnswered(socket: Socket): boolean;
  /** Stops listening and resolves when the last connection has ended. */
  close(): Promise<void>;
}

/** Requests of one connection. */
interface ConnectionUse {
  /** Requests that are not completely read, or whose responses not written. */
  openRequests: Set<IncomingMessage>;
  /** Bytes that had been read when the last request was read and answered. */
  settledBytes: number | undefined;
  /** When the last response was written; meaningless before the first one. */
  settledAtMs: number;
  /** Bytes written until the end of the last response. */
  writtenBytes: number;
  /** Bytes of the last response. */
  responseBytes: number;
  /** Whether nothing more can be read. */
  isBroken: boolean;
}

/** Whether a request was read completely and its response is not written. */
function hasReadRequest({openRequests}: ConnectionUse): boolean {
  return [...openRequests].some(({complete}) => complete);
}

/**
 * Records the connections of a listener that has none yet, and closes them after
 * its `keepAliveTimeout`. A connection is idle when its responses are written
 * and nothing was read since. Node.js takes one for idle when its response has
 * ended, and would drop what is not written yet.
 */
export function createIdleConnections(
  server: Server,
  clock: Clock,
): IdleConnections {
  const uses = new Map<Socket, ConnectionUse>();
  let isLeaving = false;

  const closeIfIdle = (socket: Socket): void => {
    const use = uses.get(socket);
    const isIdle =
      use?.openRequests.size === 0 && socket.bytesRead === use.settledBytes;
    if (!isIdle) return;
    const restMs = use.settledAtMs + MIN_REST_MS - clock.getNowMs();
    if (use.responseBytes > MAX_SENT_BYTES) socket.destroySoon();
    else if (restMs <= 0) socket.destroy();
    else clock.startTimer(restMs, () => void closeAfterRead(socket));
  };

  /** The next request may have arrived before the response was written. */
  const closeAfterRead = async (socket: Socket): Promise<void> => {
    await waitForPoll();
    await waitForPoll();
    closeIfIdle(socket);
  };

  server.on('connection', (socket: Socket) => {
    uses.set(socket, {
      openRequests: new Set(),
      settledBytes: undefined,
      settledAtMs: 0,
      writtenBytes: 0,
      responseBytes: 0,
      isBroken: false,
    });
    socket.once('close', () => uses.delete(socket));
  });
  server.on('request', (request, response) => {
    const {socket} = request;
    const use = uses.get(socket);
    if (use === undefined) return;
    use.openRequests.add(request);
    let isAnswered = false;
    // The rest of a refused request's body may be read after the response.
    const settle = (): void => {
      if (!isAnswered || !request.complete) return;
      use.openRequests.delete(request);
      use.settledBytes = socket.bytesRead;
      use.settledAtMs = clock.getNowMs();
      if (use.isBroken && !hasReadRequest(use)) socket.destroySoon();
      else if (isLeaving) void closeAfterRead(socket);
    };
    request.once('end', settle);
    response.once('close', () => {
      isAnswered = true;
      use.responseBytes = socket.bytesWritten - use.writtenBytes;
      use.writtenBytes = socket.bytesWritten;
      settle();
    });
  });

  /** Timers run before sockets are read, so a request may have arrived. */
  const closeExpired = async (socket: Socket): Promise<void> => {
    const {bytesRead} = socket;
    await waitForPoll();
    // What follows is left unread, so that callers may repeat any request.
    if (socket.bytesRead === bytesRead) socket.destroy();
  };
  // Node.js would close the connection unread.
  server.on('timeout', (socket: Socket) => void closeExpired(socket));

  const closeRested = (): void => {
    const nowMs = clock.getNowMs();
    for (const [socket, use] of uses) {
      const {openRequests, settledBytes = 0, settledAtMs, responseBytes} = use;
      const isIdle =
        openRequests.size === 0 && socket.bytesRead === settledBytes;
      const isRested = settledBytes === 0 || nowMs - settledAtMs >= MIN_REST_MS;
      const isSent = responseBytes <= MAX_SENT_BYTES;
      if (isIdle && isRested && isSent) socket.destroy();
    }
  };

  const closeNow = (): void => {
    for (const socket of uses.keys()) closeIfIdle(socket);
  };
  // `server.close` calls it, too.
  server.closeIdleConnections = closeNow;

  /** The event loop accepts one connection of a listener in each turn (libuv 1.46). */
  const readArrived = async (): Promise<void> => {
    let hasAccepted = true;
    const note = (): void => {
      hasAccepted = true;
    };
    server.on('connection', note);
    // The current turn of the loop may have polled before the connections arrived.
    await waitForPoll();
    for (let turn = 0; hasAccepted && turn < MAX_ACCEPT_TURNS; turn += 1) {
      hasAccepted = false;
      await waitForPoll();
    }
    server.off('connection', note);
    // The last round may have accepted a connection whose request this one reads.
    await waitForPoll();
  };

  const closeIdle = async (): Promise<void> => {
    isLeaving = true;
    await readArrived();
    closeNow();
  };

  return {
    setTimeoutMs: timeoutMs => {
      server.keepAliveTimeout = timeoutMs;
      for (const socket of uses.keys()) {
        // Node.js sets a timeout only while no request is open.
        const {timeout = 0} = socket;
        if (timeout > 0 && timeout < timeoutMs) socket.setTimeout(timeoutMs);
      }
    },
    readArrived,
    closeIdle,
    closeRested,
    closeWhenAnswered: socket => {
      const use = uses.get(socket);
      if (use === undefined || !hasReadRequest(use)) return false;
      use.isBroken = true;
      return true;
    },
    close: async () => {
      await closeIdle();
      await new Promise<void>(resolve => {
        server.close(() => resolve());
        closeNow();
      });
    },
  };
}
