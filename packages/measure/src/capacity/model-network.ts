/**
 * In-memory links between many modelled processes, with delays by failure
 * domain. Messages pass through the codec, so that bytes are counted. It is
 * apart from `MemoryNetwork`, because it counts bytes by message type, finds
 * links by address among thousands of processes, and closes cut links at once.
 */
import {Right} from 'purify-ts';
import type {Clock} from '@siskinplank/foundation';
import {
  MessageType,
  decodeFrame,
  decodeMessage,
  encodeMessage,
} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import type {NetworkAddress} from '@siskinplank/resources';
import {LinkCloseReason} from '@siskinplank/transport';
import type {
  Link,
  LinkObserver,
  PeerIdentity,
  PeerNetwork,
} from '@siskinplank/transport';

type Handler = (link: Link, message: Message) => void;

const formatAddress = ({host, port}: NetworkAddress): string =>
  `${host}:${port}`;

/** Bytes of a message frame on a socket besides its payload, masked or not. */
const FRAME_OVERHEAD_BYTES = 6;
const RECONNECT_MS = 500;

/** Types whose frames omit fields that the schema sets to defaults. */
const DEFAULTED_TYPES: ReadonlySet<MessageType> = new Set([
  MessageType.Loan,
  MessageType.GrantRequest,
  MessageType.Grant,
  MessageType.GrantReturn,
]);

/** Traffic of one process. */
export interface NodeTraffic {
  sentBytes: number;
  receivedBytes: number;
  /** Sent and received bytes by message type. */
  byType: Map<MessageType, number>;
  /** Sent and received messages by message type. */
  messagesByType: Map<MessageType, number>;
}

/** Delay between two processes, in milliseconds. */
export type DelayModel = (from: PeerIdentity, to: PeerIdentity) => number;

/** The network of one modelled process. */
export interface ModelNetwork extends PeerNetwork {
  readonly nodeTraffic: NodeTraffic;
  resetTraffic(): void;
}

interface Node {
  identity: PeerIdentity;
  isUp: boolean;
  links: Map<string, ModelLink>;
  wanted: Map<string, NetworkAddress>;
  handlers: Map<MessageType, Set<Handler>>;
  observers: Set<LinkObserver>;
  traffic: NodeTraffic;
}

interface ModelLink extends Link {
  far: ModelLink;
  isUp: boolean;
}

/** All links of the model. */
export interface ModelHub {
  createNetwork(identity: PeerIdentity): ModelNetwork;
  /** Whether two processes reach each other; cut links close at once. */
  setReach(canReach: (a: PeerIdentity, b: PeerIdentity) => boolean): void;
}

