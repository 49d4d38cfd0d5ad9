/** Accepts link connections, with mutual TLS when it is configured. */
import * as http from 'node:http';
import * as https from 'node:https';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {createSecureContext} from 'node:tls';
import {WebSocketServer} from 'ws';
import type {WebSocket} from 'ws';
import {Either, Left, Right} from 'purify-ts';
import type {NetworkAddress} from '@siskinplank/resources';
import type {TransportLimits} from './limits';
import type {TlsMaterial, TransportError} from './types';

/** A bound listener. */
export interface LinkListener {
  readonly port: number;
  /** Uses another certificate and authority for subsequent connections. */
  replaceTls(tls: TlsMaterial): void;
  close(): Promise<void>;
}

const convertTls = (tls: TlsMaterial) => ({
  cert: tls.certificate,
  key: tls.privateKey,
  ca: tls.certificateAuthority,
  minVersion: 'TLSv1.3' as const,
});

/** Checks that the PEM texts are valid and the key fits the certificate. */
export function validateTls(tls: TlsMaterial): Either<TransportError, void> {
  return Either.encase(() => createSecureContext(convertTls(tls)))
    .map(() => undefined)
    .mapLeft(error => ({reason: error.message}));
}

/** Listens on `address` and calls `onSocket` for each accepted socket. */
export function openListener(
  address: NetworkAddress,
  tls: TlsMaterial | undefined,
  limits: TransportLimits,
  onSocket: (socket: WebSocket, stream: Duplex) => void,
): Promise<Either<TransportError, LinkListener>> {
  const timeouts = {
    headersTimeout: limits.handshakeTimeoutMs,
    requestTimeout: limits.handshakeTimeoutMs,
    connectionsCheckingInterval: Math.min(1_000, limits.handshakeTimeoutMs),
  };
  const server =
    tls === undefined
      ? http.createServer(timeouts)
      : https.createServer({
          ...timeouts,
          ...convertTls(tls),
          requestCert: true,
          rejectUnauthorized: true,
        });
  const sockets = new WebSocketServer({
    server,
    perMessageDeflate: false,
    maxPayload: limits.maxFrameBytes,
    maxFragments: limits.maxFragments,
    maxBufferedChunks: limits.maxBufferedReads,
  });
  sockets.on('connection', (socket, request) =>
    onSocket(socket, request.socket),
  );
  // The listener serves only WebSocket upgrades.
  server.on('request', (_request, response) => {
    response.writeHead(404).end();
  });
  const close = (): Promise<void> =>
    new Promise(resolve => {
      for (const socket of sockets.clients) socket.terminate();
      sockets.close();
      server.close(() => resolve());
      server.closeAllConnections();
    });
  const replaceTls = (next: TlsMaterial): void => {
    if (server instanceof https.Server) {
      server.setSecureContext(convertTls(next));
    }
  };
  return new Promise(resolve => {
    sockets.on('error', error => resolve(Left({reason: error.message})));
    server.listen(address.port, address.host, () => {
      const {port} = server.address() as AddressInfo;
      resolve(Right({port, replaceTls, close}));
    });
  });
}
