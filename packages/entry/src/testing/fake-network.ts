/**
 * In-memory network with scripted side processes, for tests. Unlike
 * `MemoryNetwork`, only one end of a link is a process, links open on demand,
 * and time is real.
 */
import {Right} from 'purify-ts';
import {MessageType, ProcessRole} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import type {NetworkAddress} from '@siskinplank/resources';
import {LinkCloseReason} from '@siskinplank/transport';
import type {
  Link,
  LinkObserver,
  PeerIdentity,
  PeerNetwork,
} from '@siskinplank/transport';

/** Handles each message that a side process receives. */
export type SideScript = (
  message: Message,
  reply: (message: Message) => void,
  side: FakeSide,
) => void;

/** A side process in memory. */
export interface FakeSide {
  readonly name: string;
  readonly address: NetworkAddress;
  /** Messages received on all links. */
  readonly received: Message[];
  script: SideScript;
  isReachable: boolean;
  incarnation: string;
  /** Closes the link; the next one is opened on demand. */
  dropLink(): void;
  /** Sends a message to the entry process. */
  push(message: Message): void;
  /** Lists the received RequestOpen messages. */
  listOpens(): Array<MessageOf<MessageType.RequestOpen>>;
}

/** The network and its side processes. */
export interface FakeNetwork extends PeerNetwork {
  addSide(name: string, address: NetworkAddress, script: SideScript): FakeSide;
}

type Handler = (link: Link, message: Message) => void;

function makeAddressKey(address: NetworkAddress): string {
  return `${address.host}:${address.port}`;
}

/** Creates a network without side processes. */
export function createFakeNetwork(identity: PeerIdentity): FakeNetwork {
  const handlers = new Set<{types: ReadonlySet<string>; handler: Handler}>();
  const observers = new Set<LinkObserver>();
  const sides = new Map<string, FakeSide>();
  const links = new Map<string, Link>();
  let linkCount = 0;

  const deliver = (link: Link, message: Message): void => {
    setImmediate(() => {
      if (!link.isOpen()) return;
      for (const {types, handler} of handlers) {
        if (types.has(message.type)) handler(link, message);
      }
    });
  };

  const openLink = (side: FakeSide): Link => {
    let isOpen = true;
    linkCount += 1;
    const link: Link = {
      id: String(linkCount),
      peer: {
        name: side.name,
        incarnation: side.incarnation,
        role: ProcessRole.Side,
        failureDomain: 'fd-1',
        region: 'default',
        address: side.address,
      },
      send: message => {
        if (!isOpen) return false;
        setImmediate(() => {
          if (!isOpen) return;
          side.received.push(message);
          side.script(message, reply => deliver(link, reply), side);
        });
        return true;
      },
      isOpen: () => isOpen,
      getBufferedBytes: () => 0,
      close: reason => {
        if (!isOpen) return;
        isOpen = false;
        links.delete(makeAddressKey(side.address));
        for (const observer of observers) observer.onLinkClose?.(link, reason);
      },
    };
    links.set(makeAddressKey(side.address), link);
    for (const observer of observers) observer.onLinkOpen?.(link);
    return link;
  };

  const getLink = (address: NetworkAddress): Link | undefined => {
    const known = links.get(makeAddressKey(address));
    if (known !== undefined) return known;
    const side = sides.get(makeAddressKey(address));
    return side?.isReachable ? openLink(side) : undefined;
  };

  return {
    identity,
    start: async () => Right(undefined),
    stop: async () => undefined,
    connect: address => void getLink(address),
    disconnect: address =>
      links.get(makeAddressKey(address))?.close(LinkCloseReason.Local),
    getLink,
    acquireLink: async address => getLink(address),
    listLinks: () => [...links.values()],
    subscribe: (types, handler) => {
      const entry = {
        types: new Set<string>(types),
        handler: handler as unknown as Handler,
      };
      handlers.add(entry);
      return () => void handlers.delete(entry);
    },
    observeLinks: observer => {
      observers.add(observer);
      return () => void observers.delete(observer);
    },
    setClusterKeys: () => undefined,
    getTraffic: () => ({
      sentBytes: 0,
      receivedBytes: 0,
      sentMessages: 0,
      receivedMessages: 0,
    }),
    addSide: (name, address, script) => {
      const side: FakeSide = {
        name,
        address,
        received: [],
        script,
        isReachable: true,
        incarnation: `${name}-1`,
        dropLink: () =>
          links.get(makeAddressKey(address))?.close(LinkCloseReason.Remote),
        push: message => {
          const link = getLink(address);
          if (link !== undefined) deliver(link, message);
        },
        listOpens: () =>
          side.received.filter(
            message => message.type === MessageType.RequestOpen,
          ),
      };
      sides.set(makeAddressKey(address), side);
      return side;
    },
  };
}
