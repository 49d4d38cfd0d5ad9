/** Chooses another upstream for a request that this one refuses. */
import type {ConfigurationView} from '@siskinplank/configuration';
import {TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import {
  ResourceKind,
  UpstreamState,
  UpstreamType,
} from '@siskinplank/resources';
import type {Random} from '@siskinplank/foundation';

function listCandidates(
  target: RequestTarget,
  configuration: ConfigurationView,
): readonly string[] {
  if (target.type === TargetType.Route) {
    const route = configuration.getObject(ResourceKind.Route, target.route);
    return route?.value.upstreams ?? [];
  }
  const placed = configuration
    .listObjects(ResourceKind.Placement)
    .filter(({value}) => value.models.some(({name}) => name === target.model));
  if (placed.length > 0) return placed.map(({name}) => name);
  const model = configuration.getObject(ResourceKind.Model, target.model);
  if (model === undefined) return [];
  if (model.value.upstreams.length > 0) return model.value.upstreams;
  return configuration
    .listObjects(ResourceKind.Upstream)
    .filter(({value}) => value.type === UpstreamType.Engine)
    .map(({name}) => name);
}

/** Picks another active upstream that may serve the target. */
export function chooseRedirect(
  target: RequestTarget,
  ownName: string,
  configuration: ConfigurationView,
  random: Random,
): string | undefined {
  const candidates = listCandidates(target, configuration).filter(name => {
    const upstream = configuration.getObject(ResourceKind.Upstream, name);
    return name !== ownName && upstream?.value.state === UpstreamState.Active;
  });
  return candidates[random.getInteger(candidates.length)];
}
