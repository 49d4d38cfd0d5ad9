/** Choice of an upstream for a request. */
import type {Random} from '@siskinplank/foundation';
import type {UpstreamEntry} from './upstream-table';

/** What the choice needs to know of a request. */
export interface DispatchRequest {
  model: string | undefined;
  adapter: string | undefined;
  promptTokens: number;
  /** Upstreams that were tried. */
  triedUpstreamIds: ReadonlySet<string>;
  /** Failure domain of this gateway. */
  failureDomain: string;
}

/** A chosen upstream. */
export interface DispatchChoice {
  entry: UpstreamEntry;
  /** Whether the adapter has to be loaded there first. */
  needsAdapterLoad: boolean;
}

/** Chooses among the upstreams of a service. */
export abstract class DispatchPolicy {
  /** Undefined when none can run the request now. */
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
 * The baseline: fewest open requests, no knowledge of prompts, no loads of
 * adapters, refusal when no upstream can run the request.
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

/** Time to read one prompt token, in milliseconds: 19 to 26 tokens a ms. */
const READ_MS_PER_TOKEN = 0.05;
/** Each open request slows the steps of all others by about this, in ms. */
const SLOWDOWN_MS_PER_REQUEST = 4;
/** An order to the upstream and the load of the adapter, in ms. */
const ADAPTER_MS = 30;
/** Round trip to another failure domain, and the price of its bytes, in ms. */
const OTHER_DOMAIN_MS = 8;
/** Delay that one recent fault stands for, in ms. */
const FAULT_MS = 600;
/** Delay that the lack of a connection a moment ago stands for, in ms. */
const UNREACHABLE_MS = 2_000;
/** Delay that a silence of all requests stands for, in ms. */
const STALLED_MS = 3_000;
/** Delay for each multiple of the shortest pause that a slow upstream makes. */
const SLOW_MS = 150;
/** Pauses up to this multiple of the shortest are a matter of load. */
const USUAL_PAUSES = 2;
/** Estimates closer than this are equal: others choose at the same time. */
const NOISE_MS = 6;

/** Lowest estimated time to the first event. */
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
    const estimateSlowness = ({progress}: UpstreamEntry): number => {
      if (model === undefined) return 0;
      const pauseMs = progress.getPauseMs(model, nowMs);
      if (pauseMs === undefined) return 0;
      const multiple = pauseMs / Math.max(1, shortestPauseMs);
      return Math.max(0, multiple - USUAL_PAUSES) * SLOW_MS;
    };
    for (const entry of entries) {
      if (!canServeModel(entry, request)) continue;
      const needsAdapter = !hasAdapter(entry, request);
      // An upstream takes no other order while it loads a model.
      if (needsAdapter && entry.modelState.arriving !== undefined) continue;
      const isNear = entry.upstream.failureDomain === request.failureDomain;
      const estimateMs =
        entry.open.pendingPromptTokens * READ_MS_PER_TOKEN +
        entry.open.requests * SLOWDOWN_MS_PER_REQUEST +
        (needsAdapter ? ADAPTER_MS : 0) +
        (isNear ? 0 : OTHER_DOMAIN_MS) +
        entry.getFaultWeight(nowMs) * FAULT_MS +
        (entry.isUnreachable(nowMs) ? UNREACHABLE_MS : 0) +
        (entry.progress.isStalled(nowMs) ? STALLED_MS : 0) +
        estimateSlowness(entry) +
        this.random.getNext() * NOISE_MS;
      if (estimateMs >= bestMs) continue;
      bestMs = estimateMs;
      best = {entry, needsAdapterLoad: needsAdapter};
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
