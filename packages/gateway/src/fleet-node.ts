/** Links to the other gateways, and the states and messages sent over them. */
import {
  createGatewayRegistry,
  createPeerTable,
  ensureLinkKey,
  listExpiredRegistrations,
} from '@siskinplank/fleet';
import type {
  GatewayRecord,
  GatewayRegistry,
  Peer,
  PeerTable,
} from '@siskinplank/fleet';
import type {SharedObjectStore} from '@siskinplank/directory';
import type {Clock, Logger, Random, Timer} from '@siskinplank/foundation';
import {MessageType, ProcessRole} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {createPeerNetwork} from '@siskinplank/transport';
import type {LinkTraffic, PeerNetwork} from '@siskinplank/transport';
import {LINK_KEY_FAILED} from './events';

export type GatewayStateMessage = MessageOf<MessageType.GatewayState>;

/** What `createFleetNode` needs. */
export interface FleetNodeOptions {
  objects: SharedObjectStore;
  ownRecord: GatewayRecord;
  watchWaitMs: number;
  retryDelayMs: number;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Collects the state to send; the node adds the fields omitted here. */
  collectState(
    nowMs: number,
  ): Omit<GatewayStateMessage, 'type' | 'sequence' | 'directoryRevision'>;
  onPeerState(peer: Peer, nowMs: number): void;
  onPeerLost(name: string): void;
  onMessage(peer: string, message: Message): void;
  onMembersChange(nowMs: number): void;
  /**
   * Whether this gateway may remove expired registrations of others; one
   * gateway at a time may.
   */
  mayRemoveRegistrations(): boolean;
}

/** Registration of this gateway, its peers and the links to them. */
export interface FleetNode {
  registry: GatewayRegistry;
  peers: PeerTable;
  start(): void;
  stop(): Promise<void>;
  /** Sends the state of this gateway to all peers within milliseconds. */
  scheduleState(): void;
  /** Returns false when there is no link to the peer. */
  sendTo(peer: string, message: Message): boolean;
  sendToAll(message: Message): void;
  /** Messages and bytes over all links since the start. */
  getTraffic(): LinkTraffic;
}

/** Period of state messages; bounds the age of the loads of peers. */
const STATE_PERIOD_MS = 200;
/** Changes of the state are batched for this time before it is sent. */
const STATE_DELAY_MS = 10;
/** Age above which a peer's last state is discarded: three missed periods. */
const PEER_TIMEOUT_MS = 700;
/**
 * Links stay within one site; an unresponsive link must be replaced within a
 * second.
 */
const LINK_LIMITS = {
  handshakeTimeoutMs: 600,
  pingMs: 300,
  idleMs: 900,
  backoffBaseMs: 50,
  backoffMaxMs: 500,
};
/** Period of the checks for expired registrations. */
const EXPIRY_CHECK_PERIOD_MS = 10_000;
const LINK_KEY_ID = 'gateways';

