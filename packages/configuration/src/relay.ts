/**
 * Relays changes and confirmations between replicas. Each process sends a
 * digest to its uplinks every period. They reply with a digest or with the
 * missing changes, and afterwards push further changes to it at once.
 */
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {FreshnessState, MessageType} from '@siskinplank/messages';
import type {ClockStamp, MessageOf, OutageReports} from '@siskinplank/messages';
import type {Link, PeerNetwork} from '@siskinplank/transport';
import {convertEntry, parseEntry} from './entries';
import type {FreshnessTracker} from './freshness';
import type {OutageTracker} from './outage-tracker';
import {createPeerClock} from './peer-clock';
import type {PeerClock} from './peer-clock';
import type {ApplyResult, ReplicaEntry, ReplicaState} from './replica-state';

/** Callbacks of the relay to its replica. */
export interface RelayEvents {
  /** Called after entries from a peer were applied. */
  onApplied(result: ApplyResult): void;
  /** Called when a peer confirmed the replica as of `atMs`. */
  onConfirmed(atMs: number): void;
}

/** Exchange of the configuration with peers. */
export interface ConfigurationRelay {
  start(): void;
  stop(): void;
  /** Pushes changes at once; without changes, pushes due confirmations. */
  pushToAll(hasChanges: boolean): void;
  /** Pushes outage reports to the peers for which they are due. */
  pushOutage(): void;
}

interface Peer {
  link: Link;
  clock: PeerClock;
  /** Last known revision of the peer; undefined before its first message. */
  knownRevision: number | undefined;
  lastSeenMs: number;
  lastPushMs: number;
  lastFetchMs: number;
}

/** Digest periods without a message after which a peer gets no more pushes. */
const PEER_LIFETIME_PERIODS = 3;
/**
 * Confirmations are pushed at most 4 times in a digest period. With 16 peers
 * (8 children, 8 backup children), about 150 bytes each and a period of 2 s,
 * that is 16 * 2 * 150 = 4.8 KB/s.
 */
const PUSHES_PER_PERIOD = 4;
/**
 * Outage reports are pushed at most twice in a digest period, so that they pass
 * the links between watchers and three levels of the tree in 4 s, before they
 * expire after 5 s. With 7 domains a digest has about 400 bytes, which makes
 * 16 * 400 = 6.4 KB/s; other confirmations are not pushed during an outage.
 */
const OUTAGE_PUSHES_PER_PERIOD = 2;
/** Shortest time between two fetches from the same peer. */
const MIN_FETCH_INTERVAL_MS = 500;

