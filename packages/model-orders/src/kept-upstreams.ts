/**
 * Keeps upstreams free to load a model for streams that lose its only replica at
 * their software version. An upstream carries out one order at a time, and few
 * upstreams of a version may be left that have room for the model.
 */
import type {ModelSpec} from '@siskinplank/serving';
import type {PlannedUpstream} from './planned-upstream';
import type {ReplicaVersions} from './replica-versions';

/** What `createKeptUpstreams` needs. */
export interface KeptUpstreamOptions {
  upstreams: readonly PlannedUpstream[];
  /** Models that can be loaded while the callers of such streams wait. */
  models: readonly ModelSpec[];
  replicaVersions: ReplicaVersions;
  /** Whether a change can be planned for the upstream. */
  isFree(upstream: PlannedUpstream): boolean;
  /** Whether the model fits on the upstream after evictions. */
  hasRoom(upstream: PlannedUpstream, model: ModelSpec): boolean;
}

/** Creates the check whether an upstream takes no other loads. */
export function createKeptUpstreams(
  options: KeptUpstreamOptions,
): (upstream: PlannedUpstream) => boolean {
  const {upstreams, models, replicaVersions, isFree, hasRoom} = options;
  const groups = new Map<string, PlannedUpstream[]>();
  for (const upstream of upstreams) {
    const group = groups.get(upstream.softwareVersion) ?? [];
    groups.set(upstream.softwareVersion, group);
    group.push(upstream);
  }
  if (groups.size < 2) return () => false;

  /** By version: upstreams with room, for each model at risk. */
  const takers = new Map<string, PlannedUpstream[][]>();
  for (const [softwareVersion, group] of groups) {
    const atRisk = models.filter(
      ({name}) =>
        replicaVersions.getCount(name, softwareVersion) === 1 &&
        group.some(({openByModel}) => (openByModel.get(name) ?? 0) > 0),
    );
    takers.set(
      softwareVersion,
      atRisk.map(model => group.filter(upstream => hasRoom(upstream, model))),
    );
  }

  return upstream =>
    (takers.get(upstream.softwareVersion) ?? []).some(
      group =>
        group.includes(upstream) &&
        !group.some(other => other !== upstream && isFree(other)),
    );
}
