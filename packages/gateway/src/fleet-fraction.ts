/** The fraction of the limits of the whole fleet that this gateway spends. */
import type {GatewayRegistry, PeerTable} from '@siskinplank/fleet';
import {createShareFraction} from '@siskinplank/token-shares';

/** Gateways that this one or a peer counts, this one included. */
export function countMembers(
  registry: GatewayRegistry,
  peers: Pick<PeerTable, 'getPeer'>,
): number {
  const others = registry.listOthers();
  return Math.max(
    others.length + 1,
    ...others.map(({name}) => peers.getPeer(name)?.state.memberCount ?? 0),
  );
}

/** Follows the registered gateways. */
export interface FleetFraction {
  /** Returns the fraction that applies from `nowMs`. */
  update(
    registry: GatewayRegistry,
    peers: Pick<PeerTable, 'getPeer'>,
    nowMs: number,
  ): number;
  get(): number;
}

/**
 * Creates a fraction of 0.
 *
 * @param settleMs time within which a change of the registrations reaches every
 *     gateway that may serve requests.
 */
export function createFleetFraction(settleMs: number): FleetFraction {
  const fraction = createShareFraction(settleMs);
  let current = 0;
  return {
    update: (registry, peers, nowMs) => {
      const others = registry.listOthers();
      const isKnownToAll = others.every(({name}) =>
        registry.isKnownAt(peers.getPeer(name)?.state.directoryRevision ?? 0),
      );
      // Without a fraction, the others may not know of a registration that a
      // restored store lost.
      const isRegistered =
        current > 0
          ? registry.isRegistered()
          : registry.getOwnRevision() !== undefined;
      current = fraction.update({
        gatewayCount: countMembers(registry, peers),
        isRegistered,
        hadPredecessor: registry.hadPredecessor(),
        isKnownToAll,
        nowMs,
      });
      return current;
    },
    get: () => current,
  };
}
