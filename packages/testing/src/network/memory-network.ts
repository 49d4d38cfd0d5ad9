/** In-memory links between processes; all messages pass through the codec. */
import {Right} from 'purify-ts';
import type {Clock} from '@siskinplank/foundation';
import {decodeMessage, encodeMessage} from '@siskinplank/messages';
import type {Message, MessageType} from '@siskinplank/messages';
import type {NetworkAddress} from '@siskinplank/resources';
import {LinkCloseReason} from '@siskinplank/transport';
import type {
  Link,
  LinkObserver,
  ManagedPeerNetwork,
  PeerIdentity,
} from '@siskinplank/transport';

type Handler = (link: Link, message: Message) => void;

const formatAddress = ({host, port}: NetworkAddress): string =>
  `${host}:${port}`;

/** One end of a link. */
class MemoryLink implements Link {
  isUp = true;
  remoteEnd!: MemoryLink;

  constructor(
    readonly id: string,
    readonly owner: MemoryNetwork,
    readonly peer: PeerIdentity,
    private readonly clock: Clock,
    private readonly hub: MemoryHub,
  ) {}

  send(message: Message): boolean {
    if (!this.isUp) return false;
    const frame = encodeMessage(message);
    this.hub.sentBytes += frame.length;
    this.hub.sentMessages += 1;
    const {remoteEnd} = this;
    this.clock.startTimer(this.hub.delayMs, () => {
      if (!remoteEnd.isUp || !remoteEnd.owner.isRunning) return;
      remoteEnd.owner.dispatchMessage(
        remoteEnd,
        decodeMessage(frame).unsafeCoerce(),
      );
    });
    return true;
  }
  isOpen(): boolean {
    return this.isUp;
  }
  getBufferedBytes(): number {
    return 0;
  }
  close(reason: LinkCloseReason): void {
    for (const end of [this, this.remoteEnd]) {
      if (!end.isUp) continue;
      end.isUp = false;
      end.owner.handleClosed(end, reason);
    }
  }
}

/** The network between all processes of a test. */
export class MemoryHub {
  delayMs = 2;
  sentBytes = 0;
  sentMessages = 0;
  /** Whether two processes, given by name, can reach each other. */
  canReach: (left: string, right: string) => boolean = () => true;
  private nextId = 0;
  readonly networks = new Map<string, MemoryNetwork>();

  constructor(readonly clock: Clock) {
    clock.startInterval(100, () => this.reconcile());
  }

  /** Closes links between unreachable processes and opens requested ones. */
  reconcile(): void {
    for (const network of this.networks.values()) {
      for (const link of network.links) {
        if (!this.canReach(network.identity.name, link.peer.name)) {
          link.close(LinkCloseReason.Idle);
        }
      }
      for (const address of network.desiredAddresses)
        this.open(network, address);
    }
  }

  open(from: MemoryNetwork, address: string): MemoryLink | undefined {
    const to = this.networks.get(address);
    if (to === undefined || to === from) return undefined;
    if (!from.isRunning || !to.isRunning) return undefined;
    if (!this.canReach(from.identity.name, to.identity.name)) return undefined;
    const found = from.findLink(address);
    if (found !== undefined) return found;
    this.nextId += 1;
    const {clock} = this;
    const id = String(this.nextId);
    const localEnd = new MemoryLink(`${id}a`, from, to.identity, clock, this);
    const remoteEnd = new MemoryLink(`${id}b`, to, from.identity, clock, this);
    localEnd.remoteEnd = remoteEnd;
    remoteEnd.remoteEnd = localEnd;
    from.handleOpened(localEnd);
    to.handleOpened(remoteEnd);
    return localEnd;
  }
}

/** Network of one process. */
export class MemoryNetwork implements ManagedPeerNetwork {
  isRunning = false;
  readonly links = new Set<MemoryLink>();
  readonly desiredAddresses = new Set<string>();
  private readonly handlers = new Map<MessageType, Set<Handler>>();
  private readonly observers = new Set<LinkObserver>();

  constructor(
    private readonly hub: MemoryHub,
    readonly identity: PeerIdentity,
  ) {}

  async start() {
    this.isRunning = true;
    this.hub.networks.set(formatAddress(this.identity.address), this);
    return Right(undefined);
  }
  async stop(): Promise<void> {
    this.isRunning = false;
    for (const link of this.links) link.close(LinkCloseReason.Local);
  }
  connect(address: NetworkAddress): void {
    this.desiredAddresses.add(formatAddress(address));
    this.hub.open(this, formatAddress(address));
  }
  disconnect(address: NetworkAddress): void {
    this.desiredAddresses.delete(formatAddress(address));
  }
  findLink(address: string): MemoryLink | undefined {
    return [...this.links].find(
      link => formatAddress(link.peer.address) === address,
    );
  }
  getLink(address: NetworkAddress): Link | undefined {
    return this.findLink(formatAddress(address));
  }
  async acquireLink(address: NetworkAddress): Promise<Link | undefined> {
    this.connect(address);
    return this.getLink(address);
  }
  listLinks(): readonly Link[] {
    return [...this.links];
  }
  subscribe<T extends MessageType>(
    types: readonly T[],
    handler: (link: Link, message: Extract<Message, {type: T}>) => void,
  ): () => void {
    for (const type of types) {
      const handlers = this.handlers.get(type) ?? new Set();
      handlers.add(handler as Handler);
      this.handlers.set(type, handlers);
    }
    return () => {
      for (const type of types) {
        this.handlers.get(type)?.delete(handler as Handler);
      }
    };
  }
  observeLinks(observer: LinkObserver): () => void {
    this.observers.add(observer);
    return () => void this.observers.delete(observer);
  }
  sendToAll(message: Message, isSelected?: (link: Link) => boolean): void {
    for (const link of this.links) {
      if (isSelected === undefined || isSelected(link)) link.send(message);
    }
  }
  setClusterKeys(): void {}
  /** Links stay open until they are closed or processes become unreachable. */
  setKeepAlive(): void {}
  replaceTls() {
    return Right(undefined);
  }
  getTraffic() {
    return {
      sentBytes: 0,
      receivedBytes: 0,
      sentMessages: 0,
      receivedMessages: 0,
    };
  }
  dispatchMessage(link: Link, message: Message): void {
    const handlers = this.handlers.get(message.type) ?? [];
    for (const handler of [...handlers]) handler(link, message);
  }
  handleOpened(link: MemoryLink): void {
    this.links.add(link);
    for (const observer of this.observers) observer.onLinkOpen?.(link);
  }
  handleClosed(link: MemoryLink, reason: LinkCloseReason): void {
    this.links.delete(link);
    for (const observer of this.observers) {
      observer.onLinkClose?.(link, reason);
    }
  }
}
