/**
 * Membership view: combines the host list, heartbeats and digests of changes.
 *
 * Bytes sent by a process at the planned two-year size, with one heartbeat a
 * second: a heartbeat (about 250 bytes) goes to at most 8 children, 8 backup
 * children and 2 uplinks of the relay tree, and to 16 of the other open links
 * in turn, 34 * 250 = 8.5 KB/s (a watcher has 13 uplinks instead of 2, which
 * makes 11 KB/s). Digests carry members only when they change, about 500 times
 * a day. A parent also sends full copies to 8 children; their period is 0.225 s
 * for each member, which makes 8 * 250 / 0.225 = 8.9 KB/s at any number of
 * members.
 */
import type {
  Clock,
  Logger,
  Metrics,
  Random,
  Timer,
} from '@siskinplank/foundation';
import {MemberState, MessageType} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import type {PlatformStore} from '@siskinplank/platform-client';
import type {NetworkAddress} from '@siskinplank/resources';
import type {Link, PeerIdentity, PeerNetwork} from '@siskinplank/transport';
import {
  HOST_LIST_FAILED,
  MEMBER_JOINED,
  MEMBER_LEAVING,
  MEMBER_REMOVED,
  MEMBER_SUSPECTED,
} from './events';
import {createMemberTable} from './member-table';
import type {MemberRecord} from './member-table';
import {createHeartbeatMonitor} from './heartbeat-monitor';
import {canCloseTreeLink, computeTreePosition} from './tree';
import type {TreePosition} from './tree';
import type {MembershipView} from './types';

/** Periods of the view; see the settings section `membership`. */
export interface MembershipViewSettings {
  heartbeatMs: number;
  suspectAfterMs: number;
  hostListPeriodMs: number;
}

/** Options of `createMembershipView`. */
export interface MembershipViewOptions {
  store: PlatformStore;
  network: PeerNetwork;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  settings: MembershipViewSettings;
  identity: PeerIdentity;
  /** Peers to connect to when no member is known and the platform is down. */
  seeds?: readonly NetworkAddress[];
}

/** Links outside the tree that get a heartbeat in each period, in turn. */
const OTHER_LINKS_PER_ROUND = 16;
/** Members in one digest; keeps a frame below 64 KB. */
const DIGEST_SIZE = 200;
const FLUSH_DELAY_MS = 50;
/** Period of full copies from the parent, for each member. */
const REPAIR_MS_PER_MEMBER = 225;
const MIN_REPAIR_MS = 10_000;
/**
 * Suspect members contacted in each suspicion time. They are outside the tree,
 * so that the end of a partition would otherwise stay unnoticed.
 */
const PROBES_PER_ROUND = 2;

