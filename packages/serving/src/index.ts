/** What a gateway serves: routes, services, client accounts, upstreams and caller requests. */
export * from './configuration';
export * from './upstreams';
export * from './requests';
export * from './ports';
export {createRouteTable} from './route-table';
export type {RouteTable} from './route-table';
