/** Matches requests to routes of services by method and path pattern. */
import {Either, Left, Right} from 'purify-ts';
import type {ConfigurationView} from '@siskinplank/configuration';
import {RefusalCode, ResourceKind} from '@siskinplank/resources';
import type {Route} from '@siskinplank/resources';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** Finds the route of a request by method and path. */
export interface RouteTable {
  findRoute(method: string, url: string): Either<Refusal, Route>;
}

interface CompiledRoute {
  route: Route;
  segments: readonly string[];
  hasWildcard: boolean;
}

/** Path parts that another server could resolve to a different path. */
const AMBIGUOUS_PATH = /(^|\/)\.{1,2}(\/|$)|%2f|%5c|%2e|%00|\\|\/\//i;

/** Creates a route table that is updated with the configuration. */
export function createRouteTable(configuration: ConfigurationView): RouteTable {
  let revision = -1;
  let compiled: readonly CompiledRoute[] = [];

  const refresh = (): void => {
    if (configuration.getRevision() === revision) return;
    revision = configuration.getRevision();
    compiled = configuration
      .listObjects(ResourceKind.Route)
      .map(object => compileRoute(object.value))
      .sort(compareSpecificity);
  };

  return {
    findRoute: (method, url) => {
      refresh();
      const path = url.split('?', 1)[0];
      if (AMBIGUOUS_PATH.test(path)) {
        return Left(
          makeRefusal(
            RefusalCode.InvalidRequest,
            'The path contains dot segments or encoded separators.',
          ),
        );
      }
      const segments = splitPath(path);
      const matching = compiled.filter(entry => isMatch(entry, segments));
      const found = matching.find(entry =>
        entry.route.methods.some(name => name === method),
      );
      if (found !== undefined) return Right(found.route);
      return Left(
        makeRefusal(
          RefusalCode.RouteNotFound,
          matching.length > 0
            ? 'No route for this method.'
            : 'No route for this path.',
          {status: matching.length > 0 ? 405 : 404},
        ),
      );
    },
  };
}

function splitPath(path: string): readonly string[] {
  return path.split('/').filter(segment => segment !== '');
}

function compileRoute(route: Route): CompiledRoute {
  const segments = splitPath(route.path);
  const hasWildcard = segments.at(-1) === '*';
  return {
    route,
    segments: hasWildcard ? segments.slice(0, -1) : segments,
    hasWildcard,
  };
}

function isMatch(entry: CompiledRoute, segments: readonly string[]): boolean {
  const isLengthMatching = entry.hasWildcard
    ? segments.length >= entry.segments.length
    : segments.length === entry.segments.length;
  if (!isLengthMatching) return false;
  return entry.segments.every(
    (pattern, index) => pattern.startsWith(':') || pattern === segments[index],
  );
}

/** Sorts literal segments before parameters, and longer patterns first. */
function compareSpecificity(a: CompiledRoute, b: CompiledRoute): number {
  const length = Math.min(a.segments.length, b.segments.length);
  for (let index = 0; index < length; index += 1) {
    const isParameterA = a.segments[index].startsWith(':');
    const isParameterB = b.segments[index].startsWith(':');
    if (isParameterA !== isParameterB) return isParameterA ? 1 : -1;
  }
  if (a.segments.length !== b.segments.length) {
    return b.segments.length - a.segments.length;
  }
  if (a.hasWildcard !== b.hasWildcard) return a.hasWildcard ? 1 : -1;
  return a.route.name < b.route.name ? -1 : 1;
}