/** Creates a node that does nothing before `start`. */
export function createFleetNode(options: FleetNodeOptions): FleetNode {
  const {objects, ownRecord, clock, logger} = options;
  const peers = createPeerTable(PEER_TIMEOUT_MS, logger);
  const timers: Timer[] = [];
  let sequence = 0;
  let stateTimer: Timer | undefined;
  let isStopped = false;
  let listeningSinceMs = clock.getNowMs();
  const connected = new Map<string, GatewayRecord>();

  const network: PeerNetwork = createPeerNetwork({
    identity: {
      name: ownRecord.name,
      incarnation: ownRecord.incarnation,
      role: ProcessRole.Entry,
      failureDomain: ownRecord.failureDomain,
      region: ownRecord.region,
      address: ownRecord.address,
    },
    clusterKeys: [],
    clock,
    random: options.random,
    logger,
    limits: LINK_LIMITS,
  });

  const updateConnections = (others: readonly GatewayRecord[]): void => {
    for (const [name, record] of [...connected]) {
      const next = others.find(other => other.name === name);
      const isSame =
        next !== undefined &&
        next.address.host === record.address.host &&
        next.address.port === record.address.port;
      if (isSame) continue;
      connected.delete(name);
      network.disconnect(record.address);
    }
    for (const record of others) {
      if (connected.has(record.name)) continue;
      connected.set(record.name, record);
      // Only one side connects, so that a pair never has two links.
      if (ownRecord.name < record.name) network.connect(record.address);
    }
  };

  const registry = createGatewayRegistry({
    objects,
    ownRecord,
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    clock,
    logger,
    onChange: (others, nowMs) => {
      updateConnections(others);
      options.onMembersChange(nowMs);
    },
  });

  const sendToAll = (message: Message): void => {
    for (const link of network.listLinks()) link.send(message);
  };

  const makeState = (nowMs: number): GatewayStateMessage => {
    sequence += 1;
    return {
      type: MessageType.GatewayState,
      sequence,
      directoryRevision: registry.getRevision(),
      ...options.collectState(nowMs),
    };
  };

  const sendState = (): void => sendToAll(makeState(clock.getNowMs()));

  const removeUnresponsive = (): void => {
    for (const name of peers.removeUnresponsive(clock.getNowMs())) {
      options.onPeerLost(name);
    }
  };

  const removeExpiredRegistrations = (): void => {
    if (!options.mayRemoveRegistrations()) return;
    const expired = listExpiredRegistrations({
      names: registry.listOthers().map(({name}) => name),
      getLastSeenAtMs: peers.getLastSeenAtMs,
      listeningSinceMs,
      nowMs: clock.getNowMs(),
    });
    for (const name of expired) void registry.removeRegistration(name);
  };

  network.subscribe([MessageType.GatewayState], (link, state) => {
    const nowMs = clock.getNowMs();
    const {name, incarnation} = link.peer;
    if (!peers.updateState(name, incarnation, state, nowMs)) return;
    const peer = peers.getPeer(name);
    if (peer !== undefined) options.onPeerState(peer, nowMs);
  });
  network.subscribe(
    [
      MessageType.TokenDonation,
      MessageType.UpstreamLoads,
      MessageType.AdapterRequest,
      MessageType.AdapterReply,
    ],
    (link, message) => options.onMessage(link.peer.name, message),
  );
  network.observeLinks({
    onLinkOpen: link => {
      link.send(makeState(clock.getNowMs()));
    },
  });

  const startNetwork = async (): Promise<void> => {
    while (!isStopped) {
      const key = await ensureLinkKey(objects);
      if (key.isRight()) {
        const secret = Buffer.from(key.unsafeCoerce(), 'hex');
        network.setClusterKeys([{id: LINK_KEY_ID, secret}]);
        await network.start();
        updateConnections(registry.listOthers());
        return;
      }
      key.ifLeft(failure =>
        logger.log(LINK_KEY_FAILED, {
          code: failure.code,
          reason: failure.reason,
        }),
      );
      await clock.waitMs(options.retryDelayMs);
    }
  };

  return {
    registry,
    peers,
    start: () => {
      listeningSinceMs = clock.getNowMs();
      registry.start();
      void startNetwork();
      timers.push(
        clock.startInterval(STATE_PERIOD_MS, sendState),
        clock.startInterval(STATE_PERIOD_MS / 2, removeUnresponsive),
        clock.startInterval(EXPIRY_CHECK_PERIOD_MS, removeExpiredRegistrations),
      );
    },
    stop: async () => {
      isStopped = true;
      for (const timer of timers) timer.cancel();
      stateTimer?.cancel();
      registry.stop();
      await network.stop();
    },
    scheduleState: () => {
      if (stateTimer !== undefined || isStopped) return;
      stateTimer = clock.startTimer(STATE_DELAY_MS, () => {
        stateTimer = undefined;
        sendState();
      });
    },
    sendTo: (peer, message) => {
      const link = network.listLinks().find(({peer: {name}}) => name === peer);
      return link?.send(message) ?? false;
    },
    sendToAll,
    getTraffic: network.getTraffic,
  };
}
