/** Fault soak: gateway processes under random faults, with checks of the records. */
export {runSoak} from './run';
export type {SoakOptions, SoakResult} from './run';
export {createSoakGateway} from './gateways';
export type {SoakGateway} from './gateways';
export {startGatewayFleet} from './testing/gateway-fleet';
export type {
  GatewayFleet,
  GatewayFleetOptions,
  StreamInput,
} from './testing/gateway-fleet';
