/** Authenticated links between the processes of a cluster. */
export * from './types';
export {createPeerNetwork} from './network';
export type {PeerNetworkOptions} from './network';
export type {TransportLimits} from './limits';
export {computeBackoffMs} from './backoff';
