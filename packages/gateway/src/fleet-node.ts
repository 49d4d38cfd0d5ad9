/** Links to the other gateways, and the states and messages sent over them. */
import {
  createGatewayRegistry,
  createPeerTable,
  listExpiredRegistrations,
  planStateSchedule,
} from '@siskinplank/fleet';
import type {
  GatewayRecord,
  GatewayRegistry,
  Peer,
  PeerTable,
} from '@siskinplank/fleet';
import type {SharedObjectStore, StoreHealth} from '@siskinplank/directory';
import {waitForPoll} from '@siskinplank/foundation';
import type {Clock, Logger, Random, Timer} from '@siskinplank/foundation';
import {rankMembers} from '@siskinplank/membership';
import {MessageType, ProcessRole} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {createPeerNetwork} from '@siskinplank/transport';
import type {
  Link,
  LinkTraffic,
  ManagedPeerNetwork,
  PeerNetworkOptions,
} from '@siskinplank/transport';
import {createLinkKeys} from './link-keys';
import {createThrottle} from './throttle';

export type GatewayStateMessage = MessageOf<MessageType.GatewayState>;

/** Who receives a state, and so which of its parts are needed. */
export interface StateAudience {
  /** Demand and load by model are for the order leader only. */
  isLeader: boolean;
}

/** What `createFleetNode` needs. */
export interface FleetNodeOptions {
  objects: SharedObjectStore;
  ownRecord: GatewayRecord;
  /** Address of the listener; that of `ownRecord` by default. */
  listenAddress?: GatewayRecord['address'];
  watchWaitMs: number;
  retryDelayMs: number;
  storeHealth?: StoreHealth;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Creates the links; tests replace it. */
  createNetwork?(options: PeerNetworkOptions): ManagedPeerNetwork;
  /** Collects the state to send; the node adds the fields omitted here. */
  collectState(
    nowMs: number,
    audience: StateAudience,
  ): Omit<
    GatewayStateMessage,
    'type' | 'sequence' | 'directoryRevision' | 'memberCount'
  >;
  /** Called with the peers that sent a new state, several at a time. */
  onPeerStates(changed: readonly Peer[], nowMs: number): void;
  onPeerLost(name: string): void;
  /** Called before a message of a peer is handled. */
  onReceive(nowMs: number): void;
  onMessage(peer: string, message: Message): void;
  /** Called when a link to a peer has opened. */
  onPeerConnected(name: string): void;
  onMembersChange(nowMs: number): void;
  /** Peers to ask for units of limits that upstreams name. */
  listLenders(nowMs: number): ReadonlySet<string>;
  /**
   * Whether this gateway may remove expired registrations of others; one
   * gateway at a time may.
   */
  mayRemoveRegistrations(): boolean;
  /** Called when this gateway has removed the registration of another one. */
  onRegistrationRemoved(name: string): void;
}

/** Registration of this gateway, its peers and the links to them. */
export interface FleetNode {
  registry: GatewayRegistry;
  peers: PeerTable;
  start(): void;
  stop(): Promise<void>;
  /** Sends the state of this gateway to all peers before it is due. */
  scheduleState(): void;
  /** Sends it to the order leader within milliseconds. */
  scheduleStateToLeader(): void;
  /** Asks peers for units of limits within milliseconds. */
  scheduleStateToLenders(): void;
  /** Whether this gateway is the one among the responsive ones for a key. */
  isOwner(key: string): boolean;
  /** Whether there is an open link to the peer. */
  isLinked(peer: string): boolean;
  /** Returns false when there is no link to the peer. */
  sendTo(peer: string, message: Message): boolean;
  sendToAll(message: Message): void;
  /** Time between two states of a gateway. */
  getStatePeriodMs(): number;
  /** Messages and bytes over all links since the start. */
  getTraffic(): LinkTraffic;
}

/** Changes of the state are batched for this time before it is sent. */
const STATE_DELAY_MS = 10;
/** Least time between two states for the leader or for lenders. */
const TARGETED_STATE_PERIOD_MS = 50;
/** Period of the checks for unresponsive peers. */
const PEER_CHECK_MS = 200;
/** Links stay within one site. */
const LINK_LIMITS = {
  handshakeTimeoutMs: 600,
  backoffBaseMs: 50,
  backoffMaxMs: 500,
};
/** Period of the checks for expired registrations. */
const EXPIRY_CHECK_PERIOD_MS = 10_000;

