/** Policies that choose an upstream for a request. */
import type {Random} from '@siskinplank/foundation';
import type {UpstreamEntry} from './upstream-table';

/** Properties of a request that the choice of an upstream depends on. */
export interface DispatchRequest {
  model: string | undefined;
  adapter: string | undefined;
  promptTokens: number;
  /** Upstreams that earlier attempts of this request were sent to. */
  triedUpstreamIds: ReadonlySet<string>;
  /** Failure domain of this gateway. */
  failureDomain: string;
  /**
   * Whether it is a stream that can go on at another upstream of the software
   * version that began it.
   */
  isResumable: boolean;
}

/** A chosen upstream. */
export interface DispatchChoice {
  entry: UpstreamEntry;
  /** Whether the adapter has to be loaded on the upstream first. */
  needsAdapterLoad: boolean;
}

/** Chooses among the upstreams of a service. */
export abstract class DispatchPolicy {
  /** Returns undefined when no upstream can run the request now. */
  abstract chooseUpstream(
    request: DispatchRequest,
    entries: readonly UpstreamEntry[],
    nowMs: number,
  ): DispatchChoice | undefined;
}

/** Policies by their name in the settings. */
export enum DispatchPolicyName {
  LeastOutstanding = 'least-outstanding',
  EstimatedLatency = 'estimated-latency',
}

function canServeModel(
  entry: UpstreamEntry,
  request: DispatchRequest,
): boolean {
  if (request.triedUpstreamIds.has(entry.upstream.id)) return false;
  return (
    request.model === undefined || entry.modelState.models.has(request.model)
  );
}

function hasAdapter(entry: UpstreamEntry, request: DispatchRequest): boolean {
  const {model, adapter} = request;
  if (model === undefined || adapter === undefined) return true;
  return entry.modelState.models.get(model)?.has(adapter) ?? false;
}

/**
 * Baseline policy: chooses the upstream with the fewest open requests, breaking
 * ties at random. Ignores prompt lengths and never loads adapters.
 */
class LeastOutstandingPolicy extends DispatchPolicy {
  constructor(private readonly random: Random) {
    super();
  }

  chooseUpstream(
    request: DispatchRequest,
    entries: readonly UpstreamEntry[],
  ): DispatchChoice | undefined {
    const usable = entries.filter(
      entry => canServeModel(entry, request) && hasAdapter(entry, request),
    );
    const least = Math.min(...usable.map(({open}) => open.requests));
    const best = usable.filter(({open}) => open.requests === least);
    const entry = best[this.random.getInteger(Math.max(1, best.length))];
    return entry === undefined ? undefined : {entry, needsAdapterLoad: false};
  }
}

/** Prompt processing time per token; upstreams process 19 to 26 tokens a ms. */
const PROMPT_MS_PER_TOKEN = 0.05;
/** Each open request slows every step of the shared batch by about this. */
const SLOWDOWN_MS_PER_REQUEST = 4;
/** Time to order and load an adapter. */
const ADAPTER_LOAD_MS = 30;
/** Round trip to another failure domain, plus the cost of its traffic. */
const OTHER_DOMAIN_MS = 8;
/** Penalty for one recent fault. */
const FAULT_PENALTY_MS = 600;
/** Penalty for a recent failure to connect. */
const UNREACHABLE_PENALTY_MS = 2_000;
/** Penalty for an upstream whose streams have all stalled. */
const STALL_PENALTY_MS = 3_000;
/**
 * Penalty for the only upstream of its software version with the model while
 * another version has several, since a stream can't go on elsewhere when that
 * upstream ends. A stream lasts about 5 s and an upstream ends about once in
 * 80 s, so 6% of them would be lost, at 500 ms each, a usual target latency.
 */
const LONE_VERSION_PENALTY_MS = 30;
/**
 * Penalty for an upstream of a version that may be leaving, while each version
 * has one with the model. Few others of that version may be left to load the
 * model for its streams, and a model that gets no new ones makes room there.
 */
const LEAVING_VERSION_PENALTY_MS = 60;
/** Penalty per multiple of the shortest pause among the upstreams. */
const SLOWNESS_PENALTY_MS = 150;
/** Load alone explains pauses up to this multiple of the shortest one. */
const MAX_USUAL_PAUSE_MULTIPLE = 2;
/**
 * Random addition to each estimate. Without it, gateways that choose at the
 * same time would all pick the same upstream among nearly equal ones.
 */
const JITTER_MS = 6;

/** Counts the upstreams that have the model, by software version. */
function countHolders(
  model: string | undefined,
  entries: readonly UpstreamEntry[],
  nowMs: number,
): Map<string, number> {
  const counts = new Map<string, number>();
  if (model === undefined) return counts;
  for (const entry of entries) {
    const isHolder =
      entry.modelState.models.has(model) && !entry.isUnreachable(nowMs);
    if (!isHolder) continue;
    const {softwareVersion} = entry.upstream;
    counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
  }
  return counts;
}

