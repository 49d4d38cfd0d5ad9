/** All links of one process: accepts, dials and reopens them with backoff. */
import type {Duplex} from 'node:stream';
import {WebSocket} from 'ws';
import {Either, Left, Right} from 'purify-ts';
import {makeSecureId} from '@siskinplank/foundation';
import type {Clock, Logger, Random, Timer} from '@siskinplank/foundation';
import {encodeMessage} from '@siskinplank/messages';
import type {Message, MessageType} from '@siskinplank/messages';
import type {NetworkAddress} from '@siskinplank/resources';
import {
  authenticateAcceptedSocket,
  authenticateDialedSocket,
} from './authenticate';
import {computeBackoffMs} from './backoff';
import * as events from './events';
import {createAcceptorHandshake, createDialerHandshake} from './handshake';
import type {HandshakeError} from './handshake';
import {DEFAULT_LIMITS} from './limits';
import type {TransportLimits} from './limits';
import {createLink} from './link';
import type {FrameLink} from './link';
import {openListener, validateTls} from './listener';
import type {LinkListener} from './listener';
import {createLinkRegistry, formatAddress} from './registry';
import {LinkCloseReason} from './types';
import type {
  ClusterKey,
  Link,
  LinkObserver,
  LinkTraffic,
  ManagedPeerNetwork,
  PeerIdentity,
  TlsMaterial,
} from './types';

/** Options of `createPeerNetwork`. */
export interface PeerNetworkOptions {
  identity: PeerIdentity;
  /** Address to bind; the default is the address in `identity`. */
  listenAddress?: NetworkAddress;
  /** All are accepted; earlier ones are preferred. */
  clusterKeys: readonly ClusterKey[];
  tls?: TlsMaterial;
  clock: Clock;
  random: Random;
  logger: Logger;
  limits?: Partial<TransportLimits>;
}

/** An address that the process keeps connected, with its retry state. */
interface Dial {
  address: NetworkAddress;
  failures: number;
  timer: Timer | undefined;
  socket: WebSocket | undefined;
}

/** A pending call of `acquireLink`. */
interface LinkWaiter {
  address: NetworkAddress;
  resolve(link: Link | undefined): void;
}

type Handler = (link: Link, message: Message) => void;

/** A link that closes sooner than this counts as a failed attempt. */
const STABLE_LINK_MS = 1_000;
const NONCE_BYTES = 32;
/** Time for closing handshakes when the process stops. */
const STOP_CLOSE_MS = 200;

