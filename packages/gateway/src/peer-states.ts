/** Applies the states that other gateways have sent. */
import type {UpstreamTable} from '@siskinplank/dispatch';
import type {Peer} from '@siskinplank/fleet';
import type {ConfigurationReplica} from './configuration-replica';
import type {OrderManager} from './order-manager';
import type {RequestGuard} from './request-guard';
import type {SharedLimits} from './shared-limits';
import type {UpstreamView} from './upstream-view';

/** Components that states of other gateways concern. */
export interface PeerStateComponents {
  orders: OrderManager;
  upstreams: UpstreamTable;
  view: UpstreamView;
  guard: RequestGuard;
  configuration: ConfigurationReplica;
  limits: SharedLimits;
}

/** Applies the states of the peers that have sent a new one. */
export function applyPeerStates(
  components: PeerStateComponents,
  changed: readonly Peer[],
  nowMs: number,
): void {
  const {orders, upstreams, view, guard} = components;
  let isWaiting = false;
  for (const {name, incarnation, state} of changed) {
    const {orderToken, isOrdering} = state;
    orders.leadership.observeToken(orderToken);
    if (isOrdering) {
      orders.leadership.observeHolder(name, incarnation, orderToken);
    }
    upstreams.setPeerLoad(name, state.open);
    upstreams.setPeerFaults(name, state.faults, nowMs);
    view.recordLeaving(state.leaving, nowMs);
    guard.updatePeer(state.poison, nowMs);
    isWaiting ||= Object.values(state.demand).some(
      ([, waiting]) => waiting > 0,
    );
  }
  components.configuration.observePeers(nowMs);
  components.limits.updatePeers(changed, nowMs);
  if (isWaiting) orders.schedulePlan();
}
