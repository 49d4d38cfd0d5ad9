/** Renders the system status in the view of one process. */
import {create} from '@bufbuild/protobuf';
import {ResourceKind} from '@siskinplank/resources';
import {GetStatusResponseSchema} from './generated/siskinplank/admin/v1/admin_pb';
import type {GetStatusResponse} from './generated/siskinplank/admin/v1/admin_pb';
import type {AdminDependencies} from './types';

/** Makes the status response from the local views. */
export function makeStatus(
  dependencies: AdminDependencies,
  nowMs: number,
): GetStatusResponse {
  const {configuration, membership, listLoads, processName} = dependencies;
  const freshness = configuration.getFreshness(nowMs);
  const loads = new Map(
    listLoads(nowMs).map(reported => [reported.load.upstream, reported]),
  );
  const upstreams = configuration
    .listObjects(ResourceKind.Upstream)
    .map(object => {
      const reported = loads.get(object.name);
      return {
        name: object.name,
        state: object.value.state,
        queuedRequests: reported?.load.queuedRequests ?? 0,
        runningRequests: reported?.load.running ?? 0,
        freeMemoryMiB: reported?.load.freeMemoryMiB ?? 0,
        models: reported?.load.models ?? [],
        adapters: reported?.load.adapters ?? [],
        reportAgeMs: reported?.ageMs,
      };
    });
  return create(GetStatusResponseSchema, {
    process: processName,
    revision: BigInt(configuration.getRevision()),
    freshness: freshness.state,
    freshnessAgeMs: freshness.ageMs,
    members: membership.listMembers(nowMs).map(member => ({
      name: member.name,
      role: member.role,
      failureDomain: member.failureDomain,
      state: member.state,
    })),
    upstreams,
  });
}