/** Creates a hub without processes. */
export function createModelHub(clock: Clock, getDelayMs: DelayModel): ModelHub {
  const nodes = new Map<string, Node>();
  let canReach: (a: PeerIdentity, b: PeerIdentity) => boolean = () => true;
  let nextId = 0;

  const isReachable = (a: Node, b: Node): boolean =>
    a.isUp && b.isUp && canReach(a.identity, b.identity);

  const count = (node: Node, type: MessageType, bytes: number): void => {
    const {byType, messagesByType} = node.traffic;
    byType.set(type, (byType.get(type) ?? 0) + bytes);
    messagesByType.set(type, (messagesByType.get(type) ?? 0) + 1);
  };

  const closeEnds = (link: ModelLink, reason: LinkCloseReason): void => {
    for (const end of [link, link.far]) {
      if (!end.isUp) continue;
      end.isUp = false;
      const owner = nodes.get(formatAddress(end.far.peer.address));
      const key = formatAddress(end.peer.address);
      if (owner === undefined) continue;
      owner.links.delete(key);
      for (const observer of owner.observers) {
        observer.onLinkClose?.(end, reason);
      }
    }
  };

  const makeEnd = (from: Node, to: Node, id: string): ModelLink => {
    const delayMs = getDelayMs(from.identity, to.identity);
    const link: ModelLink = {
      id,
      peer: to.identity,
      isUp: true,
      far: undefined as never,
      send: message => {
        if (!link.isUp) return false;
        const frame = Uint8Array.from(encodeMessage(message));
        const bytes = frame.length + FRAME_OVERHEAD_BYTES;
        from.traffic.sentBytes += bytes;
        count(from, message.type, bytes);
        clock.startTimer(delayMs, () => {
          if (!link.far.isUp) return;
          to.traffic.receivedBytes += bytes;
          count(to, message.type, bytes);
          const decoded = (
            DEFAULTED_TYPES.has(message.type)
              ? decodeMessage(frame)
              : decodeFrame(frame)
          ).unsafeCoerce() as Message;
          for (const handler of to.handlers.get(decoded.type) ?? []) {
            handler(link.far, decoded);
          }
        });
        return true;
      },
      isOpen: () => link.isUp,
      getBufferedBytes: () => 0,
      close: reason => closeEnds(link, reason),
    };
    return link;
  };

  const open = (from: Node, key: string): void => {
    const to = nodes.get(key);
    if (to === undefined || to === from || from.links.has(key)) return;
    if (!isReachable(from, to)) return;
    nextId += 1;
    const near = makeEnd(from, to, `${nextId}a`);
    const far = makeEnd(to, from, `${nextId}b`);
    near.far = far;
    far.far = near;
    from.links.set(key, near);
    to.links.set(formatAddress(from.identity.address), far);
    for (const observer of from.observers) observer.onLinkOpen?.(near);
    for (const observer of to.observers) observer.onLinkOpen?.(far);
  };

  clock.startInterval(RECONNECT_MS, () => {
    for (const node of nodes.values()) {
      if (!node.isUp) continue;
      for (const key of node.wanted.keys()) {
        if (!node.links.has(key)) open(node, key);
      }
    }
  });

  return {
    setReach: next => {
      canReach = next;
      for (const node of nodes.values()) {
        for (const link of [...node.links.values()]) {
          if (!canReach(node.identity, link.peer)) {
            closeEnds(link, LinkCloseReason.Idle);
          }
        }
      }
    },
    createNetwork: identity => {
      const node: Node = {
        identity,
        isUp: false,
        links: new Map(),
        wanted: new Map(),
        handlers: new Map(),
        observers: new Set(),
        traffic: {
          sentBytes: 0,
          receivedBytes: 0,
          byType: new Map(),
          messagesByType: new Map(),
        },
      };
      const connect = (address: NetworkAddress): void => {
        const key = formatAddress(address);
        if (key === formatAddress(identity.address)) return;
        node.wanted.set(key, address);
        if (node.isUp) open(node, key);
      };
      const getLink = (address: NetworkAddress): Link | undefined =>
        node.links.get(formatAddress(address));
      return {
        identity,
        nodeTraffic: node.traffic,
        resetTraffic: () => {
          node.traffic.sentBytes = 0;
          node.traffic.receivedBytes = 0;
          node.traffic.byType.clear();
          node.traffic.messagesByType.clear();
        },
        start: () => {
          node.isUp = true;
          nodes.set(formatAddress(identity.address), node);
          for (const key of node.wanted.keys()) open(node, key);
          return Promise.resolve(Right(undefined));
        },
        stop: () => {
          node.isUp = false;
          for (const link of [...node.links.values()]) {
            closeEnds(link, LinkCloseReason.Remote);
          }
          return Promise.resolve();
        },
        connect,
        disconnect: address => {
          const key = formatAddress(address);
          if (!node.wanted.delete(key)) return;
          const link = node.links.get(key);
          const far = link && nodes.get(key);
          // A link that the other side also dialed stays open.
          if (link && !far?.wanted.has(formatAddress(identity.address))) {
            closeEnds(link, LinkCloseReason.Local);
          }
        },
        getLink,
        acquireLink: address => {
          connect(address);
          return Promise.resolve(getLink(address));
        },
        listLinks: () => [...node.links.values()],
        subscribe: (types, handler) => {
          for (const type of types) {
            const known = node.handlers.get(type) ?? new Set<Handler>();
            node.handlers.set(type, known.add(handler as Handler));
          }
          return () => {
            for (const type of types) {
              node.handlers.get(type)?.delete(handler as Handler);
            }
          };
        },
        observeLinks: observer => {
          node.observers.add(observer);
          return () => void node.observers.delete(observer);
        },
        setClusterKeys: () => undefined,
        getTraffic: () => ({
          sentBytes: node.traffic.sentBytes,
          receivedBytes: node.traffic.receivedBytes,
          sentMessages: 0,
          receivedMessages: 0,
        }),
      };
    },
  };
}
