/**
 * Membership view: host list, heartbeats on links and digests of changes.
 *
 * Cost per second at the two-year size: a heartbeat (about 250 bytes) to at
 * most 8 children, 8 backup children and 2 uplinks of the relay tree, and to
 * 16 other open links in turn, is 34 * 250 = 8.5 KB at one round a second (a
 * watcher has 13 uplinks in place of 2, which makes 11 KB). Members
 * travel in digests only when they change, about 500 times a day; a full copy
 * for repair goes from a parent to 8 children every 0.225 s for each member,
 * which makes 8 * 250 / 0.225 = 8.9 KB/s at any size.
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

/** What `createMembershipView` needs. */
export interface MembershipViewOptions {
  store: PlatformStore;
  network: PeerNetwork;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  settings: MembershipViewSettings;
  identity: PeerIdentity;
  /** Addresses to ask when the view is empty and the platform is down. */
  seeds?: readonly NetworkAddress[];
}

const OTHER_LINKS_PER_ROUND = 16;
/** Members in one digest, to keep a frame below 64 KB. */
const DIGEST_SIZE = 200;
const FLUSH_DELAY_MS = 50;
const REPAIR_MS_PER_MEMBER = 225;
const MIN_REPAIR_MS = 10_000;
/** Suspects contacted in each suspicion time, so that a healed cut is seen. */
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
  const silence = createHeartbeatMonitor({logger, settings});
  const handlers = new Set<() => void>();
  const connected = new Map<string, Member>();
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
    // A later incarnation starts with a greater sequence.
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
  let nextLink = 0;
  let isReading = false;
  let repairedMs = 0;
  let probedMs = 0;
  let isStopped = false;
  let hasUsedSeeds = false;
  /** Whether a full copy was asked for since the start. */
  let hasCopy = false;

  const getShown = (record: MemberRecord): Member =>
    record.isListedLeaving
      ? {...record.member, state: MemberState.Leaving}
      : record.member;

  const listAll = (): Member[] => [own, ...table.list().map(getShown)];

  const releaseLink = (member: Member): void => {
    const {host, port} = member;
    if (canCloseTreeLink(own, member)) network.disconnect({host, port});
  };

  const updatePosition = (nowMs: number): void => {
    position = computeTreePosition(listAll(), identity);
    neighbours = new Set(
      [...position.uplinks, ...position.children].map(({name}) => name),
    );
    silence.setNeighbours(neighbours, nowMs);
    const wanted = new Map(
      position.uplinks.map(member => [member.name, member]),
    );
    for (const [name, member] of connected) {
      const next = wanted.get(name);
      if (next?.host === member.host && next.port === member.port) continue;
      connected.delete(name);
      releaseLink(member);
    }
    for (const [name, member] of wanted) {
      if (connected.has(name)) continue;
      connected.set(name, member);
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

  /** An empty digest asks the peer for a full copy. */
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

  const noteChange = (name: string): void => {
    changed.add(name);
    flushTimer ??= clock.startTimer(FLUSH_DELAY_MS, flush);
  };

  const handleHeartbeat = (link: Link, member: Member): void => {
    const {peer} = link;
    if (member.name !== peer.name) return;
    if (member.incarnation !== peer.incarnation) return;
    const nowMs = clock.getNowMs();
    const isNew = table.get(member.name) === undefined;
    silence.recordHeartbeat(member.name, nowMs);
    if (!table.applyHeartbeat(member, nowMs)) return;
    if (isNew) logger.log(MEMBER_JOINED, {member: member.name});
    if (member.state === MemberState.Leaving) {
      logger.log(MEMBER_LEAVING, {member: member.name});
    }
    noteChange(member.name);
  };

  const handleClaim = (link: Link, claim: Member): void => {
    if (claim.name === own.name) {
      const isOwn = claim.incarnation === own.incarnation;
      if (isOwn && claim.state !== MemberState.Suspect) return;
      if (!isOwn && claim.sequence < own.sequence) return;
      // Refutes a suspicion, or a claim about an earlier incarnation.
      const sequence = Math.max(own.sequence, claim.sequence) + 1;
      own = {...own, sequence};
      noteChange(own.name);
      return;
    }
    const nowMs = clock.getNowMs();
    if (table.applyClaim(claim, nowMs)) {
      noteChange(claim.name);
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
    if (isReading || isStopped) return;
    isReading = true;
    const result = await store.listHosts();
    isReading = false;
    if (isStopped) return;
    result
      .ifRight(hosts => {
        const nowMs = clock.getNowMs();
        for (const name of table.applyHostList(hosts, nowMs)) noteChange(name);
      })
      .ifLeft(error => {
        logger.log(HOST_LIST_FAILED, {reason: error.message});
        connectSeeds();
      });
  };

  /** Contacts the seeds while no other member is known. */
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
      sendHeartbeat(others[(nextLink + index) % others.length]);
    }
    nextLink = others.length === 0 ? 0 : (nextLink + count) % others.length;
  };

  const probeSuspects = async (nowMs: number): Promise<void> => {
    if (nowMs - probedMs < settings.suspectAfterMs) return;
    probedMs = nowMs;
    const suspects = listAll().filter(
      member => member.state === MemberState.Suspect,
    );
    const count = Math.min(PROBES_PER_ROUND, suspects.length);
    for (let index = 0; index < count; index += 1) {
      const suspect = suspects[random.getInteger(suspects.length)];
      const {name, host, port} = suspect;
      const address = {host, port};
      // A link that was open before belongs to another part of the process.
      if (network.getLink(address) !== undefined) continue;
      await network.acquireLink(address, settings.heartbeatMs);
      await clock.waitMs(settings.heartbeatMs);
      if (!connected.has(name)) releaseLink(suspect);
    }
  };

  const requestRepair = (nowMs: number): void => {
    const members = table.list().length;
    const periodMs = Math.max(MIN_REPAIR_MS, members * REPAIR_MS_PER_MEMBER);
    if (hasCopy && nowMs - repairedMs < periodMs) return;
    const [parent] = position.uplinks;
    const link = parent && network.getLink(parent);
    if (link === undefined) return;
    hasCopy = true;
    repairedMs = nowMs;
    requestCopy(link);
  };

  const tick = (): void => {
    const nowMs = clock.getNowMs();
    sendHeartbeats();
    const silent = [
      ...silence.listUnresponsive(nowMs, store.isAvailable()),
      ...table.listUnlisted(nowMs),
    ];
    for (const name of silent) {
      if (!table.markSuspect(name, nowMs)) continue;
      logger.log(MEMBER_SUSPECTED, {member: name});
      noteChange(name);
    }
    for (const {name, host, port} of table.removeExpired(nowMs)) {
      const address = {host, port};
      if (network.getLink(address) === undefined) network.disconnect(address);
      logger.log(MEMBER_REMOVED, {member: name});
      noteChange(name);
    }
    requestRepair(nowMs);
    void probeSuspects(nowMs);
  };

  return {
    start: () => {
      const nowMs = clock.getNowMs();
      repairedMs = nowMs;
      probedMs = nowMs;
      silence.restart(nowMs);
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
          // A process that knows no other member also has rank 0.
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
      for (const member of connected.values()) releaseLink(member);
      connected.clear();
    },
    listMembers: () => listAll(),
    getMember: name => {
      if (name === own.name) return own;
      const record = table.get(name);
      return record && getShown(record);
    },
    setOwnState: state => {
      // Leaving is final for an incarnation.
      if (own.state === MemberState.Leaving || own.state === state) return;
      own = {...own, state, sequence: own.sequence + 1};
      for (const link of network.listLinks()) sendHeartbeat(link);
      noteChange(own.name);
    },
    subscribe: handler => {
      handlers.add(handler);
      return () => void handlers.delete(handler);
    },
  };
}
