/** What the other gateways last said of themselves. */
import type {Logger} from '@siskinplank/foundation';
import type {MessageOf, MessageType} from '@siskinplank/messages';
import {PEER_SEEN, PEER_UNRESPONSIVE} from './events';

export type GatewayState = MessageOf<MessageType.GatewayState>;

/** A gateway that was heard of lately. */
export interface Peer {
  name: string;
  incarnation: string;
  state: GatewayState;
  lastSeenAtMs: number;
}

/** States of the other gateways. */
export interface PeerTable {
  /** Notes a state; false for one that is older than the last. */
  updateState(
    name: string,
    incarnation: string,
    state: GatewayState,
    nowMs: number,
  ): boolean;
  /** Gateways heard of within the silence limit. */
  listResponsive(nowMs: number): readonly Peer[];
  getPeer(name: string): Peer | undefined;
  /** When a gateway was last heard of, also if it is silent now. */
  getLastSeenAtMs(name: string): number | undefined;
  /** Drops gateways that were silent for too long; returns their names. */
  removeUnresponsive(nowMs: number): readonly string[];
}

/**
 * Creates an empty table.
 *
 * @param silenceMs time after which a state is not used any more.
 */
export function createPeerTable(silenceMs: number, logger: Logger): PeerTable {
  const peers = new Map<string, Peer>();
  const heardAt = new Map<string, number>();
  return {
    updateState: (name, incarnation, state, nowMs) => {
      const known = peers.get(name);
      const isOld =
        known !== undefined &&
        known.incarnation === incarnation &&
        known.state.sequence >= state.sequence;
      if (isOld) return false;
      if (known === undefined || known.incarnation !== incarnation) {
        logger.log(PEER_SEEN, {peer: name, incarnation});
      }
      peers.set(name, {name, incarnation, state, lastSeenAtMs: nowMs});
      heardAt.set(name, nowMs);
      return true;
    },
    listResponsive: nowMs =>
      [...peers.values()].filter(
        ({lastSeenAtMs: heardAtMs}) => nowMs - heardAtMs < silenceMs,
      ),
    getPeer: name => peers.get(name),
    getLastSeenAtMs: name => heardAt.get(name),
    removeUnresponsive: nowMs => {
      const silent = [...peers.values()].filter(
        ({lastSeenAtMs: heardAtMs}) => nowMs - heardAtMs >= silenceMs,
      );
      for (const {name, lastSeenAtMs: heardAtMs} of silent) {
        peers.delete(name);
        logger.log(PEER_UNRESPONSIVE, {
          peer: name,
          silentMs: Math.round(nowMs - heardAtMs),
        });
      }
      return silent.map(({name}) => name);
    },
  };
}
