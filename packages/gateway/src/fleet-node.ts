/** This gateway among the others: links, states, and messages between them. */
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
import type {PeerNetwork} from '@siskinplank/transport';
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
  /** The state to send, but for what the node knows itself. */
  collectState(
    nowMs: number,
  ): Omit<GatewayStateMessage, 'type' | 'sequence' | 'directoryRevision'>;
  onPeerState(peer: Peer, nowMs: number): void;
  onPeerLost(name: string): void;
  onMessage(peer: string, message: Message): void;
  onMembersChange(nowMs: number): void;
  /** Whether this gateway may remove registrations: one at a time does. */
  mayRemoveRegistrations(): boolean;
}

/** The fleet as one gateway takes part in it. */
export interface FleetNode {
  registry: GatewayRegistry;
  peers: PeerTable;
  start(): void;
  stop(): Promise<void>;
  /** Sends the own state to all within some milliseconds. */
  scheduleState(): void;
  sendTo(peer: string, message: Message): boolean;
  sendToAll(message: Message): void;
}

/** Period of states; others' loads are at most this old, and a link delay. */
const STATE_PERIOD_MS = 200;
/** States sent because of a change are collected for this time. */
const STATE_DELAY_MS = 10;
/** Silence after which a peer's state is not used any more: three states. */
const PEER_SILENCE_MS = 700;
/** Links within one site; a silent one must be replaced within a second. */
const LINK_LIMITS = {
  handshakeTimeoutMs: 600,
  pingMs: 300,
  idleMs: 900,
  backoffBaseMs: 50,
  backoffMaxMs: 500,
};
/** Period of the looks for registrations of gateways that are gone. */
const FORGET_PERIOD_MS = 10_000;
const LINK_KEY_ID = 'gateways';

/** Creates a node that does nothing before `start`. */
export function createFleetNode(options: FleetNodeOptions): FleetNode {
  const {objects, ownRecord, clock, logger} = options;
  const peers = createPeerTable(PEER_SILENCE_MS, logger);
  const timers: Timer[] = [];
  let sequence = 0;
  let soonTimer: Timer | undefined;
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

  const connectAll = (others: readonly GatewayRecord[]): void => {
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
      // One side opens the link, so that two do not cross.
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
      connectAll(others);
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

  const dropSilent = (): void => {
    for (const name of peers.removeUnresponsive(clock.getNowMs())) {
      options.onPeerLost(name);
    }
  };

  const forgetGone = (): void => {
    if (!options.mayRemoveRegistrations()) return;
    const gone = listExpiredRegistrations({
      names: registry.listOthers().map(({name}) => name),
      getLastSeenAtMs: peers.getLastSeenAtMs,
      listeningSinceMs,
      nowMs: clock.getNowMs(),
    });
    for (const name of gone) void registry.removeRegistration(name);
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
        connectAll(registry.listOthers());
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
        clock.startInterval(STATE_PERIOD_MS / 2, dropSilent),
        clock.startInterval(FORGET_PERIOD_MS, forgetGone),
      );
    },
    stop: async () => {
      isStopped = true;
      for (const timer of timers) timer.cancel();
      soonTimer?.cancel();
      registry.stop();
      await network.stop();
    },
    scheduleState: () => {
      if (soonTimer !== undefined || isStopped) return;
      soonTimer = clock.startTimer(STATE_DELAY_MS, () => {
        soonTimer = undefined;
        sendState();
      });
    },
    sendTo: (peer, message) => {
      const link = network.listLinks().find(({peer: {name}}) => name === peer);
      return link?.send(message) ?? false;
    },
    sendToAll,
  };
}
