/** Lists upstreams for a request from configuration, membership and load. */
import type {ConfigurationView} from '@siskinplank/configuration';
import type {MembershipView} from '@siskinplank/membership';
import {MemberState, TargetType} from '@siskinplank/messages';
import type {Member, RequestTarget} from '@siskinplank/messages';
import {
  ResourceKind,
  UpstreamState,
  UpstreamType,
} from '@siskinplank/resources';
import type {Upstream} from '@siskinplank/resources';
import type {LoadTable, UpstreamLoad} from './load-table';
import type {RoutingCandidate} from './types';

/** Sources of a candidate list. */
export interface CandidateSources {
  configuration: ConfigurationView;
  membership: MembershipView;
  loads: LoadTable;
  /**
   * Chooses the upstreams on which a model without a placement is to be loaded.
   * Needed when each entry host receives load reports of only some upstreams:
   * hosts with different reports would load the model on different upstreams.
   */
  chooseLoadTargets?: (
    model: string,
    upstreams: readonly Upstream[],
  ) => ReadonlySet<string>;
}

/** Without a report for this long an upstream is suspect; the period is 1 s. */
export const SUSPECT_REPORT_AGE_MS = 5_000;

function listAllowedUpstreams(
  target: RequestTarget,
  configuration: ConfigurationView,
): readonly Upstream[] {
  const upstreams = configuration
    .listObjects(ResourceKind.Upstream)
    .map(object => object.value);
  if (target.type === TargetType.Route) {
    const route = configuration.getObject(ResourceKind.Route, target.route);
    const names = new Set(route?.value.upstreams ?? []);
    return upstreams.filter(
      upstream =>
        upstream.type === UpstreamType.Service && names.has(upstream.name),
    );
  }
  const model = configuration.getObject(ResourceKind.Model, target.model);
  if (model === undefined) return [];
  const names = new Set(model.value.upstreams);
  const adapter =
    target.adapter === undefined
      ? undefined
      : configuration.getObject(ResourceKind.Adapter, target.adapter);
  const neededMiB = model.value.memoryMiB + (adapter?.value.memoryMiB ?? 0);
  return upstreams.filter(
    upstream =>
      upstream.type === UpstreamType.Engine &&
      (names.size === 0 || names.has(upstream.name)) &&
      upstream.memoryMiB >= neededMiB,
  );
}

/**
 * Lists the upstreams that are configured to serve `target`, including those
 * that membership reports as suspect or leaving at present.
 */
export function listActiveUpstreams(
  target: RequestTarget,
  configuration: ConfigurationView,
): readonly Upstream[] {
  return listAllowedUpstreams(target, configuration).filter(
    upstream => upstream.state === UpstreamState.Active,
  );
}

function isPlacedOn(
  target: RequestTarget,
  upstream: string,
  configuration: ConfigurationView,
): boolean {
  if (target.type === TargetType.Route) return true;
  const placement = configuration.getObject(ResourceKind.Placement, upstream);
  return (
    placement?.value.models.some(model => model.name === target.model) ?? false
  );
}

function resolveMemberState(
  member: Member | undefined,
  state: UpstreamLoad,
): MemberState {
  const states = [member?.state, state.load?.state];
  if (states.includes(MemberState.Leaving)) return MemberState.Leaving;
  if (states.includes(MemberState.Suspect)) return MemberState.Suspect;
  if (state.loadAgeMs > SUSPECT_REPORT_AGE_MS && member === undefined) {
    return MemberState.Suspect;
  }
  return MemberState.Live;
}

/**
 * Lists the upstreams that may serve `target`. Upstreams that are leaving
 * according to the configuration, the membership or a load report are left
 * out. Suspect ones are listed with that state, as the last resort.
 */
export function buildCandidates(
  target: RequestTarget,
  sources: CandidateSources,
  nowMs: number,
): readonly RoutingCandidate[] {
  const {configuration, membership, loads} = sources;
  const membersByAddress = new Map(
    membership
      .listMembers(nowMs)
      .map(member => [`${member.host}:${member.port}`, member]),
  );
  const candidates: RoutingCandidate[] = [];
  for (const upstream of listAllowedUpstreams(target, configuration)) {
    if (upstream.state === UpstreamState.Leaving) continue;
    const state = loads.getLoad(upstream.name, nowMs);
    const member = membersByAddress.get(
      `${upstream.side.host}:${upstream.side.port}`,
    );
    const memberState = resolveMemberState(member, state);
    if (memberState === MemberState.Leaving) continue;
    candidates.push({
      upstream,
      ...state,
      memberState,
      isPlaced: isPlacedOn(target, upstream.name, configuration),
    });
  }
  if (
    sources.chooseLoadTargets === undefined ||
    target.type !== TargetType.Model
  ) {
    return candidates;
  }
  if (candidates.some(candidate => candidate.isPlaced)) return candidates;
  const loadTargets = sources.chooseLoadTargets(
    target.model,
    candidates.map(candidate => candidate.upstream),
  );
  return candidates.map(candidate => ({
    ...candidate,
    isPlaced: loadTargets.has(candidate.upstream.name),
  }));
}
