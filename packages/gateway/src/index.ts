/** Role that serves callers straight from upstreams which queue and batch by themselves. */
export {createGatewayProcess} from './gateway-process';
export type {GatewayOptions, GatewayProcess} from './gateway-process';
