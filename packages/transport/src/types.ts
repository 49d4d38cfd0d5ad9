/** Interfaces of the links between the processes of a cluster. */
import type {Either} from 'purify-ts';
import type {Message, MessageType, ProcessRole} from '@siskinplank/messages';
import type {NetworkAddress} from '@siskinplank/resources';

/** Identity of a process, as sent in the handshake. */
export interface PeerIdentity {
  name: string;
  /** Unique for each start of the process. */
  incarnation: string;
  role: ProcessRole;
  failureDomain: string;
  region: string;
  /** Address at which the process accepts links. */
  address: NetworkAddress;
}

/** Shared key that proves membership of the cluster. */
export interface ClusterKey {
  id: string;
  secret: Uint8Array;
}

/** TLS material in PEM; the certificate authority verifies the peer. */
export interface TlsMaterial {
  certificate: string;
  privateKey: string;
  certificateAuthority: string;
}

/** Why a link ended. */
export enum LinkCloseReason {
  Local = 'local',
  Remote = 'remote',
  /** The connection ended without a closing handshake of the peer. */
  Lost = 'lost',
  Malformed = 'malformed',
  Unauthenticated = 'unauthenticated',
  VersionMismatch = 'version-mismatch',
  /** No data was received within the idle limit. */
  Idle = 'idle',
  /** The peer reads too slowly and the send buffer is full. */
  Overflow = 'overflow',
}

/** An open, authenticated link. */
export interface Link {
  /** Unique in this process. */
  readonly id: string;
  readonly peer: PeerIdentity;
  /** Queues a message; false when the link is closed or overflows. */
  send(message: Message): boolean;
  isOpen(): boolean;
  /** Bytes queued in the send buffer of the socket. */
  getBufferedBytes(): number;
  close(reason: LinkCloseReason): void;
}

/** Receives link state changes. */
export interface LinkObserver {
  onLinkOpen?(link: Link): void;
  onLinkClose?(link: Link, reason: LinkCloseReason): void;
}

/** Why the network could not start or use new TLS material. */
export interface TransportError {
  reason: string;
}

/** All links of one process, accepted and dialed. */
export interface PeerNetwork {
  readonly identity: PeerIdentity;
  /** Binds the link address. */
  start(): Promise<Either<TransportError, void>>;
  /** Closes all links and the listener. */
  stop(): Promise<void>;
  /** Keeps a link to `address` open until `disconnect`, with backoff. */
  connect(address: NetworkAddress): void;
  disconnect(address: NetworkAddress): void;
  /** Returns the open link to the process at `address`, accepted or dialed. */
  getLink(address: NetworkAddress): Link | undefined;
  /** Waits at most `timeoutMs` for an open link; connects if needed. */
  acquireLink(
    address: NetworkAddress,
    timeoutMs: number,
  ): Promise<Link | undefined>;
  listLinks(): readonly Link[];
  /** Subscribes to messages of `types`; returns the unsubscribe function. */
  subscribe<T extends MessageType>(
    types: readonly T[],
    handler: (link: Link, message: Extract<Message, {type: T}>) => void,
  ): () => void;
  observeLinks(observer: LinkObserver): () => void;
  /** Replaces the cluster keys: all are accepted, earlier ones preferred. */
  setClusterKeys(keys: readonly ClusterKey[]): void;
  /** Returns bytes and messages sent and received since the start. */
  getTraffic(): LinkTraffic;
}

/** A network whose owner may change its keep-alive and its certificate. */
export interface ManagedPeerNetwork extends PeerNetwork {
  /** Sends a message, encoded once, on all open links that are selected. */
  sendToAll(message: Message, isSelected?: (link: Link) => boolean): void;
  /** Changes when silent links are pinged and closed, in milliseconds. */
  setKeepAlive(pingMs: number, idleMs: number): void;
  /**
   * Uses `tls` for new links; open links stay open. Returns an error and keeps
   * the previous material when `tls` is invalid, or when TLS would be turned on
   * or off, which a running listener does not support.
   */
  replaceTls(tls: TlsMaterial | undefined): Either<TransportError, void>;
}

/** Traffic counters of all links of a process. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  receivedMessages: number;
}
