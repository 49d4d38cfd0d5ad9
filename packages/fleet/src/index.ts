/** Gateways of a deployment: registration, peer states and the order leader. */
export * from './types';
export {GATEWAYS_KIND, ORDER_LEASES_KIND, LINK_KEYS_KIND} from './records';
export {ensureLinkKey} from './link-key';
export {createGatewayRegistry} from './gateway-registry';
export type {GatewayRegistry, GatewayRegistryOptions} from './gateway-registry';
export {listExpiredRegistrations} from './registration-expiry';
export type {RegistrationExpiryInput} from './registration-expiry';
export {planStateSchedule} from './state-schedule';
export type {StateSchedule} from './state-schedule';
export {createPeerTable} from './peer-table';
export type {GatewayState, Peer, PeerTable} from './peer-table';
export {createOrderLeadership} from './order-leadership';
export type {OrderLeadership, OrderLeadershipOptions} from './order-leadership';
export {TakeoverReason, planTakeover} from './takeover';
export type {TakeoverInput, TakeoverPlan} from './takeover';
