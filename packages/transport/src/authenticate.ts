/** Runs the handshake on a new socket. */
import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import type {WebSocket} from 'ws';
import type {Clock} from '@siskinplank/foundation';
import {Either, Left, Right} from 'purify-ts';
import type {
  AcceptorHandshake,
  DialerHandshake,
  HandshakeError,
} from './handshake';
import type {TransportLimits} from './limits';
import {closeSocket} from './link';
import {LinkCloseReason} from './types';
import type {PeerIdentity} from './types';

/** Handles a frame; returns the peer once it is authenticated. */
type Step = (
  frame: Uint8Array,
) => Either<HandshakeError, PeerIdentity | undefined>;

/** Frames that a peer sends in the handshake: at most Hello and HelloProof. */
const MAX_HANDSHAKE_FRAMES = 2;

/** Limit of the bytes that arrive on one connection before it is a link. */
interface ByteLimit {
  /** Counts the bytes that arrive on `stream` from now on. */
  start(stream: Duplex): void;
  stop(): void;
}

/** Creates a limit; that of a frame covers links and is much higher. */
function createByteLimit(maxBytes: number, onExceeded: () => void): ByteLimit {
  let receivedBytes = 0;
  let isStopped = false;
  let counted: Duplex | undefined;
  // Called after the listener of the socket, which may complete the handshake.
  const countBytes = (chunk: Buffer): void => {
    receivedBytes += chunk.byteLength;
    if (!isStopped && receivedBytes > maxBytes) onExceeded();
  };
  return {
    start: stream => {
      counted = stream;
      stream.on('data', countBytes);
    },
    stop: () => {
      isStopped = true;
      counted?.off('data', countBytes);
    },
  };
}

function runHandshake(
  socket: WebSocket,
  step: Step,
  clock: Clock,
  limits: TransportLimits,
  onSettled: (result: Either<HandshakeError, PeerIdentity>) => void,
): ByteLimit {
  let isSettled = false;
  const settle = (result: Either<HandshakeError, PeerIdentity>): void => {
    if (isSettled) return;
    isSettled = true;
    timer.cancel();
    socket.off('message', handleFrame);
    socket.off('close', handleClose);
    socket.off('error', handleError);
    result.ifLeft(error => {
      socket.on('error', () => socket.terminate());
      closeSocket(socket, error.reason, clock);
    });
    result.ifRight(() => byteLimit.stop());
    onSettled(result);
  };
  const failWith = (detail: string): void =>
    settle(Left({reason: LinkCloseReason.Malformed, detail}));
  const handleFrame = (data: unknown, isBinary: boolean): void => {
    const frame = data as Buffer;
    if (!isBinary || frame.byteLength > limits.maxHandshakeBytes) {
      failWith('handshake frame is too large or not binary');
      return;
    }
    const result = step(frame);
    result.ifLeft(error => settle(Left(error)));
    result.ifRight(peer => {
      if (peer !== undefined) settle(Right(peer));
    });
  };
  const handleClose = (): void => failWith('closed during the handshake');
  const handleError = (error: Error): void => failWith(error.message);
  const timer = clock.startTimer(limits.handshakeTimeoutMs, () => {
    failWith('handshake timed out');
    socket.terminate();
  });
  // Also holds after a failure, while the connection closes.
  const byteLimit = createByteLimit(
    MAX_HANDSHAKE_FRAMES * limits.maxHandshakeBytes,
    () => {
      failWith('handshake is too large');
      socket.terminate();
    },
  );
  socket.on('message', handleFrame);
  socket.on('close', handleClose);
  socket.on('error', handleError);
  return byteLimit;
}

/** Authenticates an accepted socket. */
export function authenticateAcceptedSocket(
  socket: WebSocket,
  stream: Duplex,
  handshake: AcceptorHandshake,
  clock: Clock,
  limits: TransportLimits,
  onSettled: (result: Either<HandshakeError, PeerIdentity>) => void,
): void {
  let hasHello = false;
  const step: Step = frame => {
    if (hasHello) return handshake.handleProof(frame);
    hasHello = true;
    return handshake.handleHello(frame).map(reply => {
      socket.send(reply);
      return undefined;
    });
  };
  runHandshake(socket, step, clock, limits, onSettled).start(stream);
}

/** Authenticates a socket that this process opened. */
export function authenticateDialedSocket(
  socket: WebSocket,
  handshake: DialerHandshake,
  clock: Clock,
  limits: TransportLimits,
  onSettled: (result: Either<HandshakeError, PeerIdentity>) => void,
): void {
  socket.once('open', () => socket.send(handshake.hello));
  const step: Step = frame =>
    handshake.handleReply(frame).map(({peer, proof}) => {
      socket.send(proof);
      return peer;
    });
  const byteLimit = runHandshake(socket, step, clock, limits, onSettled);
  // The listener of the socket is added after this event.
  socket.once('upgrade', (response: IncomingMessage) =>
    socket.once('open', () => byteLimit.start(response.socket)),
  );
}