/**
 * Finds the version that most upstreams have, or that one of them started with
 * last; undefined if the versions are alike.
 */
function findMainVersion(
  entries: readonly UpstreamEntry[],
  nowMs: number,
): string | undefined {
  const versions = new Map<string, {count: number; startedAtMs: number}>();
  for (const entry of entries) {
    if (entry.isUnreachable(nowMs)) continue;
    const {softwareVersion, startedAtMs} = entry.upstream;
    const known = versions.get(softwareVersion);
    versions.set(softwareVersion, {
      count: (known?.count ?? 0) + 1,
      startedAtMs: Math.max(known?.startedAtMs ?? 0, startedAtMs),
    });
  }
  const [first, second] = [...versions].sort(
    ([, left], [, right]) =>
      right.count - left.count || right.startedAtMs - left.startedAtMs,
  );
  const isAlike =
    first?.[1].count === second?.[1].count &&
    first?.[1].startedAtMs === second?.[1].startedAtMs;
  return isAlike ? undefined : first?.[0];
}

/** Chooses the upstream with the lowest estimated time to the first event. */
class EstimatedLatencyPolicy extends DispatchPolicy {
  constructor(private readonly random: Random) {
    super();
  }

  chooseUpstream(
    request: DispatchRequest,
    entries: readonly UpstreamEntry[],
    nowMs: number,
  ): DispatchChoice | undefined {
    let best: DispatchChoice | undefined;
    let bestMs = Infinity;
    const {model} = request;
    let shortestPauseMs = Infinity;
    for (const {progress} of entries) {
      if (model === undefined) break;
      const pauseMs = progress.getPauseMs(model, nowMs) ?? Infinity;
      shortestPauseMs = Math.min(shortestPauseMs, pauseMs);
    }
    const estimateSlownessPenaltyMs = ({progress}: UpstreamEntry): number => {
      if (model === undefined) return 0;
      const pauseMs = progress.getPauseMs(model, nowMs);
      if (pauseMs === undefined) return 0;
      const multiple = pauseMs / Math.max(1, shortestPauseMs);
      return (
        Math.max(0, multiple - MAX_USUAL_PAUSE_MULTIPLE) * SLOWNESS_PENALTY_MS
      );
    };
    const holders = request.isResumable
      ? countHolders(model, entries, nowMs)
      : new Map<string, number>();
    const areAllLone = [...holders.values()].every(count => count === 1);
    const mainVersion =
      holders.size > 1 && areAllLone
        ? findMainVersion(entries, nowMs)
        : undefined;
    const estimateVersionPenaltyMs = ({upstream}: UpstreamEntry): number => {
      const {softwareVersion} = upstream;
      if (holders.size < 2) return 0;
      if (!areAllLone) {
        const count = holders.get(softwareVersion) ?? 0;
        return count > 1 ? 0 : LONE_VERSION_PENALTY_MS;
      }
      return mainVersion === undefined || mainVersion === softwareVersion
        ? 0
        : LEAVING_VERSION_PENALTY_MS;
    };
    for (const entry of entries) {
      if (!canServeModel(entry, request)) continue;
      const needsAdapterLoad = !hasAdapter(entry, request);
      // An upstream accepts no other order while it loads a model.
      if (needsAdapterLoad && entry.modelState.arriving !== undefined) continue;
      const isSameDomain =
        entry.upstream.failureDomain === request.failureDomain;
      const estimateMs =
        entry.open.pendingPromptTokens * PROMPT_MS_PER_TOKEN +
        entry.open.requests * SLOWDOWN_MS_PER_REQUEST +
        (needsAdapterLoad ? ADAPTER_LOAD_MS : 0) +
        (isSameDomain ? 0 : OTHER_DOMAIN_MS) +
        entry.getFaultWeight(nowMs) * FAULT_PENALTY_MS +
        (entry.isUnreachable(nowMs) ? UNREACHABLE_PENALTY_MS : 0) +
        (entry.progress.isStalled(nowMs) ? STALL_PENALTY_MS : 0) +
        estimateSlownessPenaltyMs(entry) +
        estimateVersionPenaltyMs(entry) +
        this.random.getNext() * JITTER_MS;
      if (estimateMs >= bestMs) continue;
      bestMs = estimateMs;
      best = {entry, needsAdapterLoad};
    }
    return best;
  }
}

/** Creates a policy by name. */
export function createDispatchPolicy(
  name: DispatchPolicyName,
  random: Random,
): DispatchPolicy {
  return name === DispatchPolicyName.LeastOutstanding
    ? new LeastOutstandingPolicy(random)
    : new EstimatedLatencyPolicy(random);
}