/** Creates the relay; `isUplink` says by name whether a peer is an uplink. */
export function createRelay(options: {
  network: PeerNetwork;
  state: ReplicaState;
  tracker: FreshnessTracker;
  outages: OutageTracker;
  clock: Clock;
  logger: Logger;
  digestPeriodMs: number;
  isUplink: (name: string) => boolean;
  isWatching: () => boolean;
  events: RelayEvents;
}): ConfigurationRelay {
  const {network, state, tracker, outages, clock, logger, events} = options;
  const lifetimeMs = options.digestPeriodMs * PEER_LIFETIME_PERIODS;
  const pushIntervalMs = options.digestPeriodMs / PUSHES_PER_PERIOD;
  const outagePushIntervalMs =
    options.digestPeriodMs / OUTAGE_PUSHES_PER_PERIOD;
  const peers = new Map<string, Peer>();
  const cancels: Array<() => void> = [];
  let timer: Timer | undefined;

  const ensurePeer = (link: Link): Peer => {
    const found = peers.get(link.id);
    if (found !== undefined) return found;
    const peer: Peer = {
      link,
      clock: createPeerClock(),
      knownRevision: undefined,
      lastSeenMs: -Infinity,
      lastPushMs: -Infinity,
      lastFetchMs: -Infinity,
    };
    peers.set(link.id, peer);
    return peer;
  };

  const makeHeader = (peer: Peer) => {
    const nowMs = clock.getNowMs();
    const outage = outages.makeReports(
      nowMs,
      tracker.getConfirmedMs(),
      peer.link.peer.name,
    );
    return {
      freshness: tracker.getFreshness(nowMs),
      stamp: peer.clock.makeStamp(nowMs),
      isWatcher: options.isWatching(),
      ...(outage === undefined ? {} : {outage}),
    };
  };

  /**
   * `wantsReply` is false for replies and pushes. Otherwise two peers, neither
   * of which is an uplink of the other, would reply to each other without end.
   */
  const sendDigest = (peer: Peer, wantsReply: boolean): void => {
    peer.lastPushMs = clock.getNowMs();
    peer.link.send({
      type: MessageType.ConfigDigest,
      revision: state.getRevision(),
      ...makeHeader(peer),
      ...(wantsReply && {wantsReply}),
    });
  };

  const sendDelta = (peer: Peer, fromRevision: number): void => {
    const delta = state.collectSince(fromRevision);
    peer.lastPushMs = clock.getNowMs();
    const didSend = peer.link.send({
      type: MessageType.ConfigDelta,
      fromRevision: delta.fromRevision,
      revision: delta.revision,
      entries: delta.entries.map(convertEntry),
      ...makeHeader(peer),
    });
    if (didSend) peer.knownRevision = delta.revision;
  };

  const sendFetch = (peer: Peer, nowMs: number): void => {
    if (nowMs - peer.lastFetchMs < MIN_FETCH_INTERVAL_MS) return;
    peer.lastFetchMs = nowMs;
    peer.link.send({
      type: MessageType.ConfigFetch,
      fromRevision: state.getRevision(),
    });
  };

  const pushTo = (
    peer: Peer,
    hasChanges: boolean,
    nowMs: number,
    gapMs = pushIntervalMs,
  ): void => {
    if (peer.knownRevision === undefined) return;
    if (nowMs - peer.lastSeenMs > lifetimeMs) return;
    if (!hasChanges && nowMs - peer.lastPushMs < gapMs) return;
    const isBehind = peer.knownRevision < state.getRevision();
    if (isBehind || hasChanges) sendDelta(peer, peer.knownRevision);
    else sendDigest(peer, false);
  };

  const pushToPeers = (hasChanges: boolean, except?: Peer): void => {
    if (state.getRevision() === 0) return;
    const nowMs = clock.getNowMs();
    for (const peer of peers.values()) {
      if (peer !== except) pushTo(peer, hasChanges, nowMs);
    }
  };

  const pushOutage = (except?: Peer): void => {
    if (state.getRevision() === 0) return;
    const nowMs = clock.getNowMs();
    for (const peer of peers.values()) {
      if (peer !== except) pushTo(peer, false, nowMs, outagePushIntervalMs);
    }
  };

  const readHeader = (
    peer: Peer,
    message: {
      revision: number;
      freshness: {state: FreshnessState; ageMs: number};
      stamp?: ClockStamp;
      outage?: OutageReports;
    },
    sentMs: number | undefined,
  ): boolean => {
    if (sentMs === undefined) return false;
    const {outage} = message;
    const hasReport =
      outage !== undefined && outages.recordReports(outage, sentMs);
    if (hasReport) pushOutage(peer);
    // A confirmation applies to the sender's revision; a replica at an older
    // revision is not confirmed until it has reached that one.
    if (state.getRevision() < message.revision || message.revision === 0) {
      return false;
    }
    const atMs = sentMs - message.freshness.ageMs;
    const isNews = tracker.recordConfirmation(atMs);
    events.onConfirmed(atMs);
    return isNews;
  };

  const handleDigest = (
    link: Link,
    message: MessageOf<MessageType.ConfigDigest>,
  ): void => {
    const nowMs = clock.getNowMs();
    const peer = ensurePeer(link);
    peer.lastSeenMs = nowMs;
    peer.knownRevision = message.revision;
    const sentMs =
      message.stamp && peer.clock.estimateSentMs(message.stamp, nowMs);
    const isNews = readHeader(peer, message, sentMs);
    if (message.revision > state.getRevision()) sendFetch(peer, nowMs);
    else if (message.revision < state.getRevision()) {
      sendDelta(peer, message.revision);
    } else if (message.wantsReply && !options.isUplink(link.peer.name)) {
      sendDigest(peer, false);
    }
    if (isNews) pushToPeers(false, peer);
  };

  const handleDelta = (
    link: Link,
    message: MessageOf<MessageType.ConfigDelta>,
  ): void => {
    const nowMs = clock.getNowMs();
    const peer = ensurePeer(link);
    peer.lastSeenMs = nowMs;
    peer.knownRevision = Math.max(peer.knownRevision ?? 0, message.revision);
    const sentMs =
      message.stamp && peer.clock.estimateSentMs(message.stamp, nowMs);
    const entries = message.entries
      .map(entry => parseEntry(entry, logger))
      .filter((entry): entry is ReplicaEntry => entry !== undefined);
    const {fromRevision, revision} = message;
    const before = state.getRevision();
    const result = state.applyDelta({fromRevision, revision, entries});
    const isNews = readHeader(peer, message, sentMs);
    if (!result.isComplete) sendFetch(peer, nowMs);
    const hasAdvanced = state.getRevision() > before;
    events.onApplied(result);
    if (result.changes.length > 0) pushToPeers(true, peer);
    else if (isNews || hasAdvanced) pushToPeers(false, peer);
  };

  const tick = (): void => {
    const nowMs = clock.getNowMs();
    for (const [id, peer] of peers) {
      if (!peer.link.isOpen()) peers.delete(id);
    }
    for (const link of network.listLinks()) {
      // An empty replica sends digests to every peer, since its position in the
      // tree may not be known yet.
      const mustRequest =
        options.isUplink(link.peer.name) || state.getRevision() === 0;
      if (mustRequest && link.isOpen()) sendDigest(ensurePeer(link), true);
    }
    for (const peer of peers.values()) {
      const isUnresponsive = nowMs - peer.lastSeenMs > lifetimeMs;
      if (isUnresponsive && !options.isUplink(peer.link.peer.name)) {
        peer.knownRevision = undefined;
      }
    }
  };

  return {
    start: () => {
      cancels.push(
        network.subscribe([MessageType.ConfigDigest], handleDigest),
        network.subscribe([MessageType.ConfigDelta], handleDelta),
        network.subscribe([MessageType.ConfigFetch], (link, message) => {
          if (state.getRevision() === 0) return;
          sendDelta(ensurePeer(link), message.fromRevision);
        }),
        network.observeLinks({
          onLinkOpen: link => {
            const isNeeded = state.getRevision() === 0;
            if (isNeeded || options.isUplink(link.peer.name)) {
              sendDigest(ensurePeer(link), true);
            }
          },
          onLinkClose: link => void peers.delete(link.id),
        }),
      );
      timer = clock.startInterval(options.digestPeriodMs, tick);
    },
    stop: () => {
      timer?.cancel();
      for (const cancel of cancels.splice(0)) cancel();
      peers.clear();
    },
    pushToAll: hasChanges => pushToPeers(hasChanges),
    pushOutage: () => pushOutage(),
  };
}
