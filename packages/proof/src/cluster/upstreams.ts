/** Plan of the upstreams under test and their Upstream objects. */
import {UpstreamState, UpstreamType} from '@siskinplank/resources';
import type {Upstream} from '@siskinplank/resources';
import type {EngineSpec, ServiceSpec} from './types';

/** An upstream before its processes start. */
export interface UpstreamPlan {
  name: string;
  sideName: string;
  failureDomain: string;
  region: string;
  type: UpstreamType;
  spec: EngineSpec | ServiceSpec;
}

const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c', 'domain-d'];
const DEFAULT_REGION = 'default';
/** Total memory of an engine stand-in for which none is given. */
export const DEFAULT_ENGINE_MEMORY_MIB = 81_920;

/** Spreads processes without a failure domain over a few. */
export function chooseFailureDomain(index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
}

/** Names the upstreams and places them. */
export function planUpstreams(
  engines: readonly EngineSpec[],
  services: readonly ServiceSpec[],
): UpstreamPlan[] {
  const makePlan =
    (type: UpstreamType) =>
    (spec: EngineSpec | ServiceSpec, index: number): UpstreamPlan => {
      const name = spec.name ?? `${type}-${index + 1}`;
      return {
        name,
        sideName: `side-${name}`,
        failureDomain: spec.failureDomain ?? chooseFailureDomain(index),
        region: spec.region ?? DEFAULT_REGION,
        type,
        spec,
      };
    };
  return [
    ...engines.map(makePlan(UpstreamType.Engine)),
    ...services.map(makePlan(UpstreamType.Service)),
  ];
}

/** Builds the Upstream object from the ports that other processes use. */
export function buildUpstream(
  plan: UpstreamPlan,
  standInPort: number,
  linkPort: number,
): Upstream {
  const isEngine = plan.type === UpstreamType.Engine;
  const options = isEngine ? (plan.spec as EngineSpec).options : undefined;
  return {
    name: plan.name,
    type: plan.type,
    address: {host: '127.0.0.1', port: standInPort},
    side: {host: '127.0.0.1', port: linkPort},
    failureDomain: plan.failureDomain,
    region: plan.region,
    accelerators: isEngine ? 1 : 0,
    memoryMiB: isEngine
      ? (options?.totalMemoryMiB ?? DEFAULT_ENGINE_MEMORY_MIB)
      : 0,
    checksFencing: options?.checksFencing ?? true,
    maxConcurrency: 16,
    state: UpstreamState.Active,
    ...plan.spec.upstream,
  };
}
