/**
 * Links between simulated processes. Unlike `MemoryNetwork`, messages may be
 * lost and overtake each other, and they wait while the receiver is frozen.
 */
import type {ManualClock, Random} from '@siskinplank/foundation';
import type {Message} from '@siskinplank/messages';
import type {Link, PeerIdentity, PeerNetwork} from '@siskinplank/transport';
import {Right} from 'purify-ts';
import type {FreezableClock} from '@siskinplank/testing';

type Handler = (link: Link, message: never) => void;

interface FakeEndpoint {
  identity: PeerIdentity;
  clock: FreezableClock;
  handlers: Set<{types: readonly string[]; handler: Handler}>;
  isAlive: boolean;
}

/** The network between all simulated processes. */
export interface FakeNetwork {
  maxDelayMs: number;
  lossRate: number;
  /** Hosts whose messages are lost in both directions. */
  isolated: Set<string>;
  /** Hosts without an open link. */
  unlinked: Set<string>;
  sentMessages: number;
  join(identity: PeerIdentity, clock: FreezableClock): PeerNetwork;
  disconnect(incarnation: string): void;
}

/** Creates a network; messages may overtake each other. */
export function createFakeNetwork(
  base: ManualClock,
  random: Random,
): FakeNetwork {
  const endpoints = new Map<string, FakeEndpoint>();
  const network: FakeNetwork = {
    maxDelayMs: 3,
    lossRate: 0,
    isolated: new Set(),
    unlinked: new Set(),
    sentMessages: 0,
    join: (identity, clock) => {
      const own: FakeEndpoint = {
        identity,
        clock,
        handlers: new Set(),
        isAlive: true,
      };
      endpoints.set(identity.name, own);
      return createEndpointNetwork(own);
    },
    disconnect: incarnation => {
      for (const [name, endpoint] of endpoints) {
        if (endpoint.identity.incarnation !== incarnation) continue;
        endpoint.isAlive = false;
        endpoints.delete(name);
      }
    },
  };

  const deliver = (
    from: FakeEndpoint,
    to: FakeEndpoint,
    message: Message,
  ): void => {
    if (!to.isAlive) return;
    // A timer on the receiver's clock delays the message while the receiver is
    // frozen.
    to.clock.startTimer(0, () => {
      if (!to.isAlive) return;
      for (const {types, handler} of to.handlers) {
        if (types.includes(message.type)) {
          handler(createLink(to, from), message as never);
        }
      }
    });
  };

  const createLink = (own: FakeEndpoint, peer: FakeEndpoint): Link => ({
    id: `${own.identity.incarnation}-${peer.identity.incarnation}`,
    peer: peer.identity,
    send: message => {
      if (!own.isAlive || !peer.isAlive) return false;
      network.sentMessages += 1;
      const isCut =
        network.isolated.has(own.identity.name) ||
        network.isolated.has(peer.identity.name);
      if (isCut || random.getNext() < network.lossRate) return true;
      base.startTimer(random.getNext() * network.maxDelayMs, () =>
        deliver(own, peer, structuredClone(message)),
      );
      return true;
    },
    isOpen: () => own.isAlive && peer.isAlive,
    getBufferedBytes: () => 0,
    close: () => {},
  });

  const createEndpointNetwork = (own: FakeEndpoint): PeerNetwork => {
    const findLink = (port: number): Link | undefined => {
      for (const peer of endpoints.values()) {
        if (peer.identity.address.port !== port) continue;
        const names = [own.identity.name, peer.identity.name];
        if (names.some(name => network.unlinked.has(name))) return undefined;
        return createLink(own, peer);
      }
      return undefined;
    };
    return {
      identity: own.identity,
      start: () => Promise.resolve(Right(undefined)),
      stop: () => Promise.resolve(),
      connect: () => {},
      disconnect: () => {},
      getLink: address => findLink(address.port),
      acquireLink: address => Promise.resolve(findLink(address.port)),
      listLinks: () => [],
      subscribe: (types, handler) => {
        const entry = {types, handler: handler as Handler};
        own.handlers.add(entry);
        return () => void own.handlers.delete(entry);
      },
      observeLinks: () => () => {},
      setClusterKeys: () => {},
      getTraffic: () => ({
        sentBytes: 0,
        receivedBytes: 0,
        sentMessages: 0,
        receivedMessages: 0,
      }),
    };
  };
  return network;
}
