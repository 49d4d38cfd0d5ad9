/** Control of a plain service, which loads no models. */
import type {ConfigurationView} from '@siskinplank/configuration';
import {TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import type {UpstreamControl} from './upstream-control';

/** Creates the control of the plain service `upstreamName`. */
export function createServiceControl(
  upstreamName: string,
  configuration: ConfigurationView,
): UpstreamControl {
  const canServe = (target: RequestTarget): boolean => {
    if (target.type !== TargetType.Route) return false;
    const route = configuration.getObject(ResourceKind.Route, target.route);
    return route?.value.upstreams.includes(upstreamName) ?? false;
  };
  return {
    start: () => undefined,
    stop: () => Promise.resolve(),
    isReady: () => true,
    canServe,
    notifyQueued: () => undefined,
    summarizeContent: () => ({
      freeMemoryMiB: 0,
      models: [],
      loadingModels: [],
      adapters: [],
      cachedPrefixes: [],
    }),
  };
}
