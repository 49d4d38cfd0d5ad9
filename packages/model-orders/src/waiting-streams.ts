/** Streams that wait for a load of their model at one software version. */
import type {ModelSpec} from '@siskinplank/serving';
import type {ModelDemand} from './demand-tracker';
import {
  RESUME_WAIT_MS,
  estimateLoadMs,
  hasSeveralVersions,
} from './planned-upstream';
import type {PlannedUpstream} from './planned-upstream';

/** Streams of one model that wait for a load at one software version. */
export interface WaitingStreams {
  model: ModelSpec;
  softwareVersion: string;
  count: number;
}

/** Lists streams whose load has not begun, the most numerous ones first. */
export function listWaitingStreams({
  demand,
  models,
  upstreams,
}: {
  demand: readonly ModelDemand[];
  models: ReadonlyMap<string, ModelSpec>;
  upstreams: readonly PlannedUpstream[];
}): WaitingStreams[] {
  if (!hasSeveralVersions(upstreams)) return [];
  return demand
    .flatMap(({model: name, waitingByVersion}) => {
      const model = models.get(name);
      if (model === undefined) return [];
      return [...waitingByVersion].map(([softwareVersion, count]) => ({
        model,
        softwareVersion,
        count,
      }));
    })
    .filter(({model, softwareVersion}) => {
      const ofVersion = upstreams.filter(
        upstream => upstream.softwareVersion === softwareVersion,
      );
      const hasCopy = ofVersion.some(
        ({serving, isAnswering}) => isAnswering && serving.has(model.name),
      );
      const canEndInTime = ofVersion.some(
        upstream => estimateLoadMs(upstream, model) <= RESUME_WAIT_MS,
      );
      return canEndInTime && !hasCopy;
    })
    .sort((left, right) => right.count - left.count);
}