/** Creates the network of a process; `start` binds its listener. */
export function createPeerNetwork(
  options: PeerNetworkOptions,
): ManagedPeerNetwork {
  const {identity, clock, random, logger} = options;
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  let clusterKeys = options.clusterKeys;
  let {tls} = options;
  const registry = createLinkRegistry(identity);
  const dials = new Map<string, Dial>();
  const openSockets = new Set<WebSocket>();
  /** Open sockets that are no links, since their handshake goes on or failed. */
  const pendingSockets = new Set<WebSocket>();
  const openLinks = new Set<FrameLink>();
  const waiters = new Set<LinkWaiter>();
  const observers = new Set<LinkObserver>();
  const handlers = new Map<MessageType, Set<Handler>>();
  const traffic: LinkTraffic = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    receivedMessages: 0,
  };
  let listener: LinkListener | undefined;
  let isStopped = false;
  let pendingHandshakes = 0;
  let linkCount = 0;

  const getKeys = (): readonly ClusterKey[] => clusterKeys;

  const logRejection = (error: HandshakeError): void =>
    logger.log(events.LINK_REJECTED, {
      reason: error.reason,
      detail: error.detail,
    });

  /** Adds a socket whose handshake begins. */
  const addSocket = (socket: WebSocket): void => {
    openSockets.add(socket);
    pendingSockets.add(socket);
    socket.once('close', () => {
      openSockets.delete(socket);
      pendingSockets.delete(socket);
    });
  };

  const addLink = (
    socket: WebSocket,
    peer: PeerIdentity,
    dial: Dial | undefined,
  ): void => {
    const openedMs = clock.getNowMs();
    pendingSockets.delete(socket);
    const link = createLink(`link-${++linkCount}`, peer, socket, {
      clock,
      limits,
      traffic,
      onMessage: (from, message) => {
        for (const handler of handlers.get(message.type) ?? []) {
          handler(from, message);
        }
      },
      onMalformed: (from, detail) =>
        logger.log(events.FRAME_MALFORMED, {peer: from.peer.name, detail}),
      onClose: (closed, reason) => {
        registry.remove(closed);
        openLinks.delete(link);
        logger.log(events.LINK_CLOSED, {peer: peer.name, reason});
        if (dial !== undefined) {
          dial.socket = undefined;
          const isStable = clock.getNowMs() - openedMs >= STABLE_LINK_MS;
          dial.failures = isStable ? 0 : dial.failures + 1;
        }
        for (const observer of observers) {
          observer.onLinkClose?.(closed, reason);
        }
        for (const other of dials.values()) scheduleDial(other);
      },
    });
    registry.add(link, dial?.address);
    openLinks.add(link);
    logger.log(events.LINK_OPENED, {
      peer: peer.name,
      isDialed: dial !== undefined,
    });
    for (const waiter of [...waiters]) {
      if (registry.find(waiter.address) === link) waiter.resolve(link);
    }
    for (const observer of observers) observer.onLinkOpen?.(link);
  };

  const acceptSocket = (socket: WebSocket, stream: Duplex): void => {
    if (isStopped || pendingHandshakes >= limits.maxPendingHandshakes) {
      socket.on('error', () => socket.terminate());
      socket.terminate();
      return;
    }
    addSocket(socket);
    pendingHandshakes += 1;
    const nonce = makeSecureId(NONCE_BYTES);
    const handshake = createAcceptorHandshake(identity, getKeys, nonce);
    authenticateAcceptedSocket(
      socket,
      stream,
      handshake,
      clock,
      limits,
      result => {
        pendingHandshakes -= 1;
        result.ifLeft(logRejection);
        result.ifRight(peer => addLink(socket, peer, undefined));
      },
    );
  };

  const openSocket = (dial: Dial): void => {
    const {host, port} = dial.address;
    const urlHost = host.includes(':') ? `[${host}]` : host;
    const scheme = tls === undefined ? 'ws' : 'wss';
    const socket = new WebSocket(`${scheme}://${urlHost}:${port}`, {
      perMessageDeflate: false,
      maxPayload: limits.maxFrameBytes,
      maxFragments: limits.maxFragments,
      maxBufferedChunks: limits.maxBufferedReads,
      handshakeTimeout: limits.handshakeTimeoutMs,
      ...(tls !== undefined && {
        cert: tls.certificate,
        key: tls.privateKey,
        ca: tls.certificateAuthority,
        // Hosts are addressed by IP and may be replaced, so the host name is
        // not verified: the private certificate authority and the handshake
        // authenticate the peer. A falsy result accepts any name.
        checkServerIdentity: () => false,
      }),
    });
    dial.socket = socket;
    addSocket(socket);
    const nonce = makeSecureId(NONCE_BYTES);
    const handshake = createDialerHandshake(identity, getKeys, nonce);
    authenticateDialedSocket(socket, handshake, clock, limits, result => {
      result.ifLeft(error => {
        if (dial.socket === socket) dial.socket = undefined;
        dial.failures += 1;
        logger.log(events.LINK_DIAL_FAILED, {
          address: formatAddress(dial.address),
          reason: error.reason,
          detail: error.detail,
        });
        scheduleDial(dial);
      });
      result.ifRight(peer => addLink(socket, peer, dial));
    });
  };

  const isDialNeeded = (dial: Dial): boolean =>
    !isStopped &&
    dials.get(formatAddress(dial.address)) === dial &&
    dial.socket === undefined &&
    dial.timer === undefined &&
    registry.find(dial.address) === undefined;

  const scheduleDial = (dial: Dial): void => {
    if (!isDialNeeded(dial)) return;
    const delayMs = computeBackoffMs(
      dial.failures,
      limits.backoffBaseMs,
      limits.backoffMaxMs,
      random,
    );
    dial.timer = clock.startTimer(delayMs, () => {
      dial.timer = undefined;
      if (isDialNeeded(dial)) openSocket(dial);
    });
  };

  const connect = (address: NetworkAddress): void => {
    const key = formatAddress(address);
    if (isStopped || dials.has(key)) return;
    if (key === formatAddress(identity.address)) return;
    const dial: Dial = {
      address,
      failures: 0,
      timer: undefined,
      socket: undefined,
    };
    dials.set(key, dial);
    if (isDialNeeded(dial)) openSocket(dial);
  };

  const disconnect = (address: NetworkAddress): void => {
    const key = formatAddress(address);
    const dial = dials.get(key);
    if (dial === undefined) return;
    dials.delete(key);
    dial.timer?.cancel();
    dial.socket?.close();
  };

  return {
    identity,
    start: async () => {
      const opened = await openListener(
        options.listenAddress ?? identity.address,
        tls,
        limits,
        acceptSocket,
      );
      return opened.chain(value => {
        listener = value;
        logger.log(events.LISTENER_STARTED, {port: value.port});
        return Right(undefined) as Either<never, void>;
      });
    },
    stop: async () => {
      isStopped = true;
      for (const link of registry.list()) link.close(LinkCloseReason.Local);
      for (const dial of [...dials.values()]) disconnect(dial.address);
      for (const waiter of [...waiters]) waiter.resolve(undefined);
      for (const socket of [...pendingSockets]) socket.terminate();
      // The closing handshake flushes sent messages; a peer may not take part.
      const timer = clock.startTimer(STOP_CLOSE_MS, () => {
        for (const socket of [...openSockets]) socket.terminate();
      });
      await Promise.all(
        [...openSockets].map(
          socket => new Promise(resolve => socket.once('close', resolve)),
        ),
      );
      timer.cancel();
      await listener?.close();
    },
    connect,
    disconnect,
    getLink: address => registry.find(address),
    acquireLink: (address, timeoutMs) => {
      const open = registry.find(address);
      if (open !== undefined) return Promise.resolve(open);
      connect(address);
      return new Promise(resolve => {
        const timer = clock.startTimer(timeoutMs, () =>
          waiter.resolve(undefined),
        );
        const waiter: LinkWaiter = {
          address,
          resolve: link => {
            waiters.delete(waiter);
            timer.cancel();
            resolve(link);
          },
        };
        waiters.add(waiter);
      });
    },
    listLinks: () => registry.list(),
    sendToAll: (message, isSelected) => {
      const frame = encodeMessage(message);
      for (const link of openLinks) {
        if (isSelected === undefined || isSelected(link)) link.sendFrame(frame);
      }
    },
    setKeepAlive: (pingMs, idleMs) => {
      limits.pingMs = pingMs;
      limits.idleMs = idleMs;
    },
    subscribe: (types, handler) => {
      const untyped = handler as Handler;
      for (const type of types) {
        const set = handlers.get(type) ?? new Set();
        handlers.set(type, set.add(untyped));
      }
      return () => {
        for (const type of types) handlers.get(type)?.delete(untyped);
      };
    },
    observeLinks: observer => {
      observers.add(observer);
      return () => void observers.delete(observer);
    },
    setClusterKeys: keys => {
      clusterKeys = keys;
    },
    replaceTls: next => {
      if (next === undefined || tls === undefined) {
        return next === tls
          ? Right(undefined)
          : Left({reason: 'TLS can only be turned on or off by a restart'});
      }
      return validateTls(next).ifRight(() => {
        tls = next;
        listener?.replaceTls(next);
      });
    },
    getTraffic: () => ({...traffic}),
  };
}
