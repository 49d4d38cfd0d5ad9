/**
 * Relay of changes and confirmations between replicas. Each process sends a
 * digest to its uplinks every period; they answer with a digest or with what is
 * missing, and from then on push changes at once.
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

/** What the relay tells its replica. */
export interface RelayEvents {
  /** Entries from a peer were applied. */
  onApplied(result: ApplyResult): void;
  /** A peer confirmed the replica as of `atMs`. */
  onConfirmed(atMs: number): void;
}

/** Exchange with peers. */
export interface ConfigurationRelay {
  start(): void;
  stop(): void;
  /** Pushes changes at once, and a mere confirmation when it is due. */
  pushToAll(hasChanges: boolean): void;
  /** Pushes the known reports of an outage to peers for which they are due. */
  pushOutage(): void;
}

interface Peer {
  link: Link;
  clock: PeerClock;
  /** Revision that the peer has, as far as known. */
  knownRevision: number | undefined;
  heardMs: number;
  pushedMs: number;
  fetchedMs: number;
}

/** Periods without a digest after which a peer gets no more pushes. */
const PEER_LIFETIME_PERIODS = 3;
/**
 * Confirmations are pushed at most 4 times in a digest period. With 16 peers
 * (8 children, 8 backup children), about 150 bytes each and a period of 2 s,
 * that is 16 * 2 * 150 = 4.8 KB/s.
 */
const PUSHES_PER_PERIOD = 4;
/**
 * Outage reports are pushed at most twice in a digest period, so that they pass
 * the cross links and three levels of the tree in 4 s and are younger than the
 * 5 s for which they count. With 7 domains a digest has about 400 bytes, which
 * makes 16 * 400 = 6.4 KB/s; no other confirmations are pushed meanwhile.
 */
const OUTAGE_PUSHES_PER_PERIOD = 2;
const FETCH_GAP_MS = 500;

/** Creates the relay; `isUplink` tells parents from other peers by name. */
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
  const pushGapMs = options.digestPeriodMs / PUSHES_PER_PERIOD;
  const outageGapMs = options.digestPeriodMs / OUTAGE_PUSHES_PER_PERIOD;
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
      heardMs: -Infinity,
      pushedMs: -Infinity,
      fetchedMs: -Infinity,
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

  /** Two processes that are no uplinks would answer answers without end. */
  const sendDigest = (peer: Peer, wantsReply: boolean): void => {
    peer.pushedMs = clock.getNowMs();
    peer.link.send({
      type: MessageType.ConfigDigest,
      revision: state.getRevision(),
      ...makeHeader(peer),
      ...(wantsReply && {wantsReply}),
    });
  };

  const sendSince = (peer: Peer, fromRevision: number): void => {
    const delta = state.collectSince(fromRevision);
    peer.pushedMs = clock.getNowMs();
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
    if (nowMs - peer.fetchedMs < FETCH_GAP_MS) return;
    peer.fetchedMs = nowMs;
    peer.link.send({
      type: MessageType.ConfigFetch,
      fromRevision: state.getRevision(),
    });
  };

  const pushTo = (
    peer: Peer,
    hasChanges: boolean,
    nowMs: number,
    gapMs = pushGapMs,
  ): void => {
    if (peer.knownRevision === undefined) return;
    if (nowMs - peer.heardMs > lifetimeMs) return;
    if (!hasChanges && nowMs - peer.pushedMs < gapMs) return;
    const isBehind = peer.knownRevision < state.getRevision();
    if (isBehind || hasChanges) sendSince(peer, peer.knownRevision);
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
      if (peer !== except) pushTo(peer, false, nowMs, outageGapMs);
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
    // A confirmation is about the sender's revision; a replica that is behind
    // it is not confirmed before it has caught up.
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
    peer.heardMs = nowMs;
    peer.knownRevision = message.revision;
    const sentMs =
      message.stamp && peer.clock.estimateSentMs(message.stamp, nowMs);
    const isNews = readHeader(peer, message, sentMs);
    if (message.revision > state.getRevision()) sendFetch(peer, nowMs);
    else if (message.revision < state.getRevision()) {
      sendSince(peer, message.revision);
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
    peer.heardMs = nowMs;
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
      // An empty replica asks every peer, since its tree may be unknown yet.
      const mustAsk =
        options.isUplink(link.peer.name) || state.getRevision() === 0;
      if (mustAsk && link.isOpen()) sendDigest(ensurePeer(link), true);
    }
    for (const peer of peers.values()) {
      const isSilent = nowMs - peer.heardMs > lifetimeMs;
      if (isSilent && !options.isUplink(peer.link.peer.name)) {
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
          sendSince(ensurePeer(link), message.fromRevision);
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
