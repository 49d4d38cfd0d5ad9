/** Look-up of routes and client accounts in one configuration version. */
import type {ClientAccount, Route, ServingConfiguration} from './configuration';

/** Index of a configuration by host, path and key. */
export interface RouteTable {
  readonly configuration: ServingConfiguration;
  /** Finds the route with the longest prefix of the path of `target`. */
  findRoute(hostName: string, target: string): Route | undefined;
  findAccount(key: string): ClientAccount | undefined;
  getAccount(name: string): ClientAccount | undefined;
  /** Whether some service can load the model. */
  hasModel(model: string): boolean;
}

function extractPath(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** Indexes a configuration. */
export function createRouteTable(
  configuration: ServingConfiguration,
): RouteTable {
  /** Routes by host name and path prefix. */
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const routes = routesByHost.get(route.hostName) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    routesByHost.set(route.hostName, routes);
  }
  const accountsByKey = new Map<string, ClientAccount>();
  const accountsByName = new Map<string, ClientAccount>();
  for (const account of configuration.accounts ?? []) {
    accountsByName.set(account.name, account);
    for (const key of account.keys) accountsByKey.set(key, account);
  }
  const offeredModels = new Set(
    [...configuration.services.values()].flatMap(({engine}) => [
      ...(engine?.models.keys() ?? []),
    ]),
  );
  return {
    configuration,
    findRoute: (hostName, target) => {
      const routes = routesByHost.get(hostName);
      if (routes === undefined) return undefined;
      const path = extractPath(target);
      let end = path.lastIndexOf('/');
      while (end >= 0) {
        const route = routes.get(path.slice(0, end + 1));
        if (route !== undefined) return route;
        end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
      }
      return undefined;
    },
    findAccount: key => accountsByKey.get(key),
    getAccount: name => accountsByName.get(name),
    hasModel: model => offeredModels.has(model),
  };
}
