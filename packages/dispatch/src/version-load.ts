/**
 * Decides whether a stream that goes on waits for a load of its model at the
 * software version that began it. It can't go on at another version, and a load
 * that ends after its caller has left is in vain.
 */
import {computeMaxWaitMs} from './caller-patience';
import type {CallerTargets} from './caller-patience';
import type {UpstreamEntry} from './upstream-table';

/** A stream that goes on, and the upstreams of its service. */
export interface VersionLoadInput extends CallerTargets {
  model: string;
  softwareVersion: string;
  /** Upstreams of all versions. */
  entries: readonly UpstreamEntry[];
  /** Time of a load from the weight store. */
  storeLoadMs: number;
  arrivedAtMs: number;
  deadlineAtMs: number;
  nowMs: number;
}

/** Time until the order leader has planned and ordered a load. */
const PLANNING_MS = 150;

/** Whether the stream may wait until a load is planned at its version. */
export function mayAwaitVersionLoad(input: VersionLoadInput): boolean {
  const {model, softwareVersion, nowMs} = input;
  const reachable = input.entries.filter(entry => !entry.isUnreachable(nowMs));
  const isArriving = ({modelState}: UpstreamEntry): boolean =>
    modelState.arriving?.model === model;
  const isHolder = ({modelState}: UpstreamEntry): boolean =>
    modelState.models.has(model);
  const isOneVersion = input.entries.every(
    ({upstream}) => upstream.softwareVersion === softwareVersion,
  );
  if (isOneVersion)
    return !reachable.some(entry => isHolder(entry) || isArriving(entry));
  const ofVersion = reachable.filter(
    ({upstream}) => upstream.softwareVersion === softwareVersion,
  );
  // An upstream that holds the model was tried, and is tried once more at most.
  if (ofVersion.some(isHolder)) return false;
  if (ofVersion.some(isArriving)) return true;
  const loadMs = Math.min(
    ...ofVersion.map(
      ({modelState}) => modelState.warmLoadMs.get(model) ?? input.storeLoadMs,
    ),
  );
  const waitEndsAtMs = Math.min(
    input.arrivedAtMs + computeMaxWaitMs(input),
    input.deadlineAtMs,
  );
  return nowMs + PLANNING_MS + loadMs <= waitEndsAtMs;
}
