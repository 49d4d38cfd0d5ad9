/** Types of a gateway: configuration, upstreams, requests, platform ports. */
export * from './configuration';
export * from './upstreams';
export * from './requests';
export * from './ports';
export {createRouteTable} from './route-table';
export type {RouteTable} from './route-table';
