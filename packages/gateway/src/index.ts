/** Gateway role: serves callers from upstreams that queue and batch requests themselves. */
export {createGatewayProcess} from './gateway-process';
export type {GatewayOptions, GatewayProcess} from './gateway-process';
