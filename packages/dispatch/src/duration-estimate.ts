/**
 * Estimates how long the requests of one route take from their first attempt to
 * the end of the response, from those that were answered before.
 */

/** A request that was sent to an upstream. */
export interface OpenRequestAge {
  /** Undefined when the request names none. */
  model?: string;
  startedAtMs: number;
}

/** An answered request. */
export interface ServedRequest {
  /** Undefined when the request names none. */
  model?: string;
  /** Time from the first attempt to the first byte of the response. */
  firstByteMs: number;
  /** Time from the first attempt to the end of the response. */
  totalMs: number;
  /** Undefined when the request names no maximum. */
  maxOutputTokens: number | undefined;
}

/** What an estimate is made for. */
export interface EstimatedRequest {
  /** Undefined when the request names none. */
  model?: string;
  maxOutputTokens: number | undefined;
  /**
   * Whether the request may not run a second time, or its response can't be taken
   * back once it has begun.
   */
  needsCertainty: boolean;
}

/** Durations of the requests of one route. */
export interface DurationEstimator {
  /** Adds a request that was started; the result removes it. */
  addOpen(open: OpenRequestAge): () => void;
  record(served: ServedRequest): void;
  /** Expected duration. Returns undefined before any request was recorded. */
  estimateMs(request: EstimatedRequest): number | undefined;
  /**
   * Duration that the request does not exceed, judged by the longest answered
   * and open ones of its model: upstreams run models at different paces, and a
   * process that has just started knows the end of none that is older than
   * itself. Returns undefined before enough of them were recorded.
   */
  estimateLongestMs(
    request: EstimatedRequest,
    nowMs: number,
  ): number | undefined;
}

/** Smoothed mean and mean deviation of a series of values. */
interface SmoothedSeries {
  mean: number;
  deviation: number;
}

/** Weights of the newest value, as in the retransmission timer of TCP. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations above the mean that an estimate allows for. */
const DEVIATIONS = 2;
const CERTAIN_DEVIATIONS = 4;
/** Answered requests of a model from which its longest duration is judged. */
const MIN_SAMPLES = 10;
/** Of these, the latest count. */
const MAX_SAMPLES = 100;

function createSeries(value: number): SmoothedSeries {
  return {mean: value, deviation: value / 2};
}

function addValue(series: SmoothedSeries, value: number): void {
  const error = value - series.mean;
  series.mean += error * MEAN_WEIGHT;
  series.deviation += (Math.abs(error) - series.deviation) * DEVIATION_WEIGHT;
}

function countUnits({
  maxOutputTokens,
}: Pick<ServedRequest, 'maxOutputTokens'>): number {
  return Math.max(1, maxOutputTokens ?? 1);
}

/**
 * Duration that a recorded request would have had with the maximum of another.
 * A smaller maximum need not make a response shorter.
 */
function computeStretchedMs(
  {firstByteMs, totalMs, maxOutputTokens}: ServedRequest,
  request: EstimatedRequest,
): number {
  const factor =
    maxOutputTokens === undefined || request.maxOutputTokens === undefined
      ? 1
      : countUnits(request) / countUnits({maxOutputTokens});
  const restMs = Math.max(0, totalMs - firstByteMs);
  return firstByteMs + restMs * Math.max(1, factor);
}

/** Creates an estimator without recorded requests. */
export function createDurationEstimator(): DurationEstimator {
  let firstByte: SmoothedSeries | undefined;
  /**
   * Time after the first byte for each token of the maximum, which bounds the
   * length of the response. The length that callers expect is often far off.
   */
  let perToken: SmoothedSeries | undefined;
  /** The latest answered requests of each model. */
  const samples = new Map<string | undefined, ServedRequest[]>();
  const openRequests = new Set<OpenRequestAge>();

  const addSample = (served: ServedRequest): void => {
    const known = samples.get(served.model) ?? [];
    known.push(served);
    if (known.length > MAX_SAMPLES) known.shift();
    samples.set(served.model, known);
  };

  return {
    addOpen: open => {
      openRequests.add(open);
      return () => void openRequests.delete(open);
    },
    record: served => {
      addSample(served);
      const restMs = Math.max(0, served.totalMs - served.firstByteMs);
      const tokenMs = restMs / countUnits(served);
      if (firstByte === undefined || perToken === undefined) {
        firstByte = createSeries(served.firstByteMs);
        perToken = createSeries(tokenMs);
        return;
      }
      addValue(firstByte, served.firstByteMs);
      addValue(perToken, tokenMs);
    },
    estimateMs: request => {
      if (firstByte === undefined || perToken === undefined) return undefined;
      const factor = request.needsCertainty ? CERTAIN_DEVIATIONS : DEVIATIONS;
      return (
        firstByte.mean +
        factor * firstByte.deviation +
        countUnits(request) * (perToken.mean + factor * perToken.deviation)
      );
    },
    estimateLongestMs: (request, nowMs) => {
      const answered = samples.get(request.model) ?? [];
      if (answered.length < MIN_SAMPLES) return undefined;
      const durations = answered.map(served =>
        computeStretchedMs(served, request),
      );
      const ages = [...openRequests]
        .filter(({model}) => model === request.model)
        .map(({startedAtMs}) => nowMs - startedAtMs);
      const longestMs = Math.max(...durations, ...ages);
      const rangeMs = longestMs - Math.min(...durations);
      // The next one may exceed the longest of few by more than that of many.
      return longestMs + rangeMs * (1 + MIN_SAMPLES / durations.length);
    },
  };
}
