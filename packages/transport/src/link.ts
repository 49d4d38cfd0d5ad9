/** One authenticated link over a WebSocket. */
import type {WebSocket} from 'ws';
import {decodeMessage, encodeMessage} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {waitForPoll} from '@siskinplank/foundation';
import type {Clock, Timer} from '@siskinplank/foundation';
import type {TransportLimits} from './limits';
import {LinkCloseReason} from './types';
import type {Link, LinkTraffic, PeerIdentity} from './types';

/** Dependencies and callbacks of a link. */
export interface LinkContext {
  clock: Clock;
  limits: TransportLimits;
  traffic: LinkTraffic;
  onMessage(link: Link, message: Message): void;
  onMalformed(link: Link, detail: string): void;
  onClose(link: Link, reason: LinkCloseReason): void;
}

/** A link that also sends messages that were encoded before. */
export interface FrameLink extends Link {
  /** Queues an encoded message, like `send`. */
  sendFrame(frame: Uint8Array): boolean;
}

/** WebSocket close codes that carry a `LinkCloseReason`. */
const CLOSE_CODES: Record<LinkCloseReason, number> = {
  [LinkCloseReason.Local]: 1000,
  [LinkCloseReason.Remote]: 1000,
  [LinkCloseReason.Lost]: 1000,
  [LinkCloseReason.Malformed]: 4001,
  [LinkCloseReason.Unauthenticated]: 4002,
  [LinkCloseReason.VersionMismatch]: 4003,
  [LinkCloseReason.Idle]: 4004,
  [LinkCloseReason.Overflow]: 4005,
};

/** Code of a socket that closed without a close frame of the peer. */
const NO_CLOSE_FRAME_CODE = 1006;
/** Longest wait for the closing handshake of the peer. */
const CLOSE_GRACE_MS = 1_000;

/** Closes a socket; terminates it if the peer does not complete the close. */
export function closeSocket(
  socket: WebSocket,
  reason: LinkCloseReason,
  clock: Clock,
): void {
  socket.close(CLOSE_CODES[reason]);
  const timer = clock.startTimer(CLOSE_GRACE_MS, () => socket.terminate());
  socket.once('close', () => timer.cancel());
}

/** Wraps an authenticated socket as a link and starts its pings. */
export function createLink(
  id: string,
  peer: PeerIdentity,
  socket: WebSocket,
  context: LinkContext,
): FrameLink {
  const {clock, limits, traffic} = context;
  let isClosed = false;
  let lastReceivedMs = clock.getNowMs();
  let keepAliveTimer: Timer | undefined;

  const close = (reason: LinkCloseReason): void => {
    if (isClosed) return;
    isClosed = true;
    keepAliveTimer?.cancel();
    const isUnresponsive =
      reason === LinkCloseReason.Idle || reason === LinkCloseReason.Overflow;
    if (isUnresponsive) socket.terminate();
    else closeSocket(socket, reason, clock);
    context.onClose(link, reason);
  };

  const link: FrameLink = {
    id,
    peer,
    send: message => link.sendFrame(encodeMessage(message)),
    sendFrame: frame => {
      if (isClosed) return false;
      if (socket.bufferedAmount + frame.byteLength > limits.maxBufferedBytes) {
        close(LinkCloseReason.Overflow);
        return false;
      }
      socket.send(frame);
      traffic.sentBytes += frame.byteLength;
      traffic.sentMessages += 1;
      return true;
    },
    isOpen: () => !isClosed,
    getBufferedBytes: () => socket.bufferedAmount,
    close,
  };

  const getSilentMs = (): number => clock.getNowMs() - lastReceivedMs;

  /** Timers run before sockets are read: the peer may have sent meanwhile. */
  const closeIfIdle = async (): Promise<void> => {
    await waitForPoll();
    if (getSilentMs() >= limits.idleMs) close(LinkCloseReason.Idle);
  };

  const checkKeepAlive = (): void => {
    keepAliveTimer = clock.startTimer(limits.pingMs, checkKeepAlive);
    const silentMs = getSilentMs();
    if (silentMs >= limits.idleMs) void closeIfIdle();
    else if (silentMs >= limits.pingMs) socket.ping();
  };
  keepAliveTimer = clock.startTimer(limits.pingMs, checkKeepAlive);

  const recordReceived = (): void => {
    lastReceivedMs = clock.getNowMs();
  };
  socket.on('ping', recordReceived);
  socket.on('pong', recordReceived);
  socket.on('message', (data, isBinary) => {
    recordReceived();
    if (isClosed) return;
    const frame = data as Buffer;
    traffic.receivedBytes += frame.byteLength;
    traffic.receivedMessages += 1;
    const decoded = isBinary ? decodeMessage(frame) : undefined;
    if (decoded === undefined || decoded.isLeft()) {
      const detail = decoded?.swap().map(error => error.reason);
      context.onMalformed(link, detail?.orDefault('') ?? 'text frame');
      close(LinkCloseReason.Malformed);
      return;
    }
    decoded.ifRight(message => context.onMessage(link, message));
  });
  // ws emits `error` for oversized and invalid frames, followed by `close`.
  socket.on('error', error => {
    if (isClosed) return;
    context.onMalformed(link, error.message);
    close(LinkCloseReason.Malformed);
  });
  socket.on('close', code =>
    close(
      code === NO_CLOSE_FRAME_CODE
        ? LinkCloseReason.Lost
        : LinkCloseReason.Remote,
    ),
  );
  return link;
}