/** Creates a view that knows only this process. */
export function createMembershipView(
  options: MembershipViewOptions,
): MembershipView {
  const {store, network, clock, random, logger, settings, identity} = options;
  const seeds = options.seeds ?? [];
  const table = createMemberTable({
    ownName: identity.name,
    suspectAfterMs: settings.suspectAfterMs,
  });
  const heartbeatMonitor = createHeartbeatMonitor({logger, settings});
  const handlers = new Set<() => void>();
  const connectedUplinks = new Map<string, Member>();
  const changed = new Set<string>();
  const cancels: Array<() => void> = [];
  const timers: Timer[] = [];
  const gauge = options.metrics.createGauge(
    'members',
    'Known members by state, this process included.',
    ['state'],
  );
  let own: Member = {
    name: identity.name,
    incarnation: identity.incarnation,
    role: identity.role,
    host: identity.address.host,
    port: identity.address.port,
    failureDomain: identity.failureDomain,
    region: identity.region,
    state: MemberState.Live,
    // Starts at the wall clock, so that a later incarnation has a greater one.
    sequence: Math.max(0, Math.floor(clock.getWallMs())),
  };
  let position: TreePosition = {
    rank: 0,
    isWatcher: true,
    uplinks: [],
    children: [],
  };
  let neighbours = new Set<string>();
  let flushTimer: Timer | undefined;
  let nextOtherLink = 0;
  let isReadingHostList = false;
  let lastRepairMs = 0;
  let lastProbeMs = 0;
  let isStopped = false;
  let hasUsedSeeds = false;
  /** Whether a full copy was requested from a parent since the start. */
  let hasRequestedCopy = false;

  const getEffectiveMember = (record: MemberRecord): Member =>
    record.isListedLeaving
      ? {...record.member, state: MemberState.Leaving}
      : record.member;

  const listAll = (): Member[] => [
    own,
    ...table.list().map(getEffectiveMember),
  ];

  const releaseLink = (member: Member): void => {
    const {host, port} = member;
    if (canCloseTreeLink(own, member)) network.disconnect({host, port});
  };

  const updatePosition = (nowMs: number): void => {
    position = computeTreePosition(listAll(), identity);
    neighbours = new Set(
      [...position.uplinks, ...position.children].map(({name}) => name),
    );
    heartbeatMonitor.setNeighbours(neighbours, nowMs);
    const uplinksByName = new Map(
      position.uplinks.map(member => [member.name, member]),
    );
    for (const [name, member] of connectedUplinks) {
      const next = uplinksByName.get(name);
      if (next?.host === member.host && next.port === member.port) continue;
      connectedUplinks.delete(name);
      releaseLink(member);
    }
    for (const [name, member] of uplinksByName) {
      if (connectedUplinks.has(name)) continue;
      connectedUplinks.set(name, member);
      network.connect({host: member.host, port: member.port});
    }
  };

  const sendMembers = (link: Link, members: readonly Member[]): void => {
    for (let start = 0; start < members.length; start += DIGEST_SIZE) {
      link.send({
        type: MessageType.MemberDigest,
        members: members.slice(start, start + DIGEST_SIZE),
      });
    }
  };

  /** Requests a full copy, by an empty digest. */
  const requestCopy = (link: Link): void => {
    link.send({type: MessageType.MemberDigest, members: []});
  };

  const sendHeartbeat = (link: Link): void => {
    link.send({type: MessageType.Heartbeat, member: own});
  };

  const listTreeLinks = (): Link[] =>
    network.listLinks().filter(link => neighbours.has(link.peer.name));

  const flush = (): void => {
    flushTimer = undefined;
    if (isStopped) return;
    updatePosition(clock.getNowMs());
    const members = [...changed]
      .map(name => (name === own.name ? own : table.get(name)?.member))
      .filter((member): member is Member => member !== undefined);
    changed.clear();
    for (const link of listTreeLinks()) sendMembers(link, members);
    gauge.reset();
    for (const {state} of listAll()) gauge.inc({state});
    for (const handler of [...handlers]) handler();
  };

  const queueChange = (name: string): void => {
    changed.add(name);
    flushTimer ??= clock.startTimer(FLUSH_DELAY_MS, flush);
  };

  const handleHeartbeat = (link: Link, member: Member): void => {
    const {peer} = link;
    if (member.name !== peer.name) return;
    if (member.incarnation !== peer.incarnation) return;
    const nowMs = clock.getNowMs();
    const isNew = table.get(member.name) === undefined;
    heartbeatMonitor.recordHeartbeat(member.name, nowMs);
    if (!table.applyHeartbeat(member, nowMs)) return;
    if (isNew) logger.log(MEMBER_JOINED, {member: member.name});
    if (member.state === MemberState.Leaving) {
      logger.log(MEMBER_LEAVING, {member: member.name});
    }
    queueChange(member.name);
  };

  const handleClaim = (link: Link, claim: Member): void => {
    if (claim.name === own.name) {
      const isOwn = claim.incarnation === own.incarnation;
      if (isOwn && claim.state !== MemberState.Suspect) return;
      if (!isOwn && claim.sequence < own.sequence) return;
      // A greater sequence refutes a suspicion or a claim about an earlier
      // incarnation.
      const sequence = Math.max(own.sequence, claim.sequence) + 1;
      own = {...own, sequence};
      queueChange(own.name);
      return;
    }
    const nowMs = clock.getNowMs();
    if (table.applyClaim(claim, nowMs)) {
      queueChange(claim.name);
      return;
    }
    const known = table.get(claim.name);
    const isRefuted =
      claim.state === MemberState.Suspect &&
      known?.member.state === MemberState.Live &&
      known.member.sequence > claim.sequence;
    if (isRefuted) sendMembers(link, [known.member]);
  };

  const readHostList = async (): Promise<void> => {
    if (isReadingHostList || isStopped) return;
    isReadingHostList = true;
    const result = await store.listHosts();
    isReadingHostList = false;
    if (isStopped) return;
    result
      .ifRight(hosts => {
        const nowMs = clock.getNowMs();
        for (const name of table.applyHostList(hosts, nowMs)) queueChange(name);
      })
      .ifLeft(error => {
        logger.log(HOST_LIST_FAILED, {reason: error.message});
        connectSeeds();
      });
  };

  /** Connects to the seeds, once, if no other member is known. */
  const connectSeeds = (): void => {
    if (hasUsedSeeds || table.list().length > 0) return;
    hasUsedSeeds = true;
    for (const seed of seeds) {
      const {host, port} = identity.address;
      if (seed.host !== host || seed.port !== port) network.connect(seed);
    }
  };

  const sendHeartbeats = (): void => {
    own = {...own, sequence: own.sequence + 1};
    const others: Link[] = [];
    for (const link of network.listLinks()) {
      if (neighbours.has(link.peer.name)) sendHeartbeat(link);
      else others.push(link);
    }
    const count = Math.min(OTHER_LINKS_PER_ROUND, others.length);
    for (let index = 0; index < count; index += 1) {
      sendHeartbeat(others[(nextOtherLink + index) % others.length]);
    }
    nextOtherLink =
      others.length === 0 ? 0 : (nextOtherLink + count) % others.length;
  };

  const probeSuspects = async (nowMs: number): Promise<void> => {
    if (nowMs - lastProbeMs < settings.suspectAfterMs) return;
    lastProbeMs = nowMs;
    const suspects = listAll().filter(
      member => member.state === MemberState.Suspect,
    );
    const count = Math.min(PROBES_PER_ROUND, suspects.length);
    for (let index = 0; index < count; index += 1) {
      const suspect = suspects[random.getInteger(suspects.length)];
      const {name, host, port} = suspect;
      const address = {host, port};
      // A link that is already open is in use elsewhere and must not be closed.
      if (network.getLink(address) !== undefined) continue;
      await network.acquireLink(address, settings.heartbeatMs);
      await clock.waitMs(settings.heartbeatMs);
      if (!connectedUplinks.has(name)) releaseLink(suspect);
    }
  };

  const requestRepair = (nowMs: number): void => {
    const members = table.list().length;
    const periodMs = Math.max(MIN_REPAIR_MS, members * REPAIR_MS_PER_MEMBER);
    if (hasRequestedCopy && nowMs - lastRepairMs < periodMs) return;
    const [parent] = position.uplinks;
    const link = parent && network.getLink(parent);
    if (link === undefined) return;
    hasRequestedCopy = true;
    lastRepairMs = nowMs;
    requestCopy(link);
  };

  const tick = (): void => {
    const nowMs = clock.getNowMs();
    sendHeartbeats();
    const silent = [
      ...heartbeatMonitor.listUnresponsive(nowMs, store.isAvailable()),
      ...table.listUnlisted(nowMs),
    ];
    for (const name of silent) {
      if (!table.markSuspect(name, nowMs)) continue;
      logger.log(MEMBER_SUSPECTED, {member: name});
      queueChange(name);
    }
    for (const {name, host, port} of table.removeExpired(nowMs)) {
      const address = {host, port};
      if (network.getLink(address) === undefined) network.disconnect(address);
      logger.log(MEMBER_REMOVED, {member: name});
      queueChange(name);
    }
    requestRepair(nowMs);
    void probeSuspects(nowMs);
  };

  return {
    start: () => {
      const nowMs = clock.getNowMs();
      lastRepairMs = nowMs;
      lastProbeMs = nowMs;
      heartbeatMonitor.restart(nowMs);
      cancels.push(
        network.subscribe([MessageType.Heartbeat], (link, message) =>
          handleHeartbeat(link, message.member),
        ),
        network.subscribe([MessageType.MemberDigest], (link, message) => {
          if (message.members.length === 0) sendMembers(link, listAll());
          for (const claim of message.members) handleClaim(link, claim);
        }),
        network.observeLinks({
          onLinkOpen: link => {
            sendHeartbeat(link);
            if (table.list().length === 0) requestCopy(link);
          },
        }),
      );
      for (const link of network.listLinks()) sendHeartbeat(link);
      timers.push(
        clock.startInterval(settings.heartbeatMs, tick),
        clock.startInterval(settings.hostListPeriodMs, () => {
          // Without other members this process has rank 0 and is a watcher.
          if (position.isWatcher) void readHostList();
        }),
      );
      void readHostList();
    },
    stop: () => {
      isStopped = true;
      flushTimer?.cancel();
      for (const timer of timers.splice(0)) timer.cancel();
      for (const cancel of cancels.splice(0)) cancel();
      for (const member of connectedUplinks.values()) releaseLink(member);
      connectedUplinks.clear();
    },
    listMembers: () => listAll(),
    getMember: name => {
      if (name === own.name) return own;
      const record = table.get(name);
      return record && getEffectiveMember(record);
    },
    setOwnState: state => {
      // Leaving is final for an incarnation.
      if (own.state === MemberState.Leaving || own.state === state) return;
      own = {...own, state, sequence: own.sequence + 1};
      for (const link of network.listLinks()) sendHeartbeat(link);
      queueChange(own.name);
    },
    subscribe: handler => {
      handlers.add(handler);
      return () => void handlers.delete(handler);
    },
  };
}
