/** Last states received from the other gateways. */
import type {Logger} from '@siskinplank/foundation';
import type {MessageOf, MessageType} from '@siskinplank/messages';
import {PEER_LEAVING, PEER_SEEN, PEER_UNRESPONSIVE} from './events';

export type GatewayState = MessageOf<MessageType.GatewayState>;

/** A gateway and its last state. */
export interface Peer {
  name: string;
  incarnation: string;
  state: GatewayState;
  lastSeenAtMs: number;
}

/** States of the other gateways. */
export interface PeerTable {
  /** Stores a state; false for one that is not newer than the last. */
  updateState(
    name: string,
    incarnation: string,
    state: GatewayState,
    nowMs: number,
  ): boolean;
  /** Records that another message arrived from a gateway. */
  recordMessage(name: string, incarnation: string, nowMs: number): void;
  /** Lists gateways that sent a message within the timeout. */
  listResponsive(nowMs: number): readonly Peer[];
  getPeer(name: string): Peer | undefined;
  /** When the last message of a gateway arrived, also after its removal. */
  getLastSeenAtMs(name: string): number | undefined;
  /** Removes gateways that sent nothing for too long; returns their names. */
  removeUnresponsive(nowMs: number): readonly string[];
  /** Sets the time without a message after which a gateway is discarded. */
  setTimeoutMs(timeoutMs: number): void;
}

/** Creates an empty table; gateways are discarded after `initialTimeoutMs`. */
export function createPeerTable(
  initialTimeoutMs: number,
  logger: Logger,
): PeerTable {
  let timeoutMs = initialTimeoutMs;
  const peers = new Map<string, Peer>();
  const lastSeenAt = new Map<string, number>();
  return {
    updateState: (name, incarnation, state, nowMs) => {
      const known = peers.get(name);
      const isStale =
        known !== undefined &&
        known.incarnation === incarnation &&
        known.state.sequence >= state.sequence;
      if (isStale) return false;
      const isNew = known === undefined || known.incarnation !== incarnation;
      if (isNew) logger.log(PEER_SEEN, {peer: name, incarnation});
      if (state.isLeaving && (isNew || !known.state.isLeaving)) {
        logger.log(PEER_LEAVING, {peer: name, incarnation});
      }
      peers.set(name, {name, incarnation, state, lastSeenAtMs: nowMs});
      lastSeenAt.set(name, nowMs);
      return true;
    },
    recordMessage: (name, incarnation, nowMs) => {
      const known = peers.get(name);
      if (known?.incarnation !== incarnation) return;
      known.lastSeenAtMs = nowMs;
      lastSeenAt.set(name, nowMs);
    },
    listResponsive: nowMs =>
      [...peers.values()].filter(
        ({lastSeenAtMs}) => nowMs - lastSeenAtMs < timeoutMs,
      ),
    getPeer: name => peers.get(name),
    getLastSeenAtMs: name => lastSeenAt.get(name),
    removeUnresponsive: nowMs => {
      const silent = [...peers.values()].filter(
        ({lastSeenAtMs}) => nowMs - lastSeenAtMs >= timeoutMs,
      );
      for (const {name, lastSeenAtMs} of silent) {
        peers.delete(name);
        logger.log(PEER_UNRESPONSIVE, {
          peer: name,
          silentMs: Math.round(nowMs - lastSeenAtMs),
        });
      }
      return silent.map(({name}) => name);
    },
    setTimeoutMs: nextMs => {
      timeoutMs = nextMs;
    },
  };
}
