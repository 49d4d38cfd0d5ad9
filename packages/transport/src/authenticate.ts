/** Runs the handshake on a new socket. */
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

function runHandshake(
  socket: WebSocket,
  step: Step,
  clock: Clock,
  limits: TransportLimits,
  onSettled: (result: Either<HandshakeError, PeerIdentity>) => void,
): void {
  const settle = (result: Either<HandshakeError, PeerIdentity>): void => {
    timer.cancel();
    socket.off('message', handleFrame);
    socket.off('close', handleClose);
    socket.off('error', handleError);
    result.ifLeft(error => {
      socket.on('error', () => socket.terminate());
      closeSocket(socket, error.reason, clock);
    });
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
  socket.on('message', handleFrame);
  socket.on('close', handleClose);
  socket.on('error', handleError);
}

/** Authenticates an accepted socket. */
export function authenticateAcceptedSocket(
  socket: WebSocket,
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
  runHandshake(socket, step, clock, limits, onSettled);
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
  runHandshake(socket, step, clock, limits, onSettled);
}