/** Creates a node that does nothing before `start`. */
export function createFleetNode(options: FleetNodeOptions): FleetNode {
  const {objects, ownRecord, clock, logger} = options;
  let schedule = planStateSchedule(1);
  const peers = createPeerTable(schedule.peerTimeoutMs, logger);
  const timers: Timer[] = [];
  let sequence = 0;
  let stateTimer: Timer | undefined;
  let stateDueMs = Infinity;
  let stateSentAtMs = -Infinity;
  /** Peers whose new states were not passed on yet. */
  const changedPeers = new Set<string>();
  let isStopped = false;
  let listeningSinceMs = clock.getNowMs();
  const connected = new Map<string, GatewayRecord>();
  /** By name of the peer. */
  const links = new Map<string, Link>();

  const {createNetwork = createPeerNetwork} = options;
  const network: ManagedPeerNetwork = createNetwork({
    identity: {
      name: ownRecord.name,
      incarnation: ownRecord.incarnation,
      role: ProcessRole.Entry,
      failureDomain: ownRecord.failureDomain,
      region: ownRecord.region,
      address: ownRecord.address,
    },
    listenAddress: options.listenAddress,
    clusterKeys: [],
    clock,
    random: options.random,
    logger,
    limits: {
      ...LINK_LIMITS,
      pingMs: schedule.pingMs,
      idleMs: schedule.idleMs,
    },
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
    storeHealth: options.storeHealth,
    clock,
    logger,
    onChange: (others, nowMs) => {
      schedule = planStateSchedule(others.length + 1);
      peers.setTimeoutMs(schedule.peerTimeoutMs);
      network.setKeepAlive(schedule.pingMs, schedule.idleMs);
      updateConnections(others);
      options.onMembersChange(nowMs);
    },
  });

  const makeState = (
    nowMs: number,
    audience: StateAudience,
  ): GatewayStateMessage => {
    sequence += 1;
    return {
      type: MessageType.GatewayState,
      sequence,
      directoryRevision: registry.getRevision(),
      memberCount: registry.listOthers().length + 1,
      ...options.collectState(nowMs, audience),
    };
  };

  const findLeader = (nowMs: number): string | undefined =>
    peers.listResponsive(nowMs).find(({state}) => state.isOrdering)?.name;

  const sendStateToLeader = (nowMs: number): void => {
    const leader = findLeader(nowMs);
    if (leader === undefined) return;
    network.sendToAll(
      makeState(nowMs, {isLeader: true}),
      ({peer}) => peer.name === leader,
    );
  };

  const sendState = (): void => {
    const nowMs = clock.getNowMs();
    stateSentAtMs = nowMs;
    stateDueMs = Infinity;
    const leader = findLeader(nowMs);
    network.sendToAll(
      makeState(nowMs, {isLeader: false}),
      ({peer}) => peer.name !== leader,
    );
    sendStateToLeader(nowMs);
    scheduleStateAt(nowMs + schedule.periodMs);
  };

  /** Sends the next state at `dueMs`, unless it is due earlier. */
  const scheduleStateAt = (dueMs: number): void => {
    if (isStopped) return;
    const nowMs = clock.getNowMs();
    if (stateDueMs <= dueMs) return;
    stateTimer?.cancel();
    stateDueMs = dueMs;
    stateTimer = clock.startTimer(Math.max(0, dueMs - nowMs), sendState);
  };

  const sendStateToLenders = (nowMs: number): void => {
    const lenders = options.listLenders(nowMs);
    if (lenders.size === 0) return;
    const state = makeState(nowMs, {isLeader: false});
    network.sendToAll(state, ({peer}) => lenders.has(peer.name));
  };

  const targetedTiming = {
    clock,
    delayMs: STATE_DELAY_MS,
    periodMs: TARGETED_STATE_PERIOD_MS,
  };
  const leaderStates = createThrottle({
    ...targetedTiming,
    run: sendStateToLeader,
  });
  const lenderStates = createThrottle({
    ...targetedTiming,
    run: sendStateToLenders,
  });

  /** Timers run before sockets are read: states may have arrived meanwhile. */
  const removeUnresponsive = async (): Promise<void> => {
    await waitForPoll();
    for (const name of peers.removeUnresponsive(clock.getNowMs())) {
      options.onPeerLost(name);
    }
  };

  const passStatesOn = async (): Promise<void> => {
    await waitForPoll();
    const changed = [...changedPeers].flatMap(name => {
      const peer = peers.getPeer(name);
      return peer === undefined ? [] : [peer];
    });
    changedPeers.clear();
    options.onPeerStates(changed, clock.getNowMs());
  };

  const removeExpiredRegistrations = (): void => {
    if (!options.mayRemoveRegistrations()) return;
    const expired = listExpiredRegistrations({
      names: registry.listOthers().map(({name}) => name),
      getLastSeenAtMs: peers.getLastSeenAtMs,
      listeningSinceMs,
      nowMs: clock.getNowMs(),
    });
    for (const name of expired) {
      void registry.removeRegistration(name).then(isRemoved => {
        if (isRemoved) options.onRegistrationRemoved(name);
      });
    }
  };

  network.subscribe([MessageType.GatewayState], (link, state) => {
    const {name, incarnation} = link.peer;
    const nowMs = clock.getNowMs();
    options.onReceive(nowMs);
    if (!peers.updateState(name, incarnation, state, nowMs)) return;
    if (changedPeers.size === 0) void passStatesOn();
    changedPeers.add(name);
  });
  network.subscribe(
    [
      MessageType.TokenRequest,
      MessageType.TokenGrant,
      MessageType.TokenReturn,
      MessageType.UnitTransfer,
      MessageType.UpstreamLoads,
      MessageType.AdapterRequest,
      MessageType.AdapterReply,
      MessageType.StreamOrigins,
    ],
    (link, message) => {
      const {name, incarnation} = link.peer;
      const nowMs = clock.getNowMs();
      options.onReceive(nowMs);
      peers.recordMessage(name, incarnation, nowMs);
      options.onMessage(name, message);
    },
  );
  network.observeLinks({
    onLinkOpen: link => {
      links.set(link.peer.name, link);
      link.send(makeState(clock.getNowMs(), {isLeader: true}));
      options.onPeerConnected(link.peer.name);
    },
    onLinkClose: closed => {
      const {name} = closed.peer;
      if (links.get(name) !== closed) return;
      const other = network.listLinks().find(({peer}) => peer.name === name);
      if (other === undefined) links.delete(name);
      else links.set(name, other);
    },
  });

  const linkKeys = createLinkKeys({
    objects,
    retryDelayMs: options.retryDelayMs,
    clock,
    logger,
    onChange: keys => network.setClusterKeys(keys),
  });

  const startNetwork = async (): Promise<void> => {
    await linkKeys.start();
    if (isStopped) return;
    await network.start();
    updateConnections(registry.listOthers());
  };

  return {
    registry,
    peers,
    start: () => {
      listeningSinceMs = clock.getNowMs();
      registry.start();
      void startNetwork();
      scheduleStateAt(listeningSinceMs + schedule.periodMs);
      timers.push(
        clock.startInterval(PEER_CHECK_MS, () => void removeUnresponsive()),
        clock.startInterval(EXPIRY_CHECK_PERIOD_MS, removeExpiredRegistrations),
      );
    },
    stop: async () => {
      isStopped = true;
      for (const timer of timers) timer.cancel();
      stateTimer?.cancel();
      leaderStates.stop();
      lenderStates.stop();
      registry.stop();
      linkKeys.stop();
      await network.stop();
    },
    scheduleState: () => {
      const nowMs = clock.getNowMs();
      const allowedMs = stateSentAtMs + schedule.earlyPeriodMs;
      scheduleStateAt(Math.max(nowMs + STATE_DELAY_MS, allowedMs));
    },
    scheduleStateToLeader: leaderStates.request,
    scheduleStateToLenders: lenderStates.request,
    isOwner: key => {
      const {name} = ownRecord;
      const members = [{name}, ...peers.listResponsive(clock.getNowMs())];
      return rankMembers(members, key)[0].name === name;
    },
    isLinked: peer => links.has(peer),
    sendTo: (peer, message) => links.get(peer)?.send(message) ?? false,
    sendToAll: message => network.sendToAll(message),
    getStatePeriodMs: () => schedule.periodMs,
    getTraffic: network.getTraffic,
  };
}
