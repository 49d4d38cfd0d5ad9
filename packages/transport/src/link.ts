/** One authenticated link over a WebSocket. */
import type {WebSocket} from 'ws';
import {decodeMessage, encodeMessage} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import type {Clock} from '@siskinplank/foundation';
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

/** WebSocket close codes that carry a `LinkCloseReason`. */
const CLOSE_CODES: Record<LinkCloseReason, number> = {
  [LinkCloseReason.Local]: 1000,
  [LinkCloseReason.Remote]: 1000,
  [LinkCloseReason.Malformed]: 4001,
  [LinkCloseReason.Unauthenticated]: 4002,
  [LinkCloseReason.VersionMismatch]: 4003,
  [LinkCloseReason.Idle]: 4004,
  [LinkCloseReason.Overflow]: 4005,
};

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
): Link {
  const {clock, limits, traffic} = context;
  let isClosed = false;
  let lastReceivedMs = clock.getNowMs();

  const close = (reason: LinkCloseReason): void => {
    if (isClosed) return;
    isClosed = true;
    pingTimer.cancel();
    const isUnresponsive =
      reason === LinkCloseReason.Idle || reason === LinkCloseReason.Overflow;
    if (isUnresponsive) socket.terminate();
    else closeSocket(socket, reason, clock);
    context.onClose(link, reason);
  };

  const link: Link = {
    id,
    peer,
    send: message => {
      if (isClosed) return false;
      const frame = encodeMessage(message);
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

  const pingTimer = clock.startInterval(limits.pingMs, () => {
    if (clock.getNowMs() - lastReceivedMs >= limits.idleMs) {
      close(LinkCloseReason.Idle);
      return;
    }
    socket.ping();
  });

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
  socket.on('close', () => close(LinkCloseReason.Remote));
  return link;
}
